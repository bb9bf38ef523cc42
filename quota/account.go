package quota

import (
	"math/rand/v2"
	"time"

	"github.com/comfreyspindle/comfreyspindle/customer"
)

// Bounds of the time after which a refused request is to be sent again. Callers wait no
// longer than a third of the time that they have left.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 1600 * time.Millisecond
)

// lowCredit is the part of its credit below which a broker asks for more at once, unless
// it may hold fewer than minLowCredit tokens: then each request would ask.
const (
	lowCredit    = 0.5
	minLowCredit = 4
)

// Refusal describes why a request is over its customer's quota.
type Refusal struct {
	Limit customer.Quota
	// Level is what the allocator's bucket held at its last answer.
	Level         float64
	RetryAfter    time.Duration
	ConfigVersion int64
}

// Decision is what an Account decides on a request: it is admitted, waits, or is
// refused.
type Decision struct {
	Admitted bool
	Waiter   *Waiter
	Refusal  Refusal
	// Ask reports that the allocator should be asked at once.
	Ask bool
}

// Waiter is a request that waits for a token.
type Waiter struct {
	customer string
	// Decided receives the decision.
	Decided chan Decision
}

// entry is what a broker knows of one customer.
type entry struct {
	limit   customer.Quota
	version int64
	credit  int
	// surplus is the number of returned tokens beyond the credit. They go back to the
	// allocator.
	surplus int
	waiting []*Waiter
	// emptyUntil is the end of the last Answer.EmptyFor, and level what the allocator's
	// bucket held then.
	emptyUntil time.Duration
	level      float64
	// nextRetry is the earliest time at which the next request that is refused should be
	// sent again, after those refused before it.
	nextRetry time.Duration
}

// Account is a broker's side of the quotas. It is not safe for concurrent use.
type Account struct {
	tolerance Tolerance
	limits    Limits
	rng       *rand.Rand
	entries   map[string]*entry
	// changed holds the customers whose credit may differ from what they should have.
	changed map[string]struct{}
	// hosts is the number of hosts attached to the broker. The number of known hosts and
	// the last majority are those of the last reply, of an exchange sent at exchangedAt.
	hosts       int
	fleet       FleetState
	exchangedAt time.Duration
	exchanged   bool
}

// NewAccount returns an account without credit.
func NewAccount(t Tolerance, limits Limits, rng *rand.Rand) *Account {
	return &Account{tolerance: t, limits: limits, rng: rng, entries: make(map[string]*entry), changed: make(map[string]struct{})}
}

// Take takes a token for a request of a customer that a host has admitted by a version of the
// configuration. Customers without a limit are admitted without a token, and so are those that
// only the host's newer configuration has. One that a newer configuration than the host's
// doesn't have any more is refused.
func (a *Account) Take(now time.Duration, name string, admittedBy int64) Decision {
	limit, version, ok := a.limits(name)
	if !ok && admittedBy != 0 && admittedBy < version {
		return Decision{Refusal: Refusal{RetryAfter: maxRetryAfter, ConfigVersion: version}}
	}
	if !ok || !limit.Limited() {
		return Decision{Admitted: true}
	}
	e := a.entryOf(name, limit, version)
	a.expire(now)
	if e.credit > 0 {
		e.credit--
		a.changed[name] = struct{}{}
		capacity := a.capacity(limit)
		low := capacity >= minLowCredit && float64(e.credit) < lowCredit*float64(capacity)
		return Decision{Admitted: true, Ask: low && now >= e.emptyUntil}
	}
	a.changed[name] = struct{}{}
	if now < e.emptyUntil {
		return Decision{Refusal: a.refuse(now, e)}
	}
	w := &Waiter{customer: name, Decided: make(chan Decision, 1)}
	e.waiting = append(e.waiting, w)
	return Decision{Waiter: w, Ask: true}
}

func (a *Account) entryOf(name string, limit customer.Quota, version int64) *entry {
	e, ok := a.entries[name]
	if !ok {
		e = &entry{}
		a.entries[name] = e
	}
	if e.version != version {
		if e.limit != limit {
			// EmptyFor was answered under another limit.
			e.emptyUntil = 0
		}
		e.limit, e.version = limit, version
		e.credit = min(e.credit, a.capacity(limit))
	}
	return e
}

// Return gives back the token of a request that was admitted and did not run. Beyond what the
// broker may hold it goes back to the bucket, which is never above its burst: the token may have
// been taken long ago, and the bucket has refilled since.
func (a *Account) Return(name string) {
	e, ok := a.entries[name]
	if !ok || !e.limit.Limited() {
		return
	}
	if a.exchanged && e.credit < a.capacity(e.limit) {
		e.credit++
	} else {
		e.surplus++
	}
	a.changed[name] = struct{}{}
}

// GiveUp refuses a request whose time to wait is over, unless it has been decided.
func (a *Account) GiveUp(now time.Duration, w *Waiter) Decision {
	select {
	case d := <-w.Decided:
		return d
	default:
	}
	e := a.entries[w.customer]
	for i, other := range e.waiting {
		if other == w {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	// The allocator doesn't answer. Another one, or this host itself, grants tokens
	// from the end of the lease on.
	e.nextRetry = max(e.nextRetry, a.exchangedAt+exchangeLease)
	return Decision{Refusal: a.refuse(now, e)}
}

// capacity returns the most tokens that this broker may hold for a customer: its hosts'
// part of what all brokers may.
func (a *Account) capacity(limit customer.Quota) int {
	if a.fleet.KnownHosts <= 0 {
		return 0
	}
	part := min(float64(a.hosts)/float64(a.fleet.KnownHosts), 1)
	return int(creditShare * a.tolerance.of(limit) * part)
}

// expire ends all credit if the last exchange is too long ago: another broker may hold
// credit in place of this one.
func (a *Account) expire(now time.Duration) {
	if !a.exchanged || now-a.exchangedAt < exchangeLease {
		return
	}
	a.exchanged = false
	for name, e := range a.entries {
		if e.credit > 0 {
			e.credit = 0
			a.changed[name] = struct{}{}
		}
	}
}

// SetHosts sets the number of hosts attached to the broker.
func (a *Account) SetHosts(hosts int) {
	if a.hosts == hosts {
		return
	}
	a.hosts = hosts
	for name, e := range a.entries {
		if e.credit != a.capacity(e.limit) {
			a.changed[name] = struct{}{}
		}
	}
}

// Fleet returns the fleet's state by the last reply of an allocator.
func (a *Account) Fleet(now time.Duration) FleetState {
	s := a.fleet
	s.MajorityAge += now - a.exchangedAt
	return s
}

// Wants returns what the broker lacks or has too much of, and the version of the limits.
// Excess credit is subtracted at once, so the broker can't spend it if the exchange fails.
func (a *Account) Wants(now time.Duration) (wants []Want, version int64) {
	a.expire(now)
	for name := range a.changed {
		e := a.entries[name]
		limit, v, ok := a.limits(name)
		if !ok || !limit.Limited() {
			a.forget(name, e, ok, v)
			continue
		}
		e = a.entryOf(name, limit, v)
		version = v
		if e.surplus > 0 {
			// Not offset against what the broker lacks, since the bucket may be full.
			wants = append(wants, Want{Customer: name, Tokens: -e.surplus, PerSecond: limit.PerSecond, Burst: limit.Burst})
			e.surplus = 0
		}
		lacks := a.capacity(limit) + len(e.waiting) - e.credit
		if lacks == 0 {
			delete(a.changed, name)
			continue
		}
		if lacks < 0 {
			e.credit += lacks
		}
		wants = append(wants, Want{Customer: name, Tokens: lacks, PerSecond: limit.PerSecond, Burst: limit.Burst})
	}
	return wants, version
}

// forget removes a customer that has no limit any more, or that a version of the configuration
// doesn't have any more, in which case the requests that wait are refused.
func (a *Account) forget(name string, e *entry, known bool, version int64) {
	d := Decision{Admitted: known}
	if !known {
		d.Refusal = Refusal{RetryAfter: maxRetryAfter, ConfigVersion: version}
	}
	for _, w := range e.waiting {
		w.Decided <- d
	}
	delete(a.entries, name)
	delete(a.changed, name)
}

// Exchanged applies the reply to an exchange that was sent at a moment. It reports
// whether requests still wait for tokens.
func (a *Account) Exchanged(now, sentAt time.Duration, wants []Want, reply *ExchangeReply) (waiting bool) {
	if len(reply.Answers) != len(wants) || now-sentAt >= exchangeLease {
		return false
	}
	a.expire(now)
	a.exchanged, a.exchangedAt, a.fleet = true, sentAt, reply.Fleet
	for i := range wants {
		if e, ok := a.entries[wants[i].Customer]; ok && wants[i].Tokens > 0 {
			a.apply(now, e, reply.Answers[i])
			waiting = waiting || len(e.waiting) > 0
		}
	}
	return waiting
}

// apply serves the requests that wait, in order of arrival, and keeps as credit what is
// left. If the allocator had too few tokens, the others are refused.
func (a *Account) apply(now time.Duration, e *entry, answer Answer) {
	e.level = answer.Level
	e.credit += answer.Tokens
	e.emptyUntil = now + answer.EmptyFor
	served := min(len(e.waiting), e.credit)
	for _, w := range e.waiting[:served] {
		w.Decided <- Decision{Admitted: true}
	}
	e.credit -= served
	e.waiting = e.waiting[served:]
	if answer.EmptyFor <= 0 {
		return
	}
	for _, w := range e.waiting {
		w.Decided <- Decision{Refusal: a.refuse(now, e)}
	}
	e.waiting = nil
}

// refuse returns a refusal whose RetryAfter is spread: the refused requests come again
// no faster than this broker's hosts' part of the limit.
func (a *Account) refuse(now time.Duration, e *entry) Refusal {
	part := 0.0
	if a.fleet.KnownHosts > 0 {
		part = float64(a.hosts) / float64(a.fleet.KnownHosts)
	}
	interval := maxRetryAfter
	if rate := e.limit.PerSecond * part; rate > 0 {
		interval = time.Duration(min(float64(time.Second)/rate, float64(maxRetryAfter)))
	}
	at := max(e.nextRetry, e.emptyUntil, now+minRetryAfter)
	after := at - now + time.Duration(a.rng.Float64()*float64(interval))
	if after > maxRetryAfter {
		// More return than fit. They are spread over the second half of the time.
		after = maxRetryAfter - time.Duration(a.rng.Float64()*float64(maxRetryAfter)/2)
	} else {
		e.nextRetry = at + interval
	}
	return Refusal{Limit: e.limit, Level: e.level, RetryAfter: after, ConfigVersion: e.version}
}
