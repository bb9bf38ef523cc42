package forward

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// endlessBody brings its bytes and then no more until its context ends.
type endlessBody struct {
	io.Reader
	ctx   context.Context
	stuck func()
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if n, _ := b.Reader.Read(p); n > 0 {
		return n, nil
	}
	b.stuck()
	<-b.ctx.Done()
	return 0, errBroken
}

// A faulty replica that sent hundreds of responses without end filled the memory of the host.
func TestResponsesWithoutEndAreBoundedTogether(t *testing.T) {
	const (
		requests = 400
		limit    = 4 << 20
	)
	text := "data: " + strings.Repeat("x", maxPartialEventBytes/2)
	for name, row := range map[string]struct {
		response func(io.Reader) scriptedAttempt
	}{
		"events": {stream},
		"bodies": {ok},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			unfinished := NewUnfinished(limit)
			var running, settled sync.WaitGroup
			for range requests {
				settled.Add(1)
				once := sync.OnceFunc(settled.Done)
				upstream := &fakeUpstream{attempts: []scriptedAttempt{row.response(&endlessBody{strings.NewReader(text), ctx, once})}}
				r := newRunner(&fakeSlots{left: 1}, upstream)
				r.Unfinished = unfinished
				running.Go(func() {
					defer once()
					require.Error(t, r.Run(ctx, newRequest(notResumable, ""), &recordingSink{}))
				})
			}
			settled.Wait()
			require.LessOrEqual(t, unfinished.Bytes(), int64(limit))
			require.Greater(t, unfinished.Bytes(), int64(limit/2), "the test fills the limit")

			sound := &fakeUpstream{attempts: []scriptedAttempt{row.response(strings.NewReader(events(1, 100)))}}
			r := newRunner(&fakeSlots{left: 1}, sound)
			r.Unfinished = unfinished
			sink := &recordingSink{}
			require.NoError(t, r.Run(t.Context(), newRequest(notResumable, ""), sink), "a sound response goes on")
			require.Equal(t, events(1, 100), sink.body.String())

			cancel()
			running.Wait()
			require.Zero(t, unfinished.Bytes())
		})
	}
}

func TestUnfinishedPartIsNotCountedOnceItIsPassedOn(t *testing.T) {
	unfinished := NewUnfinished(maxPartialEventBytes)
	e := EventParser{Unfinished: unfinished}
	part := []byte("id: 1\ndata: " + strings.Repeat("x", 4*freeUnfinishedBytes))
	for range 3 {
		_, err := e.Feed(part)
		require.NoError(t, err)
		require.Equal(t, int64(len(part)-freeUnfinishedBytes), unfinished.Bytes())
		_, err = e.Feed([]byte("\n\n"))
		require.NoError(t, err)
		require.Zero(t, unfinished.Bytes())
		e.Reset("")
	}
	_, err := e.Feed(part)
	require.NoError(t, err)
	e.Reset("")
	require.Zero(t, unfinished.Bytes())
}
