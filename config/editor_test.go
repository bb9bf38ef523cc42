package config

import (
	"context"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
	"github.com/comfreyspindle/comfreyspindle/service"
)

func apply(t *testing.T, e *Editor, basedOn uint64, text string) uint64 {
	t.Helper()
	g, err := e.Apply(context.Background(), Edit{Name: "svc", BasedOn: basedOn, Text: text, By: "op"})
	require.NoError(t, err)
	return g
}

func TestInvalidEditChangesNothing(t *testing.T) {
	s := kvtest.NewStore(clock)
	e := NewEditor(s, clock)
	apply(t, e, 0, documentText(1))
	before := s.Snapshot()
	for _, bad := range []string{"name: [", "name: other\n" + documentText(1)[len("name: svc\n"):], documentText(1) + "colour: red\n"} {
		_, err := e.Apply(t.Context(), Edit{Name: "svc", BasedOn: 1, Text: bad})
		require.Error(t, err)
		_, err = e.DryRun(t.Context(), Edit{Name: "svc", BasedOn: 1, Text: bad})
		require.Error(t, err)
	}
	require.Equal(t, before, s.Snapshot())
}

func TestOneOfConcurrentEditsIsAccepted(t *testing.T) {
	s := kvtest.NewStore(clock)
	apply(t, NewEditor(s, clock), 0, documentText(1))
	const operators = 8
	errs := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			_, errs[i] = NewEditor(s, clock).Apply(context.Background(), Edit{Name: "svc", BasedOn: 1, Text: documentText(10 + i)})
		})
	}
	wg.Wait()
	won := 0
	current, _, err := readStored(t.Context(), s, "svc")
	require.NoError(t, err)
	for i, err := range errs {
		if err == nil {
			won++
			require.Equal(t, documentText(10+i), current.Text)
			continue
		}
		var conflict *ConflictError
		require.True(t, errors.As(err, &conflict), "%v", err)
		require.Equal(t, current, conflict.Current)
		diff, err := conflict.Diff(documentText(10 + i))
		require.NoError(t, err)
		require.Contains(t, diff, "\n+models")
	}
	require.Equal(t, 1, won)
}

func TestEditOutcomeAfterLostReply(t *testing.T) {
	const doc = keyDocs + "svc"
	cases := []struct {
		name           string
		fault          kvtest.Fault
		concurrentEdit bool
		accept         bool
		is             error
	}{
		{"reply of the swap lost", kvtest.Fault{Op: kvtest.OpPut, Prefix: doc, LoseReply: true, Times: 1}, false, true, nil},
		{"replaced before the outcome is read", kvtest.Fault{Op: kvtest.OpPut, Prefix: doc, LoseReply: true, Times: 1}, true, true, nil},
		{"reply of the archive lost", kvtest.Fault{Op: kvtest.OpPut, Prefix: keyHistory, LoseReply: true, Times: 1}, false, true, nil},
		{"reply of the index lost", kvtest.Fault{Op: kvtest.OpPut, Prefix: keyIndex, LoseReply: true, Times: 1}, false, true, nil},
		{"write not received", kvtest.Fault{Op: kvtest.OpPut, Prefix: doc, Err: kv.ErrUnreachable}, false, false, kv.ErrUnreachable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := kvtest.NewStore(clock)
			apply(t, NewEditor(s, clock), 0, documentText(1))
			s.AddFault(tc.fault)
			if tc.concurrentEdit {
				gate := make(chan struct{})
				s.AddFault(kvtest.Fault{Host: "op", Op: kvtest.OpGet, Prefix: doc, Skip: 1, Times: 1, Gate: gate})
				go func() {
					for {
						if cur, _, _ := readStored(context.Background(), s, "svc"); cur.Generation == 2 {
							break
						}
					}
					_, _ = NewEditor(s, clock).Apply(context.Background(), Edit{Name: "svc", BasedOn: 2, Text: documentText(3)})
					close(gate)
				}()
			}
			g, err := NewEditor(s.Host("op"), clock).Apply(t.Context(), Edit{Name: "svc", BasedOn: 1, Text: documentText(2)})
			current, _, readErr := readStored(t.Context(), s, "svc")
			require.NoError(t, readErr)
			if !tc.accept {
				errtest.Is(t, err, tc.is)
				require.Equal(t, uint64(1), current.Generation)
				return
			}
			require.NoError(t, err)
			require.Equal(t, uint64(2), g)
			if tc.concurrentEdit {
				require.Equal(t, uint64(3), current.Generation)
			}
		})
	}
}

func TestUnknownOutcomeIsReported(t *testing.T) {
	s := kvtest.NewStore(clock)
	apply(t, NewEditor(s, clock), 0, documentText(1))
	s.AddFault(kvtest.Fault{Host: "op", Op: kvtest.OpPut, Prefix: keyDocs, LoseReply: true})
	s.AddFault(kvtest.Fault{Host: "op", Op: kvtest.OpGet, Prefix: keyDocs, Skip: 1, Err: kv.ErrUnreachable})
	_, err := NewEditor(s.Host("op"), clock).Apply(t.Context(), Edit{Name: "svc", BasedOn: 1, Text: documentText(2)})
	errtest.Is(t, err, kv.ErrUnknown)
}

func TestHistoryRollbackDiff(t *testing.T) {
	s := kvtest.NewStore(clock)
	e := NewEditor(s, clock)
	const edits = historyLength + 10
	for i := range edits {
		apply(t, e, uint64(i), documentText(i+1))
	}
	history, err := e.History(t.Context(), "svc")
	require.NoError(t, err)
	require.Len(t, history, historyLength+1)
	for i, h := range history {
		require.Equal(t, uint64(edits-i), h.Generation)
		require.Equal(t, documentText(edits-i), h.Text)
	}
	g, err := e.Rollback(t.Context(), "svc", edits-5, edits, "op")
	require.NoError(t, err)
	require.EqualValues(t, edits+1, g)
	now, err := e.At(t.Context(), "svc", g)
	require.NoError(t, err)
	require.Equal(t, documentText(edits-5), now.Text)
	diff, err := e.Diff(t.Context(), "svc", edits, g)
	require.NoError(t, err)
	require.Contains(t, diff, `-models: [{name: m, version: "42"}]`)
	require.Contains(t, diff, `+models: [{name: m, version: "37"}]`)
	_, err = e.Rollback(t.Context(), "svc", 1, g, "op")
	errtest.Is(t, err, ErrGenerationNotFound)
	_, err = e.Rollback(t.Context(), "svc", g-1, g-1, "op")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	_, err = e.Apply(t.Context(), Edit{Name: "svc", BasedOn: g, Deleted: true})
	require.NoError(t, err)
	_, err = e.Rollback(t.Context(), "svc", g, g+1, "op")
	require.NoError(t, err, "rolling back a deletion must succeed")
}

func TestAddressGenerationPerUpstream(t *testing.T) {
	s := kvtest.NewStore(clock)
	e := NewEditor(s, clock)
	apply(t, e, 0, documentText(1))
	apply(t, e, 1, documentText(2))
	current, _, err := readStored(t.Context(), s, "svc")
	require.NoError(t, err)
	require.Equal(t, map[string]uint64{"u1": 1, "u2": 2}, current.Since)
	set := NewSet(NewHolder(), clock, discardLog())
	set.apply(record{"svc", current})
	require.EqualValues(t, 1, set.holder.Current().AddressGeneration("svc", "u1"))
	require.EqualValues(t, 2, set.holder.Current().AddressGeneration("svc", "u2"))
	require.Zero(t, set.holder.Current().AddressGeneration("svc", "u3"))
}

func TestDryRun(t *testing.T) {
	use := Usage{
		Running: 10, Waiting: 50, BatchSlots: 8, CrossRegionBytes: 500,
		Callers: map[string]Rate{"crews": {RequestsPerSecond: 20, TokensPerSecond: 900}},
	}
	s := kvtest.NewStore(clock)
	e := NewEditor(s, clock, WithUsage(func(string) Usage { return use }))
	apply(t, e, 0, documentText(1)+"ceilings: {cross_region_bytes: 1000}\n")
	before := s.Snapshot()
	change := func(edit func(d *service.Document)) string {
		d, err := service.Parse("svc", []byte(documentText(1)+"ceilings: {cross_region_bytes: 1000}\n"))
		require.NoError(t, err)
		edit(d)
		out, err := service.Marshal(d)
		require.NoError(t, err)
		return string(out)
	}
	cases := []struct {
		name   string
		edit   func(d *service.Document)
		fields []string
	}{
		{"no change", func(*service.Document) {}, nil},
		{"limit not below current load", func(d *service.Document) { d.Routing.Concurrency = 10 }, nil},
		{"last upstream", func(d *service.Document) { d.Upstreams = nil }, []string{"upstreams"}},
		{"last upstream of a data centre", func(d *service.Document) { d.Upstreams = d.Upstreams[:1] }, []string{"upstreams"}},
		{"concurrency", func(d *service.Document) { d.Routing.Concurrency = 9 }, []string{"routing.concurrency"}},
		{"queue", func(d *service.Document) { d.Routing.QueueLimit = 49 }, []string{"routing.queue_limit"}},
		{"slots", func(d *service.Document) { d.Batch.MaxSlots = 7 }, []string{"batch.max_slots"}},
		{"ceiling", func(d *service.Document) { d.Ceilings.CrossRegionBytes = 499 }, []string{"ceilings.cross_region_bytes"}},
		{"caller removed", func(d *service.Document) { d.Callers[0].Name = "others" }, []string{"callers"}},
		{
			"caller's limits", func(d *service.Document) { d.Callers[0].RequestsPerSecond, d.Callers[0].TokensPerSecond = 19, 899 },
			[]string{"callers.crews.requests_per_second", "callers.crews.tokens_per_second"},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p, err := e.DryRun(t.Context(), Edit{Name: "svc", BasedOn: 1, Text: change(tc.edit)})
			require.NoError(t, err)
			require.EqualValues(t, 2, p.Generation)
			var fields []string
			for _, w := range p.Warnings {
				fields = append(fields, w.Field)
			}
			require.Equal(t, tc.fields, fields)
		})
	}
	p, err := e.DryRun(t.Context(), Edit{Name: "svc", BasedOn: 1, Deleted: true})
	require.NoError(t, err)
	require.Equal(t, "deleted", p.Warnings[0].Field)
	require.Contains(t, p.Diff, "-name: svc")
	_, err = e.DryRun(t.Context(), Edit{Name: "svc", BasedOn: 0, Text: documentText(1)})
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, before, s.Snapshot(), "a dry run must not change the store")
}
