package peer_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/peer"
)

// BenchmarkCall measures one small call over loopback, client and server
// together.
func BenchmarkCall(b *testing.B) {
	s, err := peer.Listen("127.0.0.1:0", nil)
	require.NoError(b, err)
	require.NoError(b, s.Register("Echo", &Echo{}))
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() { _ = s.Serve(ctx) }()
	c := peer.NewClient(5*time.Second, nil)
	defer c.Close()
	var reply string
	for b.Loop() {
		if err := c.Call(ctx, s.Address(), "Echo.Say", "a small message of about sixty bytes, like that of a member", &reply); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkConnectionMemory measures the memory of one open connection, client
// and server together, stacks included.
func BenchmarkConnectionMemory(b *testing.B) {
	const servers = 250
	var addresses []string
	for range servers {
		s, err := peer.Listen("127.0.0.1:0", nil)
		require.NoError(b, err)
		require.NoError(b, s.Register("Echo", &Echo{}))
		go func() { _ = s.Serve(b.Context()) }()
		addresses = append(addresses, s.Address())
	}
	var bytes float64
	for b.Loop() {
		c := peer.NewClient(5*time.Second, nil)
		before := memoryInUse()
		for _, a := range addresses {
			var reply string
			require.NoError(b, c.Call(b.Context(), a, "Echo.Say", "a", &reply))
		}
		bytes = float64(memoryInUse()-before) / servers
		c.Close()
	}
	b.ReportMetric(bytes, "B/connection")
}

func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
