package kvtest

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	"github.com/comfreyspindle/comfreyspindle/kv"
)

// Contract runs the tests that every kv.Store must pass. It calls newStore for
// each case; newStore returns an empty store.
func Contract(t *testing.T, newStore func(t *testing.T) kv.Store) {
	cases := []struct {
		name string
		run  func(t *testing.T, s kv.Store)
	}{
		{"missing key", missingKey},
		{"create only once", createOnce},
		{"swap needs the version", swapNeedsVersion},
		{"versions are never used twice", versionsGrow},
		{"value limit", valueLimit},
		{"time to live", timeToLive},
		{"watch key and prefix", watchKeyAndPrefix},
		{"watch without a version returns the current one", watchStartVersion},
		{"keys of any bytes", keysOfAnyBytes},
		{"watch sees every change", watchEveryChange},
		{"watch ends with its context", watchEndsWithContext},
		{"one of several concurrent writers succeeds", oneWriterWins},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, newStore(t)) })
	}
}

func missingKey(t *testing.T, s kv.Store) {
	ctx := context.Background()
	_, err := s.Get(ctx, "a")
	errtest.Is(t, err, kv.ErrNotFound)
	errtest.Is(t, s.Delete(ctx, "a", 1), kv.ErrNotFound)
	_, err = s.Put(ctx, kv.Put{Key: "a", If: 7})
	errtest.Is(t, err, kv.ErrConflict)
}

func createOnce(t *testing.T, s kv.Store) {
	ctx := context.Background()
	v, err := s.Put(ctx, kv.Put{Key: "a", Value: []byte("1")})
	require.NoError(t, err)
	_, err = s.Put(ctx, kv.Put{Key: "a", Value: []byte("2")})
	errtest.Is(t, err, kv.ErrConflict)
	e, err := s.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, kv.Entry{Key: "a", Value: []byte("1"), Version: v}, e)
}

func swapNeedsVersion(t *testing.T, s kv.Store) {
	ctx := context.Background()
	v1, err := s.Put(ctx, kv.Put{Key: "a", Value: []byte("1")})
	require.NoError(t, err)
	v2, err := s.Put(ctx, kv.Put{Key: "a", Value: []byte("2"), If: v1})
	require.NoError(t, err)
	_, err = s.Put(ctx, kv.Put{Key: "a", Value: []byte("3"), If: v1})
	errtest.Is(t, err, kv.ErrConflict)
	errtest.Is(t, s.Delete(ctx, "a", v1), kv.ErrConflict)
	require.NoError(t, s.Delete(ctx, "a", v2))
}

func versionsGrow(t *testing.T, s kv.Store) {
	ctx := context.Background()
	var last kv.Version
	for range 3 {
		v, err := s.Put(ctx, kv.Put{Key: "a"})
		require.NoError(t, err)
		require.Greater(t, v, last)
		require.NoError(t, s.Delete(ctx, "a", v))
		last = v
	}
}

func valueLimit(t *testing.T, s kv.Store) {
	ctx := context.Background()
	_, err := s.Put(ctx, kv.Put{Key: "a", Value: make([]byte, kv.MaxValueBytes)})
	require.NoError(t, err)
	_, err = s.Put(ctx, kv.Put{Key: "b", Value: make([]byte, kv.MaxValueBytes+1)})
	errtest.Is(t, err, kv.ErrTooLarge)
}

func timeToLive(t *testing.T, s kv.Store) {
	ctx := context.Background()
	v, err := s.Put(ctx, kv.Put{Key: "a", TTL: 50 * time.Millisecond})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, err := s.Get(ctx, "a")
		return err != nil
	}, 5*time.Second, 5*time.Millisecond)
	c, err := s.Watch(ctx, kv.Watch{Key: "a", After: v, Wait: time.Second})
	require.NoError(t, err)
	require.Len(t, c.Events, 1)
	require.True(t, c.Events[0].Deleted)
}

func watchKeyAndPrefix(t *testing.T, s kv.Store) {
	ctx := context.Background()
	v, err := s.Put(ctx, kv.Put{Key: "p/a", Value: []byte("1")})
	require.NoError(t, err)
	_, err = s.Put(ctx, kv.Put{Key: "q", Value: []byte("2")})
	require.NoError(t, err)
	v3, err := s.Put(ctx, kv.Put{Key: "p/b", Value: []byte("3")})
	require.NoError(t, err)
	c, err := s.Watch(ctx, kv.Watch{Key: "p/", Prefix: true, After: v, Wait: time.Second})
	require.NoError(t, err)
	require.Len(t, c.Events, 1)
	require.Equal(t, kv.Entry{Key: "p/b", Value: []byte("3"), Version: v3}, c.Events[0].Entry)
	require.GreaterOrEqual(t, c.Through, v3)
	c, err = s.Watch(ctx, kv.Watch{Key: "p/", Prefix: true, After: c.Through, Wait: time.Millisecond})
	require.NoError(t, err)
	require.Empty(t, c.Events)
}

func watchStartVersion(t *testing.T, s kv.Store) {
	ctx := context.Background()
	v, err := s.Put(ctx, kv.Put{Key: "a"})
	require.NoError(t, err)
	c, err := s.Watch(ctx, kv.Watch{Key: "a", Wait: time.Hour})
	require.NoError(t, err)
	require.Empty(t, c.Events)
	require.GreaterOrEqual(t, c.Through, v)
}

func keysOfAnyBytes(t *testing.T, s kv.Store) {
	ctx := context.Background()
	for _, key := range []string{"a/b/c", "a b", "ä%2F", "a?b=c", "a//b"} {
		v, err := s.Put(ctx, kv.Put{Key: key, Value: []byte(key)})
		require.NoError(t, err)
		e, err := s.Get(ctx, key)
		require.NoError(t, err)
		require.Equal(t, kv.Entry{Key: key, Value: []byte(key), Version: v}, e)
	}
}

// watchEveryChange watches a key while it is written repeatedly, and checks that
// the watches report every version once and in order.
func watchEveryChange(t *testing.T, s kv.Store) {
	const writes = 100
	ctx := context.Background()
	begin, err := s.Watch(ctx, kv.Watch{Key: "a"})
	require.NoError(t, err)
	want := make(chan []kv.Version, 1)
	go func() {
		var versions []kv.Version
		var v kv.Version
		for range writes {
			next, err := s.Put(ctx, kv.Put{Key: "a", If: v})
			if err != nil {
				break
			}
			v = next
			versions = append(versions, v)
		}
		want <- versions
	}()
	var seen []kv.Version
	after := begin.Through
	for len(seen) < writes {
		c, err := s.Watch(ctx, kv.Watch{Key: "a", After: after, Wait: 5 * time.Second})
		require.NoError(t, err)
		require.NotEmpty(t, c.Events)
		for _, e := range c.Events {
			seen = append(seen, e.Version)
		}
		after = c.Through
	}
	require.Equal(t, <-want, seen)
}

func watchEndsWithContext(t *testing.T, s kv.Store) {
	v, err := s.Put(context.Background(), kv.Put{Key: "a"})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := s.Watch(ctx, kv.Watch{Key: "a", After: v, Wait: time.Hour})
		done <- err
	}()
	cancel()
	errtest.Is(t, <-done, kv.ErrUnreachable)
}

func oneWriterWins(t *testing.T, s kv.Store) {
	const writers = 16
	ctx := context.Background()
	v, err := s.Put(ctx, kv.Put{Key: "a"})
	require.NoError(t, err)
	outcomes := make(chan error, writers)
	for range writers {
		go func() {
			_, err := s.Put(ctx, kv.Put{Key: "a", If: v})
			outcomes <- err
		}()
	}
	won := 0
	for range writers {
		err := <-outcomes
		if err == nil {
			won++
			continue
		}
		errtest.Is(t, err, kv.ErrConflict)
	}
	require.Equal(t, 1, won)
}
