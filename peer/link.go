package peer

import (
	"context"
	"net/rpc"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Judgement of silent connections.
const (
	// silenceTimeout is how long a connection may be silent while a reply is due. Twice the
	// time that it took to open is added. A peer whose share of a core is used up is silent
	// for less than a tenth of a second.
	silenceTimeout = 100 * time.Millisecond
	// minReplaceInterval is the least time between two connections that replace silent ones.
	// It doubles, up to maxReplaceInterval, when the peer turns out to have been late.
	minReplaceInterval = time.Second
	maxReplaceInterval = 8 * time.Second
	// minRetireInterval is the least time between a replacement and the next one after a call
	// whose time is up.
	minRetireInterval = 250 * time.Millisecond
	// maxIdle is how long a connection may have been unused and is still used. It is less
	// than the time after which servers close idle connections.
	maxIdle = serverIdleTimeout / 2
)

// link holds the connections to one peer: the one that new calls use, and those that were
// retired and have calls in progress.
type link struct {
	client  *Client
	address string
	// dialing is a mutex that a waiting call can abandon: one call at a time dials.
	dialing chan struct{}

	mu sync.Mutex
	// current is nil until a call has connected, and after the connection broke.
	current *clientConn
	open    map[*clientConn]struct{}
	// replaced is not nil while a new connection is dialled in place of current. It is
	// closed when that has ended.
	replaced chan struct{}
	// unopened means that the last replacement could not be opened.
	unopened bool
	// interval is the least time after replacedAt until the next replacement.
	interval   time.Duration
	replacedAt time.Duration
	// forgotten means that the peer was removed while a call may have been dialling.
	forgotten bool
}

// clientConn is one connection to a peer.
type clientConn struct {
	rpc   *rpc.Client
	codec *clientCodec
	// silenceTimeout is how long the connection may be silent while a reply is due.
	silenceTimeout time.Duration
	// inFlight is a semaphore that bounds the concurrent calls on the connection.
	inFlight chan struct{}
	// retired is closed when new calls no longer use the connection.
	retired chan struct{}
	// doubtedAt is when the connection was found silent, or 0. It is guarded by link.mu, as
	// are calls, the number of calls in progress, usedAt, when the last of them began or
	// ended, and isRetired.
	doubtedAt time.Duration
	calls     int
	usedAt    time.Duration
	isRetired bool
}

func newLink(c *Client, address string) *link {
	return &link{
		client: c, address: address, dialing: make(chan struct{}, 1), open: make(map[*clientConn]struct{}),
		interval: minReplaceInterval, replacedAt: -maxReplaceInterval,
	}
}

// acquire returns a connection on which a call may begin; release ends the call.
func (l *link) acquire(ctx context.Context) (*clientConn, error) {
	for {
		conn, err := l.connect(ctx)
		if err != nil {
			return nil, err
		}
		select {
		case conn.inFlight <- struct{}{}:
			if l.begin(conn) {
				return conn, nil
			}
			<-conn.inFlight
		case <-conn.retired:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// begin records that a call begins on a connection, unless that is retired.
func (l *link) begin(conn *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn.isRetired {
		return false
	}
	conn.calls++
	conn.usedAt = sinceStart()
	return true
}

// release records that a call on a connection has ended.
func (l *link) release(conn *clientConn) {
	<-conn.inFlight
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.calls--
	conn.usedAt = sinceStart()
	l.closeIfUnused(conn)
}

// connect returns the connection for new calls, or dials one. Concurrent calls wait for the
// one that dials and share its connection.
func (l *link) connect(ctx context.Context) (*clientConn, error) {
	if conn := l.usable(ctx); conn != nil {
		return conn, nil
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if conn := l.usable(ctx); conn != nil {
		return conn, nil
	}
	return l.dial(ctx)
}

// usable returns the connection for new calls, if there is one that has been used lately. If
// it is being replaced, usable waits for that for a while.
func (l *link) usable(ctx context.Context) *clientConn {
	l.mu.Lock()
	replaced := l.replaced
	if conn := l.current; conn != nil && conn.calls == 0 && sinceStart()-conn.usedAt > maxIdle {
		l.retire(conn)
	}
	conn := l.current
	l.mu.Unlock()
	if conn == nil || replaced == nil {
		return conn
	}
	timer := time.NewTimer(conn.silenceTimeout)
	defer timer.Stop()
	select {
	case <-replaced:
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// dial opens a connection and makes it that of new calls.
func (l *link) dial(ctx context.Context) (*clientConn, error) {
	started := sinceStart()
	raw, err := l.client.dial(ctx, l.address)
	if err != nil {
		return nil, err
	}
	codec := newClientCodec(raw, l.client.metrics, l.client.stamps)
	opening := codec.conn.openedAt - started
	conn := &clientConn{
		rpc: rpc.NewClientWithCodec(codec), codec: codec, silenceTimeout: min(silenceTimeout+2*opening, l.client.timeout/2),
		inFlight: make(chan struct{}, maxCalls), retired: make(chan struct{}), usedAt: codec.conn.openedAt,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.forgotten {
		l.close(conn)
		return nil, errForgotten
	}
	if l.current != nil {
		l.retire(l.current)
	}
	l.current, l.unopened = conn, false
	l.open[conn] = struct{}{}
	return conn, nil
}

// silence returns the connection for new calls, if there is one, and how long nothing has
// arrived on it although replies are due.
func (l *link) silence(now time.Duration) (*clientConn, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return nil, 0
	}
	return l.current, now - l.current.codec.conn.quietSince(now)
}

// doubt reports a connection that has been silent for a time although a reply is due. It is
// replaced as soon as another one is open. After half of the client's timeout new calls no
// longer use it even if there is no other. If expired is set, the time of a call is up, so that
// the next one needs another connection more urgently.
func (l *link) doubt(conn *clientConn, quiet time.Duration, expired bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn != l.current {
		return
	}
	now := sinceStart()
	conn.doubtedAt = now
	if quiet >= l.client.timeout/2 {
		l.retire(conn)
		return
	}
	interval := l.interval
	if expired {
		interval = minRetireInterval
	}
	if l.replaced != nil || now-l.replacedAt < interval {
		return
	}
	l.replacedAt = now
	l.replaced = make(chan struct{})
	go l.replace(l.replaced)
}

// opens reports whether the peer may accept connections: none is being opened in place of a
// silent one for long.
func (l *link) opens(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replaced == nil && !l.unopened || l.replaced != nil && now-l.replacedAt < silenceTimeout/2
}

// replace opens a connection in place of one that is silent.
func (l *link) replace(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), l.client.timeout)
	defer cancel()
	_, err := l.dial(ctx)
	l.mu.Lock()
	l.replaced = nil
	l.unopened = err != nil
	l.mu.Unlock()
	close(done)
	if err != nil {
		l.client.metrics.connectionSilent(outcomeNotReplaced)
		l.client.log.WithError(err).WithField("address", l.address).Info("can't replace a silent connection to a peer")
	}
}

// retire keeps new calls from a connection, which is closed when its calls have ended. l.mu
// must be held.
func (l *link) retire(conn *clientConn) {
	if conn.isRetired {
		return
	}
	conn.isRetired = true
	close(conn.retired)
	if l.current == conn {
		l.current = nil
	}
	l.closeIfUnused(conn)
}

// closeIfUnused closes a retired connection without calls. l.mu must be held.
func (l *link) closeIfUnused(conn *clientConn) {
	if _, open := l.open[conn]; !open || !conn.isRetired || conn.calls > 0 {
		return
	}
	l.close(conn)
	if conn.doubtedAt != 0 {
		l.recordRetired(conn)
	}
}

// close closes a connection without waiting for that: TLS tells the peer, which may not read.
// l.mu must be held.
func (l *link) close(conn *clientConn) {
	delete(l.open, conn)
	go func() { _ = conn.rpc.Close() }()
}

// recordRetired sets the time until the next replacement by what became of a connection that
// was found silent. l.mu must be held.
func (l *link) recordRetired(conn *clientConn) {
	outcome := outcomeSilent
	if conn.codec.conn.lastHeard() > conn.doubtedAt {
		outcome = outcomeLate
		l.interval = min(2*l.interval, maxReplaceInterval)
	} else {
		l.interval = minReplaceInterval
	}
	l.client.metrics.connectionSilent(outcome)
	l.client.log.WithFields(logrus.Fields{
		"address": l.address, "outcome": outcome, "connection": conn.codec.conn.describe(0),
	}).Info("connection to a peer was silent and is closed")
}

// drop closes a connection that is broken, so that the next call dials a new one.
func (l *link) drop(conn *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retire(conn)
	l.close(conn)
}

// forget closes all connections, also one that is being dialled.
func (l *link) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgotten = true
	for conn := range l.open {
		l.retire(conn)
		l.close(conn)
	}
}
