package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/platform"
)

func TestContactLimitLeavesTimeForTheNextBroker(t *testing.T) {
	for _, row := range []struct {
		config, drain, want time.Duration
	}{
		{0, 0, 2600 * time.Millisecond},
		{2500 * time.Millisecond, 0, 1750 * time.Millisecond},
		{4 * time.Second, 2500 * time.Millisecond, 1750 * time.Millisecond},
		{4 * time.Second, 4 * time.Second, 2800 * time.Millisecond},
		{time.Second, time.Second, 1700 * time.Millisecond},
	} {
		require.Equal(t, row.want, contactLimit(row.config, row.drain), row)
	}
}

// A host whose calls hang has no error to tell it that the store is lost.
func TestContactIsLostWithoutAFailedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		f := &calmFleet{store: &countingStore{calls: make(map[string]int)}}
		h := f.newHost(&platform.Settings{Host: "a", DataCentre: "dc", KeyRevocation: testKeyRevocation, ConfigTimeout: 2500 * time.Millisecond})
		changes := 0
		h.storeContact.onChange = func() { changes++ }
		ended := make(chan error)
		go func() { ended <- h.storeContact.Serve(ctx) }()
		synctest.Wait()
		require.False(t, h.hasStore(), "before the first answer")

		h.storeContact.record(h.bootTime())
		synctest.Wait()
		require.True(t, h.hasStore())
		require.Equal(t, 1, changes)

		time.Sleep(h.storeContact.limit - time.Millisecond)
		h.storeContact.record(h.bootTime() - h.storeContact.limit)
		require.True(t, h.hasStore(), "an older answer changes nothing")
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		require.False(t, h.hasStore())
		require.False(t, h.storeUnavailable(), "no call has failed")
		require.Equal(t, 2, changes)

		h.storeContact.record(h.bootTime())
		synctest.Wait()
		require.True(t, h.hasStore())
		require.Equal(t, 3, changes)
		require.Less(t, time.Since(start), 2*time.Second)
		cancel()
		require.ErrorIs(t, <-ended, context.Canceled)
	})
}

func TestContactLastsFromTheFirstAnswerAfterAGap(t *testing.T) {
	c := &storeContact{limit: time.Second, answered: make(chan struct{}, 1)}
	for _, row := range []struct{ at, lasted time.Duration }{
		{10 * time.Second, 0},
		{10900 * time.Millisecond, 900 * time.Millisecond},
		{11900 * time.Millisecond, 1900 * time.Millisecond},
		{11500 * time.Millisecond, 1900 * time.Millisecond},
		{13 * time.Second, 0},
		{13500 * time.Millisecond, 500 * time.Millisecond},
	} {
		c.record(row.at)
		require.Equal(t, row.lasted, c.lasted(), "answer at %v", row.at)
	}
}
