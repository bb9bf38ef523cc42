package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

const observer = "self"

func host(name string, incarnation uint64) membership.Host {
	return membership.Host{Name: name, DataCentre: "dc", Incarnation: incarnation}
}

func record(name string, rev txn.Rev) Record { return Record{Host: host(name, uint64(rev)), Rev: rev} }

func fact(name string, rev txn.Rev, s Status) Fact {
	return Fact{Host: host(name, uint64(rev)), Rev: rev, Status: s}
}

// signed returns a fact with a sign of an age.
func signed(f Fact, age time.Duration) Fact {
	f.Signed, f.Age = true, age
	return f
}

// names returns the sorted names of hosts.
func names(hosts []membership.Host) []string {
	out := make([]string, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	slices.Sort(out)
	return out
}

func expiredNames(t *Table) []string {
	var hosts []membership.Host
	for _, r := range t.Expired() {
		hosts = append(hosts, r.Host)
	}
	return names(hosts)
}

// A lost host x stays a member only while somebody has to ping it, whatever peers say of it
// and in whichever order that comes.
func TestMembersAfterFactsOfSeveralSources(t *testing.T) {
	const now = time.Minute
	removed := func(table *Table) {
		table.List(5, []Record{record("x", 5)})
		table.Delete("x", 8)
		table.Unanswered("x", 5, now)
	}
	for name, row := range map[string]struct {
		facts            func(table *Table)
		members, expired []string
	}{
		"a listed host is a member": {func(table *Table) {
			table.List(9, []Record{record("x", 5)})
		}, []string{"x"}, nil},
		"a peer names a host before the listing, which lacks it": {func(table *Table) {
			table.Merge(now, &Report{Facts: []Fact{fact("x", 5, Listed)}, At: 6}, observer)
			table.List(9, nil)
		}, []string{"x"}, []string{"x"}},
		"a peer names a host that the listing before lacked": {func(table *Table) {
			table.List(9, nil)
			table.Merge(now, &Report{Facts: []Fact{fact("x", 5, Listed)}, At: 6}, observer)
		}, []string{"x"}, []string{"x"}},
		"a peer names a host that has registered after the listing": {func(table *Table) {
			table.List(9, nil)
			table.Merge(now, &Report{Facts: []Fact{fact("x", 12, Listed)}, At: 12}, observer)
		}, []string{"x"}, nil},
		"a peer of an older build names a host that the listing lacks": {func(table *Table) {
			table.List(9, nil)
			r := Hearsay([]membership.Host{host("x", 5)})
			table.Merge(now, &r, observer)
		}, []string{"x"}, []string{"x"}},
		"a peer has not removed a removed host": {func(table *Table) {
			removed(table)
			table.Merge(now, &Report{Facts: []Fact{fact("x", 5, Listed)}, At: 6}, observer)
			table.Merge(now, &Report{Facts: []Fact{signed(fact("x", 5, Expired), time.Second)}, At: 9}, observer)
			r := Hearsay([]membership.Host{host("x", 5)})
			table.Merge(now, &r, observer)
		}, nil, nil},
		"a peer was answered after the removal": {func(table *Table) {
			removed(table)
			table.Merge(now+2*time.Second, &Report{Facts: []Fact{signed(fact("x", 5, Expired), time.Second)}, At: 9}, observer)
		}, []string{"x"}, []string{"x"}},
		"a removed host registers again": {func(table *Table) {
			removed(table)
			table.Write(record("x", 12))
		}, []string{"x"}, nil},
		"the end of a record comes after the next one": {func(table *Table) {
			table.List(5, []Record{record("x", 5)})
			table.Merge(now, &Report{Facts: []Fact{fact("x", 12, Listed)}, At: 12}, observer)
			table.Delete("x", 8)
		}, []string{"x"}, nil},
		"a peer has removed the incarnation before": {func(table *Table) {
			table.Write(record("x", 12))
			table.Merge(now, &Report{Facts: []Fact{signed(fact("x", 5, Removed), 0)}, At: 9}, observer)
		}, []string{"x"}, nil},
		"a peer has removed a host whose end this host has not seen": {func(table *Table) {
			table.List(5, []Record{record("x", 5)})
			table.Merge(now, &Report{Facts: []Fact{signed(fact("x", 5, Removed), 0)}, At: 9}, observer)
		}, nil, nil},
		"two that ping take over each other's view": {func(table *Table) {
			table.List(9, []Record{record("x", 5)})
			table.Delete("x", 10)
			table.Merge(now, &Report{Facts: []Fact{fact("x", 5, Expired)}, At: 10}, observer)
		}, []string{"x"}, []string{"x"}},
		"the broker that is followed has removed a host": {func(table *Table) {
			table.List(5, []Record{record("x", 5)})
			table.Follow(now, &Report{At: 9}, observer)
		}, nil, nil},
		"the broker that is followed pings a host": {func(table *Table) {
			table.List(5, []Record{record("x", 5)})
			table.Follow(now, &Report{Facts: []Fact{fact("x", 5, Expired)}, At: 9}, observer)
		}, []string{"x"}, []string{"x"}},
		"the broker that is followed has not seen a new host": {func(table *Table) {
			table.Write(record("x", 12))
			table.Follow(now, &Report{At: 9}, observer)
		}, []string{"x"}, nil},
		"the broker that is followed is of an older build": {func(table *Table) {
			table.Write(record("x", 12))
			r := Hearsay(nil)
			table.Follow(now, &r, observer)
		}, []string{"x"}, nil},
		"a peer of another zone names a host after the broker has removed it": {func(table *Table) {
			table.List(5, []Record{record("x", 5)})
			table.Follow(now, &Report{At: 9}, observer)
			table.Merge(now+time.Second, &Report{Facts: []Fact{fact("x", 5, Listed)}, At: 6}, observer)
		}, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			row.facts(table)
			require.ElementsMatch(t, row.members, names(table.Members()))
			require.ElementsMatch(t, row.expired, expiredNames(table))
		})
	}
}

// A removal is remembered for some time, and told to peers.
func TestRemovalIsReported(t *testing.T) {
	table := NewTable()
	table.Write(record("x", 5))
	table.Delete("x", 6)
	changes := table.Unanswered("x", 5, time.Minute)
	require.Equal(t, Changes{Removed: []membership.Host{host("x", 5)}}, changes)
	require.Equal(t, []Fact{signed(fact("x", 5, Removed), time.Second)}, table.Report(time.Minute+time.Second).Facts)
	require.Empty(t, table.Report(time.Minute+2*removalMemory).Facts)
}

// world is a store with records, the processes of the hosts, and tables of hosts that observe
// them.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	rev     txn.Rev
	records map[string]Record
	// changes holds all changes of records; one without an incarnation is the end of one.
	changes []Record
	// alive holds the incarnations of the processes that answer pings.
	alive  map[string]uint64
	tables []*observedTable
	// reports holds replies of peers that are on their way.
	reports []sentReport
}

// observedTable is a table and the number of changes that were applied to it since its listing.
type observedTable struct {
	*Table
	read   int
	listed bool
}

type sentReport struct {
	Report
	to   int
	sent time.Duration
}

func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), records: make(map[string]Record), alive: make(map[string]uint64)}
	for range 3 {
		w.tables = append(w.tables, &observedTable{Table: NewTable()})
	}
	return w
}

func (w *world) change(r Record) {
	w.rev++
	r.Rev = w.rev
	w.changes = append(w.changes, r)
	if r.Host.Incarnation == 0 {
		delete(w.records, r.Host.Name)
		return
	}
	w.records[r.Host.Name] = r
}

// register writes a record of a host that runs.
func (w *world) register(name string) { w.change(Record{Host: host(name, w.alive[name])}) }

func (w *world) list(o *observedTable) {
	records := make([]Record, 0, len(w.records))
	for _, r := range w.records {
		records = append(records, r)
	}
	o.List(w.rev, records)
	o.read, o.listed = len(w.changes), true
}

// watch applies the changes since the listing.
func (w *world) watch(o *observedTable) {
	for _, r := range w.changes[o.read:] {
		if r.Host.Incarnation == 0 {
			o.Delete(r.Host.Name, r.Rev)
		} else {
			o.Write(r)
		}
	}
	o.ReadTo(w.rev)
	o.read = len(w.changes)
}

// ping pings the members without a record, as long as it takes to remove those that are lost.
func (w *world) ping(o *observedTable) {
	for _, r := range o.Expired() {
		if w.alive[r.Host.Name] == r.Host.Incarnation {
			o.Answered(r.Host.Name, r.Rev, w.now)
		} else {
			o.Unanswered(r.Host.Name, r.Rev, w.now)
		}
	}
}

func (w *world) fetch(to int, from *observedTable) {
	w.reports = append(w.reports, sentReport{from.Report(w.now), to, w.now})
}

// step lets one thing happen.
func (w *world) step() {
	w.now += time.Duration(w.rng.IntN(400)) * time.Millisecond
	name := fmt.Sprint("h", w.rng.IntN(4))
	i := w.rng.IntN(len(w.tables))
	o := w.tables[i]
	_, registered := w.records[name]
	switch w.rng.IntN(10) {
	case 0:
		w.alive[name] = uint64(w.rev) + 1
		w.register(name)
	case 1:
		delete(w.alive, name)
	case 2:
		if registered {
			w.change(Record{Host: membership.Host{Name: name}})
		}
	case 3:
		if _, ok := w.alive[name]; ok && !registered {
			w.register(name)
		}
	case 4:
		w.list(o)
	case 5:
		if o.listed {
			w.watch(o)
		}
	case 6:
		w.ping(o)
	case 7:
		w.fetch(i, w.tables[w.rng.IntN(len(w.tables))])
	case 8:
		if len(w.reports) > 0 {
			n := w.rng.IntN(len(w.reports))
			r := w.reports[n]
			w.reports = slices.Delete(w.reports, n, n+1)
			if to := w.tables[r.to]; w.rng.IntN(2) == 0 {
				to.Merge(r.sent, &r.Report, observer)
			} else {
				to.Follow(r.sent, &r.Report, observer)
			}
		}
	case 9:
		if w.rng.IntN(5) == 0 {
			w.tables[i] = &observedTable{Table: NewTable()}
		}
	}
}

// settle ends the disruption: the records of lost hosts expire and the others register.
// One host becomes the broker and pings, and the others follow it.
func (w *world) settle() {
	for n := range 4 {
		name := fmt.Sprint("h", n)
		r, registered := w.records[name]
		incarnation, alive := w.alive[name]
		switch {
		case alive && (!registered || r.Host.Incarnation != incarnation):
			w.register(name)
		case registered && !alive:
			w.change(Record{Host: membership.Host{Name: name}})
		}
	}
	broker := w.tables[0]
	w.list(broker)
	for _, r := range w.reports {
		w.tables[r.to].Merge(r.sent, &r.Report, observer)
	}
	w.now += time.Second
	w.ping(broker)
	for _, o := range w.tables[1:] {
		r := broker.Report(w.now)
		o.Follow(w.now, &r, observer)
	}
}

// After any order of listings, watches, pings, late replies of peers, restarts and changes of
// the broker, a member without a record is one that is to be pinged, and hosts that follow a
// broker see those that live and no others. A lost host stayed in the view for good.
func TestLostHostsLeaveTheView(t *testing.T) {
	for seed := range uint64(2000) {
		w := newWorld(seed)
		for range 120 {
			w.step()
			for _, o := range w.tables {
				if o.listed && o.at == w.rev && o.read == len(w.changes) {
					w.requireUnlistedPinged(t, o, seed)
				}
			}
		}
		w.settle()
		var living []string
		for name := range w.alive {
			living = append(living, name)
		}
		for i, o := range w.tables {
			require.ElementsMatch(t, living, names(o.Members()), "seed %d, host %d", seed, i)
		}
	}
}

// requireUnlistedPinged checks that each member without a record is to be pinged.
func (w *world) requireUnlistedPinged(t *testing.T, o *observedTable, seed uint64) {
	t.Helper()
	expired := expiredNames(o.Table)
	for _, h := range o.Members() {
		if _, ok := w.records[h.Name]; !ok {
			require.Contains(t, expired, h.Name, "seed %d", seed)
		}
	}
}

// Tables that have received the same reports have the same members, in whichever order the
// reports came.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	for seed := range uint64(1000) {
		w := newWorld(seed)
		var reports []sentReport
		for range 80 {
			w.step()
			for _, o := range w.tables {
				if w.rng.IntN(20) == 0 {
					reports = append(reports, sentReport{Report: o.Report(w.now), sent: w.now})
				}
			}
		}
		var want *Table
		for range 3 {
			w.rng.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
			table := NewTable()
			for _, r := range reports {
				table.Merge(r.sent, &r.Report, observer)
			}
			if want == nil {
				want = table
			}
			require.Equal(t, names(want.Members()), names(table.Members()), "seed %d", seed)
			require.Equal(t, expiredNames(want), expiredNames(table), "seed %d", seed)
		}
	}
}
