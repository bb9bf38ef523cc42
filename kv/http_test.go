package kv_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
)

// flakyServer serves an in-memory store over HTTP and closes the connection of
// writes before or after they take effect, without a reply.
type flakyServer struct {
	inner      *kvtest.Store
	server     *httptest.Server
	writes     atomic.Int64
	dropBefore atomic.Bool
	dropAfter  atomic.Bool
	conns      chan net.Conn
}

func newFlakyServer(t *testing.T) *flakyServer {
	f := &flakyServer{inner: kvtest.NewStore(clockwork.NewRealClock()), conns: make(chan net.Conn, 16)}
	backend := kvtest.NewServer(f.inner)
	t.Cleanup(backend.Close)
	f.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			backend.Config.Handler.ServeHTTP(w, r)
			return
		}
		f.writes.Add(1)
		if f.dropBefore.Load() {
			panic(http.ErrAbortHandler)
		}
		if f.dropAfter.Load() {
			backend.Config.Handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		backend.Config.Handler.ServeHTTP(w, r)
	}))
	f.server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateNew {
			f.conns <- c
		}
	}
	f.server.Start()
	t.Cleanup(f.server.Close)
	return f
}

func (f *flakyServer) store() kv.Store {
	return kv.NewHTTP("h", []string{f.server.Listener.Addr().String()}, 2*time.Second)
}

// TestWriteIsNeverResent checks that a write on a reused connection that breaks
// is sent once. The transport of net/http resends requests in this case.
func TestWriteIsNeverResent(t *testing.T) {
	rows := []struct {
		name   string
		value  []byte
		inject func(f *flakyServer)
		want   error
	}{
		{"dropped before it took effect", []byte("v"), func(f *flakyServer) { f.dropBefore.Store(true) }, kv.ErrUnknown},
		{"dropped after it took effect", []byte("v"), func(f *flakyServer) { f.dropAfter.Store(true) }, kv.ErrUnknown},
		{"empty value, dropped", nil, func(f *flakyServer) { f.dropAfter.Store(true) }, kv.ErrUnknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			ctx := context.Background()
			f := newFlakyServer(t)
			s := f.store()
			v, err := s.Put(ctx, kv.Put{Key: "k", Value: []byte("first")})
			require.NoError(t, err)
			row.inject(f)
			_, err = s.Put(ctx, kv.Put{Key: "k", Value: row.value, If: v})
			errtest.Is(t, err, row.want)
			errtest.Is(t, s.Delete(ctx, "k", v), row.want)
			require.EqualValues(t, 3, f.writes.Load(), "a write reached the store twice")
		})
	}
}

// TestSwapSucceedsOnceOnClosedIdleConnection closes the server's end of the idle
// connection before each Swap. The write must take effect exactly once, whether
// or not a part of the request was sent.
func TestSwapSucceedsOnceOnClosedIdleConnection(t *testing.T) {
	ctx := context.Background()
	f := newFlakyServer(t)
	s := f.store()
	v, err := f.inner.Put(ctx, kv.Put{Key: "k", Value: []byte("first")})
	require.NoError(t, err)
	for range 50 {
		next, err := kv.Swap(ctx, s, kv.Put{Key: "k", Value: []byte("x"), If: v})
		require.NoError(t, err)
		require.Equal(t, v+1, next, "the write took effect more than once")
		v = next
		require.NoError(t, (<-f.conns).Close())
	}
}

func TestRefusedConnectionIsUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	s := kv.NewHTTP("h", []string{l.Addr().String()}, time.Second)
	_, err = s.Put(context.Background(), kv.Put{Key: "k"})
	errtest.Is(t, err, kv.ErrUnreachable)
}

// Guards against a value, a version or a page that the end of the store's connection has cut.
func TestCutReplyIsNotTakenForAWholeOne(t *testing.T) {
	rows := map[string]string{
		"value without a length":  "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nConnection: close\r\n\r\nval",
		"value within its length": "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 5\r\n\r\nval",
		"value without a version": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue",
	}
	for name, reply := range rows {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, reply)
					_ = conn.Close()
				}
			}()
			store := kv.NewHTTP("h", []string{l.Addr().String()}, 2*time.Second)
			_, err = store.Get(t.Context(), "k")
			errtest.Is(t, err, kv.ErrUnreachable)
			_, err = store.Put(t.Context(), kv.Put{Key: "k", Value: []byte("v")})
			errtest.Is(t, err, kv.ErrUnknown)
		})
	}
}
