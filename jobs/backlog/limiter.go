package backlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// recordPrefix is the prefix of the keys of the shared records.
const recordPrefix = "batch/queue/"

// Delays between attempts to change a record that other hosts change too.
const (
	retryInterval    = 10 * time.Millisecond
	maxRetryInterval = 300 * time.Millisecond
)

// countTTL is how long a count of the waiting tokens is used to refuse jobs. Jobs
// are accepted on a new count only.
const countTTL = 250 * time.Millisecond

// ErrAccepted is returned for a job that is already accepted.
var ErrAccepted = errors.New("job is already accepted")

// Options are the dependencies of a Limiter. All fields are required.
type Options struct {
	Store txn.Store
	// Self returns this run of the host, Hosts all hosts that accept jobs, with this
	// one.
	Self  func() Host
	Hosts func() []Host
	// Jobs reads the jobs of a queue from the store. Those accepted at any revision
	// before the call must be among them.
	Jobs func(ctx context.Context, q Queue) ([]Job, error)
	// IsAccepted reads from the store whether a job is accepted.
	IsAccepted func(ctx context.Context, jobID string) (bool, error)

	Clock   clockwork.Clock
	Log     *logrus.Entry
	Metrics *Metrics
}

// Limiter decides which jobs this host may accept. It is safe for concurrent use.
type Limiter struct {
	Options

	mu sync.Mutex
	// known holds the last known record of each queue, by key.
	known map[string]knownRecord
	// counts holds the last count of each queue, by key.
	counts map[string]timedCount
}

// timedCount is a count and the time before which it was read.
type timedCount struct {
	Count
	at time.Time
}

// knownRecord is a record as it was last seen, and what this host has used of its
// share.
type knownRecord struct {
	Record
	rev  txn.Rev
	used int64
	// outdated is set when the record may have changed and is to be read again.
	outdated bool
}

// NewLimiter returns a Limiter that knows no records.
func NewLimiter(o Options) *Limiter {
	return &Limiter{Options: o, known: make(map[string]knownRecord), counts: make(map[string]timedCount)}
}

// Request asks for the acceptance of a job.
type Request struct {
	JobID string
	Queue
	// Tokens are the tokens of all items of the job.
	Tokens int64
	// Limit is the largest number of tokens that may wait in the queue, by the
	// configuration of version ConfigVersion. Zero means no limit.
	Limit         int64
	ConfigVersion int64
}

// key returns the key of the queue's record.
func (q *Queue) key() string {
	name := q.route()
	if q.Customer != "" {
		name += "\x00" + q.Customer
	}
	return fmt.Sprintf("%s%016x", recordPrefix, xxhash.Sum64String(name))
}

// Permit allows the acceptance of one job. AddTo adds it to the transaction that
// records the job. A permit without a key is for a route without a limit.
type Permit struct {
	key    string
	rev    txn.Rev
	tokens int64
	// next is the record that the transaction writes; without it, the job is
	// accepted on this host's share.
	next  *Record
	value []byte
}

// Limited reports whether the job's queue has a limit.
func (p *Permit) Limited() bool { return p.key != "" }

// AddTo adds the permit's conditions and writes to a transaction.
func (p *Permit) AddTo(req *txn.Request) {
	if p.key == "" {
		return
	}
	req.If = append(req.If, txn.Condition{Key: p.key, Rev: p.rev})
	if p.next != nil {
		req.Writes = append(req.Writes, txn.Write{Key: p.key, Value: p.value})
	}
}

// Admit returns a permit for a job. The error is ErrAccepted if the job is already
// accepted; other errors have verdict.NotRun.
func (l *Limiter) Admit(ctx context.Context, req Request) (Permit, error) {
	if req.Limit == 0 {
		return Permit{}, nil
	}
	pause := &backoff.ExponentialBackOff{
		InitialInterval: retryInterval, Multiplier: 2, MaxInterval: maxRetryInterval, RandomizationFactor: 0.5,
	}
	for first := true; ; first = false {
		permit, again, err := l.admitOnce(ctx, req)
		if !again {
			return permit, err
		}
		if first {
			// The conflict has told the present record.
			continue
		}
		select {
		case <-l.Clock.After(pause.NextBackOff()):
		case <-ctx.Done():
			return Permit{}, errStore(ctx.Err())
		}
	}
}

// admitOnce is one attempt of Admit. It reports whether to try again, because the
// record changed meanwhile.
func (l *Limiter) admitOnce(ctx context.Context, req Request) (Permit, bool, error) {
	present, err := l.load(ctx, req)
	if err != nil {
		return Permit{}, false, errStore(err)
	}
	if permit, ok := l.useShare(req); ok {
		return permit, false, nil
	}
	if len(present.Shares) > 0 {
		present, err = l.withdrawShares(ctx, req, present)
		if errors.Is(err, txn.ErrConflict) {
			return Permit{}, true, nil
		}
		if err != nil {
			l.markOutdated(req.key())
			return Permit{}, false, errStore(err)
		}
	}
	permit, err := l.admitByCount(ctx, req, present)
	return permit, false, err
}

// load returns the record of the request's queue, with the limit of the newer of
// the two configurations, the record's and the request's.
func (l *Limiter) load(ctx context.Context, req Request) (knownRecord, error) {
	key := req.key()
	l.mu.Lock()
	present, ok := l.known[key]
	l.mu.Unlock()
	if !ok || present.outdated {
		item, err := l.Store.Get(ctx, key)
		if err != nil && !errors.Is(err, txn.ErrNotFound) {
			return knownRecord{}, err
		}
		present = l.learn(key, item)
	}
	if present.ConfigVersion < req.ConfigVersion || present.rev == 0 {
		present.ConfigVersion, present.Limit = req.ConfigVersion, req.Limit
	}
	present.RouteHost, present.RoutePrefix, present.Customer = req.RouteHost, req.RoutePrefix, req.Customer
	return present, nil
}

// learn stores the state of a record as read from the store. An item without a
// revision stands for a record that doesn't exist. What this host has used of its
// share is kept if the record is unchanged.
func (l *Limiter) learn(key string, item txn.Item) knownRecord {
	next := knownRecord{rev: item.Rev}
	if item.Rev != 0 {
		err := cbor.Unmarshal(item.Value, &next.Record)
		if err == nil {
			err = next.check()
		}
		if err != nil {
			// Without shares the next acceptance counts anew and rewrites it.
			l.Log.WithError(err).WithField("key", key).Warn("cannot decode backlog record; counting the waiting tokens anew")
			next.Record = Record{}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.known[key]; ok && old.rev >= next.rev {
		old.outdated = false
		next = old
	}
	l.known[key] = next
	return next
}

// markOutdated makes the next acceptance read the record again.
func (l *Limiter) markOutdated(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if present, ok := l.known[key]; ok {
		present.outdated = true
		l.known[key] = present
	}
}

// useShare takes the job's tokens from this host's share, unless the share is too
// small or was computed from another limit.
func (l *Limiter) useShare(req Request) (Permit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := req.key()
	present, ok := l.known[key]
	if !ok || present.outdated || present.ConfigVersion < req.ConfigVersion && present.Limit != req.Limit {
		return Permit{}, false
	}
	if req.Tokens > present.share(l.Self())-present.used {
		return Permit{}, false
	}
	present.used += req.Tokens
	l.known[key] = present
	return Permit{key: key, rev: present.rev, tokens: req.Tokens}, true
}

// withdrawShares writes the record without shares, so that no host accepts a job
// on an earlier count any more.
func (l *Limiter) withdrawShares(ctx context.Context, req Request, present knownRecord) (knownRecord, error) {
	next := knownRecord{Record: present.withoutShares()}
	value, err := cbor.Marshal(next.Record)
	if err != nil {
		return knownRecord{}, errors.Wrap(err, "encode backlog record")
	}
	key := req.key()
	next.rev, err = l.Store.Commit(ctx, txn.Request{
		If: []txn.Condition{{Key: key, Rev: present.rev}}, Writes: []txn.Write{{Key: key, Value: value}},
	})
	if err != nil {
		l.learnConflict(key, err)
		return knownRecord{}, err
	}
	l.Log.WithFields(logrus.Fields{"route": req.route(), "customer": req.Customer, "rev": next.rev}).Info("shares of the room for waiting tokens withdrawn")
	l.store(key, next)
	return next, nil
}

func (l *Limiter) store(key string, next knownRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[key].rev < next.rev {
		l.known[key] = next
	}
}

// learnConflict learns the state of a record from the error of a transaction. A
// record that the error doesn't tell is read anew next time.
func (l *Limiter) learnConflict(key string, err error) {
	var conflict *txn.ConflictError
	if errors.As(err, &conflict) {
		if item, ok := conflict.Item(key); ok {
			l.learn(key, item)
			return
		}
	}
	l.markOutdated(key)
}

// admitByCount counts the waiting tokens and returns a permit that writes the next
// record, or an error if the job doesn't fit. No shares may be in use.
func (l *Limiter) admitByCount(ctx context.Context, req Request, present knownRecord) (Permit, error) {
	if count, ok := l.recentCount(req); ok && !fits(present.Limit, count.Waiting, req.Tokens) {
		return Permit{}, l.refuseUnlessAccepted(ctx, req, count, present)
	}
	start := l.Clock.Now()
	jobs, err := l.Jobs(ctx, req.Queue)
	if err != nil {
		return Permit{}, errStore(err)
	}
	for _, j := range jobs {
		if j.ID == req.JobID {
			return Permit{}, ErrAccepted
		}
	}
	count := timedCount{Count: Sum(jobs), at: start}
	l.storeCount(req, count)
	l.Metrics.observe(req, count.Waiting, present.Limit)
	if !fits(present.Limit, count.Waiting, req.Tokens) {
		if req.Customer != "" {
			// The job may be recorded without a customer: then it is not in this queue.
			return Permit{}, l.refuseUnlessAccepted(ctx, req, count, present)
		}
		return Permit{}, l.refuse(req, count, present)
	}
	next := plan(present.Record, count.Waiting, req.Tokens, l.Hosts())
	value, err := cbor.Marshal(next)
	if err != nil {
		return Permit{}, errors.Wrap(err, "encode backlog record")
	}
	return Permit{key: req.key(), rev: present.rev, tokens: req.Tokens, next: &next, value: value}, nil
}

// recentCount returns the last count of a queue unless it is older than countTTL.
func (l *Limiter) recentCount(req Request) (timedCount, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count, ok := l.counts[req.key()]
	return count, ok && l.Clock.Now().Sub(count.at) <= countTTL
}

func (l *Limiter) storeCount(req Request, count timedCount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[req.key()] = count
}

// refuseUnlessAccepted refuses a job on an earlier count. The job may have been
// accepted since then, by a host whose response was lost.
func (l *Limiter) refuseUnlessAccepted(ctx context.Context, req Request, count timedCount, present knownRecord) error {
	accepted, err := l.IsAccepted(ctx, req.JobID)
	switch {
	case err != nil:
		return errStore(err)
	case accepted:
		return ErrAccepted
	}
	return l.refuse(req, count, present)
}

// refuse logs a refusal and returns its error.
func (l *Limiter) refuse(req Request, count timedCount, present knownRecord) error {
	now := l.Clock.Now()
	after := retryAfter(count.Count, present.Limit, req.Tokens, now, rand.Float64())
	l.Metrics.refused.Inc()
	l.Log.WithFields(logrus.Fields{
		"job": req.JobID, "route": req.route(), "customer": req.Customer, "tokens": req.Tokens, "waiting": count.Waiting,
		"limit": present.Limit, "config_version": present.ConfigVersion, "rev": present.rev, "age_ms": now.Sub(count.at).Milliseconds(), "retry_after": after.String(),
	}).Info("job refused: too many tokens wait on its route")
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "The job's %d tokens exceed the limit of %d: %d tokens wait on the route.",
		req.Tokens, present.Limit, count.Waiting).WithRetryAfter(after)
}

// Accepted records that the transaction with a permit took effect at a revision.
func (l *Limiter) Accepted(p Permit, rev txn.Rev) {
	if p.next != nil {
		l.store(p.key, knownRecord{Record: *p.next, rev: rev})
	}
}

// Failed records that the transaction with a permit failed. After anything but a
// refusal or a conflict it may still take effect, so the tokens stay used.
func (l *Limiter) Failed(p Permit, err error) {
	switch {
	case p.key == "":
	case errors.Is(err, txn.ErrConflict):
		l.learnConflict(p.key, err)
	case p.next != nil:
		l.markOutdated(p.key)
	case verdict.Of(err) == verdict.NotRun:
		l.release(p)
	}
}

// release returns the tokens of a job that was not accepted to this host's share.
func (l *Limiter) release(p Permit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if present, ok := l.known[p.key]; ok && present.rev == p.rev {
		present.used -= p.tokens
		l.known[p.key] = present
	}
}

func errStore(err error) error {
	return verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "The waiting tokens can't be counted now.").WithRetryAfter(maxRetryAfter)
}
