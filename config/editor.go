package config

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// Keys in the platform's service.
const (
	keyIndex = "config/index"
	keyDocs  = "config/doc/"
)

// Stored is a document as the platform's service holds it.
type Stored struct {
	Generation uint64    `json:"generation"`
	Deleted    bool      `json:"deleted,omitempty"`
	Text       string    `json:"text"`
	By         string    `json:"by,omitempty"`
	At         time.Time `json:"at"`
}

// Document parses the stored text.
func (s *Stored) Document(name string) (*service.Document, error) {
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

// ConflictError says that an edit was based on an old generation.
type ConflictError struct {
	Name    string
	BasedOn uint64
	Current Stored
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("service %s is at generation %d, the edit is based on %d", e.Name, e.Current.Generation, e.BasedOn)
}

// Edit is a change of one document.
type Edit struct {
	Name string
	// BasedOn is the generation that the operator saw; zero creates.
	BasedOn uint64
	Text    string
	Deleted bool
	// By names the operator.
	By string
}

// Editor accepts edits into the platform's service.
type Editor struct {
	store platform.Store
	clock clockwork.Clock
}

// NewEditor returns an Editor.
func NewEditor(store platform.Store, clock clockwork.Clock) *Editor {
	return &Editor{store: store, clock: clock}
}

// Apply checks an edit and makes it the next generation. A *ConflictError
// means that another edit came first.
func (e *Editor) Apply(ctx context.Context, edit Edit) (uint64, error) {
	ctx = platform.WithPurpose(ctx, platform.PurposeConfig)
	if err := checkEdit(edit); err != nil {
		return 0, err
	}
	old, version, err := readStored(ctx, e.store, edit.Name)
	if err != nil {
		return 0, err
	}
	if old.Generation != edit.BasedOn {
		return 0, &ConflictError{Name: edit.Name, BasedOn: edit.BasedOn, Current: old}
	}
	if err := addToIndex(ctx, e.store, edit.Name); err != nil {
		return 0, err
	}
	next := Stored{Generation: old.Generation + 1, Deleted: edit.Deleted, Text: edit.Text, By: edit.By, At: e.clock.Now()}
	payload, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	_, err = platform.Swap(ctx, e.store, platform.Put{Key: keyDocs + edit.Name, Value: payload, If: version})
	if errors.Is(err, platform.ErrConflict) {
		current, _, readErr := readStored(ctx, e.store, edit.Name)
		return 0, errors.CombineErrors(&ConflictError{Name: edit.Name, BasedOn: edit.BasedOn, Current: current}, readErr)
	}
	return next.Generation, err
}

func checkEdit(edit Edit) error {
	if edit.Deleted {
		return nil
	}
	d, err := service.Parse(edit.Name, []byte(edit.Text))
	if err != nil {
		return err
	}
	if d.Name != edit.Name {
		return errors.Newf("name: the document is for %q, not %q", d.Name, edit.Name)
	}
	return nil
}

// readStored returns the stored document, or a zero one that does not exist.
func readStored(ctx context.Context, store platform.Store, name string) (Stored, platform.Version, error) {
	var s Stored
	r, err := platform.Read(ctx, store, keyDocs+name)
	if errors.Is(err, platform.ErrNotFound) {
		return s, 0, nil
	}
	if err != nil {
		return s, 0, err
	}
	return s, r.Version, errors.Wrapf(json.Unmarshal(r.Payload, &s), "decode document %s", name)
}

// readIndex returns the names of all services that ever existed.
func readIndex(ctx context.Context, store platform.Store) ([]string, platform.Version, error) {
	r, err := platform.Read(ctx, store, keyIndex)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var names []string
	return names, r.Version, errors.Wrap(json.Unmarshal(r.Payload, &names), "decode index")
}

// addToIndex makes sure that the index names the service.
func addToIndex(ctx context.Context, store platform.Store, name string) error {
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
		_, err = platform.Swap(ctx, store, platform.Put{Key: keyIndex, Value: payload, If: version})
		if err == nil || !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
}
