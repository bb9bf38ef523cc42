package timeline

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Filter selects events. An empty field matches every event.
type Filter struct {
	Request string    `json:"request,omitempty"`
	Job     string    `json:"job,omitempty"`
	Host    string    `json:"host,omitempty"`
	Since   time.Time `json:"since,omitzero"`
}

// Match reports whether the filter selects an event.
func (f *Filter) Match(e *Event) bool {
	return (f.Request == "" || e.Request == f.Request) &&
		(f.Job == "" || e.Job == f.Job) &&
		(f.Host == "" || e.Host == f.Host) &&
		(f.Since.IsZero() || e.Stamp.Millis >= f.Since.UnixMilli())
}

// Missing is a host that did not deliver its events, and the reason.
type Missing struct {
	Host   string `json:"host"`
	Reason string `json:"reason"`
}

// MergedTimeline is the merged time line of several processes.
type MergedTimeline struct {
	Events []Event `json:"events"`
	// Missing lists the hosts whose events are not included.
	Missing []Missing `json:"missing,omitempty"`
	// Lost is the number of events per host that were overwritten before they
	// were read.
	Lost map[string]uint64 `json:"lost,omitempty"`
	// Next is the position in each host's ring buffer at which the next read
	// continues.
	Next map[string]uint64 `json:"next"`
	// Cut is the number of oldest events omitted because of the limit.
	Cut int `json:"cut,omitempty"`
}

// Compare orders events by stamp, then by host. A cause has a lower stamp than
// its effect, also across processes, because messages between processes carry
// the sender's stamp and the receiver's clock moves past it.
func (e *Event) Compare(o *Event) int {
	return cmp.Or(e.Stamp.Compare(o.Stamp), cmp.Compare(e.Host, o.Host))
}

// Merge merges lists of events, each sorted by stamp, and keeps the newest limit
// events; a limit of 0 keeps all. Events with the same stamp and host are
// duplicates and are kept once. It also returns the number of events omitted
// because of the limit.
func Merge(rings [][]Event, limit int) (merged []Event, cut int) {
	h := make(mergeHeap, 0, len(rings))
	total := 0
	for _, ring := range rings {
		total += len(ring)
		if len(ring) > 0 {
			h = append(h, ring)
		}
	}
	heap.Init(&h)
	merged = make([]Event, 0, total)
	for len(h) > 0 {
		e := &h[0][0]
		if n := len(merged); n == 0 || merged[n-1].Compare(e) != 0 {
			merged = append(merged, *e)
		}
		h[0] = h[0][1:]
		if len(h[0]) == 0 {
			heap.Pop(&h)
		} else {
			heap.Fix(&h, 0)
		}
	}
	if limit > 0 && len(merged) > limit {
		cut = len(merged) - limit
		merged = slices.Clone(merged[cut:])
	}
	return merged, cut
}

// mergeHeap is a min-heap of sorted event lists, ordered by their first events.
type mergeHeap [][]Event

func (h mergeHeap) Len() int           { return len(h) }
func (h mergeHeap) Less(i, j int) bool { return h[i][0].Compare(&h[j][0]) < 0 }
func (h mergeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *mergeHeap) Push(x any) { *h = append(*h, x.([]Event)) }

// Pop implements heap.Interface.
func (h *mergeHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
