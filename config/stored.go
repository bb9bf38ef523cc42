package config

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// Keys in the store; keyDocs and keyHistory are prefixes.
const (
	keyIndex   = "config/index"
	keyDocs    = "config/doc/"
	keyHistory = "config/history/"
)

// historyLength is the number of earlier generations kept for each document.
const historyLength = 32

// StoredDocument is a generation of a document as kept in the store.
type StoredDocument struct {
	Generation uint64    `json:"generation"`
	Deleted    bool      `json:"deleted,omitempty"`
	Text       string    `json:"text"`
	By         string    `json:"by,omitempty"`
	At         time.Time `json:"at"`
	// Edit identifies the accepted edit, so that its outcome can be determined
	// after a lost reply.
	Edit string `json:"edit,omitempty"`
	// Since maps upstreams to the generation that gave them their address.
	Since map[string]uint64 `json:"since,omitempty"`
}

// Document parses the stored text. For a deleted document it returns one that
// has only a name, the generation and Deleted.
func (s *StoredDocument) Document(name string) (*service.Document, error) {
	if s.Deleted {
		return &service.Document{Name: name, Generation: s.Generation, Deleted: true}, nil
	}
	d, err := service.Parse(name, []byte(s.Text))
	if err != nil {
		return nil, err
	}
	d.Generation = s.Generation
	return d, nil
}

// addresses returns the address of each upstream. It returns none for a deleted
// or invalid document.
func (s *StoredDocument) addresses(name string) map[string]string {
	out := make(map[string]string)
	if d, err := s.Document(name); err == nil {
		for i := range d.Upstreams {
			out[d.Upstreams[i].Name] = d.Upstreams[i].Address
		}
	}
	return out
}

// next returns n as the generation after s. Upstreams that keep their address
// keep the generation that gave it to them.
func (s *StoredDocument) next(name string, n StoredDocument) StoredDocument {
	n.Generation = s.Generation + 1
	n.Since = nil
	old := s.addresses(name)
	for upstream, address := range n.addresses(name) {
		since, known := s.Since[upstream]
		if !known || old[upstream] != address {
			since = n.Generation
		}
		if n.Since == nil {
			n.Since = make(map[string]uint64)
		}
		n.Since[upstream] = since
	}
	return n
}

// record is a document with its name, as hosts hold and exchange it.
type record struct {
	Name string
	StoredDocument
}

// readStored reads a document from the store. It returns a zero document and
// version if there is none.
func readStored(ctx context.Context, store kv.Store, name string) (StoredDocument, kv.Version, error) {
	return readKey(ctx, store, keyDocs+name)
}

func readKey(ctx context.Context, store kv.Store, key string) (StoredDocument, kv.Version, error) {
	var s StoredDocument
	r, err := kv.Read(ctx, store, key)
	if errors.Is(err, kv.ErrNotFound) {
		return s, 0, nil
	}
	if err != nil {
		return s, 0, err
	}
	return s, r.Version, errors.Wrapf(json.Unmarshal(r.Payload, &s), "decode %s", key)
}

// writeStored writes a document if its key still has the given version.
func writeStored(ctx context.Context, store kv.Store, key string, s StoredDocument, version kv.Version) error {
	payload, err := json.Marshal(s)
	if err != nil {
		return err
	}
	_, err = kv.Swap(ctx, store, kv.Put{Key: key, Value: payload, If: version})
	return err
}

// historyKey returns the key of an earlier generation. Keys are used again
// after historyLength generations.
func historyKey(name string, generation uint64) string {
	return keyHistory + name + "/" + strconv.FormatUint(generation%historyLength, 10)
}

// archive writes a generation that is about to be replaced to the history,
// unless the history already has it or a later one under its key.
func archive(ctx context.Context, store kv.Store, name string, s StoredDocument) error {
	if s.Generation == 0 {
		return nil
	}
	key := historyKey(name, s.Generation)
	for {
		old, version, err := readKey(ctx, store, key)
		if err != nil {
			return err
		}
		if old.Generation > s.Generation || old.Generation == s.Generation && old.Edit == s.Edit {
			return nil
		}
		err = writeStored(ctx, store, key, s, version)
		if err == nil || !errors.Is(err, kv.ErrConflict) {
			return err
		}
	}
}

// readIndex returns the names of all services that ever existed, and the
// version of the index.
func readIndex(ctx context.Context, store kv.Store) ([]string, kv.Version, error) {
	r, err := kv.Read(ctx, store, keyIndex)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var names []string
	return names, r.Version, errors.Wrap(json.Unmarshal(r.Payload, &names), "decode index")
}

// addToIndex adds a service to the index, unless the index already has it.
func addToIndex(ctx context.Context, store kv.Store, name string) error {
	for {
		names, version, err := readIndex(ctx, store)
		if err != nil {
			return err
		}
		at, found := slices.BinarySearch(names, name)
		if found {
			return nil
		}
		payload, err := json.Marshal(slices.Insert(names, at, name))
		if err != nil {
			return err
		}
		_, err = kv.Swap(ctx, store, kv.Put{Key: keyIndex, Value: payload, If: version})
		if err == nil || !errors.Is(err, kv.ErrConflict) {
			return err
		}
	}
}

// readAll reads all documents that the index names.
func readAll(ctx context.Context, store kv.Store) ([]record, error) {
	names, _, err := readIndex(ctx, store)
	if err != nil {
		return nil, err
	}
	var out []record
	for _, name := range names {
		s, version, err := readStored(ctx, store, name)
		if err != nil {
			return nil, err
		}
		if version != 0 {
			out = append(out, record{name, s})
		}
	}
	return out, nil
}

// restoreDocument writes a document that hosts hold back to a store that was
// restored from an older backup. If the store has an edit that was accepted
// after the restore, that edit becomes the next generation instead.
func restoreDocument(ctx context.Context, store kv.Store, local record) error {
	for {
		current, version, err := readStored(ctx, store, local.Name)
		if err != nil {
			return err
		}
		next := local.StoredDocument
		switch {
		case current.Generation > local.Generation, current.Generation == local.Generation && current.Edit == local.Edit:
			return nil
		case current.Generation == local.Generation, current.At.After(local.At):
			next = local.next(local.Name, current)
		}
		if err := addToIndex(ctx, store, local.Name); err != nil {
			return err
		}
		if err := archive(ctx, store, local.Name, local.StoredDocument); err != nil && next.Generation > local.Generation {
			return err
		}
		err = writeStored(ctx, store, keyDocs+local.Name, next, version)
		if err == nil || !errors.Is(err, kv.ErrConflict) {
			return err
		}
	}
}
