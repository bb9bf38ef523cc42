// Package registry decides which hosts are members from what the store, pings and
// peers say of the hosts' records. It makes no calls and reads no clock.
//
// Each fact names the write of a record that it is about, by the store's revision.
// Facts about a later write count more. Of one write, a record that is gone does not
// come back; then the latest sign counts, whether a ping was answered or the host was
// removed. The order of facts is total, so that tables that have received the same
// facts agree, in whichever order they came.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

// Status says what became of a record.
type Status uint8

const (
	// Listed means that the record is in the store.
	Listed Status = iota
	// Expired means that the record is gone. Its host stays a member while it answers pings,
	// since the store may have rejected its renewals or been unavailable itself.
	Expired
	// Removed means that the record is gone and the host did not answer. It is a member again
	// only with a new record, or if it answers another host later.
	Removed
)

// removalMemory is the time for which removals are remembered.
const removalMemory = 10 * time.Minute

// Fact is what a host knows of the record of another one, as sent between hosts.
type Fact struct {
	Host membership.Host
	// Rev is the revision at which the record was written, or zero if that is not known.
	Rev    txn.Rev
	Status Status
	// Signed reports that there was a sign: an answer to a ping if the record is
	// expired, or the removal. Age is the time since then.
	Signed bool
	Age    time.Duration
}

// Report is what a host knows of all records, as sent between hosts.
type Report struct {
	Facts []Fact
	// At is the revision up to which the host knows all changes of records, or zero if
	// there is none.
	At txn.Rev
}

// Members returns the hosts that are members by a report.
func (r *Report) Members() []membership.Host {
	var hosts []membership.Host
	for _, f := range r.Facts {
		if f.Status != Removed {
			hosts = append(hosts, f.Host)
		}
	}
	return hosts
}

// Record is a host's record that was read from the store.
type Record struct {
	Host membership.Host
	Rev  txn.Rev
}

// entry is what is known of one host. Times are those of one clock that goes on while
// the process is suspended.
type entry struct {
	host   membership.Host
	rev    txn.Rev
	status Status
	// signed is set once there was a sign, and signedAt its time.
	signed   bool
	signedAt time.Duration
}

// compare orders entries of one name. The greater one counts.
func (e *entry) compare(o *entry) int {
	if c := cmp.Or(cmp.Compare(e.rev, o.rev), cmp.Compare(e.host.Incarnation, o.host.Incarnation)); c != 0 {
		return c
	}
	if e.status == Listed || o.status == Listed {
		return cmp.Or(cmp.Compare(e.status, o.status), cmp.Compare(e.host.State, o.host.State))
	}
	if e.signed != o.signed {
		if e.signed {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(e.signedAt, o.signedAt), cmp.Compare(e.status, o.status))
}

// Table holds the records of all hosts by name. It is not safe for concurrent use.
type Table struct {
	entries map[string]entry
	// at is the revision up to which all changes are known.
	at txn.Rev
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[string]entry)} }

// Changes are the effects of facts on the members.
type Changes struct {
	// Added holds the hosts that are new members or have changed, and Removed those that are
	// no longer members.
	Added, Removed []membership.Host
}

// Any reports whether members were added, changed or removed.
func (c *Changes) Any() bool { return len(c.Added)+len(c.Removed) > 0 }

// Add adds other effects.
func (c *Changes) Add(other Changes) {
	c.Added = append(c.Added, other.Added...)
	c.Removed = append(c.Removed, other.Removed...)
}

// List applies a complete listing of the records, which has all changes up to a
// revision.
func (t *Table) List(at txn.Rev, records []Record) Changes {
	var changes Changes
	listed := make(map[string]struct{}, len(records))
	for _, r := range records {
		listed[r.Host.Name] = struct{}{}
		changes.Add(t.Write(r))
	}
	for name, e := range t.entries {
		if _, ok := listed[name]; !ok && e.rev <= at {
			t.expire(name)
		}
	}
	t.ReadTo(at)
	return changes
}

// ReadTo records that all changes up to a revision were applied.
func (t *Table) ReadTo(at txn.Rev) { t.at = max(t.at, at) }

// Write applies a record as it was written.
func (t *Table) Write(r Record) Changes {
	return t.put(entry{host: r.Host, rev: r.Rev})
}

// Delete applies the end of a host's record at a revision.
func (t *Table) Delete(name string, rev txn.Rev) {
	if e, ok := t.entries[name]; ok && e.rev <= rev {
		t.expire(name)
	}
}

func (t *Table) expire(name string) {
	if e := t.entries[name]; e.status == Listed {
		e.status = Expired
		t.entries[name] = e
	}
}

// put applies an entry if it counts more than the present one.
func (t *Table) put(e entry) Changes {
	old, known := t.entries[e.host.Name]
	if known && e.compare(&old) <= 0 {
		return Changes{}
	}
	t.entries[e.host.Name] = e
	wasMember, isMember := known && old.status != Removed, e.status != Removed
	switch {
	case isMember && (!wasMember || old.host != e.host):
		return Changes{Added: []membership.Host{e.host}}
	case wasMember && !isMember:
		return Changes{Removed: []membership.Host{old.host}}
	}
	return Changes{}
}

// Answered records that a host answered a ping that was sent at a time, while its
// record of a revision was expired.
func (t *Table) Answered(name string, rev txn.Rev, sent time.Duration) {
	if e, ok := t.entries[name]; ok && e.rev == rev && e.status == Expired {
		e.signed, e.signedAt = true, sent
		t.put(e)
	}
}

// Unanswered removes a host that did not answer pings while its record of a revision
// was expired.
func (t *Table) Unanswered(name string, rev txn.Rev, now time.Duration) Changes {
	e, ok := t.entries[name]
	if !ok || e.rev != rev || e.status != Expired {
		return Changes{}
	}
	e.status, e.signed, e.signedAt = Removed, true, now
	return t.put(e)
}

// Merge applies the report of a peer that was requested at a time. Ages count from
// then, so that no sign seems later than it was. The entry of the host itself, whose
// name is given, doesn't change.
func (t *Table) Merge(sent time.Duration, r *Report, self string) Changes {
	var changes Changes
	listed := make(map[string]txn.Rev, len(r.Facts))
	for _, f := range r.Facts {
		if f.Host.Name == self {
			continue
		}
		if f.Status == Listed {
			listed[f.Host.Name] = f.Rev
		}
		changes.Add(t.apply(sent, f))
	}
	for name, e := range t.entries {
		if rev, ok := listed[name]; name != self && r.covers(e.rev) && (!ok || rev < e.rev) {
			t.expire(name)
		}
	}
	t.ReadTo(r.At)
	return changes
}

// covers reports whether the report has all changes since a record was written.
func (r *Report) covers(rev txn.Rev) bool { return r.At != 0 && rev <= r.At }

// apply applies a fact of a peer. A record that the peer takes for listed is gone if
// this table has all changes since it was written and doesn't list it.
func (t *Table) apply(sent time.Duration, f Fact) Changes {
	old, known := t.entries[f.Host.Name]
	e := entry{host: f.Host, rev: f.Rev, status: f.Status, signed: f.Signed, signedAt: sent - max(f.Age, 0)}
	isListed := known && old.status == Listed && old.rev == f.Rev
	if f.Status == Listed && !isListed && t.at != 0 && f.Rev <= t.at {
		e.status = Expired
	}
	return t.put(e)
}

// Follow is Merge for a host that leaves pings to the peer: the expired hosts that the
// peer does not name as members are removed, if it knows all changes since their
// records were written.
func (t *Table) Follow(sent time.Duration, r *Report, self string) Changes {
	changes := t.Merge(sent, r, self)
	members := make(map[string]struct{}, len(r.Facts))
	for _, h := range r.Members() {
		members[h.Name] = struct{}{}
	}
	for name, e := range t.entries {
		if _, ok := members[name]; !ok && name != self && e.status == Expired && r.covers(e.rev) {
			changes.Add(t.Unanswered(name, e.rev, max(sent, e.signedAt)))
		}
	}
	return changes
}

// Forget removes what is known of a host.
func (t *Table) Forget(name string) { delete(t.entries, name) }

// Members returns the hosts that are members.
func (t *Table) Members() []membership.Host {
	hosts := make([]membership.Host, 0, len(t.entries))
	for _, e := range t.entries {
		if e.status != Removed {
			hosts = append(hosts, e.host)
		}
	}
	return hosts
}

// Expired returns the records of the members whose records are gone.
func (t *Table) Expired() []Record {
	var expired []Record
	for _, e := range t.entries {
		if e.status == Expired {
			expired = append(expired, Record{Host: e.host, Rev: e.rev})
		}
	}
	return expired
}

// IsExpired reports whether a host is a member although its record of a revision is
// gone.
func (t *Table) IsExpired(r Record) bool {
	e, ok := t.entries[r.Host.Name]
	return ok && e.rev == r.Rev && e.status == Expired
}

// Report returns what the table knows. It forgets removals that are older than
// removalMemory.
func (t *Table) Report(now time.Duration) Report {
	maps.DeleteFunc(t.entries, func(_ string, e entry) bool { return e.status == Removed && now-e.signedAt > removalMemory })
	r := Report{At: t.at, Facts: make([]Fact, 0, len(t.entries))}
	for _, e := range t.entries {
		f := Fact{Host: e.host, Rev: e.rev, Status: e.status, Signed: e.signed}
		if e.signed {
			f.Age = now - e.signedAt
		}
		r.Facts = append(r.Facts, f)
	}
	slices.SortFunc(r.Facts, func(a, b Fact) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	return r
}

// Hearsay returns a report of hosts that a peer of an older build knows, which tells
// neither the writes of their records nor removals.
func Hearsay(hosts []membership.Host) Report {
	r := Report{Facts: make([]Fact, 0, len(hosts))}
	for _, h := range hosts {
		r.Facts = append(r.Facts, Fact{Host: h})
	}
	return r
}
