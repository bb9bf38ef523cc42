package config

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/service"
)

// Set is all documents that a host holds, in the form in which hosts exchange
// them. Those that can be parsed are put in force in a Holder. A Set is safe
// for concurrent use.
type Set struct {
	holder *Holder
	clock  clockwork.Clock
	log    *logrus.Entry

	mu      sync.Mutex
	records map[string]record
	// complete says that the set was once the complete set in the store.
	complete bool
	// current is the last time at which the set was known to equal that in the
	// store.
	current time.Time
	// confirmed says that the store or a peer has confirmed the set since the
	// process started.
	confirmed bool
	changed   chan struct{}
}

// NewSet returns an empty set that puts documents in force in holder.
func NewSet(holder *Holder, clock clockwork.Clock, log *logrus.Entry) *Set {
	return &Set{holder: holder, clock: clock, log: log, records: make(map[string]record), changed: make(chan struct{})}
}

// replacement is a record that was applied, with the record that it replaced.
type replacement struct {
	record
	before record
}

// apply stores the records that have a higher generation than the held ones and
// returns them. Those that can be parsed are put in force.
func (s *Set) apply(records ...record) []replacement {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []replacement
	var docs []*service.Document
	addressGenerations := make(map[string]map[string]uint64)
	for _, r := range records {
		if r.Generation <= s.records[r.Name].Generation {
			continue
		}
		out = append(out, replacement{r, s.records[r.Name]})
		s.records[r.Name] = r
		d, err := r.Document(r.Name)
		if err != nil {
			s.log.WithError(err).WithField("service", r.Name).Error("failed to parse document; it is held but not in force")
			continue
		}
		addressGenerations[r.Name] = r.Since
		docs = append(docs, d)
		s.log.WithFields(logrus.Fields{"service": r.Name, "generation": r.Generation}).Info("document in force")
	}
	if len(out) > 0 {
		s.holder.apply(docs, addressGenerations)
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return out
}

// confirm records that the store or a peer has confirmed that the set equalled
// that in the store the given time ago.
func (s *Set) confirm(age time.Duration) {
	s.recordComplete(age)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = true
}

// confirmIfEqual confirms the set if the peer that sent the summary has a
// complete set with the same digest.
func (s *Set) confirmIfEqual(received Summary) {
	if received.Complete && s.summary().Digest == received.Digest {
		s.confirm(received.Age)
	}
}

// recordComplete records that the set was complete and equal to that in the
// store the given time ago.
func (s *Set) recordComplete(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.complete {
		s.complete = true
		close(s.changed)
		s.changed = make(chan struct{})
	}
	if equalAt := s.clock.Now().Add(-age); equalAt.After(s.current) {
		s.current = equalAt
	}
}

// summary returns the summary of the set for peers.
func (s *Set) summary() Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Summary{Digest: s.digest(), Complete: s.complete, Age: s.clock.Now().Sub(s.current)}
}

// digest returns a hash of the names and generations that does not depend on
// their order. s.mu must be held.
func (s *Set) digest() uint64 {
	sum := uint64(1)
	for name, r := range s.records {
		sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(name), r.Generation))
	}
	return sum
}

// generations returns the generation of each document, including deleted ones.
func (s *Set) generations() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]uint64, len(s.records))
	for name, r := range s.records {
		out[name] = r.Generation
	}
	return out
}

// newer returns the records that have a higher generation than the given ones.
func (s *Set) newer(than map[string]uint64) []record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []record
	for name, r := range s.records {
		if r.Generation > than[name] {
			out = append(out, r)
		}
	}
	return out
}

func (s *Set) get(name string) (record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[name]
	return r, ok
}

func (s *Set) document(name string) (StoredDocument, bool) {
	r, ok := s.get(name)
	return r.StoredDocument, ok
}

func (s *Set) changedSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Complete reports whether the host holds a complete set, whether the store or
// a peer has confirmed it since the start, and how long ago it was known to
// equal the set in the store.
func (s *Set) Complete() (complete, confirmed bool, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete, s.confirmed, s.clock.Now().Sub(s.current)
}
