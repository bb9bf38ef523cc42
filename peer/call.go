package peer

import (
	"context"
	"net/rpc"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
)

// call is a call in progress. It has one attempt or, if its arguments are Repeatable, up to
// two on different connections, of which the first that is answered counts.
type call struct {
	ctx    context.Context
	link   *link
	method string
	args   any
	reply  reflect.Value

	attempts []*attempt
	// began receives each attempt that has a connection, and ended each that has ended.
	// connected holds those received from began.
	began, ended chan *attempt
	connected    []*attempt
	running      int
	// silence fires at silentAt, when the connection may be silent. It is nil if the call may
	// not be repeated.
	silence  *time.Timer
	silentAt time.Duration
}

// attempt sends a call on one connection. All but the request is set before it is received
// from call.began.
type attempt struct {
	request request
	conn    *clientConn
	// dueSince is the time from which on a reply is due.
	dueSince time.Duration
	// received is what the reply is decoded into: one that arrives after the call has ended
	// must not change the value that was passed in.
	received reflect.Value
	err      error
}

// maxAttempts is the number of attempts of a call that may be repeated.
const maxAttempts = 2

func newCall(ctx context.Context, l *link, method string, args, reply any) *call {
	return &call{
		ctx: ctx, link: l, method: method, args: args, reply: reflect.ValueOf(reply).Elem(),
		began: make(chan *attempt, maxAttempts), ended: make(chan *attempt, maxAttempts),
	}
}

// run makes the call.
func (c *call) run() error {
	c.start()
	var silent <-chan time.Time
	if c.mayRepeat() {
		c.silentAt = sinceStart() + silenceTimeout
		c.silence = time.NewTimer(silenceTimeout)
		defer c.silence.Stop()
		silent = c.silence.C
	}
	var retired <-chan struct{}
	for {
		select {
		case a := <-c.began:
			c.connected = append(c.connected, a)
			if c.mayRepeat() {
				retired = a.conn.retired
				c.checkAt(a.dueSince + a.conn.silenceTimeout)
			}
		case a := <-c.ended:
			if c.running--; !c.goesOn(a) {
				return c.result(a.err, a)
			}
		case <-silent:
			c.checkSilence()
		case <-retired:
			retired = nil
			if c.mayRepeat() {
				c.start()
			}
		case <-c.ctx.Done():
			return c.result(c.ctx.Err(), nil)
		}
	}
}

// start starts an attempt.
func (c *call) start() {
	args := c.args
	if r, ok := args.(Repeatable); ok && len(c.attempts) > 0 {
		args = r.Repeated()
	}
	a := &attempt{request: request{args: args, timeout: c.link.client.timeout}, received: reflect.New(c.reply.Type())}
	c.attempts = append(c.attempts, a)
	c.running++
	go func() {
		a.err = c.send(a)
		c.ended <- a
	}()
}

// mayRepeat reports whether the call may be sent once more.
func (c *call) mayRepeat() bool {
	_, repeatable := c.args.(Repeatable)
	return repeatable && len(c.attempts) < maxAttempts
}

// send sends the call on a connection and waits for its reply.
func (c *call) send(a *attempt) error {
	conn, err := c.link.acquire(c.ctx)
	if err != nil {
		return err
	}
	defer c.link.release(conn)
	a.conn, a.dueSince = conn, sinceStart()
	if r, ok := a.request.args.(Repeatable); ok {
		a.dueSince += r.WaitLimit()
	}
	conn.codec.conn.expectReply(a.dueSince)
	c.began <- a
	sent := conn.rpc.Go(c.method, &a.request, a.received.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-sent.Done:
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
	if sent.Error == nil || isReply(sent.Error) || errors.Is(sent.Error, errAbandoned) {
		return sent.Error
	}
	c.link.drop(conn)
	return errors.Mark(sent.Error, ErrBroken)
}

// isReply reports whether an error is the peer's reply.
func isReply(err error) bool {
	var serverErr rpc.ServerError
	return errors.As(err, &serverErr)
}

// goesOn reports whether a call goes on after an attempt has ended: another one is in
// progress, or one that broke is repeated.
func (c *call) goesOn(a *attempt) bool {
	if a.err == nil || isReply(a.err) || c.ctx.Err() != nil {
		return false
	}
	if c.running > 0 {
		return true
	}
	if !errors.Is(a.err, ErrBroken) || !c.mayRepeat() {
		return false
	}
	c.start()
	return true
}

// checkAt lets the silence timer fire at a time.
func (c *call) checkAt(at time.Duration) {
	c.silentAt = at
	c.silence.Reset(at - sinceStart())
}

// checkSilence doubts the connection of the first attempt if it is silent, and checks it again
// later. An attempt that has none waits for a place on the connection of other calls.
func (c *call) checkSilence() {
	now := sinceStart()
	conn, quiet := c.link.silence(now)
	if len(c.connected) > 0 {
		conn, quiet = c.connected[0].conn, c.connected[0].quiet(now)
	}
	limit := silenceTimeout
	if conn != nil {
		limit = conn.silenceTimeout
	}
	switch {
	case isLate(now-c.silentAt, limit):
	case quiet < limit:
		limit -= quiet
	default:
		c.link.doubt(conn, quiet, false)
	}
	c.checkAt(now + limit)
}

// isLate reports whether a timer has fired so late that this process may not have had the
// processor time to read what has arrived.
func isLate(by, limit time.Duration) bool { return by > limit/2 }

// quiet returns how long nothing has arrived on the connection although a reply is due, to
// this call or to an earlier one.
func (a *attempt) quiet(now time.Duration) time.Duration {
	return now - a.conn.codec.conn.quietSince(a.dueSince)
}

// result returns the result of the call: the reply to an attempt, or the error of the last
// one or of the context.
func (c *call) result(err error, a *attempt) error {
	if err == nil {
		c.reply.Set(a.received.Elem())
		return nil
	}
	if isReply(err) {
		return errors.Wrapf(err, "call %s at %s", c.method, c.link.address)
	}
	c.receiveBegun()
	if errors.Is(err, context.DeadlineExceeded) && c.doubtSilent() {
		err = errors.Mark(err, ErrSilent)
	}
	unsent := true
	for _, a := range c.attempts {
		// Each attempt is abandoned, also after one that was sent.
		unsent = a.request.abandon() && unsent
	}
	if unsent {
		err = errors.Mark(err, ErrUnreachable)
	}
	if len(c.connected) == 0 {
		return errors.Wrapf(err, "call %s: connect to peer %s", c.method, c.link.address)
	}
	conn := c.connected[len(c.connected)-1].conn
	return errors.Wrapf(err, "call %s at %s (%s)", c.method, c.link.address, conn.codec.conn.describe(len(conn.inFlight)))
}

// receiveBegun receives the attempts that have a connection and were not received yet.
func (c *call) receiveBegun() {
	for {
		select {
		case a := <-c.began:
			c.connected = append(c.connected, a)
		default:
			return
		}
	}
}

// doubtSilent doubts the connections that are silent when the time of the call is up. It
// reports whether that, and not the peer, may be why there is no reply.
func (c *call) doubtSilent() (onlySilent bool) {
	now := sinceStart()
	deadline, _ := c.ctx.Deadline()
	late := time.Since(deadline)
	for _, a := range c.connected {
		quiet, limit := a.quiet(now), a.conn.silenceTimeout
		if quiet >= limit && !isLate(late, limit) || quiet >= c.link.client.timeout/2 {
			c.link.doubt(a.conn, quiet, true)
			onlySilent = true
		}
	}
	return onlySilent && c.link.opens(now)
}
