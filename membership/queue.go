package membership

import (
	"math/bits"
	"sort"
)

// spreadFactor times the logarithm of the number of members is the number of
// messages that carry one update, at least minSpread.
const (
	spreadFactor = 1
	minSpread    = 6
)

// item names an update that waits to be spread: a host or a claim.
type item struct {
	// dataCentre is set for a host, service for a claim.
	dataCentre, service string
	name                string
}

// queue holds the updates that still have to be carried, as in section 4.1 of
// the SWIM paper: those carried least often go first.
type queue struct {
	sent map[item]int
	// fresh counts items that no message has carried yet.
	fresh int
}

func newQueue() *queue { return &queue{sent: make(map[item]int)} }

// add queues an update anew.
func (q *queue) add(i item) {
	if n, ok := q.sent[i]; !ok || n > 0 {
		q.fresh++
	}
	q.sent[i] = 0
}

// take returns at most n items for one message to a fleet of the given size.
func (q *queue) take(n, members int) []item {
	if len(q.sent) == 0 {
		return nil
	}
	items := make([]item, 0, len(q.sent))
	for i := range q.sent {
		items = append(items, i)
	}
	sort.Slice(items, func(a, b int) bool { return q.before(items[a], items[b]) })
	items = items[:min(n, len(items))]
	limit := max(minSpread, spreadFactor*bits.Len(uint(members)))
	for _, i := range items {
		if q.sent[i] == 0 {
			q.fresh--
		}
		q.sent[i]++
		if q.sent[i] >= limit {
			delete(q.sent, i)
		}
	}
	return items
}

func (q *queue) before(a, b item) bool {
	switch {
	case q.sent[a] != q.sent[b]:
		return q.sent[a] < q.sent[b]
	case a.service != b.service:
		return a.service < b.service
	case a.dataCentre != b.dataCentre:
		return a.dataCentre < b.dataCentre
	default:
		return a.name < b.name
	}
}
