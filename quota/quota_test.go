package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/customer"
)

const second = time.Second

// newTestAllocator returns an allocator that sees four hosts, with a limit of 10 requests
// a second, a burst of 10 and no slack.
func newTestAllocator() *Allocator {
	limit := customer.Quota{PerSecond: 10, Burst: 10}
	a := NewAllocator(0, Tolerance{Window: 5 * second, Excess: 0.1}, func(name string) (customer.Quota, int64, bool) { return limit, 1, name == "c" })
	a.SetHosts(0, []string{"h1", "h2", "h3", "h4"})
	return a
}

// attach lets a broker exchange each 250 ms until a time.
func attach(a *Allocator, broker string, hosts int, until time.Duration) {
	for a.now < until {
		reply := a.Exchange(a.now, &ExchangeArgs{Broker: broker})
		a.Exchange(a.now, &ExchangeArgs{Broker: broker, Hosts: hosts, Attachment: Attachment{Echo: reply.Stamp}})
		a.advance(a.now + exchangeInterval)
	}
}

func tokens(a *Allocator, now time.Duration, want int) int {
	return a.Exchange(now, &ExchangeArgs{Broker: "b", ConfigVersion: 1, Wants: []Want{{Customer: "c", Tokens: want, PerSecond: 10, Burst: 10}}}).Answers[0].Tokens
}

// Each row plays attachments and states how many tokens there are afterwards.
func TestAllocatorGrantsItsShare(t *testing.T) {
	rows := []struct {
		name string
		play func(a *Allocator)
		want int
	}{
		{"nothing attached", func(a *Allocator) { a.advance(5 * second) }, 0},
		{"all hosts attached, half a second", func(a *Allocator) { attach(a, "b", 4, second/2) }, 5},
		{"all hosts attached for long", func(a *Allocator) { attach(a, "b", 4, 9*second) }, 10},
		{"all hosts, then three", func(a *Allocator) { attach(a, "b", 4, 9*second); attach(a, "b", 3, 10*second) }, 7},
		{"half of the hosts, none known to have had a majority", func(a *Allocator) { attach(a, "b", 2, 9*second) }, 5},
		{"fewer than half, never a majority", func(a *Allocator) { attach(a, "b", 1, 9*second) }, 0},
		{"fewer than half, shortly after a majority", func(a *Allocator) { attach(a, "b", 4, second); attach(a, "b", 1, 9*second) }, 2},
		{"fewer than half, long after a majority", func(a *Allocator) { attach(a, "b", 4, second); attach(a, "b", 1, minorityLimit+2*second) }, 0},
		{"attached, then suspended", func(a *Allocator) { attach(a, "b", 4, 2*second); a.advance(60 * second) }, 0},
		{"attached again after it was suspended: nothing of the burst is left", func(a *Allocator) {
			attach(a, "b", 4, 2*second)
			a.advance(60 * second)
			attach(a, "b", 4, 60*second+second/2)
		}, 5},
		{"stamp of another process", func(a *Allocator) {
			for a.now < 5*second {
				a.Exchange(a.now, &ExchangeArgs{Broker: "b", Hosts: 4, Attachment: Attachment{Echo: Stamp{Process: 1, At: a.now}}})
				a.advance(a.now + exchangeInterval)
			}
		}, 0},
		{"counted elsewhere for a second", func(a *Allocator) {
			reply := a.Exchange(0, &ExchangeArgs{Broker: "b"})
			a.Exchange(0, &ExchangeArgs{Broker: "b", Hosts: 4, Attachment: Attachment{Echo: reply.Stamp, CountedElsewhereFor: second}})
			a.advance(5 * second)
		}, 0},
		{"a host that left counts on", func(a *Allocator) {
			attach(a, "b", 4, second)
			a.SetHosts(a.now, []string{"h1", "h2", "h3"})
			attach(a, "b", 3, 9*second)
		}, 7},
		{"a host that left long ago", func(a *Allocator) {
			attach(a, "b", 4, second)
			a.SetHosts(a.now, []string{"h1", "h2", "h3"})
			attach(a, "b", 3, departureHold+5*second)
		}, 10},
		{"hosts that left long ago, without a majority", func(a *Allocator) {
			attach(a, "b", 4, second)
			a.SetHosts(a.now, []string{"h1", "h2"})
			attach(a, "b", 2, departureHold+5*second)
		}, 5},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			a := newTestAllocator()
			row.play(a)
			require.Equal(t, row.want, tokens(a, a.now, 100))
		})
	}
}

// A bucket that nobody asked for while shares changed holds more than it could.
func TestBucketLosesWhatExceededItsBurst(t *testing.T) {
	a := newTestAllocator()
	attach(a, "b", 4, 9*second)
	// No host for a moment empties all buckets, touched or not.
	a.advance(a.now + 2*second)
	attach(a, "b", 4, a.now+second/2)
	require.Equal(t, 5, tokens(a, a.now, 100))
	for i := range maxShareChanges + 10 {
		attach(a, "b", 3+i%2, a.now+exchangeInterval)
	}
	require.LessOrEqual(t, tokens(a, a.now, 100), 10)
	require.Less(t, len(a.changes), maxShareChanges+1)
}

// Two requests of a customer with a small quota that come together are refused, or slack
// is granted by each of many allocators.
func TestBucketsHoldAPartOfTheSlack(t *testing.T) {
	rows := []struct {
		attached, want int
	}{{4, 15}, {2, 7}, {1, 3}}
	for _, row := range rows {
		a := newTestAllocator()
		a.tolerance.Slack = 20
		attach(a, "b", 4, second)
		attach(a, "b", row.attached, 9*second)
		require.Equal(t, row.want, tokens(a, a.now, 100), "%d hosts", row.attached)
	}
}

func TestTokensThatAreReturnedAreGrantedAgainOnce(t *testing.T) {
	a := newTestAllocator()
	attach(a, "b", 4, 2*second)
	require.Equal(t, 8, tokens(a, a.now, 8))
	tokens(a, a.now, -3)
	require.Equal(t, 5, tokens(a, a.now, 100))
	tokens(a, a.now, -1000)
	require.Equal(t, 10, tokens(a, a.now, 100), "no more than the burst")
}

// The limit is that of the newest configuration: the allocator's or the broker's.
func TestNewestLimitApplies(t *testing.T) {
	rows := []struct {
		name    string
		version int64
		limit   float64
		want    int
	}{
		{"the broker's is older", 0, 50, 10},
		{"the broker's is newer and higher", 2, 50, 10},
		{"the broker's is newer and lower", 2, 2, 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			a := newTestAllocator()
			attach(a, "b", 4, 9*second)
			tokens(a, a.now, 0)
			reply := a.Exchange(a.now, &ExchangeArgs{Broker: "b", ConfigVersion: row.version, Wants: []Want{{Customer: "c", Tokens: 100, PerSecond: row.limit, Burst: row.limit}}})
			require.Equal(t, row.want, reply.Answers[0].Tokens)
		})
	}
}

// Each row states what a broker decides on a request.
func TestAccountDecides(t *testing.T) {
	limits := func(name string) (customer.Quota, int64, bool) {
		switch name {
		case "c":
			return customer.Quota{PerSecond: 10, Burst: 10}, 1, true
		case "unlimited":
			return customer.Quota{}, 1, true
		case "removed":
			return customer.Quota{}, 3, false
		}
		return customer.Quota{}, 1, false
	}
	filled := func() *Account {
		a := NewAccount(testTolerance, limits, settled(1).rng)
		a.SetHosts(4)
		a.entryOf("c", customer.Quota{PerSecond: 10, Burst: 10}, 1)
		a.changed["c"] = struct{}{}
		a.Exchanged(0, 0, nil, &ExchangeReply{Fleet: FleetState{KnownHosts: 4}})
		wants, _ := a.Wants(0)
		a.Exchanged(0, 0, wants, &ExchangeReply{Fleet: FleetState{KnownHosts: 4}, Answers: []Answer{{Tokens: 2}}})
		return a
	}
	take := func(a *Account, now time.Duration, n int) Decision {
		var d Decision
		for range n {
			d = a.Take(now, "c", 0)
		}
		return d
	}
	rows := []struct {
		name     string
		decide   func(a *Account) Decision
		admitted bool
		waits    bool
	}{
		{"unknown customer", func(a *Account) Decision { return a.Take(0, "x", 0) }, true, false},
		{"unknown customer of the same configuration", func(a *Account) Decision { return a.Take(0, "x", 1) }, true, false},
		{"customer of a newer configuration", func(a *Account) Decision { return a.Take(0, "x", 2) }, true, false},
		{"customer that a newer configuration has removed", func(a *Account) Decision { return a.Take(0, "removed", 2) }, false, false},
		{"no limit", func(a *Account) Decision { return a.Take(0, "unlimited", 0) }, true, false},
		{"credit", func(a *Account) Decision { return take(a, 0, 2) }, true, false},
		{"credit used up", func(a *Account) Decision { return take(a, 0, 3) }, false, true},
		{"credit expired", func(a *Account) Decision { return take(a, exchangeLease, 1) }, false, true},
		{"credit returned", func(a *Account) Decision { take(a, 0, 2); a.Return("c"); return take(a, 0, 1) }, true, false},
		{"the allocator has none", func(a *Account) Decision {
			take(a, 0, 2)
			wants, _ := a.Wants(0)
			a.Exchanged(0, 0, wants, &ExchangeReply{Answers: []Answer{{EmptyFor: second}}})
			return take(a, second/2, 1)
		}, false, false},
		{"the allocator may have some again", func(a *Account) Decision {
			take(a, 0, 2)
			wants, _ := a.Wants(0)
			a.Exchanged(0, 0, wants, &ExchangeReply{Answers: []Answer{{EmptyFor: second}}})
			return take(a, second, 1)
		}, false, true},
		{"the reply was late", func(a *Account) Decision {
			take(a, 0, 2)
			wants, _ := a.Wants(0)
			a.Exchanged(2*second, 0, wants, &ExchangeReply{Answers: []Answer{{Tokens: 5}}})
			return take(a, 2*second, 1)
		}, false, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			d := row.decide(filled())
			require.Equal(t, row.admitted, d.Admitted)
			require.Equal(t, row.waits, d.Waiter != nil)
			if !d.Admitted && !row.waits {
				require.Positive(t, d.Refusal.RetryAfter)
			}
		})
	}
}

// Buckets that aren't used are kept for ever, or a bucket that isn't full yet is deleted and
// grants its burst again.
func TestUnusedBucketsAreDeletedOnceFull(t *testing.T) {
	a := newTestAllocator()
	limits := map[string]customer.Quota{"c": {PerSecond: 10, Burst: 10}, "slow": {PerSecond: 0.01, Burst: 10}, "removed": {}}
	a.limits = func(name string) (customer.Quota, int64, bool) {
		l, ok := limits[name]
		return l, 1, ok && name != "removed"
	}
	attach(a, "b", 4, 2000*second)
	wants := []Want{{Customer: "c", Tokens: 10}, {Customer: "slow", Tokens: 10}, {Customer: "removed", Tokens: 1}}
	a.Exchange(a.now, &ExchangeArgs{Broker: "b", Wants: wants})
	require.Len(t, a.buckets, 3)
	attach(a, "b", 4, a.now+2*pruneInterval)
	require.Len(t, a.buckets, 1)
	reply := a.Exchange(a.now, &ExchangeArgs{Broker: "b", Wants: wants[:2]})
	require.Equal(t, 10, reply.Answers[0].Tokens)
	require.LessOrEqual(t, reply.Answers[1].Tokens, 2)
}

// A host that has left is remembered as an allocator that did not answer.
func TestFailuresOfHostsThatLeftAreForgotten(t *testing.T) {
	n := settled(1)
	h := n.nodes[0]
	h.failures["h01"], h.failures["h02"] = &failures{count: 1}, &failures{count: 1}
	h.view.Set(n.others(h, func(other *node) bool { return other.name != "h01" }))
	h.updateView()
	require.NotContains(t, h.failures, "h01")
	require.Contains(t, h.failures, "h02")
}

// Returned tokens raise a broker's credit above its part of the tolerance, or are lost.
func TestReturnedTokensBeyondTheCreditGoToTheAllocator(t *testing.T) {
	limit := customer.Quota{PerSecond: 10, Burst: 10}
	a := NewAccount(testTolerance, func(string) (customer.Quota, int64, bool) { return limit, 1, true }, settled(1).rng)
	a.SetHosts(1)
	require.NotNil(t, a.Take(0, "c", 1).Waiter)
	a.Exchanged(0, 0, nil, &ExchangeReply{Fleet: FleetState{KnownHosts: 4}})
	wants, _ := a.Wants(0)
	capacity := a.capacity(limit)
	a.Exchanged(0, 0, wants, &ExchangeReply{Fleet: FleetState{KnownHosts: 4}, Answers: []Answer{{Tokens: capacity}}})
	for range 5 {
		a.Return("c")
	}
	require.Equal(t, capacity, a.entries["c"].credit)
	wants, _ = a.Wants(0)
	require.Equal(t, []Want{{Customer: "c", Tokens: -4, PerSecond: 10, Burst: 10}}, wants)
	wants, _ = a.Wants(0)
	require.Empty(t, wants)
}

// A request that waits for a token when its customer is removed runs uncounted, or one whose
// customer has no limit any more is refused.
func TestWaitingRequestsOfCustomersWithoutALimit(t *testing.T) {
	for _, known := range []bool{true, false} {
		limit, ok := customer.Quota{PerSecond: 10, Burst: 10}, true
		a := NewAccount(testTolerance, func(string) (customer.Quota, int64, bool) { return limit, 1, ok }, settled(1).rng)
		d := a.Take(0, "c", 1)
		limit, ok = customer.Quota{}, known
		a.Wants(0)
		d = <-d.Waiter.Decided
		require.Equal(t, known, d.Admitted)
		require.Equal(t, known, d.Refusal.RetryAfter == 0)
	}
}

// The customers that metrics name grow without bound.
func TestMetricsNameTheLargestCustomers(t *testing.T) {
	n := settled(1)
	m := n.nodes[0].Metrics
	for i := range 50 {
		m.count(string(rune('a'+i)), float64(i), true)
	}
	require.Len(t, m.labelled, maxLabels)
	require.Equal(t, otherCustomers, m.label("small", 1))
	require.Equal(t, string(rune('a'+49)), m.label(string(rune('a'+49)), 49))
}

// An allocator that started after a part of the fleet was cut off grants the share of that
// part too, though it goes on with an allocator of its own.
func TestAllocatorStartedDuringAPartitionCountsTheOtherPart(t *testing.T) {
	rows := []struct {
		name  string
		until time.Duration
		want  int
	}{
		{"shortly after its start", 9 * second, 7},
		{"long after its start", departureHold + 5*second, 10},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			before := newTestAllocator()
			a := NewAllocator(0, before.tolerance, before.limits)
			a.SetHosts(0, []string{"h1", "h2", "h3"})
			a.Exchange(0, &ExchangeArgs{Broker: "b", Fleet: FleetState{KnownHosts: 4, HadMajority: true}})
			attach(a, "b", 3, row.until)
			require.Equal(t, row.want, tokens(a, a.now, 100))
		})
	}
}
