package slots

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

func acquireOf(s *Scheduler, now time.Time, customer string, wait time.Duration) Decision {
	return s.Acquire(now, AcquireArgs{Host: "h", Service: service, Customer: customer, MaxWait: wait})
}

// customersOf returns the customers of the waiters in the order in which they get slots.
func customersOf(s *Scheduler) []string {
	var names []string
	for _, w := range s.pool(service).queue {
		names = append(names, w.args.Customer)
	}
	return names
}

// grantNext ends the oldest grant and returns the customer that gets its slot.
func grantNext(s *Scheduler, now time.Time) string {
	var oldest *grantState
	for _, g := range s.grants {
		if oldest == nil || g.Since.Before(oldest.Since) || g.Since.Equal(oldest.Since) && g.ID < oldest.ID {
			oldest = g
		}
	}
	s.Release(now, oldest.ID, Done)
	return s.Plan(now).Granted[0].Grant.Share.Customer
}

// Guards against a queue in which all of one customer's requests go before the first of
// another, and against slots that stay free when only one customer asks.
func TestWaitersOfCustomersTakeTurns(t *testing.T) {
	s := newScheduler(1, 4)
	for range 4 {
		require.NotNil(t, acquireOf(s, start, "big", 0).Grant, "unused shares are there for anyone")
	}
	for range 3 {
		acquireOf(s, start, "big", 2*time.Second)
	}
	acquireOf(s, start, "small", 2*time.Second)
	acquireOf(s, start, "small", 2*time.Second)
	require.Equal(t, []string{"small", "big", "small", "big", "big"}, customersOf(s))
}

// Guards against an order by share that overrides priorities: a customer that has used
// little doesn't go before those of higher priority, or resumed streams.
func TestSharesOrderOnlyEqualPriorities(t *testing.T) {
	s := newScheduler(1, 1)
	acquireOf(s, start, "heavy", 0)
	for _, args := range []AcquireArgs{
		{Customer: "light", Priority: 1}, {Customer: "heavy"}, {Customer: "light", CustomerPriority: 1}, {Customer: "heavy", Pinned: true, Priority: -1},
	} {
		args.Host, args.Service, args.MaxWait = "h", service, 9*time.Second
		require.NotNil(t, s.Acquire(start, args).Waiter)
	}
	q := s.pool(service).queue
	require.True(t, q[0].args.Pinned)
	require.Equal(t, []string{"heavy", "heavy", "light", "light"}, customersOf(s))
}

// Guards against shares by the number of requests: a customer whose requests use a slot
// four times as long gets about a quarter as many.
func TestSharesAreOfSlotTime(t *testing.T) {
	s := newScheduler(1, 1)
	now := start
	grants := map[string]int{}
	acquireOf(s, now, "long", 0)
	holder := "long"
	for range 400 {
		for _, c := range []string{"long", "short"} {
			if !slices.Contains(customersOf(s), c) {
				acquireOf(s, now, c, time.Hour)
			}
		}
		used := 100 * time.Millisecond
		if holder == "long" {
			used *= 4
		}
		now = now.Add(used)
		holder = grantNext(s, now)
		grants[holder]++
	}
	require.InDelta(t, 4, float64(grants["short"])/float64(grants["long"]), 0.4)
}

// Guards against use that stays at its estimate: a customer whose request took longer than
// expected goes after one whose request didn't.
func TestChargeIsCorrectedWhenGrantEnds(t *testing.T) {
	s := newScheduler(1, 2)
	long, short := acquireOf(s, start, "long", 0).Grant.ID, acquireOf(s, start, "short", 0).Grant.ID
	now := start.Add(initialServiceTime)
	s.Release(now, short, Done)
	acquireOf(s, now, "third", 0)
	now = start.Add(3 * initialServiceTime)
	s.Release(now, long, Done)
	acquireOf(s, now, "fourth", 0)
	acquireOf(s, now, "long", time.Hour)
	acquireOf(s, now, "short", time.Hour)
	acquireOf(s, now, "short", time.Hour)
	require.Equal(t, []string{"short", "short", "long"}, customersOf(s))
}

// Guards against a customer that is shut out for as long as one request of it once took.
func TestDebtIsForgottenAfterHorizon(t *testing.T) {
	s := newScheduler(1, 1)
	now := start
	acquireOf(s, now, "streams", 0)
	acquireOf(s, now, "other", time.Hour)
	now = now.Add(100 * time.Second)
	served := map[string]int{grantNext(s, now): 1}
	for range 20 {
		for _, c := range []string{"streams", "other"} {
			acquireOf(s, now, c, time.Hour)
		}
		now = now.Add(600 * time.Millisecond)
		served[grantNext(s, now)]++
	}
	require.GreaterOrEqual(t, served["streams"], 7)
	require.Less(t, served["streams"], served["other"])
}

// Guards against a broker that takes over and counts the slots that a customer holds as
// nothing: its next requests would go before those of customers that hold none.
func TestAdoptedGrantsCountAgainstShares(t *testing.T) {
	s := newScheduler(1, 2)
	var held []Grant
	for i := range 2 {
		held = append(held, Grant{ID: GrantID(i + 1), Host: "h", Replica: s.pool(service).replicas[0].Replica, Since: start, Share: Share{Customer: "big"}})
	}
	s.Sync(start, "h", held, nil, false)
	acquireOf(s, start, "big", time.Hour)
	acquireOf(s, start, "small", time.Hour)
	require.Equal(t, []string{"small", "big"}, customersOf(s))
}

// Guards against claims saved up in a pause, and against debts from long ago: either would
// give all slots to one of two customers for as long as the other was served alone.
func TestPauseLeavesNoClaimAndNoDebt(t *testing.T) {
	s := newScheduler(1, 1)
	now := start
	acquireOf(s, now, "old", 0)
	acquireOf(s, now, "back", time.Hour)
	for range 100 {
		acquireOf(s, now, "old", time.Hour)
		now = now.Add(600 * time.Millisecond)
		grantNext(s, now)
	}
	served := map[string]int{}
	for range 20 {
		for _, c := range []string{"old", "back"} {
			acquireOf(s, now, c, time.Hour)
		}
		now = now.Add(600 * time.Millisecond)
		served[grantNext(s, now)]++
	}
	require.InDelta(t, 10, served["back"], 2)
}

// Guards against requests that wait for nothing: those of a customer over its share leave
// the queue as soon as one that goes before them takes their last chance, not at their
// deadline, and the newcomer isn't refused in their place.
func TestCustomerOverItsShareIsDisplaced(t *testing.T) {
	s := newScheduler(1, 2)
	for range 2 {
		acquireOf(s, start, "big", 0)
	}
	wait := initialServiceTime + 100*time.Millisecond
	var last *Waiter
	for range 2 {
		last = acquireOf(s, start, "big", wait).Waiter
		require.NotNil(t, last)
	}
	refused := acquireOf(s, start, "big", wait)
	require.Nil(t, refused.Waiter, "no room is left behind its own requests")
	require.Equal(t, ShareUse{Share: 1, Used: 1}, refused.Share)
	require.NotNil(t, acquireOf(s, start, "small", wait).Waiter)
	plan := s.Plan(start)
	require.Equal(t, []*Waiter{last}, plan.Refused)
	require.True(t, last.refusal.Share.Displaced)
	require.GreaterOrEqual(t, last.refusal.RetryAfter, minRetryAfter)
	require.Less(t, last.refusal.RetryAfter, maxRetryAfter)
	require.Empty(t, s.Plan(start).Refused)
}

// Guards against a displaced request whose caller is told only when its wait is over, or
// that its host sends to another broker as if this one had stepped down.
func TestDisplacedRequestIsToldAtOnce(t *testing.T) {
	b := NewBroker(clockwork.NewFakeClock(), rand.New(rand.NewPCG(1, 2)), logrus.NewEntry(logrus.New()))
	r := replicasOf(1, 1)[0]
	b.SetReplicas(map[string]replica.Replica{r.ID: r}, r.DataCentre)
	args := AcquireArgs{Host: "h", Service: service, Customer: "big"}
	require.NoError(t, b.Acquire(args, new(AcquireReply)))
	args.MaxWait = initialServiceTime + 100*time.Millisecond
	done := make(chan AcquireReply, 1)
	go func() {
		var reply AcquireReply
		_ = b.Acquire(args, &reply)
		done <- reply
	}()
	require.Eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.waiting) == 1
	}, 5*time.Second, time.Millisecond)
	args.Customer = "small"
	go func() { _ = b.Acquire(args, new(AcquireReply)) }()
	select {
	case reply := <-done:
		require.False(t, reply.Granted || reply.Moved)
		require.True(t, reply.Share.Displaced)
		require.Positive(t, reply.RetryAfter)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the displaced request still waits")
	}
}

// Guards against state of customers that stays: without them for a while, all is as if
// there had never been any.
func TestIdleCustomersAreForgotten(t *testing.T) {
	s := newScheduler(1, 2)
	id := acquireOf(s, start, "a", 0).Grant.ID
	now := start.Add(2*debtHorizon + time.Second)
	s.Release(now, id, Done)
	later := acquire(s, now, 0).Grant.ID
	now = now.Add(2*debtHorizon + time.Second)
	s.Release(now, later, Done)
	require.Empty(t, s.pool(service).shares.classes)
}

// Guards against any effect on deployments without customers: on the existing load the
// expected wait counts all waiters, the queue is in its former order, and nothing is
// displaced.
func TestWithoutCustomersDecisionsAreAsBefore(t *testing.T) {
	for seed := range uint64(3) {
		l := &loadModel{s: newScheduler(6, 8), rng: rand.New(rand.NewPCG(seed, 3)), now: start, active: make(map[GrantID]*activeRun)}
		l.onDecision = func(d Decision) {
			p := l.s.pool(service)
			require.Empty(t, p.shares)
			require.True(t, slices.IsSortedFunc(p.queue, compareWaiters))
			if d.Grant != nil {
				return
			}
			ahead := len(p.queue)
			if d.Waiter != nil {
				ahead--
			}
			f := newForecast(false, l.s.expectedStarts(l.now, p, &AcquireArgs{Service: service}))
			require.Equal(t, f.waitBehind(ahead, p.serviceTime), d.Wait)
			require.Equal(t, d.Wait <= objective, d.Waiter != nil)
		}
		l.run(42, 0.404)
	}
}

// BenchmarkAcquireInFullQueue measures one decision and its plan with 300 waiters of 73
// customers and no free slot.
func BenchmarkAcquireInFullQueue(b *testing.B) {
	for _, named := range []bool{false, true} {
		b.Run(fmt.Sprint("customers=", named), func(b *testing.B) {
			s := newScheduler(18, 8)
			for i := range 18*8 + 300 {
				args := AcquireArgs{Host: "h", Service: service, MaxWait: time.Hour}
				if named {
					args.Customer = fmt.Sprint("c", i%73)
				}
				s.Acquire(start, args)
			}
			args := s.pool(service).queue[17].args
			for b.Loop() {
				d := s.Acquire(start, args)
				s.Plan(start)
				s.RemoveWaiter(start, d.Waiter)
			}
		})
	}
}
