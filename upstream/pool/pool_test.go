package pool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/internal/idset"
)

// script is what a stand-in does on one connection, request by request.
type script func(t *testing.T, c net.Conn, r *bufio.Reader)

// serve runs the scripts on connections in turn and counts the connections.
func serve(t *testing.T, scripts ...script) (address string, conns *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conns = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(conns.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				scripts[min(n, len(scripts))-1](t, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String(), conns
}

func request(id string) *http.Request {
	body := "body of " + id
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Opaque: "/p"}, Host: "h", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"X-Id": {id}}, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}
}

// read takes one request off a connection and returns its id.
func read(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("X-Id")
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// well answers every request.
func well(_ *testing.T, c net.Conn, r *bufio.Reader) {
	for id := read(r); id != ""; id = read(r) {
		_, _ = io.WriteString(c, answer(id, "of "+id))
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func exchange(p *Pool, address, id string) (string, error) {
	return exchangeWithin(p, address, id, 150*time.Millisecond)
}

func exchangeWithin(p *Pool, address, id string, timeout time.Duration) (string, error) {
	ans, err := p.Send(context.Background(), Exchange{
		Address: address, ID: id, Request: request(id), DialTimeout: time.Second, FirstByte: timeout, Gap: timeout,
		Mine: func(res *http.Response, _ int) bool { return res.Header.Get("X-Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer ans.Close()
	body, err := io.ReadAll(ans.Body)
	return string(body), err
}

func TestConnectionIsKept(t *testing.T) {
	address, conns := serve(t, well)
	p := New(func() {})
	for i := range 5 {
		id := fmt.Sprint(i)
		body, err := exchange(p, address, id)
		require.NoError(t, err)
		require.Equal(t, "of "+id, body)
	}
	require.EqualValues(t, 1, conns.Load())
}

// The text of a refusal that nobody reads must not cost a new connection; an answer that goes on must not be waited for.
func TestShortRestOfAnAnswerKeepsItsConnection(t *testing.T) {
	rows := []struct {
		name, response string
		kept           bool
	}{
		{"length", answer("a", "the reason"), true},
		{"chunked", "HTTP/1.1 503 Busy\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true},
		{"unfinished", "HTTP/1.1 503 Busy\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false},
		{"long", answer("a", strings.Repeat("x", maxRestBytes+1)), false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			address, conns := serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader) {
				read(r)
				_, _ = io.WriteString(c, row.response)
				well(t, c, r)
			}, well)
			p := New(func() {})
			ans, err := p.Send(t.Context(), Exchange{Address: address, ID: "a", Request: request("a"), DialTimeout: time.Second})
			require.NoError(t, err)
			time.Sleep(10 * time.Millisecond)
			ans.Close()
			body, err := exchange(p, address, "b")
			require.NoError(t, err)
			require.Equal(t, "of b", body)
			require.Equal(t, row.kept, conns.Load() == 1)
		})
	}
}

// The goroutine that waited for an answer may run on after the connection is idle again.
func TestEndOfAnEarlierWaitKeepsAnIdleConnection(t *testing.T) {
	earlier, present := make(chan error, 1), make(chan error, 1)
	raw, other := net.Pipe()
	defer func() { _ = other.Close() }()
	c := &conn{raw: raw, address: "a", arrived: present}
	p := New(func() {})
	p.idle["a"] = []*conn{c}
	p.lost(c, earlier)
	require.Len(t, p.idle["a"], 1)
	p.lost(c, present)
	require.Empty(t, p.idle["a"])
}

// An upstream is silent before its answer and again within it, each time for longer
// than the time-out. The exchange goes on as long as it isn't given up.
func TestSilentExchangeGoesOnUntilItIsGivenUp(t *testing.T) {
	const timeout = 30 * time.Millisecond
	pause := make(chan struct{})
	address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
		id := read(r)
		whole := answer(id, "of "+id)
		<-pause
		_, _ = io.WriteString(c, whole[:len(whole)-1])
		<-pause
		_, _ = io.WriteString(c, whole[len(whole)-1:])
	})
	asked := 0
	ans, err := New(func() {}).Send(t.Context(), Exchange{
		Address: address, Request: request("a"), DialTimeout: time.Second, FirstByte: timeout, Gap: timeout,
		GiveUp: func() bool {
			asked++
			pause <- struct{}{}
			return false
		},
	})
	require.NoError(t, err)
	defer ans.Close()
	body, err := io.ReadAll(ans.Body)
	require.NoError(t, err)
	require.Equal(t, "of a", string(body))
	require.Equal(t, 2, asked)
}

// An answer that is closed before its end must not be asked whether to give it up: that takes a slot for another attempt.
func TestClosingAnAnswerDoesNotAskToGiveUp(t *testing.T) {
	for _, framing := range []string{"Content-Length: 10\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"} {
		address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+read(r)+"\r\n"+framing)
			_, _ = r.ReadByte()
		})
		asked := 0
		ans, err := New(func() {}).Send(t.Context(), Exchange{
			Address: address, Request: request("a"), DialTimeout: time.Second, FirstByte: time.Second, Gap: time.Second,
			GiveUp: func() bool { asked++; return asked == 10 },
		})
		require.NoError(t, err)
		_, err = io.ReadFull(ans.Body, make([]byte, 3))
		require.NoError(t, err)
		ans.Close()
		require.Zero(t, asked)
	}
}

// What the kernel has received must keep a connection from use before the goroutine that waits for it has run.
func TestConnectionWithUnreadDataIsNotTaken(t *testing.T) {
	rows := map[string]func(net.Conn){
		"data":  func(c net.Conn) { _, _ = io.WriteString(c, "x") },
		"end":   func(c net.Conn) { _ = c.Close() },
		"reset": reset,
		"":      func(net.Conn) {},
	}
	for name, send := range rows {
		t.Run(name, func(t *testing.T) {
			dialed := make(chan struct{})
			address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
				<-dialed
				send(c)
				_, _ = r.ReadByte()
			})
			c, err := New(func() {}).dial(t.Context(), address, time.Second)
			require.NoError(t, err)
			close(dialed)
			defer func() { _ = c.raw.Close() }()
			c.arrived, c.expires = make(chan error, 1), time.Now().Add(time.Minute)
			p := New(func() {})
			time.Sleep(20 * time.Millisecond)
			p.idle[address] = []*conn{c}
			require.Equal(t, name == "", p.take(Exchange{Address: address}) == c)
			require.Empty(t, p.idle)
		})
	}
}

// An answer that the kernel has received must not be given up because the goroutine that reads it has not run.
func TestAnswerThatHasArrivedIsNotSilence(t *testing.T) {
	address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, "H")
		_, _ = r.ReadByte()
	})
	c, err := New(func() {}).dial(t.Context(), address, time.Second)
	require.NoError(t, err)
	defer func() { _ = c.raw.Close() }()
	c.arrived = make(chan error, 1)
	time.Sleep(20 * time.Millisecond)
	time.AfterFunc(5*recheck, func() { c.arrived <- nil })
	require.NoError(t, c.first(time.Millisecond))
}

// Each row is a way in which an exchange fails, with what must be known of it.
func TestFailures(t *testing.T) {
	rows := []struct {
		name   string
		script script
		marks  []error
		// sent says that the request may have reached the upstream.
		sent bool
	}{
		{"closed without an answer", func(_ *testing.T, _ net.Conn, r *bufio.Reader) { read(r) }, []error{ErrBroken}, true},
		{"reset without an answer", func(_ *testing.T, c net.Conn, r *bufio.Reader) { read(r); reset(c) }, []error{ErrBroken}, true},
		{"silent", func(_ *testing.T, _ net.Conn, r *bufio.Reader) { read(r); _, _ = r.ReadByte() }, []error{ErrSilent}, true},
		{"no answer in the protocol", func(_ *testing.T, c net.Conn, r *bufio.Reader) {
			read(r)
			_, _ = io.WriteString(c, "\x00\x01 nonsense\r\n\r\n")
		}, []error{ErrBroken}, true},
		{"answers of others only", func(_ *testing.T, c net.Conn, r *bufio.Reader) {
			read(r)
			_, _ = io.WriteString(c, strings.Repeat(answer("other", "x"), maxStrays+1))
			_, _ = r.ReadByte()
		}, []error{ErrBroken}, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			address, _ := serve(t, row.script)
			_, err := exchange(New(func() {}), address, "a")
			require.Error(t, err)
			for _, mark := range row.marks {
				require.True(t, errors.Is(err, mark), "%v", err)
			}
			require.Equal(t, !row.sent, errors.Is(err, ErrNotSent), "%v", err)
		})
	}
}

func TestRefusedConnectionMeansNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = exchange(New(func() {}), address, "a")
	require.True(t, errors.Is(err, ErrConnect) && errors.Is(err, ErrNotSent), "%v", err)
}

func TestBrokenBodies(t *testing.T) {
	rows := []struct {
		name, answer string
		reset        bool
		whole        bool
	}{
		{"short of its length", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nabc", false, false},
		{"chunks without their end", "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false, false},
		{"no length, closed", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nabc", false, true},
		{"no length, reset", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nabc", true, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
				read(r)
				_, _ = io.WriteString(c, row.answer)
				if row.reset {
					time.Sleep(20 * time.Millisecond)
					reset(c)
				}
			})
			_, err := exchange(New(func() {}), address, "a")
			require.Equal(t, row.whole, err == nil, "%v", err)
		})
	}
}

func TestBodyThatFallsSilent(t *testing.T) {
	address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
		read(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nabc")
		_, _ = r.ReadByte()
	})
	_, err := exchange(New(func() {}), address, "a")
	require.True(t, errors.Is(err, ErrSilent), "%v", err)
}

// A second answer to an earlier request arrives where the next one is due.
func TestLateAnswerToAnotherRequestIsSkipped(t *testing.T) {
	address, conns := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
		first := read(r)
		_, _ = io.WriteString(c, answer(first, "of "+first))
		second := read(r)
		_, _ = io.WriteString(c, answer(first, "again")+answer(second, "of "+second))
		_, _ = r.ReadByte()
	})
	p := New(func() {})
	body, err := exchange(p, address, "a")
	require.NoError(t, err)
	require.Equal(t, "of a", body)
	body, err = exchange(p, address, "b")
	require.NoError(t, err)
	require.Equal(t, "of b", body)
	require.EqualValues(t, 1, conns.Load())
}

// An upstream that writes its answer to a request again must not be taken to answer the request when it is sent again.
func TestRepeatedAnswerIsNotTakenForTheSameRequestSentAgain(t *testing.T) {
	address, conns := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
		for last, id := "", read(r); id != ""; last, id = answer(id, "first run of "+id), read(r) {
			_, _ = io.WriteString(c, last+answer(id, "first run of "+id))
		}
	}, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
		id := read(r)
		_, _ = io.WriteString(c, answer(id, "second run of "+id))
		_, _ = r.ReadByte()
	})
	p := New(func() {})
	for _, id := range []string{"a", "b"} {
		body, err := exchange(p, address, id)
		require.NoError(t, err)
		require.Equal(t, "first run of "+id, body)
	}
	body, err := exchange(p, address, "a")
	require.NoError(t, err)
	require.Equal(t, "second run of a", body)
	require.EqualValues(t, 2, conns.Load())
}

// The bound of the wait after a stray answer must not cut off the body of the answer that follows it.
func TestBodyAfterAStrayAnswerMayTakeLongerThanTheFirstByte(t *testing.T) {
	const timeout = 50 * time.Millisecond
	address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
		whole := answer(read(r), "complete")
		_, _ = io.WriteString(c, answer("stray", "x"))
		time.Sleep(timeout / 2)
		_, _ = io.WriteString(c, whole[:len(whole)-1])
		time.Sleep(2 * timeout)
		_, _ = io.WriteString(c, whole[len(whole)-1:])
		_, _ = r.ReadByte()
	})
	ans, err := New(func() {}).Send(t.Context(), Exchange{
		Address: address, Request: request("a"), DialTimeout: time.Second, FirstByte: timeout,
		Mine: func(res *http.Response, _ int) bool { return res.Header.Get("X-Id") == "a" },
	})
	require.NoError(t, err)
	defer ans.Close()
	body, err := io.ReadAll(ans.Body)
	require.NoError(t, err)
	require.Equal(t, "complete", string(body))
}

// A run that is slower than the bound must not be broken off because of a stray answer before its own.
func TestSilenceAfterAStrayAnswerGoesOnUntilItIsGivenUp(t *testing.T) {
	const timeout = 30 * time.Millisecond
	for _, stray := range []string{answer("stray", "x"), "HTTP/1.1 102 Processing\r\n\r\n"} {
		resume := make(chan struct{})
		address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
			id := read(r)
			_, _ = io.WriteString(c, stray)
			<-resume
			_, _ = io.WriteString(c, answer(id, "of "+id))
		})
		ans, err := New(func() {}).Send(t.Context(), Exchange{
			Address: address, Request: request("a"), DialTimeout: time.Second, FirstByte: timeout,
			GiveUp: func() bool { resume <- struct{}{}; return false },
			Mine:   func(res *http.Response, _ int) bool { return res.Header.Get("X-Id") == "a" },
		})
		require.NoError(t, err)
		body, err := io.ReadAll(ans.Body)
		require.NoError(t, err)
		require.Equal(t, "of a", string(body))
		ans.Close()
	}
}

// The beginning of an extra head must not run together with the head of the answer that follows it.
func TestCutHeadBeforeAnAnswerIsNotReadAsPartOfIt(t *testing.T) {
	const extra = "HTTP/1.1 503 Busy Now\r\nServer: x y\r\nX-Refused: 1\r\nX-Id: a\r\nContent-Length: 0\r\nX-More: yes\r\n\r\n"
	p, cut := New(func() {}), make(chan int, 1)
	address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
		id := read(r)
		_, _ = io.WriteString(c, answer(id, "of "+id))
		if id = read(r); id != "" {
			_, _ = io.WriteString(c, extra[:<-cut]+answer(id, "of "+id))
		}
		_, _ = r.ReadByte()
	})
	mine := func(id string) func(*http.Response, int) bool {
		return func(res *http.Response, _ int) bool { return res.Header.Get("X-Id") == id }
	}
	for n := range len(extra) + 1 {
		_, err := exchangeWithin(p, address, fmt.Sprint("before ", n), time.Second)
		require.NoError(t, err)
		cut <- n
		id := fmt.Sprint("after ", n)
		ans, err := p.Send(t.Context(), Exchange{Address: address, ID: id, Request: request(id), FirstByte: 20 * time.Millisecond, Mine: mine(id)})
		if err != nil {
			require.False(t, errors.Is(err, ErrNotSent))
			continue
		}
		require.Equal(t, http.StatusOK, ans.Status, "%q", extra[:n])
		require.Empty(t, ans.Header.Get("X-Refused"), "%q", extra[:n])
		_ = ans.conn.raw.Close()
	}
}

// Interim responses must not use up the number of stray answers after which an exchange fails.
func TestAnswerAfterInterimResponsesAndStraysIsRead(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nX-Id: a\r\nLink: </x>\r\n\r\n"
	for name, before := range map[string]string{
		"interim responses": strings.Repeat(interim, maxInterim),
		"strays":            strings.Repeat(answer("stray", "x"), maxStrays),
		"both":              strings.Repeat(interim+answer("stray", "x"), maxStrays) + interim,
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
				_, _ = io.WriteString(c, before+answer(read(r), "mine"))
				_, _ = r.ReadByte()
			})
			body, err := exchange(New(func() {}), address, "a")
			require.NoError(t, err)
			require.Equal(t, "mine", body)
		})
	}
}

// An upstream in trouble answers with a status that is none of HTTP. One below 100 was taken
// for an interim response on a kept connection, so that the request waited for its deadline.
func TestStatusThatIsNoneOfHTTPFailsTheExchangeAtOnce(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+12", "600", "999"} {
		for _, framing := range []string{"Content-Length: 4\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", "\r\npart"} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %.10q, kept %t", status, framing, kept), func(t *testing.T) {
					t.Parallel()
					address, conns := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
						if kept {
							_, _ = io.WriteString(c, answer(read(r), "before"))
						}
						_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 %s Trouble\r\nX-Id: %s\r\n%s", status, read(r), framing))
						_, _ = r.ReadByte()
					})
					p := New(func() {})
					if kept {
						_, err := exchange(p, address, "before")
						require.NoError(t, err)
					}
					began := time.Now()
					_, err := exchangeWithin(p, address, "a", 20*time.Second)
					require.True(t, errors.Is(err, ErrBroken), "%v", err)
					require.False(t, errors.Is(err, ErrNotSent))
					require.Less(t, time.Since(began), 10*time.Second)
					require.EqualValues(t, 1, conns.Load())
					require.Empty(t, p.idle)
				})
			}
		}
	}
}

// A body without a length ends with its connection, also if the upstream's process is killed.
// Whether that still runs is asked once for such a body, and not for others.
func TestOrderlyEndOfAnUpstreamThatIsGoneIsNoEndOfABody(t *testing.T) {
	for name, row := range map[string]struct {
		framing string
		gone    bool
		asked   int
	}{
		"close-delimited, gone":  {"\r\nbody", true, 1},
		"close-delimited, alive": {"\r\nbody", false, 1},
		"length, gone":           {"Content-Length: 4\r\n\r\nbody", true, 0},
		"chunked, gone":          {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s", read(r), row.framing)
			})
			asked := 0
			ans, err := New(func() {}).Send(t.Context(), Exchange{
				Address: address, ID: "a", Request: request("a"), FirstByte: time.Second, Gap: time.Second,
				Alive: func() error {
					if asked++; row.gone {
						return errors.New("refused")
					}
					return nil
				},
			})
			require.NoError(t, err)
			defer ans.Close()
			body, err := io.ReadAll(ans.Body)
			require.Equal(t, "body", string(body))
			broken := row.gone && row.asked > 0
			require.Equal(t, broken, errors.Is(err, ErrBroken), "%v", err)
			_, again := ans.Body.Read(make([]byte, 1))
			require.Equal(t, broken, errors.Is(again, ErrBroken), "%v", again)
			require.Equal(t, row.asked, asked)
		})
	}
}

// What follows a change of protocol is no answer, even if it looks like one.
func TestUnaskedChangeOfProtocolEndsTheExchange(t *testing.T) {
	address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"+answer(read(r), "x"))
		_, _ = r.ReadByte()
	})
	_, err := exchange(New(func() {}), address, "a")
	require.True(t, errors.Is(err, ErrBroken), "%v", err)
	require.False(t, errors.Is(err, ErrNotSent))
}

// A refusal that comes before the whole request was read must not be lost when the rest of the request can't be written.
func TestEarlyAnswerIsReadWhenTheRequestCannotBeWritten(t *testing.T) {
	const size = 4 << 20
	refuse := func(_ *testing.T, c net.Conn, _ *bufio.Reader) {
		_, _ = io.ReadFull(c, make([]byte, 1<<10))
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Id: a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		// Closing a connection with unread data resets it.
	}
	address, _ := serve(t, refuse)
	for range 300 {
		req := request("a")
		req.Body, req.ContentLength = io.NopCloser(io.LimitReader(zeros{}, size)), size
		ans, err := New(func() {}).Send(t.Context(), Exchange{Address: address, ID: "a", Request: req, FirstByte: time.Second})
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, ans.Status)
		ans.Close()
	}
}

// What follows on a connection after an answer to another request, or after one to HEAD, must not reach another request.
func TestConnectionThatCannotBeTrustedIsNotKept(t *testing.T) {
	rows := []struct{ name, method, before, response string }{
		{"stray answer", http.MethodPost, answer("stray", "x"), answer("a", "mine")},
		{"answer to HEAD", http.MethodHead, "", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n\r\n"},
		{"stray answer with a body before one to HEAD", http.MethodHead, answer("stray", "x"), "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n\r\n"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			address, conns := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
				read(r)
				_, _ = io.WriteString(c, row.before+row.response)
				if id := read(r); id != "" {
					_, _ = io.WriteString(c, row.response+answer(id, "after "+id))
				}
			}, well)
			req := request("a")
			req.Method = row.method
			p := New(func() {})
			ans, err := p.Send(t.Context(), Exchange{
				Address: address, ID: "a", Request: req, DialTimeout: time.Second, FirstByte: time.Second,
				Mine: func(res *http.Response, _ int) bool { return res.Header.Get("X-Id") == "a" },
			})
			require.NoError(t, err)
			require.EqualValues(t, 4, ans.Length)
			body, err := io.ReadAll(ans.Body)
			require.NoError(t, err)
			require.Equal(t, row.method == http.MethodHead, len(body) == 0)
			ans.Close()
			text, err := exchange(p, address, "b")
			require.NoError(t, err)
			require.Equal(t, "of b", text)
			require.EqualValues(t, 2, conns.Load())
		})
	}
}

func TestIdleConnectionThatCarriedTheRequestStaysIdle(t *testing.T) {
	address, conns := serve(t, well)
	p := New(func() {})
	for _, id := range []string{"a", "a", "b", "c"} {
		body, err := exchange(p, address, id)
		require.NoError(t, err)
		require.Equal(t, "of "+id, body)
	}
	require.EqualValues(t, 2, conns.Load())
	require.Len(t, p.idle[address], 2)
}

// The memory for the requests that a connection has carried must not grow without bound.
func TestConnectionIsReplacedAfterItsLastExchange(t *testing.T) {
	address, conns := serve(t, well)
	p := New(func() {})
	for i := range idset.Max + 1 {
		_, err := exchangeWithin(p, address, fmt.Sprint(i), 10*time.Second)
		require.NoError(t, err)
		require.LessOrEqual(t, int(conns.Load()), 1+i/idset.Max)
	}
	require.EqualValues(t, 2, conns.Load())
}

// An idle connection that the upstream closes, or on which something arrives
// unasked, isn't used again.
func TestIdleConnectionIsDropped(t *testing.T) {
	for name, after := range map[string]func(net.Conn){
		"closed":  func(c net.Conn) { _ = c.Close() },
		"unasked": func(c net.Conn) { _, _ = io.WriteString(c, answer("a", "again")) },
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			address, conns := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
				id := read(r)
				_, _ = io.WriteString(c, answer(id, "of "+id))
				<-done
				after(c)
				_, _ = r.ReadByte()
			}, well)
			p := New(func() {})
			_, err := exchange(p, address, "a")
			require.NoError(t, err)
			close(done)
			require.Eventually(t, func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return len(p.idle[address]) == 0
			}, time.Second, time.Millisecond)
			body, err := exchange(p, address, "b")
			require.NoError(t, err)
			require.Equal(t, "of b", body)
			require.EqualValues(t, 2, conns.Load())
		})
	}
}

// The caller's leaving ends the exchange, and with it the upstream's work.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := serve(t, func(_ *testing.T, _ net.Conn, r *bufio.Reader) {
		read(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := New(func() {}).Send(ctx, Exchange{Address: address, Request: request("a"), DialTimeout: time.Second})
	require.Error(t, err)
	<-closed
}

func TestIdleTime(t *testing.T) {
	require.Equal(t, defaultIdle, idleTime(http.Header{}))
	require.Equal(t, 5*time.Second-idleMargin, idleTime(http.Header{"Keep-Alive": {"timeout=5, max=100"}}))
}

// endless writes its first text once and the second one until the connection closes.
func endless(first, again string) script {
	return func(_ *testing.T, c net.Conn, r *bufio.Reader) {
		read(r)
		_, err := io.WriteString(c, first)
		block := strings.Repeat(again, 1+4096/len(again))
		for err == nil {
			_, err = io.WriteString(c, block)
		}
	}
}

func TestEndlessBytesEndTheExchange(t *testing.T) {
	rows := []struct {
		name  string
		reply script
	}{
		{"no answer at all", endless("", "x")},
		{"lines that are no answer", endless("", "x\n")},
		{"status line", endless("HTTP/1.1 200 ", "x")},
		{"header line", endless("HTTP/1.1 200 OK\r\nX-Id: ", "a")},
		{"header lines", endless("HTTP/1.1 200 OK\r\n", "X-Id: a\r\n")},
		{"informational answers", endless("", "HTTP/1.1 102 Processing\r\n\r\n")},
		{"answer to another request", endless("HTTP/1.1 200 OK\r\nX-Id: b\r\n\r\n", "x")},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			address, _ := serve(t, row.reply)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := New(func() {}).Send(ctx, Exchange{
				Address: address, Request: request("a"), DialTimeout: time.Second,
				Mine: func(res *http.Response, _ int) bool { return res.Header.Get("X-Id") == "a" },
			})
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "ended by the bound, not by the deadline")
		})
	}
}

func TestHeadThatNeverEndsIsGivenUp(t *testing.T) {
	address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
		read(r)
		for _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "); err == nil; _, err = io.WriteString(c, "a") {
			time.Sleep(10 * time.Millisecond)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := New(func() {}).Send(ctx, Exchange{Address: address, Request: request("a"), DialTimeout: time.Second, HeadTimeout: 100 * time.Millisecond})
	require.True(t, errors.Is(err, ErrBroken), "%v", err)
	require.NoError(t, ctx.Err())
}

func TestFraming(t *testing.T) {
	rows := map[Framing]string{
		FramingLength:  "Content-Length: 2\r\n\r\nxy",
		FramingChunked: "Transfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n",
		FramingClose:   "\r\nxy",
	}
	for framing, response := range rows {
		t.Run(string(framing), func(t *testing.T) {
			address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+read(r)+"\r\n"+response)
			})
			ans, err := New(func() {}).Send(t.Context(), Exchange{Address: address, Request: request("a"), DialTimeout: time.Second})
			require.NoError(t, err)
			defer ans.Close()
			require.Equal(t, framing, ans.Framing)
		})
	}
}

// A replica that doesn't read a request must not hold its sender for long.
func TestUpstreamThatDoesNotReadTheRequestEndsTheExchange(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	address, _ := serve(t, func(_ *testing.T, c net.Conn, _ *bufio.Reader) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		<-done
	})
	const size = 16 << 20
	req := request("a")
	req.Body, req.ContentLength = io.NopCloser(io.LimitReader(zeros{}, size)), size
	began := time.Now()
	_, err := New(func() {}).Send(t.Context(), Exchange{Address: address, Request: req, FirstByte: 100 * time.Millisecond})
	require.Error(t, err)
	require.False(t, errors.Is(err, ErrNotSent), "part of it was sent")
	require.Less(t, time.Since(began), 2*writeTimeout)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }
