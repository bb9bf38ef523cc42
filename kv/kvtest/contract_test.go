package kvtest_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	_ "github.com/comfreyspindle/comfreyspindle/internal/rapidtest"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
)

func TestContractInMemory(t *testing.T) {
	kvtest.Contract(t, func(*testing.T) kv.Store {
		return kvtest.NewStore(clockwork.NewRealClock()).Host("h")
	})
}

func httpStore(t *testing.T) (*kvtest.Store, kv.Store) {
	s := kvtest.NewStore(clockwork.NewRealClock())
	srv := kvtest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, kv.NewHTTP("h", []string{srv.Address()}, 2*time.Second)
}

func TestContractHTTP(t *testing.T) {
	kvtest.Contract(t, func(t *testing.T) kv.Store {
		_, s := httpStore(t)
		return s
	})
}

func TestFaultsInjectErrorAndEffect(t *testing.T) {
	ctx := context.Background()
	rows := []struct {
		name    string
		fault   kvtest.Fault
		want    error
		applied bool
	}{
		{"refused", kvtest.Fault{Err: kv.ErrUnreachable}, kv.ErrUnreachable, false},
		{"limited", kvtest.Fault{Err: kv.ErrLimited}, kv.ErrLimited, false},
		{"reply lost", kvtest.Fault{LoseReply: true}, kv.ErrUnknown, true},
		{"request lost", kvtest.Fault{LoseRequest: true}, kv.ErrUnknown, false},
		{"late", kvtest.Fault{Late: true}, kv.ErrUnknown, false},
		{"slow", kvtest.Fault{Delay: time.Millisecond}, nil, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			inner, s := httpStore(t)
			row.fault.Op = kvtest.OpPut
			inner.AddFault(row.fault)
			_, err := s.Put(ctx, kv.Put{Key: "k"})
			if row.want == nil {
				require.NoError(t, err)
			} else {
				errtest.Is(t, err, row.want)
			}
			_, err = inner.Get(ctx, "k")
			require.Equal(t, row.applied, err == nil)
		})
	}
}

func TestSwapResolvesLostReply(t *testing.T) {
	ctx := context.Background()
	inner, s := httpStore(t)
	inner.AddFault(kvtest.Fault{Op: kvtest.OpPut, LoseReply: true, Times: 1})
	v, err := kv.Swap(ctx, s, kv.Put{Key: "k", Value: []byte("x")})
	require.NoError(t, err)
	r, err := kv.Read(ctx, s, "k")
	require.NoError(t, err)
	require.Equal(t, kv.Record{Payload: []byte("x"), Version: v}, r)
}

func TestSwapReportsSuperseded(t *testing.T) {
	ctx := context.Background()
	inner, s := httpStore(t)
	inner.AddFault(kvtest.Fault{Op: kvtest.OpPut, LoseReply: true, Times: 1})
	gate := make(chan struct{})
	inner.AddFault(kvtest.Fault{Op: kvtest.OpGet, Gate: gate, Times: 1})
	done := make(chan error, 1)
	go func() {
		_, err := kv.Swap(ctx, s, kv.Put{Key: "k", Value: []byte("x")})
		done <- err
	}()
	require.Eventually(t, func() bool { return inner.Calls("h", kvtest.OpGet) == 1 }, 5*time.Second, time.Millisecond)
	e, err := inner.Get(ctx, "k")
	require.NoError(t, err)
	_, err = inner.Put(ctx, kv.Put{Key: "k", Value: make([]byte, 32), If: e.Version})
	require.NoError(t, err)
	close(gate)
	errtest.Is(t, <-done, kv.ErrSuperseded)
}

func TestOneWayNetworkCuts(t *testing.T) {
	ctx := context.Background()
	rows := []struct {
		cut     kvtest.Cut
		applied bool
	}{{kvtest.CutRequests, false}, {kvtest.CutReplies, true}}
	for _, row := range rows {
		inner, s := httpStore(t)
		inner.SetCut("h", row.cut)
		_, err := s.Put(ctx, kv.Put{Key: "k"})
		errtest.Is(t, err, kv.ErrUnknown)
		_, err = s.Get(ctx, "k")
		errtest.Is(t, err, kv.ErrUnreachable)
		_, err = inner.Host("other").Get(ctx, "k")
		require.Equal(t, row.applied, err == nil)
		inner.SetCut("h", kvtest.CutNone)
		_, err = s.Put(ctx, kv.Put{Key: "healed"})
		require.NoError(t, err)
	}
}

func TestRateLimits(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	inner := kvtest.NewStore(clock)
	inner.SetRateLimits(kvtest.Rate{Writes: 2}, kvtest.Rate{Writes: 3, Reads: 1})
	a, b := inner.Host("a"), inner.Host("b")
	put := func(s kv.Store, key string) error {
		_, err := s.Put(ctx, kv.Put{Key: key})
		return err
	}
	require.NoError(t, put(a, "1"))
	require.NoError(t, put(a, "2"))
	errtest.Is(t, put(a, "3"), kv.ErrLimited)
	require.NoError(t, put(b, "4"))
	errtest.Is(t, put(b, "5"), kv.ErrLimited)
	_, err := b.Get(ctx, "4")
	require.NoError(t, err)
	_, err = a.Get(ctx, "4")
	errtest.Is(t, err, kv.ErrLimited)
	clock.Advance(time.Second)
	require.NoError(t, put(b, "6"))
}

func TestKeysExpireEarlyOrLate(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	s := kvtest.NewStore(clock)
	for _, key := range []string{"early", "late", "exact"} {
		_, err := s.Put(ctx, kv.Put{Key: key, TTL: time.Minute})
		require.NoError(t, err)
	}
	s.Expire("early")
	s.Extend("late", time.Minute)
	require.Equal(t, []string{"exact", "late"}, s.Keys(""))
	clock.Advance(time.Minute)
	require.Equal(t, []string{"late"}, s.Keys(""))
	clock.Advance(time.Minute)
	require.Empty(t, s.Keys(""))
}

// TestWatchIsCompleteOrCompacted compacts the changes at random points. A watch
// must return every change after its version or fail with ErrCompacted.
func TestWatchIsCompleteOrCompacted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		s := kvtest.NewStore(clockwork.NewFakeClock())
		var written []kv.Version
		for range rapid.IntRange(1, 30).Draw(rt, "writes") {
			if rapid.IntRange(0, 9).Draw(rt, "compact") == 0 {
				s.Compact()
			}
			v, err := s.Put(ctx, kv.Put{Key: "k", If: last(written)})
			require.NoError(rt, err)
			written = append(written, v)
		}
		from := rapid.IntRange(0, len(written)-1).Draw(rt, "from")
		c, err := s.Watch(ctx, kv.Watch{Key: "k", After: written[from]})
		if err != nil {
			errtest.Is(t, err, kv.ErrCompacted)
			return
		}
		var seen []kv.Version
		for _, e := range c.Events {
			seen = append(seen, e.Version)
		}
		require.Equal(rt, append([]kv.Version(nil), written[from+1:]...), seen)
		require.GreaterOrEqual(rt, c.Through, last(written))
	})
}

func last(versions []kv.Version) kv.Version {
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1]
}

func TestSwapResolvesLateAndLostWrites(t *testing.T) {
	ctx := context.Background()
	rows := []struct {
		name  string
		fault kvtest.Fault
		want  error
	}{
		{"request lost once", kvtest.Fault{LoseRequest: true, Times: 1}, nil},
		{"reply lost once", kvtest.Fault{LoseReply: true, Times: 1}, nil},
		{"late, then written again", kvtest.Fault{Late: true, Times: 1}, nil},
		{"always lost", kvtest.Fault{LoseRequest: true}, kv.ErrUnknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			inner, s := httpStore(t)
			v, err := inner.Put(ctx, kv.Put{Key: "k", Value: make([]byte, 16)})
			require.NoError(t, err)
			row.fault.Op = kvtest.OpPut
			inner.AddFault(row.fault)
			got, err := kv.Swap(ctx, s, kv.Put{Key: "k", Value: []byte("x"), If: v})
			inner.ReleaseLate()
			if row.want != nil {
				errtest.Is(t, err, row.want)
				return
			}
			require.NoError(t, err)
			e, err := inner.Get(ctx, "k")
			require.NoError(t, err)
			require.Equal(t, got, e.Version, "the late write took effect as well")
		})
	}
}
