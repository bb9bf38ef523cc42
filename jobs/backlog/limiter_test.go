package backlog

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// jobPrefix is the prefix of the test's own records of jobs, which hold the tokens
// that wait.
const jobPrefix = "job/"

// world is a store with the limiters of several hosts.
type world struct {
	t     require.TestingT
	store *txntest.Store
	clock *clockwork.FakeClock
	hosts []Host
	// finished are the tokens of the items that ended, by job.
	finished map[string]int64
}

func newWorld(t require.TestingT, names ...string) *world {
	w := &world{t: t, store: txntest.NewStore(), clock: clockwork.NewFakeClock(), finished: make(map[string]int64)}
	for _, name := range names {
		w.hosts = append(w.hosts, Host{Name: name, Incarnation: 1})
	}
	return w
}

func (w *world) limiter(self Host) *Limiter {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewLimiter(Options{
		Store: w.store, Self: func() Host { return self }, Hosts: func() []Host { return w.hosts }, Clock: w.clock,
		Jobs:       func(ctx context.Context, _ Queue) ([]Job, error) { return w.jobs(ctx) },
		IsAccepted: w.isAccepted, Log: logrus.NewEntry(log), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
}

func (w *world) isAccepted(ctx context.Context, id string) (bool, error) {
	_, err := w.store.Get(ctx, jobPrefix+id)
	if errors.Is(err, txn.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

func (w *world) jobs(ctx context.Context) ([]Job, error) {
	items, _, err := txn.List(ctx, w.store, jobPrefix)
	var jobs []Job
	for _, item := range items {
		var waiting int64
		require.NoError(w.t, cbor.Unmarshal(item.Value, &waiting))
		id := strings.TrimPrefix(item.Key, jobPrefix)
		jobs = append(jobs, Job{ID: id, Created: w.clock.Now(), Waiting: waiting, Finished: w.finished[id]})
	}
	return jobs, err
}

// waiting returns the tokens that wait, read without faults.
func (w *world) waiting() int64 {
	w.store.SetFault(nil)
	jobs, err := w.jobs(context.Background())
	require.NoError(w.t, err)
	return Sum(jobs).Waiting
}

func request(id string, tokens, limit int64) Request {
	return Request{JobID: id, Queue: Queue{RouteHost: "h", RoutePrefix: "/p/"}, Tokens: tokens, Limit: limit, ConfigVersion: 1}
}

// transaction returns the transaction that records a job with a permit.
func transaction(t require.TestingT, id string, tokens int64, p Permit) txn.Request {
	value, err := cbor.Marshal(tokens)
	require.NoError(t, err)
	req := txn.Request{If: []txn.Condition{{Key: jobPrefix + id}}, Writes: []txn.Write{{Key: jobPrefix + id, Value: value}}}
	p.AddTo(&req)
	return req
}

// accept accepts a job as the manager of jobs does, and returns the error of the
// last step.
func (w *world) accept(l *Limiter, req Request) error {
	for {
		p, err := l.Admit(context.Background(), req)
		if err != nil {
			return err
		}
		rev, err := w.store.Commit(context.Background(), transaction(w.t, req.JobID, req.Tokens, p))
		if err == nil {
			l.Accepted(p, rev)
			return nil
		}
		l.Failed(p, err)
		if !errors.Is(err, txn.ErrConflict) {
			return err
		}
	}
}

// finish records that tokens of a job's items have ended.
func (w *world) finish(id string, tokens int64) {
	item, err := w.store.Get(context.Background(), jobPrefix+id)
	require.NoError(w.t, err)
	var waiting int64
	require.NoError(w.t, cbor.Unmarshal(item.Value, &waiting))
	value, err := cbor.Marshal(waiting - tokens)
	require.NoError(w.t, err)
	_, err = w.store.Commit(context.Background(), txn.Request{Writes: []txn.Write{{Key: item.Key, Value: value}}})
	require.NoError(w.t, err)
	w.finished[id] += tokens
}

func requireRefused(t *testing.T, err error) {
	t.Helper()
	require.Error(t, err)
	e := verdict.As(err)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Equal(t, verdict.CodeOverloaded, e.Code)
}

// Two hosts fill the limit to the last token, and a job that doesn't fit is refused
// until items have finished.
func TestJobsAreAcceptedUpToTheLimit(t *testing.T) {
	w := newWorld(t, "a", "b")
	a, b := w.limiter(w.hosts[0]), w.limiter(w.hosts[1])
	for i := range 5 {
		require.NoError(t, w.accept(a, request(fmt.Sprint("a", i), 100, 1000)))
		require.NoError(t, w.accept(b, request(fmt.Sprint("b", i), 100, 1000)))
	}
	err := w.accept(a, request("over", 1, 1000))
	requireRefused(t, err)
	require.Positive(t, verdict.As(err).RetryAfter)
	w.finish("b0", 1)
	w.clock.Advance(countTTL + 1)
	require.NoError(t, w.accept(a, request("over", 1, 1000)))
	requireRefused(t, w.accept(b, request("larger than the limit", 1001, 1000)))
	require.EqualValues(t, 1000, w.waiting())
}

// An accepted job that is sent again to another host while the queue is full must
// not be refused: it runs.
func TestAcceptedJobIsNotRefused(t *testing.T) {
	w := newWorld(t, "a", "b")
	a, b := w.limiter(w.hosts[0]), w.limiter(w.hosts[1])
	requireRefused(t, w.accept(b, request("too large", 101, 100)))
	require.NoError(t, w.accept(a, request("j", 100, 100)))
	errtest.Is(t, w.accept(b, request("j", 100, 100)), ErrAccepted)
	w.clock.Advance(countTTL + 1)
	errtest.Is(t, w.accept(b, request("j", 100, 100)), ErrAccepted)
}

// A host that stood still with a permit commits after the room was given away.
func TestPermitOfFrozenHostDoesNotOutliveItsShare(t *testing.T) {
	w := newWorld(t, "a", "b")
	a, b := w.limiter(w.hosts[0]), w.limiter(w.hosts[1])
	require.NoError(t, w.accept(a, request("first", 10, 1000)))
	frozen, err := a.Admit(t.Context(), request("frozen", 400, 1000))
	require.NoError(t, err)
	require.NoError(t, w.accept(b, request("large", 900, 1000)), "more than the share of b")
	_, err = w.store.Commit(t.Context(), transaction(t, "frozen", 400, frozen))
	errtest.Is(t, err, txn.ErrConflict)
	require.EqualValues(t, 910, w.waiting())
}

// A host that starts again doesn't know what its last run used of its share.
func TestRestartedHostCountsAnew(t *testing.T) {
	w := newWorld(t, "a")
	require.NoError(t, w.accept(w.limiter(w.hosts[0]), request("first", 10, 1000)))
	require.NoError(t, w.accept(w.limiter(Host{Name: "a", Incarnation: 2}), request("second", 900, 1000)))
	requireRefused(t, w.accept(w.limiter(Host{Name: "a", Incarnation: 3}), request("third", 100, 1000)))
}

// Most jobs are accepted with one transaction and without a further call.
func TestAcceptanceWithinTheShareCostsNoCall(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	a := w.limiter(w.hosts[0])
	require.NoError(t, w.accept(a, request("first", 10, 100_000)))
	calls := func() int { return w.store.Calls("get") + w.store.Calls("range") + w.store.Calls("commit") }
	before := calls()
	for i := range 50 {
		require.NoError(t, w.accept(a, request(fmt.Sprint("j", i), 10, 100_000)))
	}
	require.Equal(t, 50, calls()-before)
}

// A host reads the record again after a call whose outcome is unknown. It must not
// use a second time what it has used of its share.
func TestShareIsUsedOnce(t *testing.T) {
	w := newWorld(t, "a", "b")
	a, b := w.limiter(w.hosts[0]), w.limiter(w.hosts[1])
	require.NoError(t, w.accept(a, request("first", 10, 1000)))
	const share = (1000 - 10) / 2
	require.NoError(t, w.accept(a, request("half", 250, 1000)))
	w.store.SetFault(func(call string) txntest.Fault {
		if call == "commit" {
			return txntest.LoseRequest
		}
		return txntest.None
	})
	require.Error(t, w.accept(a, request("larger than the rest", 300, 1000)))
	w.store.SetFault(nil)
	require.NoError(t, w.accept(b, request("share of b", share, 1000)))
	for i := 0; w.accept(a, request(fmt.Sprint("j", i), 50, 1000)) == nil; i++ {
		require.LessOrEqual(t, w.waiting(), int64(1000))
	}
	require.Greater(t, w.waiting(), int64(1000-50))
}

// The limit changes while hosts run: it is lowered below what waits, raised, and
// removed. A host that still has the older configuration keeps to the newer limit.
func TestLimitChanges(t *testing.T) {
	w := newWorld(t, "a", "b")
	a, b := w.limiter(w.hosts[0]), w.limiter(w.hosts[1])
	require.NoError(t, w.accept(a, request("j1", 600, 10_000)))
	lowered := request("j2", 100, 500)
	lowered.ConfigVersion = 2
	requireRefused(t, w.accept(a, lowered))
	requireRefused(t, w.accept(b, request("j3", 100, 10_000)))
	raised := request("j4", 100, 700)
	raised.ConfigVersion = 3
	require.NoError(t, w.accept(b, raised))
	raised.JobID = "j5"
	requireRefused(t, w.accept(a, raised))
	removed := request("j6", 100, 0)
	removed.ConfigVersion = 4
	require.NoError(t, w.accept(a, removed))
}

// The store refuses calls: the job is not accepted, and its tokens go back to the
// share.
func TestRefusedTransactionReturnsItsTokens(t *testing.T) {
	w := newWorld(t, "a")
	a := w.limiter(w.hosts[0])
	require.NoError(t, w.accept(a, request("first", 10, 100)))
	for i := range 20 {
		p, err := a.Admit(t.Context(), request(fmt.Sprint("j", i), 40, 100))
		require.NoError(t, err)
		a.Failed(p, verdict.New(verdict.NotRun, verdict.CodePlatformUnavailable, "refused"))
	}
	require.NoError(t, w.accept(a, request("last", 90, 100)))
}

// While the store can't be read, jobs are refused as not run.
func TestUnreadableStoreRefuses(t *testing.T) {
	for _, call := range []string{"get", "range"} {
		w := newWorld(t, "a")
		w.store.SetFault(func(c string) txntest.Fault {
			if c == call {
				return txntest.Refuse
			}
			return txntest.None
		})
		err := w.accept(w.limiter(w.hosts[0]), request("j", 10, 100))
		require.Equal(t, verdict.NotRun, verdict.Of(err), call)
		require.Equal(t, verdict.CodePlatformUnavailable, verdict.As(err).Code, call)
	}
}

// delayed is a transaction that a frozen host or the network still holds.
type delayed struct {
	limiter *Limiter
	permit  Permit
	req     txn.Request
}

// Under any schedule of acceptances, freezes, restarts, lost replies, late writes
// and finished items, the tokens that wait stay within the limit, and a job is
// refused only when it didn't fit.
func TestLimitHoldsUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 200
		w := newWorld(t, "a", "b", "c")
		limiters := make([]*Limiter, len(w.hosts))
		for i, h := range w.hosts {
			limiters[i] = w.limiter(h)
		}
		var held []delayed
		jobs := 0
		commit := func(d delayed) {
			rev, err := w.store.Commit(context.Background(), d.req)
			if err != nil {
				d.limiter.Failed(d.permit, err)
				return
			}
			d.limiter.Accepted(d.permit, rev)
		}
		submit := func(t *rapid.T) {
			l := rapid.SampledFrom(limiters).Draw(t, "host")
			tokens := rapid.SampledFrom([]int64{0, 5, 10, 20, 150}).Draw(t, "tokens")
			jobs++
			id := fmt.Sprint(jobs)
			before := w.waiting()
			if fault := rapid.SampledFrom([]txntest.Fault{txntest.None, txntest.None, txntest.None, txntest.LoseReply, txntest.LoseRequest, txntest.Late}).Draw(t, "fault"); fault != txntest.None {
				w.store.SetFault(func(string) txntest.Fault { return fault })
			}
			p, err := l.Admit(context.Background(), request(id, tokens, limit))
			w.store.SetFault(nil)
			if err != nil && verdict.As(err).Code == verdict.CodePlatformUnavailable {
				return
			}
			if err != nil {
				require.Greater(t, before+tokens, int64(limit), "refused although it fits")
				return
			}
			d := delayed{l, p, transaction(t, id, tokens, p)}
			switch rapid.SampledFrom([]string{"commit", "commit", "freeze", "lose reply", "late"}).Draw(t, "fate") {
			case "commit":
				commit(d)
			case "freeze":
				held = append(held, d)
			case "lose reply":
				w.store.SetFault(func(string) txntest.Fault { return txntest.LoseReply })
				commit(d)
			case "late":
				w.store.SetFault(func(string) txntest.Fault { return txntest.Late })
				commit(d)
			}
			w.store.SetFault(nil)
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": submit,
			"submit several": func(t *rapid.T) {
				for range rapid.IntRange(2, 12).Draw(t, "jobs") {
					submit(t)
				}
			},
			"thaw": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				d := held[i]
				held = slices.Delete(held, i, i+1)
				commit(d)
			},
			"release late writes": func(*rapid.T) { w.store.ReleaseLate() },
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(limiters)-1).Draw(t, "host")
				w.hosts[i].Incarnation++
				limiters[i] = w.limiter(w.hosts[i])
			},
			"finish": func(t *rapid.T) {
				jobs, err := w.jobs(context.Background())
				require.NoError(t, err)
				if len(jobs) == 0 {
					t.Skip()
				}
				j := rapid.SampledFrom(jobs).Draw(t, "job")
				w.finish(j.ID, rapid.Int64Range(0, j.Waiting).Draw(t, "tokens"))
				w.clock.Advance(countTTL + time.Millisecond)
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, w.waiting(), int64(limit))
			},
		})
	})
}
