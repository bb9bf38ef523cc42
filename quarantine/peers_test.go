package quarantine

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/membership"
)

// Peers don't answer until the context ends. The call for all of them must then end
// too: it holds the only place for a trial of its service.
func TestCallsToSilentPeersEndWithTheContext(t *testing.T) {
	view := membership.NewStatic(membership.Host{Name: "self", DataCentre: "a"})
	var peers []membership.Host
	for i := range maxConcurrentCalls + 5 {
		peers = append(peers, membership.Host{Name: fmt.Sprint("h", i), DataCentre: "a"})
	}
	view.Set(peers)
	d := &Detector{Options: Options{View: view}}
	ctx, cancel := context.WithCancel(t.Context())
	var started atomic.Int32
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.forEachPeer(ctx, func(ctx context.Context, _ membership.Host) {
			started.Add(1)
			<-ctx.Done()
		})
	}()
	require.Eventually(t, func() bool { return started.Load() == maxConcurrentCalls }, 5*time.Second, time.Millisecond)
	cancel()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("waits for calls that were never made")
	}
	require.EqualValues(t, maxConcurrentCalls, started.Load(), "no call starts after the end of the context")
}
