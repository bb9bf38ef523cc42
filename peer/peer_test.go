package peer_test

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	"github.com/comfreyspindle/comfreyspindle/peer"
	"github.com/comfreyspindle/comfreyspindle/peer/peertest"
)

// maxCalls is the maximum number of concurrent calls on one connection.
const maxCalls = 64

type Echo struct {
	running, maxRunning atomic.Int64
	started             chan struct{}
	release             chan struct{}
}

func (e *Echo) Say(text string, reply *string) error {
	*reply = text
	return nil
}

func (e *Echo) Panic(string, *string) error { panic("unexpected") }

func (e *Echo) Fail(string, *string) error { return errors.New("refused") }

func (e *Echo) Hold(text string, reply *string) error {
	n := e.running.Add(1)
	defer e.running.Add(-1)
	for m := e.maxRunning.Load(); n > m && !e.maxRunning.CompareAndSwap(m, n); m = e.maxRunning.Load() {
	}
	e.started <- struct{}{}
	<-e.release
	*reply = text
	return nil
}

func serve(t *testing.T, address string, conf *tls.Config) (*peer.Server, *Echo, context.CancelFunc) {
	s, err := peer.Listen(address, conf)
	require.NoError(t, err)
	e := &Echo{started: make(chan struct{}, 1000), release: make(chan struct{})}
	require.NoError(t, s.Register("Echo", e))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = s.Serve(ctx) }()
	return s, e, cancel
}

func newClient(t *testing.T, timeout time.Duration, conf *tls.Config, opts ...peer.Option) *peer.Client {
	c := peer.NewClient(timeout, conf, opts...)
	t.Cleanup(c.Close)
	return c
}

func TestCallReturnsReplyAndRemoteError(t *testing.T) {
	s, _, _ := serve(t, "127.0.0.1:0", nil)
	c := newClient(t, 5*time.Second, nil)
	var reply string
	require.NoError(t, c.Call(t.Context(), s.Address(), "Echo.Say", "a", &reply))
	require.Equal(t, "a", reply)
	err := c.Call(t.Context(), s.Address(), "Echo.Fail", "a", &reply)
	require.ErrorContains(t, err, "refused")
	require.False(t, errors.Is(err, peer.ErrUnreachable))
}

// Calls on the same connection are in progress before and after the one that panics.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	s, e, _ := serve(t, "127.0.0.1:0", nil)
	c := newClient(t, 5*time.Second, nil)
	var reply string
	held := make(chan error, 1)
	go func() {
		var reply string
		held <- c.Call(t.Context(), s.Address(), "Echo.Hold", "a", &reply)
	}()
	<-e.started
	for range 2 * maxCalls {
		err := c.Call(t.Context(), s.Address(), "Echo.Panic", "a", &reply)
		require.ErrorContains(t, err, "panicked")
		require.False(t, errors.Is(err, peer.ErrUnreachable), "it may have run")
	}
	require.NoError(t, c.Call(t.Context(), s.Address(), "Echo.Say", "b", &reply))
	require.Equal(t, "b", reply)
	close(e.release)
	require.NoError(t, <-held)
}

func TestMalformedCallsDoNotHarmOthers(t *testing.T) {
	s, _, _ := serve(t, "127.0.0.1:0", nil)
	c := newClient(t, 5*time.Second, nil)
	var reply string
	require.Error(t, c.Call(t.Context(), s.Address(), "Echo.Say", struct{ N int }{1}, &reply), "arguments of another type")
	require.Error(t, c.Call(t.Context(), s.Address(), "Echo.Missing", "a", &reply))
	require.Error(t, c.Call(t.Context(), s.Address(), "nothing", "a", &reply))
	for _, garbage := range []string{"\x00", "\xff\xff\xff\xff", "GET / HTTP/1.1\r\n\r\n"} {
		conn, err := net.Dial("tcp", s.Address())
		require.NoError(t, err)
		_, err = conn.Write([]byte(garbage))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	require.NoError(t, c.Call(t.Context(), s.Address(), "Echo.Say", "b", &reply))
	require.Equal(t, "b", reply)
}

func TestCallRejectsHostName(t *testing.T) {
	c := newClient(t, time.Second, nil)
	var reply string
	err := c.Call(t.Context(), "localhost:1", "Echo.Say", "a", &reply)
	errtest.Is(t, err, peer.ErrUnreachable)
	require.ErrorContains(t, err, "not an IP number")
}

func TestBrokenConnectionIsRedialled(t *testing.T) {
	s, _, stop := serve(t, "127.0.0.1:0", nil)
	c := newClient(t, 5*time.Second, nil)
	var reply string
	require.NoError(t, c.Call(t.Context(), s.Address(), "Echo.Say", "a", &reply))
	stop()
	require.Eventually(t, func() bool {
		return errors.Is(c.Call(t.Context(), s.Address(), "Echo.Say", "b", &reply), peer.ErrUnreachable)
	}, 10*time.Second, time.Millisecond)
	serve(t, s.Address(), nil)
	require.Eventually(t, func() bool {
		return c.Call(t.Context(), s.Address(), "Echo.Say", "c", &reply) == nil
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, "c", reply)
}

// A call whose connection breaks or is closed after the call was sent may have
// run, so its error must not be ErrUnreachable.
func TestSentCallIsNeverUnreachable(t *testing.T) {
	cases := []struct {
		name string
		end  func(c *peer.Client, address string, stop context.CancelFunc)
	}{
		{"peer stopped", func(_ *peer.Client, _ string, stop context.CancelFunc) { stop() }},
		{"own connection closed", func(c *peer.Client, _ string, _ context.CancelFunc) { c.Close() }},
		{"peer forgotten while it stops", func(c *peer.Client, address string, stop context.CancelFunc) {
			go stop()
			c.Forget(address)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, e, stop := serve(t, "127.0.0.1:0", nil)
			c := newClient(t, 20*time.Second, nil)
			ended := make(chan error, 1)
			go func() {
				var reply string
				ended <- c.Call(context.Background(), s.Address(), "Echo.Hold", "a", &reply)
			}()
			<-e.started
			tc.end(c, s.Address(), stop)
			err := <-ended
			require.Error(t, err)
			require.False(t, errors.Is(err, peer.ErrUnreachable), "%v", err)
			close(e.release)
		})
	}
}

func TestTimeoutClosesUnresponsiveConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	c := newClient(t, 50*time.Millisecond, nil)
	for range 2 {
		reply := "untouched"
		err := c.Call(t.Context(), l.Addr().String(), "Echo.Say", "a", &reply)
		errtest.Is(t, err, context.DeadlineExceeded)
		require.False(t, errors.Is(err, peer.ErrUnreachable))
		require.Equal(t, "untouched", reply)
		// The client reconnects for each call, as the one before got no reply.
		_ = (<-accepted).Close()
	}
}

func TestConcurrentCallsPerPeerAreBounded(t *testing.T) {
	s, e, _ := serve(t, "127.0.0.1:0", nil)
	c := newClient(t, 20*time.Second, nil)
	const calls = 200
	done := make(chan error, calls)
	for range calls {
		go func() {
			var reply string
			done <- c.Call(context.Background(), s.Address(), "Echo.Hold", "a", &reply)
		}()
	}
	for range 64 {
		<-e.started
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	var reply string
	errtest.Is(t, c.Call(ctx, s.Address(), "Echo.Say", "a", &reply), peer.ErrUnreachable)
	close(e.release)
	for range calls {
		require.NoError(t, <-done)
	}
	require.LessOrEqual(t, e.maxRunning.Load(), int64(64))
}

func testTLS(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}

func TestMutualTLS(t *testing.T) {
	conf := testTLS(t)
	s, _, _ := serve(t, "127.0.0.1:0", conf)
	var reply string
	require.NoError(t, newClient(t, 5*time.Second, conf).Call(t.Context(), s.Address(), "Echo.Say", "a", &reply))
	reply = ""
	require.Error(t, newClient(t, time.Second, nil).Call(t.Context(), s.Address(), "Echo.Say", "plain", &reply))
	anonymous := conf.Clone()
	anonymous.Certificates = nil
	require.Error(t, newClient(t, time.Second, anonymous).Call(t.Context(), s.Address(), "Echo.Say", "no certificate", &reply))
	require.Error(t, newClient(t, time.Second, testTLS(t)).Call(t.Context(), s.Address(), "Echo.Say", "other authority", &reply))
	require.Empty(t, reply)
	conn, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("plain text\n"))
	require.NoError(t, err)
	text, _ := bufio.NewReader(conn).ReadString('\n')
	require.NotContains(t, text, "plain")
}

func TestMetricsCountMessagesByMethod(t *testing.T) {
	s, _, _ := serve(t, "127.0.0.1:0", nil)
	reg := prometheus.NewRegistry()
	c := newClient(t, 5*time.Second, nil, peer.WithMetrics(peer.NewMetrics(reg)))
	var reply string
	for range 3 {
		require.NoError(t, c.Call(t.Context(), s.Address(), "Echo.Say", "a", &reply))
	}
	families, err := reg.Gather()
	require.NoError(t, err)
	sums := map[string]float64{}
	for _, f := range families {
		for _, m := range f.Metric {
			sums[f.GetName()] += m.GetCounter().GetValue()
		}
	}
	require.Equal(t, 6.0, sums["comfreyspindle_peer_calls_total"])
	require.Greater(t, sums["comfreyspindle_peer_bytes_total"], 6*20.0)
}

func TestFaultsMarkUnreachableOnlyBeforeRun(t *testing.T) {
	cases := []struct {
		name        string
		fault       func(f *peertest.Faults, a, b string)
		unreachable bool
	}{
		{"request cut", func(f *peertest.Faults, a, b string) { f.Cut(a, b) }, true},
		{"reply cut", func(f *peertest.Faults, a, b string) { f.Cut(b, a) }, false},
		{"both cut", func(f *peertest.Faults, a, b string) { f.CutBoth(a, b) }, true},
		{"peer frozen", func(f *peertest.Faults, _, b string) { f.Freeze(b) }, true},
		{"request delayed", func(f *peertest.Faults, a, b string) { f.Delay(a, b, time.Hour) }, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, _, _ := serve(t, "127.0.0.1:0", nil)
			f := peertest.NewFaults()
			c := f.Wrap("a", newClient(t, 5*time.Second, nil))
			var reply string
			require.NoError(t, c.Call(t.Context(), s.Address(), "Echo.Say", "a", &reply))
			tc.fault(f, "a", s.Address())
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
			defer cancel()
			err := c.Call(ctx, s.Address(), "Echo.Say", "a", &reply)
			require.Error(t, err)
			require.Equal(t, tc.unreachable, errors.Is(err, peer.ErrUnreachable))
			f.Heal()
			f.Thaw(s.Address())
			require.NoError(t, c.Call(t.Context(), s.Address(), "Echo.Say", "a", &reply))
		})
	}
}

// Guards against a connection to a removed peer that stays open, since a call was dialling
// when the peer was removed.
func TestForgetEndsAConnectionThatIsBeingMade(t *testing.T) {
	conf := testTLS(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	c := newClient(t, 5*time.Second, conf)
	result := make(chan error, 1)
	go func() {
		var reply string
		result <- c.Call(t.Context(), l.Addr().String(), "Echo.Say", "a", &reply)
	}()
	raw, err := l.Accept()
	require.NoError(t, err)
	c.Forget(l.Addr().String())
	conn := tls.Server(raw, conf)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(2*time.Second)))
	require.NoError(t, conn.Handshake())
	n, err := conn.Read(make([]byte, 1))
	require.Zero(t, n, "bytes of the call")
	errtest.Is(t, err, io.EOF)
	errtest.Is(t, <-result, peer.ErrUnreachable)
}
