package config

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// ConflictError is the error of an edit that is not based on the current
// generation.
type ConflictError struct {
	Name    string
	BasedOn uint64
	Current StoredDocument
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("service %s is at generation %d, the edit is based on %d", e.Name, e.Current.Generation, e.BasedOn)
}

// Edit is a change to one document.
type Edit struct {
	Name string
	// BasedOn is the generation that the operator saw; zero for a new document.
	BasedOn uint64
	Text    string
	Deleted bool
	// By names the operator who makes the edit.
	By string
}

// Editor validates edits and writes them to the store.
type Editor struct {
	store kv.Store
	clock clockwork.Clock
	// localDocument returns the document that this host holds.
	localDocument func(name string) (StoredDocument, bool)
	// usage returns the current load under a document.
	usage func(name string) Usage
}

// EditorOption configures an Editor.
type EditorOption func(*Editor)

// WithLocalSet lets an Editor continue from the generations in set when the
// store holds lower ones because it was restored from an older backup.
func WithLocalSet(set *Set) EditorOption { return func(e *Editor) { e.localDocument = set.document } }

// WithUsage lets DryRun compare new limits with the current load.
func WithUsage(usage func(name string) Usage) EditorOption {
	return func(e *Editor) { e.usage = usage }
}

// NewEditor returns an Editor that writes to store.
func NewEditor(store kv.Store, clock clockwork.Clock, opts ...EditorOption) *Editor {
	e := &Editor{
		store: store, clock: clock,
		localDocument: func(string) (StoredDocument, bool) { return StoredDocument{}, false },
		usage:         func(string) Usage { return Usage{} },
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Apply validates an edit, stores it as the next generation and returns that. A
// *ConflictError means that another edit came first. After an error marked
// kv.ErrUnknown the edit may have been accepted.
func (e *Editor) Apply(ctx context.Context, edit Edit) (uint64, error) {
	ctx = kv.WithPurpose(ctx, kv.PurposeConfig)
	if err := validateEdit(edit); err != nil {
		return 0, err
	}
	old, version, err := e.current(ctx, edit.Name)
	if err != nil {
		return 0, err
	}
	if old.Generation != edit.BasedOn {
		return 0, &ConflictError{Name: edit.Name, BasedOn: edit.BasedOn, Current: old}
	}
	if err := addToIndex(ctx, e.store, edit.Name); err != nil {
		return 0, err
	}
	// The old generation is archived before it is replaced, so that the history
	// has every replaced generation.
	if err := archive(ctx, e.store, edit.Name, old); err != nil {
		return 0, err
	}
	next := old.next(edit.Name, StoredDocument{
		Deleted: edit.Deleted, Text: edit.Text, By: edit.By, At: e.clock.Now().UTC(), Edit: ulid.Make().String(),
	})
	err = writeStored(ctx, e.store, keyDocs+edit.Name, next, version)
	if errors.Is(err, kv.ErrConflict) {
		return e.resolveConflict(ctx, edit, next, errors.Is(err, kv.ErrSuperseded))
	}
	if err != nil {
		return 0, err
	}
	return next.Generation, nil
}

// current returns the newest generation of a document and its version in the
// store. If the store has lost a generation that this host holds, because it
// was restored from an older backup, current writes it back first.
func (e *Editor) current(ctx context.Context, name string) (StoredDocument, kv.Version, error) {
	s, version, err := readStored(ctx, e.store, name)
	if err != nil {
		return s, version, err
	}
	local, ok := e.localDocument(name)
	if !ok || local.Generation < s.Generation || local.Generation == s.Generation && local.Edit == s.Edit {
		return s, version, nil
	}
	if err := restoreDocument(ctx, e.store, record{name, local}); err != nil {
		return s, version, err
	}
	return readStored(ctx, e.store, name)
}

// resolveConflict returns the outcome of an edit whose conditional write found
// another version. If superseded is set, the write may have taken effect and
// been replaced since; then the history has its generation.
func (e *Editor) resolveConflict(ctx context.Context, edit Edit, written StoredDocument, superseded bool) (uint64, error) {
	current, _, err := readStored(ctx, e.store, edit.Name)
	if err != nil {
		if superseded {
			err = errors.Mark(err, kv.ErrUnknown)
		}
		return 0, errors.Wrapf(err, "outcome of the edit of %s", edit.Name)
	}
	if superseded {
		archived, _, err := readKey(ctx, e.store, historyKey(edit.Name, written.Generation))
		if err != nil {
			return 0, errors.Mark(errors.Wrapf(err, "outcome of the edit of %s", edit.Name), kv.ErrUnknown)
		}
		if current.Edit == written.Edit || archived.Edit == written.Edit {
			return written.Generation, nil
		}
		if archived.Generation > written.Generation {
			return 0, errors.Wrapf(kv.ErrUnknown, "the history of %s no longer reaches back to the edit", edit.Name)
		}
	}
	return 0, &ConflictError{Name: edit.Name, BasedOn: edit.BasedOn, Current: current}
}

func validateEdit(edit Edit) error {
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
