package slots

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/quota"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// tokens are quotas of one customer with some tokens.
type tokens struct {
	mu             sync.Mutex
	left           int
	polled         []string
	stamp          quota.Stamp
	received       quota.Stamp
	attachedBefore string
	admittedBy     int64
}

func (q *tokens) Take(_ string, admittedBy int64) (quota.Refusal, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admittedBy = admittedBy
	if q.left == 0 {
		return quota.Refusal{RetryAfter: 700 * time.Millisecond, Level: 0.5}, false
	}
	q.left--
	return quota.Refusal{}, true
}
func (q *tokens) Return(string) { q.mu.Lock(); defer q.mu.Unlock(); q.left++ }

func (q *tokens) count() int { q.mu.Lock(); defer q.mu.Unlock(); return q.left }

func (q *tokens) PollAttachment(broker string) quota.Attachment {
	q.attachedBefore = broker
	return quota.Attachment{CountedElsewhereFor: time.Second}
}
func (q *tokens) PollReplied(_ string, stamp quota.Stamp) { q.received = stamp }
func (q *tokens) Polled(host string, _ quota.Attachment)  { q.polled = append(q.polled, host) }
func (q *tokens) PollStamp() quota.Stamp                  { return q.stamp }

// newQuotaFleet returns a fleet whose brokers each have some tokens.
func newQuotaFleet(left int) (*fleet, map[string]*tokens) {
	f := newFleet()
	all := make(map[string]*tokens)
	for name, m := range f.hosts {
		all[name] = &tokens{left: left, stamp: quota.Stamp{Process: 1, At: 1}}
		m.broker.SetQuotas(all[name])
		m.Quotas = all[name]
	}
	return f, all
}

// Each row states how many tokens requests take.
func TestRequestsTakeTokens(t *testing.T) {
	rows := []struct {
		name  string
		args  AcquireArgs
		times int
		left  int
	}{
		{"of a customer", AcquireArgs{Customer: "c", ConfigVersion: 7}, 2, 3},
		{"charged before", AcquireArgs{Customer: "c", Charged: true}, 2, 5},
		{"without a customer", AcquireArgs{}, 2, 5},
		{"refused for lack of slots", AcquireArgs{Customer: "c"}, 4, 3},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f, all := newQuotaFleet(5)
			broker, _ := f.broker("x")
			row.args.Service = service
			for range row.times {
				require.NoError(t, broker.broker.Acquire(row.args, new(AcquireReply)))
			}
			require.Equal(t, row.left, all[broker.name()].left)
			require.Equal(t, row.args.ConfigVersion, all[broker.name()].admittedBy)
		})
	}
}

// A request over its customer's quota runs after all, in another data centre.
func TestRequestOverQuotaIsRefusedEverywhere(t *testing.T) {
	f, all := newQuotaFleet(5)
	broker, other := f.broker("x")
	all[broker.name()].left = 0
	_, err := other.Acquire(context.Background(), AcquireArgs{Host: other.name(), Service: service, Customer: "c"}, time.Second)
	var refusal *RefusedError
	require.True(t, errors.As(err, &refusal))
	require.True(t, refusal.OverQuota)
	require.Equal(t, 700*time.Millisecond, refusal.RetryAfter)
	require.InDelta(t, 0.5, refusal.Quota.Level, 0)
	require.Zero(t, f.callsOf("Slots.Acquire y1")+f.callsOf("Slots.Acquire y2"))
}

// A request that leaves the queue without a slot keeps its token.
func TestTokenIsReturnedWhenTheWaitEnds(t *testing.T) {
	f, all := newQuotaFleet(5)
	broker, _ := f.broker("x")
	for range 2 {
		require.NoError(t, broker.broker.Acquire(AcquireArgs{Service: service}, new(AcquireReply)))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = broker.broker.Acquire(AcquireArgs{Service: service, Customer: "c", MaxWait: time.Second}, new(AcquireReply))
	}()
	require.NoError(t, f.clock.BlockUntilContext(context.Background(), 1))
	broker.broker.StepDown()
	<-done
	require.Equal(t, 5, all[broker.name()].left)
}

// Polls of other data centres count a host at two brokers.
func TestHostsAreCountedAtTheBrokerOfTheirDataCentre(t *testing.T) {
	f, all := newQuotaFleet(5)
	broker, other := f.broker("x")
	var reply PollReply
	remote := PollArgs{Host: "y1", Partial: true}
	broker.broker.countPoll(&remote)
	broker.broker.stampPoll(&remote, &reply)
	require.Empty(t, all[broker.name()].polled)
	require.Zero(t, reply.Quota)
	f.poll(t, other)
	require.Equal(t, []string{other.name()}, all[broker.name()].polled)
	require.Equal(t, broker.name(), all[other.name()].attachedBefore)
	require.Equal(t, all[broker.name()].stamp, all[other.name()].received)
}

// A host that starts is asked as broker before it has replica records and tokens. It
// refuses requests as over their quota, and no other broker is asked.
func TestBrokerWithoutRecordsTakesNoTokens(t *testing.T) {
	f, all := newQuotaFleet(5)
	broker, other := f.broker("x")
	all[broker.name()].left = 0
	broker.broker.replicas = nil
	g, err := other.Acquire(context.Background(), AcquireArgs{Host: other.name(), Service: service, Customer: "c"}, 0)
	require.NoError(t, err)
	require.Equal(t, other.name(), g.Broker)
	require.Equal(t, 4, all[other.name()].left)
}

// A request whose grant is not used, since the broker didn't know of the replica's rate
// limit, takes a second token in another data centre.
func TestRequestIsChargedOnceWhenARateLimitForbidsItsGrant(t *testing.T) {
	f, all := newQuotaFleet(5)
	broker, other := f.broker("x")
	other.says(records(2)["rx"], replica.RateLimit{Limited: true, PerSecond: 1})
	g, err := other.Acquire(context.Background(), AcquireArgs{Host: other.name(), Service: service, Customer: "c"}, 0)
	require.NoError(t, err)
	require.Equal(t, "ry", g.Replica.ID)
	require.Equal(t, 4, all[broker.name()].left)
	require.Equal(t, 5, all[f.brokerOf("y").name()].left)
}

// A host that has just started waits for its first stamp as long as for a grant, so it is
// counted late; or a broker without quotas answers each of its polls at once.
func TestPollForAStampIsAnsweredAtOnce(t *testing.T) {
	f, all := newQuotaFleet(5)
	broker, other := f.broker("x")
	args := PollArgs{Host: other.name(), Version: skipRecords, Quota: quota.Attachment{WantsStamp: true}}
	var reply PollReply
	require.NoError(t, broker.broker.Poll(args, &reply))
	require.Equal(t, all[broker.name()].stamp, reply.Quota)
	all[broker.name()].stamp = quota.Stamp{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = broker.broker.Poll(args, new(PollReply))
	}()
	require.NoError(t, f.clock.BlockUntilContext(context.Background(), 1))
	f.clock.Advance(pollWait)
	<-done
}

// A token that a request has taken is lost if the request doesn't run, or returned twice.
func TestTokensOfRequestsThatDoNotRun(t *testing.T) {
	call := AcquireArgs{Service: service, Customer: "c", Call: 7}
	rows := []struct {
		name string
		play func(t *testing.T, f *fleet, broker, other *member)
		left int
	}{
		{"the host returns it, in a call that is made twice", func(t *testing.T, _ *fleet, broker, _ *member) {
			require.NoError(t, broker.broker.Acquire(call, new(AcquireReply)))
			for range 2 {
				require.NoError(t, broker.broker.Release(ReleaseArgs{Tokens: []uint64{7}}, new(Empty)))
			}
		}, 5},
		{"a call that is made twice takes one", func(t *testing.T, _ *fleet, broker, _ *member) {
			for range 2 {
				require.NoError(t, broker.broker.Acquire(call, new(AcquireReply)))
			}
		}, 4},
		{"a call that is made twice and refused keeps the token of its grant", func(t *testing.T, _ *fleet, broker, _ *member) {
			require.NoError(t, broker.broker.Acquire(call, new(AcquireReply)))
			require.NoError(t, broker.broker.Acquire(AcquireArgs{Service: service}, new(AcquireReply)))
			require.NoError(t, broker.broker.Acquire(call, new(AcquireReply)))
		}, 4},
		{"the host ends a call that waits", func(t *testing.T, f *fleet, broker, _ *member) {
			for range 2 {
				require.NoError(t, broker.broker.Acquire(AcquireArgs{Service: service}, new(AcquireReply)))
			}
			waiting := call
			waiting.MaxWait = time.Second
			done := make(chan struct{})
			go func() { defer close(done); _ = broker.broker.Acquire(waiting, new(AcquireReply)) }()
			require.NoError(t, f.clock.BlockUntilContext(context.Background(), 1))
			require.NoError(t, broker.broker.Release(ReleaseArgs{Tokens: []uint64{7}}, new(Empty)))
			for id := range broker.broker.sched.grants {
				require.NoError(t, broker.broker.Release(ReleaseArgs{Released: []Released{{ID: id}}}, new(Empty)))
				break
			}
			<-done
		}, 5},
		{"a grant that the host doesn't use", func(t *testing.T, _ *fleet, _, other *member) {
			g, err := other.Acquire(context.Background(), AcquireArgs{Host: other.name(), Service: service, Customer: "c"}, 0)
			require.NoError(t, err)
			other.Release(g, Unused)
			other.ReturnToken(g)
		}, 5},
		{"refused by a rate limit after it was granted", func(t *testing.T, _ *fleet, _, other *member) {
			for _, r := range records(2) {
				other.says(r, replica.RateLimit{Limited: true, PerSecond: 1})
			}
			_, err := other.Acquire(context.Background(), AcquireArgs{Host: other.name(), Service: service, Customer: "c"}, 0)
			require.Error(t, err)
		}, 5},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f, all := newQuotaFleet(5)
			broker, other := f.broker("x")
			row.play(t, f, broker, other)
			require.Eventually(t, func() bool { return all[broker.name()].count() == row.left }, time.Second, time.Millisecond)
		})
	}
}

// What a broker remembers of tokens grows without bound.
func TestChargesArePruned(t *testing.T) {
	c, now := charges{}, time.Unix(0, 0)
	for call := range uint64(100) {
		c.add(now, call+1, "c")
		require.False(t, c.end(call+1, true))
		now = now.Add(time.Second)
	}
	require.LessOrEqual(t, len(c.byCall), 21)
}
