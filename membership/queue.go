package membership

import (
	"math/bits"
	"sort"
)

// Each update is sent in transmitFactor times the binary logarithm of the number
// of members messages, but in at least minTransmits.
const (
	transmitFactor = 1
	minTransmits   = 6
)

// updateKey identifies the subject of an update: a host or an upstream.
type updateKey struct {
	// dataCentre is set for a host, service for an upstream.
	dataCentre, service string
	name                string
}

// updateQueue holds the updates that still have to be piggybacked on messages, as
// in section 4.1 of the SWIM paper: those sent least often go first.
type updateQueue struct {
	transmits map[updateKey]int
	// unsent counts the updates that no message has carried yet.
	unsent int
}

func newUpdateQueue() *updateQueue { return &updateQueue{transmits: make(map[updateKey]int)} }

// add queues an update, or resets its number of transmissions if it is queued.
func (q *updateQueue) add(i updateKey) {
	if n, ok := q.transmits[i]; !ok || n > 0 {
		q.unsent++
	}
	q.transmits[i] = 0
}

// take returns at most n updates for one message and removes those that have been
// sent often enough for a group of the given number of members.
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
