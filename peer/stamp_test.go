package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/peer"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// noter records an event for each call.
type noter struct{ events *timeline.Recorder }

// Note is called by the peer.
func (n *noter) Note(request string, reply *string) error {
	n.events.Record(timeline.Event{Request: request})
	*reply = request
	return nil
}

// TestMessagesCarryStamps: whichever clock is ahead, an event before a call,
// one in the call and one after it are in this order in the time line.
func TestMessagesCarryStamps(t *testing.T) {
	for _, wrong := range []time.Duration{-5 * time.Second, 5 * time.Second} {
		recorder := func(host string, wrong time.Duration) *timeline.Recorder {
			clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0).Add(wrong))
			return timeline.NewRecorder(host, timeline.NewClock(clock), 64)
		}
		a, b := recorder("a", wrong), recorder("b", 0)
		server, err := peer.Listen("127.0.0.1:0", nil, peer.WithClock(b.Clock()))
		require.NoError(t, err)
		require.NoError(t, server.Register("Noter", &noter{b}))
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = server.Serve(ctx) }()
		client := peer.NewClient(5*time.Second, nil, peer.WithClock(a.Clock()))
		var reply string
		a.Record(timeline.Event{Request: "before"})
		require.NoError(t, client.Call(ctx, server.Address(), "Noter.Note", "in", &reply))
		a.Record(timeline.Event{Request: "after"})

		all := func(*timeline.Event) bool { return true }
		merged, _ := timeline.Merge([][]timeline.Event{a.Events(all), b.Events(all)}, 0)
		var order []string
		for _, e := range merged {
			order = append(order, e.Request)
		}
		require.Equal(t, []string{"before", "in", "after"}, order, "clock of the caller wrong by %s", wrong)
		client.Close()
		cancel()
	}
}
