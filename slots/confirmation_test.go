package slots

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// received is a confirmation that a host has received.
type received struct {
	version   int64
	sent, age time.Duration
}

// A confirmation must count from when the poll was sent: the reply arrives later, and may
// arrive much later at a host that was suspended.
func TestPollPassesOnTheBrokersConfirmation(t *testing.T) {
	f := newFleet()
	broker, other := f.broker("x")
	var got []received
	now := time.Minute
	other.BootTime = func() time.Duration { return now }
	other.OnConfirmed = func(version int64, sent, age time.Duration) { got = append(got, received{version, sent, age}) }
	broker.broker.SetConfigVersion(8)
	other.version = -2
	require.True(t, other.pollOnce(context.Background(), "x"))
	require.Empty(t, got, "nothing is confirmed, as in the replies of older builds")
	broker.broker.SetLastConfirmed(func() (int64, time.Duration, bool) {
		now += time.Second
		return 7, 300 * time.Millisecond, true
	})
	broker.broker.EndPolls()
	require.True(t, other.pollOnce(context.Background(), "x"))
	require.Equal(t, []received{{7, time.Minute, 300 * time.Millisecond}}, got[:1], "the version of the confirmation, not the broker's own")
	before := len(got)
	broker.BootTime, broker.OnConfirmed = other.BootTime, other.OnConfirmed
	broker.broker.EndPolls()
	broker.version = -2
	require.True(t, broker.pollOnce(context.Background(), "x"))
	require.Len(t, got, before, "a host learns nothing from itself")
}

func TestEndPollsEndsWaitingPolls(t *testing.T) {
	f := newFleet()
	broker, other := f.broker("x")
	require.True(t, other.pollOnce(context.Background(), "x"))
	done := make(chan bool)
	go func() { done <- other.pollOnce(context.Background(), "x") }()
	require.NoError(t, f.clock.BlockUntilContext(context.Background(), 1))
	broker.broker.EndPolls()
	require.True(t, <-done)
}
