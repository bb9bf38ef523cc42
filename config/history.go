package config

import (
	"context"
	"fmt"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// diffContext is the number of unchanged lines shown around a change.
const diffContext = 3

// ErrGenerationNotFound is the error for a generation that is not, or no
// longer, in the history.
var ErrGenerationNotFound = errors.New("generation not in the history")

// History returns the stored generations of a document, newest first: the
// current one and up to 32 earlier ones.
func (e *Editor) History(ctx context.Context, name string) ([]StoredDocument, error) {
	ctx = kv.WithPurpose(ctx, kv.PurposeConfig)
	current, _, err := e.current(ctx, name)
	if err != nil || current.Generation == 0 {
		return nil, err
	}
	out := []StoredDocument{current}
	for offset := uint64(1); offset <= historyLength && offset < current.Generation; offset++ {
		generation := current.Generation - offset
		s, _, err := readKey(ctx, e.store, historyKey(name, generation))
		if err != nil {
			return nil, err
		}
		if s.Generation == generation {
			out = append(out, s)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Generation > out[j].Generation })
	return out, nil
}

// At returns one generation of a document, or ErrGenerationNotFound.
func (e *Editor) At(ctx context.Context, name string, generation uint64) (StoredDocument, error) {
	ctx = kv.WithPurpose(ctx, kv.PurposeConfig)
	current, _, err := e.current(ctx, name)
	if err != nil || current.Generation == generation {
		return current, err
	}
	s, _, err := readKey(ctx, e.store, historyKey(name, generation))
	if err != nil {
		return s, err
	}
	if s.Generation != generation || generation == 0 {
		return s, errors.Wrapf(ErrGenerationNotFound, "service %s, generation %d", name, generation)
	}
	return s, nil
}

// Rollback stores the text of an earlier generation as the next generation.
// basedOn is the current generation that the operator saw.
func (e *Editor) Rollback(ctx context.Context, name string, to, basedOn uint64, by string) (uint64, error) {
	old, err := e.At(ctx, name, to)
	if err != nil {
		return 0, err
	}
	return e.Apply(ctx, Edit{Name: name, BasedOn: basedOn, Text: old.Text, Deleted: old.Deleted, By: by})
}

// Diff returns the unified diff between two generations of a document.
func (e *Editor) Diff(ctx context.Context, name string, from, to uint64) (string, error) {
	a, err := e.At(ctx, name, from)
	if err != nil {
		return "", err
	}
	b, err := e.At(ctx, name, to)
	if err != nil {
		return "", err
	}
	return unifiedDiff(name, a, b, fmt.Sprintf("generation %d", b.Generation))
}

// Diff returns the unified diff between the current document and the text of
// the edit that is in conflict with it.
func (e *ConflictError) Diff(text string) (string, error) {
	return unifiedDiff(e.Name, e.Current, StoredDocument{Text: text}, "edit")
}

func unifiedDiff(name string, a, b StoredDocument, label string) (string, error) {
	return difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(a.effectiveText()), B: difflib.SplitLines(b.effectiveText()), Context: diffContext,
		FromFile: fmt.Sprintf("%s generation %d", name, a.Generation), ToFile: name + " " + label,
	})
}

// effectiveText returns the text in force, which is empty for a deleted
// document.
func (s *StoredDocument) effectiveText() string {
	if s.Deleted {
		return ""
	}
	return s.Text
}
