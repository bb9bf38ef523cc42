package timeline_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyspindle/comfreyspindle/timeline"
)

func matchAll(*timeline.Event) bool { return true }

// process is a recorder with a clock that may be skewed.
type process struct {
	*timeline.Recorder
	clock *clockwork.FakeClock
}

func newProcess(name string, skew time.Duration, events int) *process {
	c := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0).Add(skew))
	return &process{timeline.NewRecorder(name, timeline.NewClock(c), events), c}
}

// TestMergeIsCausal checks that no event precedes its cause in the merged time
// line, when processes with clock skews of up to 5 s record events and exchange
// messages that carry stamps.
func TestMergeIsCausal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ps []*process
		for i := range rapid.IntRange(2, 5).Draw(t, "processes") {
			skew := time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "wrong")) * time.Millisecond
			ps = append(ps, newProcess(fmt.Sprintf("p%d", i), skew, 256))
		}
		// known[i] are the events that process i has recorded or received with a
		// message; before[id] are those known when the event id was recorded.
		known := make([]map[string]bool, len(ps))
		before := make(map[string]map[string]bool)
		for i := range known {
			known[i] = make(map[string]bool)
		}
		record := func(i, n int) {
			id := fmt.Sprint(n)
			before[id] = clone(known[i])
			known[i][id] = true
			ps[i].Record(timeline.Event{Request: id})
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(ps)-1).Draw(t, "process")
			ps[i].clock.Advance(time.Duration(rapid.IntRange(0, 50).Draw(t, "passes")) * time.Millisecond)
			if rapid.Bool().Draw(t, "message") {
				j := rapid.IntRange(0, len(ps)-1).Draw(t, "to")
				ps[j].Clock().Observe(ps[i].Clock().Now())
				for id := range known[i] {
					known[j][id] = true
				}
				continue
			}
			record(i, n)
		}
		var rings [][]timeline.Event
		for _, p := range ps {
			rings = append(rings, p.Events(matchAll))
		}
		merged, cut := timeline.Merge(rings, 0)
		require.Zero(t, cut)
		require.Len(t, merged, len(before))
		index := make(map[string]int)
		for i, e := range merged {
			index[e.Request] = i
		}
		for id, causes := range before {
			for cause := range causes {
				require.Less(t, index[cause], index[id], "an event precedes its cause")
			}
		}
	})
}

func clone(m map[string]bool) map[string]bool {
	out := make(map[string]bool, len(m))
	for k := range m {
		out[k] = true
	}
	return out
}

// TestMergeKeepsEachEventOnceInOrder checks that a merge contains every event
// once and in order, also when a list of events is given twice, and that a limit
// keeps the newest events.
func TestMergeKeepsEachEventOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []timeline.Event
		var rings [][]timeline.Event
		for i := range rapid.IntRange(0, 6).Draw(t, "rings") {
			p := newProcess(fmt.Sprintf("p%d", i), 0, 64)
			for range rapid.IntRange(0, 20).Draw(t, "events") {
				p.clock.Advance(time.Duration(rapid.IntRange(0, 3).Draw(t, "passes")) * time.Millisecond)
				p.Record(timeline.Event{})
			}
			ring := p.Events(matchAll)
			want = append(want, ring...)
			rings = append(rings, ring)
			if rapid.Bool().Draw(t, "twice") {
				rings = append(rings, ring)
			}
		}
		slices.SortFunc(want, func(a, b timeline.Event) int { return a.Compare(&b) })
		limit := rapid.IntRange(0, 50).Draw(t, "limit")
		got, cut := timeline.Merge(rings, limit)
		if limit > 0 && len(want) > limit {
			require.Equal(t, len(want)-limit, cut)
			want = want[len(want)-limit:]
		}
		require.Len(t, got, len(want))
		for i := range got {
			require.Equal(t, want[i], got[i])
		}
	})
}

func TestRecorderIsBoundedAndReadInPages(t *testing.T) {
	p := newProcess("p", 0, 10)
	for i := range 7 {
		p.Record(timeline.Event{Request: fmt.Sprint(i)})
	}
	page := p.After(0, matchAll)
	require.Len(t, page.Events, 7)
	require.Zero(t, page.Lost)
	for i := range 5 {
		p.Record(timeline.Event{Request: fmt.Sprint(7 + i)})
	}
	next := p.After(page.Next, matchAll)
	require.Equal(t, []string{"7", "8", "9", "10", "11"}, requests(next.Events))
	require.Empty(t, p.After(next.Next, matchAll).Events)
	for i := range 30 {
		p.Record(timeline.Event{Request: fmt.Sprint(12 + i)})
	}
	late := p.After(next.Next, matchAll)
	require.Len(t, late.Events, 10)
	require.EqualValues(t, 20, late.Lost, "overwritten events are counted")
	require.Len(t, p.After(1<<40, matchAll).Events, 10, "a position from an earlier process starts at the oldest event")
}

func requests(events []timeline.Event) []string {
	var out []string
	for _, e := range events {
		out = append(out, e.Request)
	}
	return out
}

func TestFilter(t *testing.T) {
	e := timeline.Event{Stamp: timeline.Stamp{Millis: 5000}, Host: "h", Request: "r", Job: "j"}
	cases := []struct {
		filter timeline.Filter
		want   bool
	}{
		{timeline.Filter{}, true},
		{timeline.Filter{Request: "r", Job: "j", Host: "h", Since: time.UnixMilli(5000)}, true},
		{timeline.Filter{Request: "x"}, false},
		{timeline.Filter{Job: "x"}, false},
		{timeline.Filter{Host: "x"}, false},
		{timeline.Filter{Since: time.UnixMilli(5001)}, false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, c.filter.Match(&e), "%+v", c.filter)
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, hosts := range []int{8, 250} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			rings := make([][]timeline.Event, hosts)
			for h := range rings {
				p := newProcess(fmt.Sprintf("p%d", h), 0, 1000)
				for range 1000 {
					p.clock.Advance(time.Millisecond)
					p.Record(timeline.Event{})
				}
				rings[h] = p.Events(matchAll)
			}
			b.ReportAllocs()
			for b.Loop() {
				timeline.Merge(rings, 0)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(1000*hosts), "ns/event")
		})
	}
}
