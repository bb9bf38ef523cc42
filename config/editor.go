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

// ConflictError says that an edit was based on an old generation.
type ConflictError struct {
	Name    string
	BasedOn uint64
	Current StoredDocument
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
	store kv.Store
	clock clockwork.Clock
	// localDocument returns the document that this host holds.
	localDocument func(name string) (StoredDocument, bool)
	// usage returns what runs under a document now.
	usage func(name string) Usage
}

// EditorOption changes an Editor.
type EditorOption func(*Editor)

// WithLocalSet lets an Editor go on from a generation that hosts hold when the
// service was restored from an older backup.
func WithLocalSet(set *Set) EditorOption { return func(e *Editor) { e.localDocument = set.document } }

// WithUsage lets DryRun compare limits with what runs now.
func WithUsage(usage func(name string) Usage) EditorOption {
	return func(e *Editor) { e.usage = usage }
}

// NewEditor returns an Editor.
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

// Apply checks an edit and makes it the next generation. A *ConflictError
// means that another edit came first. After an error marked
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
	// The old generation is archived before it is replaced, so that every
	// replaced generation is in the history.
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

// current returns the newest document, after bringing one that this host holds
// back into the service where a restore lost it.
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

// resolveConflict tells the outcome of an edit whose write met another version. A
// write that may have taken effect and been replaced is in the history.
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
