package jobs

import (
	"math"
	"time"

	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
)

// removedCustomerPriority is the priority of customers that are no longer in the
// configuration. Their jobs run after those of all others.
const removedCustomerPriority = math.MaxInt32

// itemShare returns the share that an item's slot time counts against. Items of jobs
// without a customer share as one of the highest customer priority, as requests do.
func (m *Manager) itemShare(it *item, rt *route.Route) slots.Share {
	share := slots.Share{Customer: it.job.head.Customer, Priority: rt.Priority}
	if share.Customer == "" {
		return share
	}
	share.CustomerPriority = removedCustomerPriority
	if c, ok := m.Table().Customers.ByName(share.Customer); ok {
		share.CustomerPriority = c.Priority
	}
	return share
}

// serviceDemand collects the demand for slots of one service.
type serviceDemand struct {
	total   slots.DemandMessage
	byShare map[slots.Share]*slots.ShareDemandMessage
}

func newServiceDemand(service string) *serviceDemand {
	return &serviceDemand{total: slots.DemandMessage{Service: service}, byShare: make(map[slots.Share]*slots.ShareDemandMessage)}
}

// add adds an item that is due after the given time.
func (d *serviceDemand) add(left time.Duration) { addItem(&d.total.Items, &d.total.DueIn, left) }

// addShare adds an item to the part of its share.
func (d *serviceDemand) addShare(share slots.Share, left time.Duration) {
	s, ok := d.byShare[share]
	if !ok {
		s = &slots.ShareDemandMessage{Share: share}
		d.byShare[share] = s
	}
	addItem(&s.Items, &s.DueIn, left)
}

// addItem counts an item and keeps the time left for the most urgent one.
func addItem(items *int, dueIn *time.Duration, left time.Duration) {
	if *items == 0 || slots.CompareUrgency(left, *dueIn) < 0 {
		*dueIn = left
	}
	*items++
}

// message returns the demand as sent to brokers.
func (d *serviceDemand) message() slots.DemandMessage {
	m := d.total
	for _, s := range d.byShare {
		m.Shares = append(m.Shares, *s)
	}
	return m
}
