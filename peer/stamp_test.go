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

// recordingService records a time line event for each call.
type recordingService struct{ events *timeline.Recorder }

// Note records the request as an event and returns it.
func (n *recordingService) Note(request string, reply *string) error {
	n.events.Record(timeline.Event{Request: request})
	*reply = request
	return nil
}

// TestMessagesCarryStamps checks that the merged time line orders events before,
// during and after a call causally, whichever host's clock is ahead.
func TestMessagesCarryStamps(t *testing.T) {
	for _, skew := range []time.Duration{-5 * time.Second, 5 * time.Second} {
		recorder := func(host string, skew time.Duration) *timeline.Recorder {
			clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0).Add(skew))
			return timeline.NewRecorder(host, timeline.NewClock(clock), 64)
		}
		a, b := recorder("a", skew), recorder("b", 0)
		server, err := peer.Listen("127.0.0.1:0", nil, peer.WithClock(b.Clock()))
		require.NoError(t, err)
		require.NoError(t, server.Register("Noter", &recordingService{b}))
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
		require.Equal(t, []string{"before", "in", "after"}, order, "clock of the calling host is off by %s", skew)
		client.Close()
		cancel()
	}
}
