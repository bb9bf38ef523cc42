package idset

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSet(t *testing.T) {
	var s Set
	require.False(t, s.Has("0"))
	for i := range Max {
		require.False(t, s.IsFull())
		s.Add(strconv.Itoa(i))
		require.True(t, s.Has(strconv.Itoa(i)))
	}
	require.True(t, s.Has("0"))
	require.Equal(t, Max, s.Len())
	require.True(t, s.IsFull())
	s.Add("")
	require.False(t, s.Has(""), "requests without an ID can't be told apart")
}
