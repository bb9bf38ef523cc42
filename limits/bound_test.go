package limits_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/limits"
	"github.com/comfreyspindle/comfreyspindle/service"
)

func TestRunningLimitCountsEachReleaseOnce(t *testing.T) {
	doc := &service.Document{Name: "s"}
	doc.Routing.QueueLimit = 2
	limit := limits.NewRunningLimit()
	admit := func() (func(), error) { return limit.Admit(context.Background(), limits.Request{Doc: doc}) }
	first, err := admit()
	require.NoError(t, err)
	_, err = admit()
	require.NoError(t, err)
	first()
	first()
	_, err = admit()
	require.NoError(t, err)
	_, err = admit()
	require.Error(t, err, "two run")
}
