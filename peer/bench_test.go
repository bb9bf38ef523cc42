package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/peer"
)

// BenchmarkCall measures one small call over loopback, both sides together.
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
