package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// itemsOf is the demand of a host for items of the given shares, due in 18 s.
func itemsOf(now time.Time, items int, shares ...Share) Demand {
	d := Demand{Service: service, Items: items * len(shares), Due: now.Add(18 * time.Second)}
	for _, share := range shares {
		d.Shares = append(d.Shares, ShareDemand{Share: share, Items: items, Due: d.Due})
	}
	return d
}

// countItems returns the number of grants of a plan by customer.
func countItems(plan Plan) map[string]int {
	n := make(map[string]int)
	for _, g := range plan.Batch {
		n[g.Share.Customer]++
	}
	return n
}

// Guards against a customer that gains by spreading its items over hosts.
func TestItemSharesAreOfCustomersNotOfHosts(t *testing.T) {
	s := newScheduler(2, 8)
	for _, host := range []string{"h1", "h2", "h3"} {
		s.SetDemand(host, itemsOf(start, 100, Share{Customer: "spread"}))
	}
	s.SetDemand("h4", itemsOf(start, 100, Share{Customer: "single"}))
	require.Equal(t, map[string]int{"spread": 8, "single": 8}, countItems(s.Plan(start)))
}

// Guards against an item of a less urgent priority that gets a slot first, and against
// one of a more urgent priority that is stopped first.
func TestItemsOfMoreUrgentPrioritiesComeFirst(t *testing.T) {
	s := newScheduler(1, 4)
	urgent, other := Share{Customer: "urgent"}, Share{Customer: "other", CustomerPriority: 1}
	s.SetDemand("h1", itemsOf(start, 2, other))
	s.SetDemand("h2", itemsOf(start.Add(time.Second), 2, urgent))
	plan := s.Plan(start)
	require.Equal(t, []Share{urgent, urgent, other, other}, []Share{plan.Batch[0].Share, plan.Batch[1].Share, plan.Batch[2].Share, plan.Batch[3].Share})
	s.Acquire(start, AcquireArgs{Host: "h1", Service: service, MaxWait: time.Second})
	require.Equal(t, other, s.Plan(start).Revoked[0].Share)
}

// Guards against requests that stop only the items of small jobs, since those of a large
// job are due earlier.
func TestItemOfCustomerWithMostSlotsIsStopped(t *testing.T) {
	s := newScheduler(1, 8)
	s.SetDemand("h1", itemsOf(start, 7, Share{Customer: "large"}))
	require.Len(t, s.Plan(start).Batch, 7)
	s.SetDemand("h2", itemsOf(start.Add(time.Second), 1, Share{Customer: "small"}))
	require.Len(t, s.Plan(start).Batch, 1)
	s.Acquire(start, AcquireArgs{Host: "h1", Service: service, MaxWait: time.Second})
	require.Equal(t, "large", s.Plan(start).Revoked[0].Share.Customer)
}

// Guards against items that are late and take the slots of those that can be in time.
func TestLateItemsOfACustomerComeLast(t *testing.T) {
	s := newScheduler(1, 2)
	late := itemsOf(start.Add(-19*time.Second), 2, Share{Customer: "late"})
	s.SetDemand("h1", late)
	s.SetDemand("h2", itemsOf(start, 2, Share{Customer: "other"}))
	require.Equal(t, map[string]int{"other": 2}, countItems(s.Plan(start)))
}

// Guards against a broker that takes over and gives a customer with many running items an
// equal part of the next slots.
func TestAdoptedItemsCountAgainstShares(t *testing.T) {
	s := newScheduler(1, 8)
	var held []Grant
	for i := range 6 {
		held = append(held, Grant{ID: GrantID(i + 1), Class: Batch, Host: "h1", Replica: s.pool(service).replicas[0].Replica, Since: start, Due: start.Add(time.Minute), Share: Share{Customer: "large"}})
	}
	s.Sync(start, "h1", held, []Demand{itemsOf(start, 100, Share{Customer: "large"})}, false)
	s.SetDemand("h2", itemsOf(start, 100, Share{Customer: "small"}))
	require.Equal(t, map[string]int{"small": 2}, countItems(s.Plan(start)))
}

// Guards against state of customers' items that stays, and against any effect of them on
// the shares of requests.
func TestItemsOfCustomersLeaveSharesOfRequestsAlone(t *testing.T) {
	s := newScheduler(1, 2)
	s.SetDemand("h1", itemsOf(start, 1, Share{Customer: "a"}))
	id := s.Plan(start).Batch[0].ID
	require.Empty(t, s.pool(service).shares.classes)
	now := start.Add(2*itemDebtHorizon + time.Second)
	s.Release(now, id, Done)
	s.SetDemand("h1", Demand{Service: service, Items: 1, Due: now})
	later := s.Plan(now).Batch[0].ID
	now = now.Add(2*itemDebtHorizon + time.Second)
	s.Release(now, later, Done)
	require.Empty(t, s.pool(service).itemShares.classes)
	require.Empty(t, s.pool(service).shares.classes)
}

// Guards against hosts and brokers of different builds that lose demand.
func TestDemandMessageKeepsShares(t *testing.T) {
	m := DemandMessage{Service: service, Items: 3, DueIn: time.Second, Shares: []ShareDemandMessage{{Share: Share{Customer: "a", Priority: 1}, Items: 3, DueIn: time.Second}}}
	require.Equal(t, Demand{Service: service, Items: 3, Due: start.Add(time.Second), Shares: []ShareDemand{{Share: Share{Customer: "a", Priority: 1}, Items: 3, Due: start.Add(time.Second)}}}, m.demand(start))
	require.Nil(t, DemandMessage{Service: service}.demand(start).Shares)
}

// BenchmarkNextItem measures the choice of the next item among those of 6 customers, where
// claims are calculated, and of 73, on 10 hosts.
func BenchmarkNextItem(b *testing.B) {
	for _, customers := range []int{6, 73} {
		b.Run(fmt.Sprint("customers=", customers), func(b *testing.B) {
			s := newScheduler(18, 8)
			for host := range 10 {
				var shares []Share
				for c := range customers {
					shares = append(shares, Share{Customer: fmt.Sprint("c", c)})
				}
				s.SetDemand(fmt.Sprint("h", host), itemsOf(start.Add(time.Duration(host)*time.Second), 10, shares...))
			}
			p := s.pool(service)
			s.updateItemCapacity(start, p)
			for b.Loop() {
				p.nextItem(start)
			}
		})
	}
}
