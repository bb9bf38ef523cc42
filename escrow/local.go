package escrow

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/service"
)

const (
	// askTimeout bounds one change of a counter.
	askTimeout = 10 * time.Second
	// soon is the advice to come back while an allotment is asked for.
	soon = 200 * time.Millisecond
	// failureDelay is the wait after a failed ask.
	failureDelay = time.Second
	// fullDelay is the wait before asking again once the ceiling is reached;
	// other hosts may give back.
	fullDelay = 30 * time.Second
	// idleTime is how long an allotment may lie unused before it is given back.
	idleTime = 2 * time.Minute
	// notFull stands for a ceiling that was not reached.
	notFull = -1
	// stopTimeout bounds the giving back at a planned stop.
	stopTimeout = 3 * time.Second
)

// Options hold what a Local needs; all fields are required.
type Options struct {
	Store kv.Store
	Clock clockwork.Clock
	Costs *accounting.Counters
	Log   *logrus.Entry
}

// Local is the Account of one host.
type Local struct {
	opts Options

	mu       sync.Mutex
	accounts map[string]*allotment
	asks     sync.WaitGroup
}

// allotment is what the host may still spend for one service.
type allotment struct {
	period Period
	left   int64
	// asking says that an ask for more is under way.
	asking bool
	// askAfter is when to ask again; fullAt is the ceiling that was reached.
	askAfter time.Time
	fullAt   int64
	used     time.Time
}

var _ Account = (*Local)(nil)

// New returns a Local. Serve gives unused allotments back.
func New(o Options) *Local { return &Local{opts: o, accounts: make(map[string]*allotment)} }

// periodAt returns the period of a time: periods are aligned to the Unix epoch.
func periodAt(now time.Time, length time.Duration) Period {
	ms := max(1, length.Milliseconds())
	return Period(now.UnixMilli() / ms * ms)
}

// Spend implements Account.
func (l *Local) Spend(doc *service.Document, n int64) (Period, error) {
	if n < 0 {
		return 0, errors.AssertionFailedf("spend of %d bytes", n)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Clock.Now()
	a := l.current(doc, now)
	a.used = now
	if a.left < n {
		l.ask(doc, a, now, max(n-a.left, doc.Ceilings.Allotment))
		return 0, noRoom(doc, n).WithRetryAfter(a.retryAfter(doc, now))
	}
	a.left -= n
	if a.left < doc.Ceilings.Allotment/2 {
		l.ask(doc, a, now, doc.Ceilings.Allotment)
	}
	return a.period, nil
}

// retryAfter says when room may be there; zero when the document allows none.
func (a *allotment) retryAfter(doc *service.Document, now time.Time) time.Duration {
	if doc.Ceilings.CrossRegionBytes == 0 {
		return 0
	}
	if a.fullAt == doc.Ceilings.CrossRegionBytes {
		end := time.UnixMilli(int64(a.period)).Add(doc.Ceilings.Period)
		return max(soon, end.Sub(now))
	}
	return max(soon, a.askAfter.Sub(now))
}

// Refund implements Account.
func (l *Local) Refund(doc *service.Document, p Period, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.current(doc, l.opts.Clock.Now()); a.period == p {
		a.left += n
		return
	}
	l.writeOff(doc.Name, "refunded after its period", n)
}

// current returns the service's allotment, empty when its period is over. The
// caller holds the lock.
func (l *Local) current(doc *service.Document, now time.Time) *allotment {
	a, ok := l.accounts[doc.Name]
	if !ok {
		a = &allotment{fullAt: notFull}
		l.accounts[doc.Name] = a
	}
	l.advance(doc.Name, a, periodAt(now, doc.Ceilings.Period))
	return a
}

// advance moves an allotment to a period, unless that is an earlier one.
func (l *Local) advance(name string, a *allotment, p Period) {
	if p <= a.period {
		return
	}
	l.writeOff(name, "period over", a.left)
	a.period, a.left, a.fullAt, a.askAfter = p, 0, notFull, time.Time{}
}

// writeOff counts bytes that were taken from the counter and never spent.
func (l *Local) writeOff(name, reason string, n int64) {
	l.opts.Costs.Add(name, "", accounting.UnspentBytes, reason, n)
}

// ask takes another allotment in the background. The caller holds the lock.
func (l *Local) ask(doc *service.Document, a *allotment, now time.Time, n int64) {
	ceiling := doc.Ceilings.CrossRegionBytes
	raised := a.fullAt != notFull && a.fullAt != ceiling
	if a.asking || ceiling == 0 || now.Before(a.askAfter) && !raised {
		return
	}
	a.asking = true
	ch := change{Period: a.period, Want: n, Ceiling: ceiling}
	l.asks.Add(1)
	go func() {
		defer l.asks.Done()
		ctx, cancel := l.context(askTimeout)
		defer cancel()
		got, err := swap(ctx, l.opts.Store, key(doc.Name), ch)
		l.granted(doc.Name, a, ch, got, err)
	}()
}

// granted books the outcome of an ask.
func (l *Local) granted(name string, a *allotment, ch change, got grant, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Clock.Now()
	a.asking = false
	switch {
	case err != nil:
		a.fullAt, a.askAfter = notFull, now.Add(failureDelay)
		l.opts.Log.WithError(err).WithField("service", name).Warn("no allotment taken")
		if errors.Is(err, errLost) {
			l.writeOff(name, "reply lost", ch.Want)
		}
	case got.Period < a.period:
		l.writeOff(name, "period over", got.Bytes)
	default:
		l.advance(name, a, got.Period)
		a.left += got.Bytes
		a.fullAt, a.askAfter = notFull, time.Time{}
		if got.Bytes < ch.Want {
			a.fullAt, a.askAfter = ch.Ceiling, now.Add(fullDelay)
		}
	}
}

func (l *Local) context(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(kv.WithPurpose(context.Background(), kv.PurposeEscrow), timeout)
}

func key(name string) string { return "escrow/" + name }

// String names the account in supervisor events.
func (l *Local) String() string { return "escrow" }

// Serve gives back allotments that lie unused and, when ctx ends, all that are
// left. It implements suture.Service.
func (l *Local) Serve(ctx context.Context) error {
	tick := l.opts.Clock.NewTicker(idleTime / 2)
	defer tick.Stop()
	for {
		select {
		case <-tick.Chan():
			l.giveBack(idleTime, askTimeout)
		case <-ctx.Done():
			l.giveBack(0, stopTimeout)
			return ctx.Err()
		}
	}
}

// unused is an allotment to give back.
type unused struct {
	name  string
	from  *allotment
	given change
}

// giveBack returns what was not used for some time.
func (l *Local) giveBack(idle, timeout time.Duration) {
	ctx, cancel := l.context(timeout)
	defer cancel()
	for _, u := range l.takeUnused(idle) {
		got, err := swap(ctx, l.opts.Store, key(u.name), u.given)
		l.gaveBack(u, got, err)
	}
}

// takeUnused empties the allotments that were idle for some time. From then on
// they can't be spent.
func (l *Local) takeUnused(idle time.Duration) []unused {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Clock.Now()
	var out []unused
	for name, a := range l.accounts {
		if a.left > 0 && now.Sub(a.used) >= idle {
			out = append(out, unused{name: name, from: a, given: change{Period: a.period, Want: -a.left}})
			a.left = 0
		}
	}
	return out
}

// gaveBack keeps what certainly could not be given back. What may have been
// given back is written off.
func (l *Local) gaveBack(u unused, got grant, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := -u.given.Want
	switch {
	case errors.Is(err, errLost):
		l.writeOff(u.name, "reply lost", n)
	case err != nil && u.from.period == u.given.Period:
		u.from.left += n
	case err != nil:
		l.writeOff(u.name, "period over", n)
	default:
		l.writeOff(u.name, "period over", n+got.Bytes)
	}
}

// Wait waits for asks under way. Tests use it.
func (l *Local) Wait() { l.asks.Wait() }
