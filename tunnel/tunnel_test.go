package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
)

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func newPaths() *Paths { return NewPaths(clockwork.NewRealClock(), discardLog(), func() {}) }

// listen serves each connection to an address of its own.
func listen(t *testing.T, serve func(c *net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// startServer starts a host that carries connections, and returns it with what stops it.
func startServer(t *testing.T, o ServerOptions) (*Server, context.CancelFunc) {
	if o.Paths == nil {
		o.Paths = newPaths()
	}
	if o.IsReplica == nil {
		o.IsReplica = func(string) bool { return true }
	}
	o.Log = discardLog()
	s, err := Listen("127.0.0.1:0", o)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return s, stop
}

func (s *Server) address() string { return s.listener.Addr().String() }

// openTo opens a tunnel through a server to a replica.
func openTo(t *testing.T, s *Server, address string) net.Conn {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c, err := newPaths().open(ctx, "carrier", s.address(), address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// The end of a replica's connection must be told from the end of the tunnel.
func TestOnlyAnOrderlyEndOfTheReplicaIsAnEnd(t *testing.T) {
	const part = "part of a response"
	rows := []struct {
		name string
		end  func(c *net.TCPConn, stop func())
		want error
	}{
		{"replica ends in order", func(c *net.TCPConn, _ func()) { _ = c.CloseWrite() }, nil},
		{"replica resets", func(c *net.TCPConn, _ func()) { _ = c.SetLinger(0); _ = c.Close() }, errReplicaReset},
		{"carrying host stops", func(_ *net.TCPConn, stop func()) { stop() }, errEndedEarly},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			end := make(chan func())
			address := listen(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, part)
				stop := <-end
				row.end(c, stop)
				_, _ = io.Copy(io.Discard, c)
			})
			s, stop := startServer(t, ServerOptions{})
			c := openTo(t, s, address)
			got := make([]byte, len(part))
			_, err := io.ReadFull(c, got)
			require.NoError(t, err)
			require.Equal(t, part, string(got))
			end <- stop
			rest, err := io.ReadAll(c)
			require.Empty(t, rest)
			if row.want == nil {
				require.NoError(t, err)
				return
			}
			require.True(t, errors.Is(err, row.want) || errors.Is(err, syscall.ECONNRESET), "error is %v", err)
		})
	}
}

// A response that a tunnel cuts must not look complete, however it shows its end.
func TestResponseThatATunnelCutsIsNotComplete(t *testing.T) {
	heads := map[pool.Framing]string{
		pool.FramingLength:  "Content-Length: 100\r\n\r\n0123456789",
		pool.FramingChunked: "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n",
		pool.FramingClose:   "\r\n0123456789",
	}
	for framing, head := range heads {
		for _, what := range []string{"carrying host stops", "replica resets", "connection to the carrying host ends"} {
			t.Run(string(framing)+", "+what, func(t *testing.T) {
				cut := make(chan struct{})
				address := listen(t, func(c *net.TCPConn) {
					_, _ = http.ReadRequest(bufio.NewReader(c))
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
					<-cut
					if what == "replica resets" {
						_ = c.SetLinger(0)
						return
					}
					_, _ = io.Copy(io.Discard, c)
				})
				s, stop := startServer(t, ServerOptions{})
				p := pool.New(func() {}, pool.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
					return newPaths().open(ctx, "carrier", s.address(), address)
				}))
				var seen pool.Connection
				ans, err := p.Send(t.Context(), pool.Exchange{Address: address, Request: request(""), Seen: &seen})
				require.NoError(t, err)
				require.Equal(t, pool.Connection{New: true, Via: "carrier"}, seen)
				defer ans.Close()
				require.Equal(t, framing, ans.Framing)
				buf := make([]byte, 10)
				_, err = io.ReadFull(ans.Body, buf)
				require.NoError(t, err)
				switch what {
				case "carrying host stops":
					stop()
				case "connection to the carrying host ends":
					s.mu.Lock()
					for c := range s.conns {
						_ = c.(*net.TCPConn).CloseWrite()
					}
					s.mu.Unlock()
				}
				close(cut)
				_, err = io.ReadAll(ans.Body)
				require.Error(t, err)
			})
		}
	}
}

func request(body string) *http.Request {
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Opaque: "/p"}, Host: "h", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}
}

// A response that comes before the whole request was read must arrive, and its reset must show.
func TestEarlyResponseArrivesThroughATunnel(t *testing.T) {
	for name, reply := range map[string]string{
		"length": "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\nConnection: close\r\n\r\nfull",
		"close":  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nfull",
	} {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(c *net.TCPConn) {
				_, _ = io.ReadFull(c, make([]byte, 1<<10))
				_, _ = io.WriteString(c, reply)
				time.Sleep(20 * time.Millisecond)
				// Closing a connection with unread data resets it.
			})
			s, _ := startServer(t, ServerOptions{})
			for range 20 {
				p := pool.New(func() {}, pool.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
					return newPaths().open(ctx, "carrier", s.address(), address)
				}))
				ans, err := p.Send(t.Context(), pool.Exchange{Address: address, Request: request(strings.Repeat("x", 4<<20)), FirstByte: 5 * time.Second})
				require.NoError(t, err)
				body, err := io.ReadAll(ans.Body)
				require.Equal(t, "full", string(body))
				require.Equal(t, name == "close", err != nil, "error is %v", err)
				ans.Close()
			}
		})
	}
}

// A replica answers a long upload at once with a success without a length, sends a part and
// resets the connection sooner or later. Through another host the part must not look whole.
func TestEarlyResponseThatIsResetIsNotCompleteThroughATunnel(t *testing.T) {
	const whole, early = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart"
	for _, size := range []int{900e3, 15e6} {
		for _, kept := range []bool{false, true} {
			for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 150 * time.Millisecond, 700 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d bytes, kept %t, reset after %v", size, kept, delay), func(t *testing.T) {
					t.Parallel()
					address := listen(t, func(c *net.TCPConn) {
						if kept {
							first, err := http.ReadRequest(bufio.NewReader(c))
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, first.Body)
							_, _ = io.WriteString(c, whole)
						}
						_, _ = io.ReadFull(c, make([]byte, 1<<10))
						_, _ = io.WriteString(c, early)
						time.Sleep(delay)
						_ = c.SetLinger(0)
					})
					s, _ := startServer(t, ServerOptions{})
					paths := newPaths()
					paths.lost(address, syscall.EHOSTUNREACH)
					paths.tunnelled(address)
					require.True(t, paths.IsLost(address))
					p := pool.New(func() {}, pool.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
						return paths.open(ctx, "carrier", s.address(), address)
					}))
					if kept {
						ans, err := p.Send(t.Context(), pool.Exchange{ID: "first", Address: address, Request: request("x"), FirstByte: 5 * time.Second})
						require.NoError(t, err)
						_, err = io.Copy(io.Discard, ans.Body)
						require.NoError(t, err)
						ans.Close()
					}
					ans, err := p.Send(t.Context(), pool.Exchange{ID: "second", Address: address, Request: request(strings.Repeat("x", size)), FirstByte: 5 * time.Second})
					if err != nil {
						return
					}
					defer ans.Close()
					require.Equal(t, kept, ans.Exchanges == 2)
					_, err = io.ReadAll(ans.Body)
					require.Error(t, err)
				})
			}
		}
	}
}

// Closing a tunnel must end the replica's work at once.
func TestCloseEndsTheConnectionToTheReplica(t *testing.T) {
	ended := make(chan struct{})
	address := listen(t, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
	})
	s, _ := startServer(t, ServerOptions{})
	c := openTo(t, s, address)
	_, err := io.WriteString(c, "request")
	require.NoError(t, err)
	go func() { time.Sleep(20 * time.Millisecond); _ = c.Close() }()
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, net.ErrClosed)
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the connection to the replica is still open")
	}
	require.Eventually(t, func() bool { return s.Active() == 0 }, time.Second, time.Millisecond)
}

// A replica must not send more than is read, whatever is on the way.
func TestReaderThatDoesNotReadHoldsTheReplicaUp(t *testing.T) {
	const limit, total = 32 << 20, 128 << 20
	var sent atomic.Int64
	address := listen(t, func(c *net.TCPConn) {
		block := make([]byte, 64<<10)
		for sent.Load() < total {
			n, err := c.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	s, _ := startServer(t, ServerOptions{})
	c := openTo(t, s, address)
	require.NoError(t, c.(*conn).SetReadBuffer(64<<10))
	var before int64 = -1
	require.Eventually(t, func() bool {
		now := sent.Load()
		stands := now == before
		before = now
		return stands
	}, 10*time.Second, 300*time.Millisecond)
	require.Less(t, sent.Load(), int64(limit))
	n, err := io.Copy(io.Discard, c)
	require.NoError(t, err)
	require.EqualValues(t, sent.Load(), n)
}

// A read that a deadline ends must lose nothing, wherever in a frame it ends.
func TestDeadlineWithinAFrameLosesNothing(t *testing.T) {
	var frames bytes.Buffer
	want := strings.Repeat("0123456789", 5)
	for _, piece := range []string{want[:1], want[1:30], want[30:]} {
		var head [frameHeadBytes]byte
		putFrameHead(head[:], frameData, len(piece))
		frames.Write(head[:])
		frames.WriteString(piece)
	}
	var head [frameHeadBytes]byte
	putFrameHead(head[:], frameEnd, 0)
	frames.Write(head[:])
	address := listen(t, func(c *net.TCPConn) {
		_, _ = readRequest(c)
		_, _ = c.Write([]byte{byte(statusConnected)})
		for _, b := range frames.Bytes() {
			time.Sleep(2 * time.Millisecond)
			_, _ = c.Write([]byte{b})
		}
		_, _ = io.Copy(io.Discard, c)
	})
	c, err := newPaths().open(t.Context(), "carrier", address, "10.0.0.1:1")
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	var got strings.Builder
	buf := make([]byte, 7)
	for {
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		n, err := c.Read(buf)
		got.Write(buf[:n])
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			require.True(t, isTimeout(err), "error is %v", err)
		}
	}
	require.Equal(t, want, got.String())
}

// Each row is a reason for which a host carries no connection.
func TestHostRefusesTunnels(t *testing.T) {
	accepting := listen(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := l.Addr().String()
	require.NoError(t, l.Close())
	cutOff := newPaths()
	cutOff.lost("10.0.0.1:1", errors.New("refused"))
	cutOff.tunnelled("10.0.0.1:1")
	require.True(t, cutOff.CutOff())
	rows := []struct {
		name    string
		options ServerOptions
		address string
		prepare func(s *Server)
		want    error
	}{
		{"replica is gone", ServerOptions{}, closed, nil, errUnreachable},
		{"no replica is known at the address", ServerOptions{IsReplica: func(address string) bool { return address == closed }}, accepting, nil, errUnknown},
		{"host is cut off too", ServerOptions{Paths: cutOff}, accepting, nil, errCutOff},
		{"host stops", ServerOptions{}, accepting, func(s *Server) { s.Leave() }, errLeaving},
		{"host carries as many as it may", ServerOptions{}, accepting, func(s *Server) { s.active.Store(maxTunnels) }, errBusy},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s, _ := startServer(t, row.options)
			if row.prepare != nil {
				row.prepare(s)
			}
			before := s.Active()
			_, err := newPaths().open(t.Context(), "carrier", s.address(), row.address)
			require.ErrorIs(t, err, row.want)
			require.Equal(t, before, s.Active())
		})
	}
}

// leavingPool returns a pool whose connections to an address go through a server, and counts them.
func leavingPool(s *Server, address string) (p *pool.Pool, dials *int) {
	dials = new(int)
	paths := NewPaths(clockwork.NewRealClock(), discardLog(), func() {
		p.DropIdle(func(_ string, c net.Conn) bool { return !IsReusable(c) })
	})
	p = pool.New(func() { *dials++ }, pool.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		return paths.open(ctx, "carrier", s.address(), address)
	}))
	paths.lost(address, errors.New("refused"))
	paths.tunnelled(address)
	return p, dials
}

// exchange makes an exchange and returns the body.
func exchange(t *testing.T, p *pool.Pool, address, id string) (string, error) {
	ans, err := p.Send(t.Context(), pool.Exchange{Address: address, ID: id, Request: request("body")})
	if err != nil {
		return "", err
	}
	defer ans.Close()
	body, err := io.ReadAll(ans.Body)
	require.NoError(t, err)
	return string(body), nil
}

// An idle connection through a host that stops must not be used, and must not hold the stop up.
func TestIdleConnectionThroughAStoppingHostIsNotUsed(t *testing.T) {
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
	t.Cleanup(replica.Close)
	s, _ := startServer(t, ServerOptions{})
	p, dials := leavingPool(s, replica.Listener.Addr().String())
	for i := range 3 {
		got, err := exchange(t, p, replica.Listener.Addr().String(), fmt.Sprint(i))
		require.NoError(t, err)
		require.Equal(t, "answer", got)
	}
	require.Equal(t, 1, *dials)
	require.Equal(t, 1, s.Active())
	s.Leave()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s.Wait(ctx)
	require.NoError(t, ctx.Err(), "the idle tunnel ends")
	_, err := exchange(t, p, replica.Listener.Addr().String(), "late")
	require.ErrorIs(t, err, errLeaving)
}

// A response in progress must be complete though the carrying host stops meanwhile, and its connection is not kept.
func TestResponseThroughAStoppingHostIsComplete(t *testing.T) {
	const before, after = "0123456789", "abcdefghij"
	parts := map[pool.Framing][2]string{
		pool.FramingLength:  {"Content-Length: 20\r\n\r\n" + before, after},
		pool.FramingChunked: {"Transfer-Encoding: chunked\r\n\r\na\r\n" + before + "\r\n", "a\r\n" + after + "\r\n0\r\n\r\n"},
		pool.FramingClose:   {"\r\n" + before, after},
	}
	for framing, of := range parts {
		t.Run(string(framing), func(t *testing.T) {
			goOn := make(chan struct{})
			address := listen(t, func(c *net.TCPConn) {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+of[0])
				<-goOn
				for _, b := range []byte(of[1]) {
					_, _ = c.Write([]byte{b})
					time.Sleep(time.Millisecond)
				}
				if framing != pool.FramingClose {
					_, _ = io.Copy(io.Discard, c)
				}
			})
			s, _ := startServer(t, ServerOptions{})
			p, _ := leavingPool(s, address)
			ans, err := p.Send(t.Context(), pool.Exchange{Address: address, ID: "id", Request: request("")})
			require.NoError(t, err)
			require.Equal(t, framing, ans.Framing)
			buf := make([]byte, len(before))
			_, err = io.ReadFull(ans.Body, buf)
			require.NoError(t, err)
			s.Leave()
			time.Sleep(20 * time.Millisecond)
			require.Equal(t, 1, s.Active(), "the response goes on")
			close(goOn)
			rest, err := io.ReadAll(ans.Body)
			require.NoError(t, err)
			require.Equal(t, before+after, string(buf)+string(rest))
			ans.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			s.Wait(ctx)
			require.NoError(t, ctx.Err(), "the connection is not kept")
		})
	}
}

// link is a host's link to the replicas, which a test can cut.
type link struct {
	mu      sync.Mutex
	refused bool
	silent  bool
	dials   int
}

func (l *link) set(refused, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused, l.silent = refused, silent
}

func (l *link) connect(ctx context.Context, address string) (net.Conn, error) {
	l.mu.Lock()
	refused, silent := l.refused, l.silent
	l.dials++
	l.mu.Unlock()
	if refused {
		return nil, errors.Wrap(syscall.ECONNREFUSED, "connect")
	}
	if silent {
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "connect")
	}
	return connectTCP(ctx, address)
}

// newDialer returns a dialer of host "a" whose link can be cut, and which may ask the
// given servers.
func newDialer(servers ...*Server) (*Dialer, *link) {
	l := &link{}
	paths := newPaths()
	paths.SetConnect(l.connect)
	return &Dialer{
		Paths: paths, Self: membership.Host{Name: "a", DataCentre: "dc"}, Clock: clockwork.NewRealClock(), Log: discardLog(),
		Hosts: func() []membership.Host {
			var hosts []membership.Host
			for i, s := range servers {
				hosts = append(hosts, membership.Host{Name: fmt.Sprint("b", i), DataCentre: "dc", TunnelAddress: s.address()})
			}
			return hosts
		},
	}, l
}

func echo(t *testing.T) string {
	return listen(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
}

func requireEcho(t *testing.T, c net.Conn) {
	_, err := io.WriteString(c, "hello")
	require.NoError(t, err)
	got := make([]byte, 5)
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, "hello", string(got))
	require.NoError(t, c.Close())
}

func TestDialerGoesThroughAnotherHostWhileThisOneIsCutOff(t *testing.T) {
	for name, silent := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			s, _ := startServer(t, ServerOptions{})
			d, l := newDialer(s)
			replicas := []string{echo(t), echo(t)}
			for _, address := range replicas {
				c, err := d.Dial(t.Context(), address)
				require.NoError(t, err)
				require.True(t, IsDirect(c))
				requireEcho(t, c)
			}
			l.set(!silent, silent)
			for _, address := range replicas {
				c, err := d.Dial(t.Context(), address)
				require.NoError(t, err)
				require.False(t, IsDirect(c))
				requireEcho(t, c)
			}
			require.Eventually(t, d.Paths.CutOff, time.Second, time.Millisecond)
			require.Equal(t, silent, d.Paths.Silent())
			l.mu.Lock()
			before := l.dials
			l.mu.Unlock()
			for range 10 {
				c, err := d.Dial(t.Context(), replicas[0])
				require.NoError(t, err)
				requireEcho(t, c)
			}
			require.Equal(t, before, l.dials, "connections go through the other host at once")
			l.set(false, false)
			d.Paths.probe(t.Context())
			require.False(t, d.Paths.CutOff())
			for _, address := range replicas {
				c, err := d.Dial(t.Context(), address)
				require.NoError(t, err)
				require.True(t, IsDirect(c))
				requireEcho(t, c)
			}
		})
	}
}

// A host that doesn't answer, and one that is cut off too, must not keep a request from a third.
func TestDialerAsksAnotherHost(t *testing.T) {
	silent := listen(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	refusing := newPaths()
	refusing.SetConnect((&link{refused: true}).connect)
	alsoCut, _ := startServer(t, ServerOptions{Paths: refusing})
	sound, _ := startServer(t, ServerOptions{})
	d, l := newDialer()
	d.Hosts = func() []membership.Host {
		return []membership.Host{
			{Name: "b", DataCentre: "dc", TunnelAddress: silent},
			{Name: "c", DataCentre: "dc", TunnelAddress: alsoCut.address()},
			{Name: "d", DataCentre: "dc", TunnelAddress: sound.address()},
		}
	}
	l.set(true, false)
	for range 20 {
		c, err := d.Dial(t.Context(), echo(t))
		require.NoError(t, err)
		require.Equal(t, "d", c.(*conn).Via())
		requireEcho(t, c)
	}
}

// Crashed replicas must neither make a host count as cut off nor be asked for through others all the time.
func TestCrashedReplicasDoNotCutAHostOff(t *testing.T) {
	s, _ := startServer(t, ServerOptions{})
	d, _ := newDialer(s)
	var gone []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		gone = append(gone, l.Addr().String())
		require.NoError(t, l.Close())
	}
	d.Metrics = nil
	asked := 0
	hosts := d.Hosts
	d.Hosts = func() []membership.Host { asked++; return hosts() }
	for range 10 {
		for _, address := range gone {
			_, err := d.Dial(t.Context(), address)
			require.Error(t, err)
		}
	}
	require.False(t, d.Paths.CutOff())
	require.Equal(t, len(gone), asked)
}

// The connection must be closed that comes after another one was taken.
func TestConnectionsThatAreNotTakenAreClosed(t *testing.T) {
	var connected, accepted atomic.Int64
	address := listen(t, func(c *net.TCPConn) {
		connected.Add(1)
		accepted.Add(1)
		defer connected.Add(-1)
		_, _ = io.Copy(c, c)
	})
	s, _ := startServer(t, ServerOptions{})
	d, _ := newDialer(s)
	taken, late := make(chan struct{}), make(chan struct{})
	d.Paths.SetConnect(func(ctx context.Context, address string) (net.Conn, error) {
		<-taken
		defer close(late)
		return connectTCP(context.WithoutCancel(ctx), address)
	})
	c, err := d.Dial(t.Context(), address)
	require.NoError(t, err)
	require.False(t, IsDirect(c))
	close(taken)
	<-late
	require.Eventually(t, func() bool { return accepted.Load() == 2 }, time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return connected.Load() == 1 }, time.Second, time.Millisecond)
	requireEcho(t, c)
	require.Eventually(t, func() bool { return connected.Load() == 0 }, time.Second, time.Millisecond)
}

// A host whose requests use kept connections only must find out that it is cut off, and one whose replicas work
// silently must not make connections all the time.
func TestCutIsFoundWhileNoConnectionIsMade(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "sound": false} {
		t.Run(name, func(t *testing.T) {
			s, _ := startServer(t, ServerOptions{})
			d, l := newDialer(s)
			d.Paths.SetDial(d.Dial)
			for range 2 {
				c, err := d.Dial(t.Context(), listen(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }))
				require.NoError(t, err)
				defer func() { _ = c.Close() }()
				_, err = io.WriteString(c, "request")
				require.NoError(t, err)
			}
			l.set(false, silent)
			go func() { _ = d.Paths.Serve(t.Context()) }()
			if silent {
				require.Eventually(t, d.Paths.CutOff, 3*time.Second, time.Millisecond)
				require.True(t, d.Paths.Silent())
				return
			}
			time.Sleep(3 * time.Second)
			require.False(t, d.Paths.CutOff())
			l.mu.Lock()
			defer l.mu.Unlock()
			require.LessOrEqual(t, l.dials, 2+2, "two checks")
		})
	}
}
