package pool

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Whatever an upstream writes besides its answers must not become part of an answer.
func TestBytesThatBelongToNoRequest(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
	rows := []struct {
		name, stray string
		// answered says that the answer after the stray bytes can be told from them.
		answered bool
	}{
		{"length", answer("a", "again"), true},
		{"empty", "HTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n", true},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nagain\r\n0\r\n\r\n", true},
		{"chunked with trailer", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nagain\r\n0\r\nX-Id: b\r\n\r\n", true},
		{"close announced", head + "Connection: close\r\nContent-Length: 5\r\n\r\nagain", true},
		{"two", answer("a", "again") + answer("a", "again"), true},
		{"close-delimited", head + "\r\nagain", false},
		{"cut length", head + "Content-Length: 50\r\n\r\nagain", false},
		{"cut chunk", head + "Transfer-Encoding: chunked\r\n\r\n50\r\nagain", false},
		{"cut head", head + "X-Fo", false},
		{"no answer", "\x00\xffgarbage", false},
		{"empty line", "\r\n", false},
		{"end of chunks", "0\r\n\r\n", false},
		{"event", "id: 7\ndata: x\n\n", false},
	}
	for _, row := range rows {
		for cut := range min(len(row.stray), 4) {
			t.Run(fmt.Sprintf("%s, %d of 4", row.name, cut), func(t *testing.T) {
				address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
					_, _ = io.WriteString(c, answer(read(r), "of a"))
					id := read(r)
					// The rest arrives by itself, after the first part has been read.
					first := len(row.stray) * cut / 4
					_, _ = io.WriteString(c, row.stray[:first])
					time.Sleep(2 * time.Millisecond)
					_, _ = io.WriteString(c, row.stray[first:]+answer(id, "of "+id))
				})
				p := New(func() {})
				body, err := exchangeWithin(p, address, "a", 10*time.Second)
				require.NoError(t, err)
				require.Equal(t, "of a", body)
				body, err = exchangeWithin(p, address, "b", 10*time.Second)
				if err == nil {
					require.Equal(t, "of b", body)
				} else {
					require.False(t, row.answered, "%v", err)
					require.True(t, errors.Is(err, ErrBroken), "%v", err)
					require.False(t, errors.Is(err, ErrNotSent), "it has reached the upstream")
				}
				require.Empty(t, p.idle)
			})
		}
	}
}

// upstreamLog counts how often the requests of a stand-in have reached it.
type upstreamLog struct {
	mu  sync.Mutex
	ran map[string]int
}

func (l *upstreamLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[id]++
}

func (l *upstreamLog) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[id]
}

// An end, a reset or an extra answer in the moment in which a kept connection is taken must not falsify what is known of a request.
func TestVerdictsWhileKeptConnectionsEnd(t *testing.T) {
	const callers, each = 6, 60
	after := map[string]func(c net.Conn, id string) bool{
		"end":      func(net.Conn, string) bool { return false },
		"reset":    func(c net.Conn, _ string) bool { reset(c); return false },
		"answer":   func(c net.Conn, id string) bool { _, _ = io.WriteString(c, answer(id, "again")); return true },
		"no HTTP":  func(c net.Conn, _ string) bool { _, _ = io.WriteString(c, "x\r\n"); return true },
		"half end": func(c net.Conn, _ string) bool { _ = c.(*net.TCPConn).CloseWrite(); return true },
	}
	for name, then := range after {
		for _, delay := range []time.Duration{0, 50 * time.Microsecond} {
			t.Run(fmt.Sprint(name, " after ", delay), func(t *testing.T) {
				log := &upstreamLog{ran: make(map[string]int)}
				address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
					for n, id := 1, read(r); id != ""; n, id = n+1, read(r) {
						log.add(id)
						_, _ = io.WriteString(c, answer(id, "of "+id))
						if n%3 > 0 {
							continue
						}
						if time.Sleep(delay); !then(c, id) {
							return
						}
					}
				})
				p := New(func() {})
				var wg sync.WaitGroup
				for caller := range callers {
					wg.Go(func() {
						for i := range each {
							id := fmt.Sprintf("%d-%d", caller, i)
							body, err := exchangeWithin(p, address, id, 10*time.Second)
							switch {
							case err == nil:
								assert.Equal(t, "of "+id, body)
							case errors.Is(err, ErrNotSent):
								assert.Zero(t, log.count(id), "%v", err)
							default:
								assert.True(t, errors.Is(err, ErrBroken), "%v", err)
							}
							assert.LessOrEqual(t, log.count(id), 1)
						}
					})
				}
				wg.Wait()
			})
		}
	}
}
