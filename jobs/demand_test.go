package jobs

import (
	"cmp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/forward"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
)

// withCustomers gives a host's configuration the customer acme and a batch route of
// priority 2.
func (h *testHost) withCustomers() {
	directory, _ := customer.NewDirectory([]customer.Definition{{Customer: customer.Customer{Name: "acme", Priority: 1}, Keys: []string{"secret"}}})
	h.Table = func() *route.Table {
		table := route.NewTable(1, route.Limits{}, []*route.Route{{
			Host: "h", Prefix: "/p/", Kind: route.Batch, Priority: 2, MaxAttempts: 2, Targets: []route.Target{{Service: "svc", Weight: 1}},
		}}, nil)
		table.Customers = directory
		return table
	}
}

// Guards against demand that a broker can't tell apart by customer, and against totals
// that leave out items: brokers of older builds read only these.
func TestDemandIsSplitByCustomer(t *testing.T) {
	a := newCluster(t, "a").hosts["a"]
	a.withCustomers()
	for i, access := range []Access{acme, acme, zeta, {}} {
		require.NoError(t, a.Submit(t.Context(), submissionOf(access, string(rune('a'+i)), 2)))
	}
	demand := a.Demand(false)
	require.Len(t, demand, 1)
	require.Equal(t, 8, demand[0].Items)
	shares := demand[0].Shares
	slices.SortFunc(shares, func(a, b slots.ShareDemandMessage) int { return cmp.Compare(a.Share.Customer, b.Share.Customer) })
	want := []slots.ShareDemandMessage{
		{Share: slots.Share{Priority: 2}, Items: 2},
		{Share: slots.Share{Customer: "acme", CustomerPriority: 1, Priority: 2}, Items: 4},
		{Share: slots.Share{Customer: "zeta", CustomerPriority: removedCustomerPriority, Priority: 2}, Items: 2},
	}
	for i := range shares {
		require.Positive(t, shares[i].DueIn)
		shares[i].DueIn = 0
	}
	require.Equal(t, want, shares)
}

// Guards against demand that changes where the configuration has no customers, though
// jobs of former customers wait.
func TestDemandWithoutCustomersHasNoShares(t *testing.T) {
	a := newCluster(t, "a").hosts["a"]
	require.NoError(t, a.Submit(t.Context(), submissionOf(acme, "job", 2)))
	require.Empty(t, a.Demand(false)[0].Shares)
}

// Guards against a slot of one customer that runs another one's item, and against slots of
// a broker of an older build, which knows no shares, that are returned unused.
func TestSlotGoesToAnItemOfItsCustomer(t *testing.T) {
	a := newCluster(t, "a").hosts["a"]
	a.withCustomers()
	require.NoError(t, a.Submit(t.Context(), submissionOf(zeta, "first", 1)))
	require.NoError(t, a.Submit(t.Context(), submissionOf(acme, "second", 1)))
	var sent []string
	a.replicas.answer = func(req *forward.Request, s forward.SendArgs) (*forward.Response, error) {
		sent = append(sent, req.Customer.Name)
		return answerInFull(req, s)
	}
	grant := func(id slots.GrantID, share slots.Share) slots.Outcome {
		a.Granted(slots.Grant{ID: id, Replica: replica.Replica{ID: "r", Service: "svc"}, Share: share})
		return <-a.released
	}
	share := slots.Share{Customer: "acme", CustomerPriority: 1, Priority: 2}
	require.Equal(t, slots.Done, grant(1, share))
	require.Equal(t, []string{"acme"}, sent)
	require.Equal(t, slots.Unused, grant(2, share))
	require.Equal(t, slots.Done, grant(3, slots.Share{}))
	require.Empty(t, a.Demand(false))
}
