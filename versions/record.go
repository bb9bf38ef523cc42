// Package versions records in the store at which software versions streams may have begun.
//
// What replicas of two software versions write doesn't fit together, so a stream may be
// resumed only by a replica of the version that began it. No host knows from its own view
// which versions there were: the view may be incomplete after a start, or out of date. So a
// version is recorded before the first stream begins at one of its replicas, and stays in
// the record for as long as a stream that began there may be resumed. If the record, read
// after a stream is to be resumed, has one version only, then the stream began at that one.
package versions

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
)

// Prefix is the prefix of the records' keys. There is one record for each service.
const Prefix = "fleet/versions/"

const (
	// StreamRetention is how long a stream may be resumed after it began. Callers do that
	// within seconds or not at all.
	StreamRetention = 30 * time.Second
	// retireDelay is how long a version has had no replica when it is retired.
	retireDelay = 2 * time.Second
	// maxVersions bounds the versions that a record names. Further ones are in it as unlisted.
	maxVersions = 16
)

// Record lists the software versions at which streams of a service may have begun that can
// still be resumed.
type Record struct {
	Service  string    `json:"service"`
	Versions []Version `json:"versions"`
}

// Version is a software version in a Record.
type Version struct {
	Name string `json:"name"`
	// Unlisted stands for versions that the record doesn't name: those before it was created,
	// and those beyond maxVersions.
	Unlisted bool `json:"unlisted,omitempty"`
	// Retired is a random number for each time that the version is retired, and 0 while it is
	// not. No stream begins at a retired version. Before one does, the record is written
	// with 0, so that the removal of the version from the former record fails.
	Retired uint64 `json:"retired,omitempty"`
}

// key returns the key of a service's record. Names of services may have any length and any
// characters.
func key(service string) string {
	sum := sha256.Sum256([]byte(service))
	return Prefix + hex.EncodeToString(sum[:16])
}

func decode(item txn.Item) (Record, error) {
	var r Record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return r, errors.Wrapf(err, "decode the software versions in %q", item.Key)
	}
	if len(r.Versions) > maxVersions+1 {
		return r, errors.Newf("decode the software versions in %q: there are %d, more than %d", item.Key, len(r.Versions), maxVersions+1)
	}
	if key(r.Service) != item.Key {
		return r, errors.Newf("decode the software versions in %q: the record is of service %q", item.Key, r.Service)
	}
	return r, nil
}

// only returns the version at which all streams have begun that can be resumed, if there is
// only one.
func (r *Record) only() (name string, ok bool) {
	if len(r.Versions) != 1 || r.Versions[0].Unlisted {
		return "", false
	}
	return r.Versions[0].Name, true
}

// admits reports whether streams may begin at a version.
func (r *Record) admits(name string) bool {
	return slices.Contains(r.Versions, Version{Name: name}) || slices.Contains(r.Versions, Version{Unlisted: true})
}

// knowledge is what a host knows of a service's versions.
type knowledge struct {
	// record is the record as last read or written, rev its revision; 0 if there is none.
	record Record
	rev    txn.Rev
	// lostAt is the revision at which the record was last found deleted or unreadable, 0 if it
	// never was.
	lostAt txn.Rev
	// retiredSince holds when this host first saw each retired version so.
	retiredSince map[Version]time.Time
	// present are the versions of the replicas that this host sees, and absentSince when it
	// first saw none of the others in the record.
	present     map[string]struct{}
	absentSince map[Version]time.Time
}

func newKnowledge(service string) *knowledge {
	return &knowledge{
		record: Record{Service: service}, retiredSince: make(map[Version]time.Time),
		present: make(map[string]struct{}), absentSince: make(map[Version]time.Time),
	}
}

// unretired returns the version as it is in a record before it is retired.
func (v Version) unretired() Version {
	v.Retired = 0
	return v
}

// learn sets the record as it was read or written.
func (k *knowledge) learn(now time.Time, r Record, rev txn.Rev) {
	if rev <= max(k.rev, k.lostAt) {
		return
	}
	k.record, k.rev = r, rev
	retired := make(map[Version]time.Time)
	for _, v := range r.Versions {
		if v.Retired == 0 {
			continue
		}
		since, known := k.retiredSince[v]
		if !known {
			since = now
		}
		retired[v] = since
	}
	k.retiredSince = retired
	k.observe(now, k.present)
}

// learnUnreadable notes that the record was deleted, or replaced by something else, at the
// item's revision.
func (k *knowledge) learnUnreadable(item txn.Item) {
	if item.Rev < k.rev || item.Rev < k.lostAt {
		return
	}
	k.rev, k.lostAt = item.Rev, item.Rev
	if item.Deleted {
		k.rev = 0
	}
}

// observe sets the versions that replicas have.
func (k *knowledge) observe(now time.Time, present map[string]struct{}) {
	k.present = present
	absent := make(map[Version]time.Time)
	for _, v := range k.record.Versions {
		v = v.unretired()
		if _, ok := present[v.Name]; ok && !v.Unlisted {
			continue
		}
		since, known := k.absentSince[v]
		if !known {
			since = now
		}
		absent[v] = since
	}
	k.absentSince = absent
}

// next returns the record that is to be written, and false if the present one is to stay. A
// new record says that there may have been other versions, unless the whole system starts for
// the first time.
func (k *knowledge) next(now time.Time, firstStart bool) (Record, bool) {
	next := Record{Service: k.record.Service}
	var unlisted []Version
	for _, v := range k.record.Versions {
		v, keep := k.nextVersion(now, v)
		if keep && v.Unlisted {
			unlisted = []Version{v}
		} else if keep {
			next.Versions = append(next.Versions, v)
		}
	}
	isLost := k.lostAt != 0 && k.rev <= k.lostAt
	create := k.rev == 0 || isLost
	if isLost || create && !firstStart {
		unlisted = []Version{{Unlisted: true, Retired: newRetirement()}}
	}
	if !next.add(k.present) {
		unlisted = []Version{{Unlisted: true}}
	}
	if create && len(next.Versions) == 0 {
		return next, false
	}
	next.Versions = append(next.Versions, unlisted...)
	return next, create || !slices.Equal(next.Versions, k.record.Versions)
}

// add adds versions that the record doesn't have, and reports whether it has room for all.
func (r *Record) add(names map[string]struct{}) bool {
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if r.has(name) {
			continue
		}
		if len(r.Versions) >= maxVersions {
			return false
		}
		r.Versions = append(r.Versions, Version{Name: name})
	}
	return true
}

// nextVersion returns a version as the next record has it, and false if that leaves it out.
func (k *knowledge) nextVersion(now time.Time, v Version) (Version, bool) {
	if _, ok := k.present[v.Name]; ok && !v.Unlisted {
		return v.unretired(), true
	}
	absentSince, known := k.absentSince[v.unretired()]
	absent := known && now.Sub(absentSince) >= retireDelay
	switch {
	case v.Retired != 0:
		return v, !absent || now.Sub(k.retiredSince[v]) < StreamRetention
	case absent:
		v.Retired = newRetirement()
	}
	return v, true
}

func newRetirement() uint64 { return rand.Uint64() | 1 }

// has reports whether the record has a version, retired or not.
func (r *Record) has(name string) bool {
	return slices.ContainsFunc(r.Versions, func(v Version) bool { return v.Name == name && !v.Unlisted })
}

// IsKey reports whether a key is that of a record.
func IsKey(key string) bool { return strings.HasPrefix(key, Prefix) }
