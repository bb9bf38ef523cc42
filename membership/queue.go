package membership

import (
	"math/bits"
	"sort"
)

// transmitFactor times the logarithm of the number of members is the number of
// messages that carry one update, at least minTransmits.
const (
	transmitFactor = 1
	minTransmits   = 6
)

// updateKey names an update that waits to be spread: a host or a claim.
type updateKey struct {
	// dataCentre is set for a host, service for a claim.
	dataCentre, service string
	name                string
}

// updateQueue holds the updates that still have to be carried, as in section 4.1 of
// the SWIM paper: those carried least often go first.
type updateQueue struct {
	transmits map[updateKey]int
	// unsent counts items that no message has carried yet.
	unsent int
}

func newUpdateQueue() *updateQueue { return &updateQueue{transmits: make(map[updateKey]int)} }

// add queues an update anew.
func (q *updateQueue) add(i updateKey) {
	if n, ok := q.transmits[i]; !ok || n > 0 {
		q.unsent++
	}
	q.transmits[i] = 0
}

// take returns at most n items for one message to a fleet of the given size.
func (q *updateQueue) take(n, members int) []updateKey {
	if len(q.transmits) == 0 {
		return nil
	}
	items := make([]updateKey, 0, len(q.transmits))
	for i := range q.transmits {
		items = append(items, i)
	}
	sort.Slice(items, func(a, b int) bool { return q.less(items[a], items[b]) })
	items = items[:min(n, len(items))]
	limit := max(minTransmits, transmitFactor*bits.Len(uint(members)))
	for _, i := range items {
		if q.transmits[i] == 0 {
			q.unsent--
		}
		q.transmits[i]++
		if q.transmits[i] >= limit {
			delete(q.transmits, i)
		}
	}
	return items
}

func (q *updateQueue) less(a, b updateKey) bool {
	switch {
	case q.transmits[a] != q.transmits[b]:
		return q.transmits[a] < q.transmits[b]
	case a.service != b.service:
		return a.service < b.service
	case a.dataCentre != b.dataCentre:
		return a.dataCentre < b.dataCentre
	default:
		return a.name < b.name
	}
}
