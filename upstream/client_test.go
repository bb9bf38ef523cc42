package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// rawServer is an upstream over bare TCP that counts the runs of each request.
type rawServer struct {
	net.Listener
	mu   sync.Mutex
	runs map[string]int
}

// exchange serves one request of a connection and reports whether the
// connection stays open.
type exchange func(s *rawServer, conn net.Conn, in *bufio.Reader, n int) bool

func startRaw(t *testing.T, serve exchange) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &rawServer{Listener: l, runs: make(map[string]int)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(conn)
				for n := 0; serve(s, conn, in, n); n++ {
				}
			}()
		}
	}()
	return s
}

// run reads a whole request and counts its run.
func (s *rawServer) run(in *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(in)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[req.Header.Get(upstream.HeaderRequestID)]++
	return req
}

func (s *rawServer) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func reset(conn net.Conn) bool {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
	return false
}

func answer(conn net.Conn, id string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{}", upstream.HeaderRequestID, id)
	return err == nil
}

func resetBefore(_ *rawServer, conn net.Conn, _ *bufio.Reader, _ int) bool { return reset(conn) }

func resetDuring(_ *rawServer, conn net.Conn, in *bufio.Reader, _ int) bool {
	_, _ = in.ReadByte()
	return reset(conn)
}

func resetAfter(s *rawServer, conn net.Conn, in *bufio.Reader, _ int) bool {
	s.run(in)
	return reset(conn)
}

func resetAfterHeaders(s *rawServer, conn net.Conn, in *bufio.Reader, _ int) bool {
	s.run(in)
	_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
	time.Sleep(20 * time.Millisecond) // the bytes must arrive before the reset drops them
	return reset(conn)
}

func neverReads(_ *rawServer, conn net.Conn, _ *bufio.Reader, _ int) bool {
	time.Sleep(time.Second)
	return reset(conn)
}

func neverAnswers(s *rawServer, conn net.Conn, in *bufio.Reader, _ int) bool {
	s.run(in)
	_, _ = in.ReadByte()
	return reset(conn)
}

func stalls(s *rawServer, conn net.Conn, in *bufio.Reader, _ int) bool {
	s.run(in)
	_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
	_, _ = in.ReadByte()
	return reset(conn)
}

func unavailable(runs bool) exchange {
	return func(s *rawServer, conn net.Conn, in *bufio.Reader, _ int) bool {
		if runs {
			s.run(in)
		} else if req, err := http.ReadRequest(in); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n")
		return false
	}
}

func otherID(s *rawServer, conn net.Conn, in *bufio.Reader, _ int) bool {
	s.run(in)
	return answer(conn, "another")
}

// resetSecond answers the first request of a connection, runs the second and
// drops the connection without an answer.
func resetSecond(s *rawServer, conn net.Conn, in *bufio.Reader, n int) bool {
	req := s.run(in)
	if req == nil || n > 0 {
		_ = conn.Close()
		return false
	}
	return answer(conn, req.Header.Get(upstream.HeaderRequestID))
}

// closeIdle answers one request of each connection and closes it.
func closeIdle(s *rawServer, conn net.Conn, in *bufio.Reader, _ int) bool {
	if req := s.run(in); req != nil {
		answer(conn, req.Header.Get(upstream.HeaderRequestID))
	}
	_ = conn.Close()
	return false
}

func TestVerdictAgreesWithRuns(t *testing.T) {
	const notRun, mayHaveRun = verdict.NotRun, verdict.MayHaveRun
	big := bytes.Repeat([]byte("x"), 32<<20)
	rows := []struct {
		name    string
		serve   exchange
		body    []byte
		timeout time.Duration
		refusal []int
		// want are the verdicts that are true; runs is the wanted count.
		want []verdict.Verdict
		runs int
	}{
		{name: "reset before", serve: resetBefore, want: []verdict.Verdict{notRun, mayHaveRun}},
		{name: "reset during", serve: resetDuring, body: big, want: []verdict.Verdict{mayHaveRun}},
		{name: "reset after", serve: resetAfter, want: []verdict.Verdict{mayHaveRun}, runs: 1},
		{name: "deadline passed before connecting", serve: neverReads, timeout: time.Nanosecond, want: []verdict.Verdict{notRun}},
		{name: "timeout while sending", serve: neverReads, body: big, timeout: 200 * time.Millisecond, want: []verdict.Verdict{mayHaveRun}},
		{name: "timeout waiting", serve: neverAnswers, timeout: 200 * time.Millisecond, want: []verdict.Verdict{mayHaveRun}, runs: 1},
		{name: "503 declared", serve: unavailable(false), refusal: []int{503}, want: []verdict.Verdict{notRun}},
		{name: "503 not declared, run", serve: unavailable(true), refusal: []int{429}, runs: 1},
		{name: "another id", serve: otherID, want: []verdict.Verdict{mayHaveRun}, runs: 1},
		{name: "another id beats refusal", serve: otherID, refusal: []int{200}, want: []verdict.Verdict{mayHaveRun}, runs: 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := startRaw(t, row.serve)
			c := upstream.NewClient(upstream.ClientOptions{DialTimeout: time.Second, IdleConns: 4})
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), max(row.timeout, time.Nanosecond))
			if row.timeout == 0 {
				ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
			}
			defer cancel()
			body := row.body
			if body == nil {
				body = []byte(`{"a":1}`)
			}
			u := &service.Upstream{Name: "u", Address: s.Addr().String(), RefusalStatuses: row.refusal}
			res, err := c.Send(ctx, u, &upstream.Request{ID: "r", Method: http.MethodPost, Path: "/x", Body: body})
			if row.want == nil {
				require.NoError(t, err)
				require.Equal(t, 503, res.Status)
				require.NoError(t, res.Body.Close())
			} else {
				require.Error(t, err)
				require.Contains(t, row.want, verdict.Of(err))
			}
			require.Equal(t, row.runs, s.count("r"))
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	c := upstream.NewClient(upstream.ClientOptions{DialTimeout: time.Second, IdleConns: 4})
	_, err = c.Send(t.Context(), &service.Upstream{Name: "u", Address: l.Addr().String()}, &upstream.Request{ID: "r", Method: http.MethodPost, Path: "/"})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

func TestCutBodyIsAnError(t *testing.T) {
	for name, serve := range map[string]exchange{"reset": resetAfterHeaders, "timeout": stalls} {
		t.Run(name, func(t *testing.T) {
			s := startRaw(t, serve)
			c := upstream.NewClient(upstream.ClientOptions{DialTimeout: time.Second, IdleConns: 4})
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			res, err := c.Send(ctx, &service.Upstream{Name: "u", Address: s.Addr().String()}, &upstream.Request{ID: "r", Method: http.MethodPost, Path: "/"})
			require.NoError(t, err)
			_, err = io.ReadAll(res.Body)
			require.Error(t, err)
			require.NoError(t, res.Body.Close())
			require.Equal(t, 1, s.count("r"))
		})
	}
}

// The transport resends requests that it holds for idempotent when a reused
// connection breaks. None of these forms may be resent.
func TestReusedConnectionIsNotResent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
		for _, body := range []string{"", `{"a":1}`} {
			t.Run(method+body, func(t *testing.T) {
				s := startRaw(t, resetSecond)
				c := upstream.NewClient(upstream.ClientOptions{DialTimeout: time.Second, IdleConns: 4})
				defer c.Close()
				u := &service.Upstream{Name: "u", Address: s.Addr().String()}
				send := func(id string) error {
					res, err := c.Send(t.Context(), u, &upstream.Request{
						ID: id, Method: method, Path: "/", Body: []byte(body),
						Header: http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}},
					})
					if err != nil {
						return err
					}
					_, err = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
					return err
				}
				require.NoError(t, send("first"))
				err := send("second")
				require.Error(t, err)
				require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
				require.Equal(t, 1, s.count("second"))
			})
		}
	}
}

func TestIdleCloseRace(t *testing.T) {
	s := startRaw(t, closeIdle)
	c := upstream.NewClient(upstream.ClientOptions{DialTimeout: time.Second, IdleConns: 4})
	defer c.Close()
	u := &service.Upstream{Name: "u", Address: s.Addr().String()}
	for i := range 300 {
		id := fmt.Sprint(i)
		res, err := c.Send(t.Context(), u, &upstream.Request{
			ID: id, Method: http.MethodPost, Path: "/", Body: []byte("{}"), Header: http.Header{"Idempotency-Key": {id}},
		})
		if err != nil {
			require.True(t, verdict.Of(err) != verdict.NotRun || s.count(id) == 0)
			require.LessOrEqual(t, s.count(id), 1)
			continue
		}
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(t, err)
		_ = res.Body.Close()
		require.Equal(t, 1, s.count(id))
	}
}

func TestCancelRaceNeverLies(t *testing.T) {
	s := startRaw(t, func(s *rawServer, conn net.Conn, in *bufio.Reader, _ int) bool {
		req := s.run(in)
		return req != nil && answer(conn, req.Header.Get(upstream.HeaderRequestID))
	})
	c := upstream.NewClient(upstream.ClientOptions{DialTimeout: time.Second, IdleConns: 64})
	defer c.Close()
	u := &service.Upstream{Name: "u", Address: s.Addr().String()}
	var refused []string
	for i := range 400 {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(time.Duration(i) * time.Microsecond)
			cancel()
		}()
		id := fmt.Sprint(i)
		res, err := c.Send(ctx, u, &upstream.Request{ID: id, Method: http.MethodPost, Path: "/", Body: []byte("{}")})
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		} else if verdict.Of(err) == verdict.NotRun {
			refused = append(refused, id)
		}
		cancel()
	}
	time.Sleep(50 * time.Millisecond) // a late write would arrive now
	for _, id := range refused {
		require.Zero(t, s.count(id), id)
	}
}

func TestUpstreamsAreSpokenToOverHTTP1(t *testing.T) {
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto)
	}))
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetHTTP1(true)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	defer srv.Close()
	c := upstream.NewClient(upstream.ClientOptions{DialTimeout: time.Second, IdleConns: 4})
	defer c.Close()
	res, err := c.Send(t.Context(), &service.Upstream{Name: "u", Address: srv.Listener.Addr().String()}, &upstream.Request{ID: "r", Method: http.MethodGet, Path: "/"})
	require.NoError(t, err)
	proto, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, "HTTP/1.1", string(proto))
}

// Guards against answers that stay one request behind on a connection that brought an
// answer to another request.
func TestConnectionWithAStrayAnswerIsNotKept(t *testing.T) {
	s := startRaw(t, func(s *rawServer, conn net.Conn, in *bufio.Reader, n int) bool {
		req := s.run(in)
		if req == nil {
			return false
		}
		id := req.Header.Get(upstream.HeaderRequestID)
		if id == "first" {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: another\r\nContent-Length: 0\r\n\r\n", upstream.HeaderRequestID)
			return err == nil
		}
		if n > 0 {
			return answer(conn, "first") && answer(conn, id)
		}
		return answer(conn, id)
	})
	c := upstream.NewClient(upstream.ClientOptions{DialTimeout: time.Second, IdleConns: 4})
	defer c.Close()
	u := &service.Upstream{Name: "u", Address: s.Addr().String()}
	_, err := c.Send(t.Context(), u, &upstream.Request{ID: "first", Method: http.MethodPost, Path: "/"})
	require.ErrorContains(t, err, "answered another request")
	res, err := c.Send(t.Context(), u, &upstream.Request{ID: "second", Method: http.MethodPost, Path: "/"})
	require.NoError(t, err)
	require.Equal(t, "second", res.Header.Get(upstream.HeaderRequestID))
	require.NoError(t, res.Body.Close())
}

// Guards against an answer that an upstream sends again and that is taken for that to a later
// sending of the same request.
func TestRepeatedAnswerIsNotTakenForALaterOne(t *testing.T) {
	s := startRaw(t, func(s *rawServer, conn net.Conn, in *bufio.Reader, n int) bool {
		req := s.run(in)
		if req == nil {
			return false
		}
		refusal := fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: r\r\nContent-Length: 0\r\n\r\n", upstream.HeaderRequestID)
		if s.count("r") == 1 || n > 0 {
			_, err := io.WriteString(conn, refusal)
			return err == nil
		}
		return answer(conn, "r")
	})
	c := upstream.NewClient(upstream.ClientOptions{DialTimeout: time.Second, IdleConns: 4})
	defer c.Close()
	u := &service.Upstream{Name: "u", Address: s.Addr().String(), RefusalStatuses: []int{http.StatusServiceUnavailable}}
	r := &upstream.Request{ID: "r", Method: http.MethodPost, Path: "/"}
	_, err := c.Send(t.Context(), u, r)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	res, err := c.Send(t.Context(), u, r)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, 2, s.count("r"))
}
