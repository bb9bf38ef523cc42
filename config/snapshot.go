// Package config replicates the service documents in the store to all hosts,
// keeps them in force there and accepts edits. A host applies only a higher
// generation of a document, so that late or repeated deliveries never revert
// it.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"sort"
	"sync"

	"github.com/comfreyspindle/comfreyspindle/service"
)

// Snapshot is an immutable set of parsed documents.
type Snapshot struct {
	docs map[string]*service.Document
	// addressGenerations maps service and upstream to the generation that gave
	// the upstream its current address.
	addressGenerations map[string]map[string]uint64
	names              []string
	byModel            map[string]*service.Document
	keys               map[string][]keyAccess
}

// keyAccess is the right of an API key to use a service as a caller.
type keyAccess struct {
	digest  []byte
	service string
	caller  string
}

func newSnapshot(docs map[string]*service.Document, addressGenerations map[string]map[string]uint64) *Snapshot {
	s := &Snapshot{docs: docs, addressGenerations: addressGenerations, byModel: make(map[string]*service.Document), keys: make(map[string][]keyAccess)}
	for name, d := range docs {
		if !d.Deleted {
			s.names = append(s.names, name)
		}
	}
	sort.Strings(s.names)
	for _, name := range s.names {
		s.index(docs[name])
	}
	return s
}

func (s *Snapshot) index(d *service.Document) {
	for _, m := range d.Models {
		if _, taken := s.byModel[m.Name]; !taken {
			s.byModel[m.Name] = d
		}
	}
	for _, c := range d.Callers {
		digest, err := hex.DecodeString(c.KeySHA256)
		if err != nil {
			continue
		}
		s.keys[string(digest)] = append(s.keys[string(digest)], keyAccess{digest: digest, service: d.Name, caller: c.Name})
	}
}

// Names returns the names of the services, sorted.
func (s *Snapshot) Names() []string { return s.names }

// Service returns the document of a service that exists and is not deleted.
func (s *Snapshot) Service(name string) (*service.Document, bool) {
	d, ok := s.docs[name]
	if !ok || d.Deleted {
		return nil, false
	}
	return d, true
}

// Lookup returns the document for the name of a service or model. The name of a
// service takes precedence.
func (s *Snapshot) Lookup(name string) (*service.Document, bool) {
	if d, ok := s.Service(name); ok {
		return d, true
	}
	d, ok := s.byModel[name]
	return d, ok
}

// Generation returns the generation of a document, also of a deleted one; zero
// if the document is unknown.
func (s *Snapshot) Generation(name string) uint64 {
	if d, ok := s.docs[name]; ok {
		return d.Generation
	}
	return 0
}

// AddressGeneration returns the generation of the document that gave an
// upstream its current address; zero if that is unknown.
func (s *Snapshot) AddressGeneration(service, upstream string) uint64 {
	return s.addressGenerations[service][upstream]
}

// Identity is the access that an API key gives.
type Identity struct {
	// Callers maps the names of services to the caller's name there.
	Callers map[string]string
	// Operator says that the identity may act for every caller.
	Operator bool
}

// Allows reports whether the identity may act for a caller of a service.
func (i Identity) Allows(service, caller string) bool {
	return i.Operator || caller != "" && i.Callers[service] == caller
}

// Authenticate returns the identity of an API key. Entries are found by the
// SHA-256 digest of the key, and digests are compared in constant time.
func (s *Snapshot) Authenticate(key string) (Identity, bool) {
	digest := sha256.Sum256([]byte(key))
	id := Identity{Callers: make(map[string]string)}
	for _, a := range s.keys[string(digest[:])] {
		if subtle.ConstantTimeCompare(a.digest, digest[:]) == 1 {
			id.Callers[a.service] = a.caller
		}
	}
	return id, len(id.Callers) > 0
}

// Holder holds the documents in force. It is safe for concurrent use.
type Holder struct {
	mu      sync.RWMutex
	current *Snapshot
	changed chan struct{}
}

// NewHolder returns a holder without documents.
func NewHolder() *Holder {
	return &Holder{current: newSnapshot(nil, nil), changed: make(chan struct{})}
}

// Current returns the documents in force.
func (h *Holder) Current() *Snapshot {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current
}

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.changed
}

// Apply puts those documents in force whose generation is higher than the one
// in force, and returns their number.
func (h *Holder) Apply(docs ...*service.Document) int { return h.apply(docs, nil) }

// apply puts documents in force as Apply does. addressGenerations has, by
// service and upstream, the known generations that gave upstreams their
// addresses.
func (h *Holder) apply(docs []*service.Document, addressGenerations map[string]map[string]uint64) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := maps.Clone(h.current.docs)
	nextGenerations := maps.Clone(h.current.addressGenerations)
	if next == nil {
		next, nextGenerations = make(map[string]*service.Document), make(map[string]map[string]uint64)
	}
	applied := 0
	for _, d := range docs {
		if old, ok := next[d.Name]; ok && old.Generation >= d.Generation {
			continue
		}
		next[d.Name] = d
		nextGenerations[d.Name] = addressGenerations[d.Name]
		applied++
	}
	if applied == 0 {
		return 0
	}
	h.current = newSnapshot(next, nextGenerations)
	close(h.changed)
	h.changed = make(chan struct{})
	return applied
}
