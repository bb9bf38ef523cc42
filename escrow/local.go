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
	// changeTimeout limits the duration of one change of a counter.
	changeTimeout = 10 * time.Second
	// minRetryAfter is the shortest retry delay given to callers while an
	// allotment is requested.
	minRetryAfter = 200 * time.Millisecond
	// failureRetryDelay is the delay before the next request after a failed one.
	failureRetryDelay = time.Second
	// ceilingRetryDelay is the delay before the next request once the ceiling is
	// reached; other hosts may return bytes in the meantime.
	ceilingRetryDelay = 30 * time.Second
	// idleTimeout is how long an allotment may stay unused before it is returned.
	idleTimeout = 2 * time.Minute
	// ceilingNotReached is the value of reachedCeiling while the ceiling is not
	// reached.
	ceilingNotReached = -1
	// stopTimeout limits how long a planned stop spends on returning allotments.
	stopTimeout = 3 * time.Second
)

// Options hold the dependencies of a Local; all fields are required.
type Options struct {
	Store kv.Store
	Clock clockwork.Clock
	Costs *accounting.Counters
	Log   *logrus.Entry
}

// Local is the Account of one host.
type Local struct {
	opts Options

	mu              sync.Mutex
	allotments      map[string]*allotment
	pendingRequests sync.WaitGroup
}

// allotment is what the host may still spend for one service in a period.
type allotment struct {
	period    Period
	remaining int64
	// requesting is true while a request for more is in progress.
	requesting bool
	// nextRequestAt is the earliest time of the next request.
	nextRequestAt time.Time
	// reachedCeiling is the ceiling that the last request ran into.
	reachedCeiling int64
	lastSpendAt    time.Time
}

var _ Account = (*Local)(nil)

// New returns a Local. Its Serve method returns unused allotments.
func New(o Options) *Local { return &Local{opts: o, allotments: make(map[string]*allotment)} }

// periodAt returns the period that contains now. Periods are aligned to the Unix
// epoch.
func periodAt(now time.Time, length time.Duration) Period {
	ms := max(1, length.Milliseconds())
	return Period(now.UnixMilli() / ms * ms)
}

// Spend implements Account.
func (l *Local) Spend(doc *service.Document, n int64) (Period, error) {
	if n < 0 {
		return 0, errors.AssertionFailedf("spend a negative number of bytes: %d", n)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Clock.Now()
	a := l.currentAllotment(doc, now)
	a.lastSpendAt = now
	if a.remaining < n {
		l.requestAllotment(doc, a, now, max(n-a.remaining, doc.Ceilings.Allotment))
		return 0, errNoAllotment(doc, n).WithRetryAfter(a.retryAfter(doc, now))
	}
	a.remaining -= n
	if a.remaining < doc.Ceilings.Allotment/2 {
		l.requestAllotment(doc, a, now, doc.Ceilings.Allotment)
	}
	return a.period, nil
}

// retryAfter returns when bytes may be available; zero means that the document
// allows none.
func (a *allotment) retryAfter(doc *service.Document, now time.Time) time.Duration {
	if doc.Ceilings.CrossRegionBytes == 0 {
		return 0
	}
	if a.reachedCeiling == doc.Ceilings.CrossRegionBytes {
		end := time.UnixMilli(int64(a.period)).Add(doc.Ceilings.Period)
		return max(minRetryAfter, end.Sub(now))
	}
	return max(minRetryAfter, a.nextRequestAt.Sub(now))
}

// Refund implements Account.
func (l *Local) Refund(doc *service.Document, p Period, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.currentAllotment(doc, l.opts.Clock.Now()); a.period == p {
		a.remaining += n
		return
	}
	l.writeOff(doc.Name, "refunded after its period", n)
}

// currentAllotment returns the service's allotment, emptied if its period is
// over. l.mu must be held.
func (l *Local) currentAllotment(doc *service.Document, now time.Time) *allotment {
	a, ok := l.allotments[doc.Name]
	if !ok {
		a = &allotment{reachedCeiling: ceilingNotReached}
		l.allotments[doc.Name] = a
	}
	l.advance(doc.Name, a, periodAt(now, doc.Ceilings.Period))
	return a
}

// advance moves an allotment to period p, unless p is earlier than its own.
func (l *Local) advance(name string, a *allotment, p Period) {
	if p <= a.period {
		return
	}
	l.writeOff(name, "period over", a.remaining)
	a.period, a.remaining, a.reachedCeiling, a.nextRequestAt = p, 0, ceilingNotReached, time.Time{}
}

// writeOff counts bytes that were taken from the counter but never spent.
func (l *Local) writeOff(name, reason string, n int64) {
	l.opts.Costs.Add(name, "", accounting.UnspentBytes, reason, n)
}

// requestAllotment takes another allotment in the background. l.mu must be held.
func (l *Local) requestAllotment(doc *service.Document, a *allotment, now time.Time, n int64) {
	ceiling := doc.Ceilings.CrossRegionBytes
	raised := a.reachedCeiling != ceilingNotReached && a.reachedCeiling != ceiling
	if a.requesting || ceiling == 0 || now.Before(a.nextRequestAt) && !raised {
		return
	}
	a.requesting = true
	ch := change{Period: a.period, Want: n, Ceiling: ceiling}
	l.pendingRequests.Add(1)
	go func() {
		defer l.pendingRequests.Done()
		ctx, cancel := l.context(changeTimeout)
		defer cancel()
		got, err := commitChange(ctx, l.opts.Store, counterKey(doc.Name), ch)
		l.recordGrant(doc.Name, a, ch, got, err)
	}()
}

// recordGrant updates the allotment with the outcome of a request.
func (l *Local) recordGrant(name string, a *allotment, ch change, got grant, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Clock.Now()
	a.requesting = false
	switch {
	case err != nil:
		a.reachedCeiling, a.nextRequestAt = ceilingNotReached, now.Add(failureRetryDelay)
		l.opts.Log.WithError(err).WithField("service", name).Warn("failed to take an allotment from the escrow counter")
		if errors.Is(err, errOutcomeUnknown) {
			l.writeOff(name, "reply lost", ch.Want)
		}
	case got.Period < a.period:
		l.writeOff(name, "period over", got.Bytes)
	default:
		l.advance(name, a, got.Period)
		a.remaining += got.Bytes
		a.reachedCeiling, a.nextRequestAt = ceilingNotReached, time.Time{}
		if got.Bytes < ch.Want {
			a.reachedCeiling, a.nextRequestAt = ch.Ceiling, now.Add(ceilingRetryDelay)
		}
	}
}

func (l *Local) context(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(kv.WithPurpose(context.Background(), kv.PurposeEscrow), timeout)
}

func counterKey(name string) string { return "escrow/" + name }

// String returns the name used in supervisor events.
func (l *Local) String() string { return "escrow" }

// Serve returns allotments that stay unused and, when ctx ends, everything that
// remains. It implements suture.Service.
func (l *Local) Serve(ctx context.Context) error {
	tick := l.opts.Clock.NewTicker(idleTimeout / 2)
	defer tick.Stop()
	for {
		select {
		case <-tick.Chan():
			l.returnUnused(idleTimeout, changeTimeout)
		case <-ctx.Done():
			l.returnUnused(0, stopTimeout)
			return ctx.Err()
		}
	}
}

// unusedAllotment is an allotment to return to its counter.
type unusedAllotment struct {
	name     string
	from     *allotment
	reversal change
}

// returnUnused returns the allotments that were unused for the given time.
func (l *Local) returnUnused(idle, timeout time.Duration) {
	ctx, cancel := l.context(timeout)
	defer cancel()
	for _, u := range l.takeUnused(idle) {
		got, err := commitChange(ctx, l.opts.Store, counterKey(u.name), u.reversal)
		l.recordReturn(u, got, err)
	}
}

// takeUnused empties the allotments that were unused for the given time and
// returns their contents, so that they can't be spent meanwhile.
func (l *Local) takeUnused(idle time.Duration) []unusedAllotment {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Clock.Now()
	var out []unusedAllotment
	for name, a := range l.allotments {
		if a.remaining > 0 && now.Sub(a.lastSpendAt) >= idle {
			out = append(out, unusedAllotment{name: name, from: a, reversal: change{Period: a.period, Want: -a.remaining}})
			a.remaining = 0
		}
	}
	return out
}

// recordReturn restores an allotment whose return certainly had no effect. Bytes
// that may have been returned are written off.
func (l *Local) recordReturn(u unusedAllotment, got grant, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := -u.reversal.Want
	switch {
	case errors.Is(err, errOutcomeUnknown):
		l.writeOff(u.name, "reply lost", n)
	case err != nil && u.from.period == u.reversal.Period:
		u.from.remaining += n
	case err != nil:
		l.writeOff(u.name, "period over", n)
	default:
		l.writeOff(u.name, "period over", n+got.Bytes)
	}
}

// Wait blocks until no request is in progress. It is meant for tests.
func (l *Local) Wait() { l.pendingRequests.Wait() }
