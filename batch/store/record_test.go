package store_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

var (
	ownerA    = store.Owner{Host: "a", Incarnation: 1}
	ownerB    = store.Owner{Host: "b", Incarnation: 1}
	testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

const leaseDuration = time.Minute

func newRecord(items ...int) *store.Record {
	r := &store.Record{ID: "j", Run: "run", Service: "svc", Status: store.StatusInProgress, AcceptedAt: testStart, DueAt: testStart.Add(time.Hour)}
	for _, n := range items {
		r.Segments = append(r.Segments, store.Segment{Items: n})
	}
	return r
}

func updateStatus(r *store.Record, now time.Time) { r.UpdateStatus(now, now.Add(-leaseDuration)) }

func TestCancelledJobEndsWhenNoOwnerIsLeft(t *testing.T) {
	cases := []struct {
		name string
		do   func(r *store.Record)
		want store.Status
	}{
		{"no host owns the segment", func(*store.Record) {}, store.StatusCancelled},
		{"a host owns the segment", func(r *store.Record) { r.ClaimSegment(0, 0, ownerA, testStart) }, store.StatusCancelling},
		{"the owner released its claim", func(r *store.Record) {
			r.ClaimSegment(0, 0, ownerA, testStart)
			_ = r.Apply(&store.Flush{Epoch: 1, Release: true}, ownerA)
		}, store.StatusCancelled},
		{"a former owner's lease has not expired", func(r *store.Record) {
			r.ClaimSegment(0, 0, ownerA, testStart)
			r.ClaimSegment(0, 1, ownerB, testStart)
			_ = r.Apply(&store.Flush{Epoch: 2, Release: true}, ownerB)
		}, store.StatusCancelling},
		{"a former owner's lease has expired", func(r *store.Record) {
			r.ClaimSegment(0, 0, ownerA, testStart)
			r.ClaimSegment(0, 1, ownerB, testStart.Add(-2*leaseDuration))
			_ = r.Apply(&store.Flush{Epoch: 2, Release: true}, ownerB)
		}, store.StatusCancelled},
		{"all items have a result", func(r *store.Record) {
			r.ClaimSegment(0, 0, ownerA, testStart)
			_ = r.Apply(&store.Flush{Epoch: 1, Chunk: &store.ChunkRef{Epoch: 1}, Items: []int{0, 1}}, ownerA)
		}, store.StatusCompleted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRecord(2)
			c.do(r)
			r.Cancel()
			updateStatus(r, testStart)
			require.Equal(t, c.want, r.Status)
			require.False(t, r.ClaimSegment(0, r.Segments[0].Epoch, ownerB, testStart), "a cancelled job must not be claimed")
		})
	}
}

// TestRepeatedFlushCountsOnce applies a flush twice, as after a lost reply, and
// once more after another owner has taken the segment over.
func TestRepeatedFlushCountsOnce(t *testing.T) {
	r := newRecord(4)
	require.True(t, r.ClaimSegment(0, 0, ownerA, testStart))
	f := &store.Flush{Epoch: 1, Chunk: &store.ChunkRef{Epoch: 1}, Items: []int{0, 2}, Failed: 1}
	require.NoError(t, r.Apply(f, ownerA))
	require.NoError(t, r.Apply(f, ownerA))
	_, completed, failed := r.Counts()
	require.Equal(t, []int{1, 1}, []int{completed, failed})
	require.True(t, r.ClaimSegment(0, 1, ownerB, testStart))
	errtest.Is(t, r.Apply(f, ownerA), store.ErrNotOwner)
}

func TestLateIsPredictedFromProgressRate(t *testing.T) {
	r := newRecord(1000)
	require.True(t, r.ClaimSegment(0, 0, ownerA, testStart))
	r.SampleProgress(testStart)
	r.SampleProgress(testStart.Add(time.Minute))
	require.NoError(t, r.Apply(&store.Flush{Epoch: 1, Chunk: &store.ChunkRef{Epoch: 1}, Items: make([]int, 100)}, ownerA))
	// 100 items ended in 2 minutes. 900 items and 58 minutes remain.
	now := testStart.Add(2 * time.Minute)
	require.False(t, r.Late(now))
	r.DueAt = testStart.Add(19 * time.Minute)
	require.True(t, r.Late(now))
}

// TestSegmentsFitStoreLimits stores many small items and few items near the
// largest segment size. Every segment must fit into one value of the store, and
// the head record must list a limited number of them.
func TestSegmentsFitStoreLimits(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name  string
		items int
		size  int
	}{{"many small", 20000, 20}, {"few large", 6, 890_000}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			w := store.NewWriter(f.kvStore, 10)
			body := []byte(`{"p":"` + strings.Repeat("x", c.size) + `"}`)
			for i := range c.items {
				require.NoError(t, w.Add(ctx, &store.Item{CustomID: fmt.Sprint(i), Body: body}))
			}
			head, err := w.Close(ctx)
			require.NoError(t, err)
			require.Less(t, len(head.Segments), 1500, "too many segments for the head record")
			n := 0
			for i := range head.Segments {
				items, err := store.ReadSegment(ctx, f.kvStore, head.DataID, i)
				require.NoError(t, err)
				n += len(items)
			}
			require.Equal(t, c.items, n)
		})
	}
}

func TestBadInputNamesLineAndField(t *testing.T) {
	good := `{"custom_id":"a","method":"POST","url":"/v1/completions","body":{}}`
	cases := []struct{ name, line, where string }{
		{"not JSON", `{"custom_id":`, "line 2"},
		{"no id", `{"method":"POST","url":"/v1/completions","body":{}}`, "line 2, field custom_id"},
		{"same id", good, "line 2, field custom_id"},
		{"wrong type", `{"custom_id":3}`, "line 2, field custom_id"},
		{"method", `{"custom_id":"b","method":"GET","url":"/v1/completions","body":{}}`, "line 2, field method"},
		{"url", `{"custom_id":"b","method":"POST","url":"/x","body":{}}`, "line 2, field url"},
		{"body", `{"custom_id":"b","method":"POST","url":"/v1/completions","body":[]}`, "line 2, field body"},
		{"too long", `{"custom_id":"` + strings.Repeat("b", 5000) + `"}`, "line 2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := store.ReadItems(strings.NewReader(good+"\n"+c.line+"\n"), 4096, func(int, *store.Item) error { return nil })
			require.Error(t, err)
			e := verdict.As(err)
			require.Equal(t, verdict.NotRun, e.Verdict)
			require.Equal(t, c.where, e.Param)
		})
	}
}

// completeJob records a result for every item of a job, after a take-over from
// a first owner that wrote a chunk without recording it.
func completeJob(t *testing.T, f *fixture, id string) *store.Job {
	ctx := context.Background()
	job, err := store.Update(ctx, f.kvStore, id, nil, func(r *store.Record) error {
		for n := range r.Segments {
			r.ClaimSegment(n, 0, ownerB, f.clock.Now())
			r.ClaimSegment(n, 1, ownerA, f.clock.Now())
		}
		return nil
	})
	require.NoError(t, err)
	for n := range job.Segments {
		var results []store.ItemResult
		for i := job.Segments[n].Items - 1; i >= 0; i-- {
			results = append(results, store.ItemResult{Index: i, Result: store.Result{CustomID: fmt.Sprintf("%d-%d", n, i)}})
		}
		c, encoded, err := store.NewChunk(job.Run, n, 2, 0, results)
		require.NoError(t, err)
		require.Len(t, results, encoded)
		require.NoError(t, c.Write(ctx, f.kvStore))
		// The former owner wrote a chunk but did not record it.
		leftover, _, err := store.NewChunk(job.Run, n, 1, 0, results)
		require.NoError(t, err)
		require.NoError(t, leftover.Write(ctx, f.kvStore))
		job, err = store.Update(ctx, f.kvStore, id, job, func(r *store.Record) error {
			if err := r.Apply(&store.Flush{Segment: n, Epoch: 2, Chunk: &c.Ref, Items: c.Items}, ownerA); err != nil {
				return err
			}
			updateStatus(r, f.clock.Now())
			return nil
		})
		require.NoError(t, err)
	}
	return job
}

func TestResultsInInputOrder(t *testing.T) {
	f := newFixture()
	job, _, err := f.submit(f.kvStore, "")
	require.NoError(t, err)
	job = completeJob(t, f, job.ID)
	var got []int
	require.NoError(t, store.ReadResults(context.Background(), f.kvStore, job.Record, true, func(n int, r *store.ItemResult) error {
		got = append(got, n*10+r.Index)
		return nil
	}))
	for i := range f.items {
		require.Equal(t, i, got[i])
	}
}

// TestEndedJobIsKeptForItsRetention requires that the results stay readable during
// the retention and that everything is removed after it.
func TestEndedJobIsKeptForItsRetention(t *testing.T) {
	ctx := context.Background()
	f := newFixture()
	job, _, err := f.submit(f.kvStore, "")
	require.NoError(t, err)
	job = completeJob(t, f, job.ID)
	require.Equal(t, store.StatusCompleted, job.Status)
	for shard := range store.Shards {
		entries, err := store.ActiveJobs(ctx, f.kvStore, "svc", shard)
		require.NoError(t, err)
		for _, e := range entries {
			require.NoError(t, store.Retire(ctx, f.kvStore, job.Record, e, 24*time.Hour))
		}
	}
	for hour := 1; hour <= 24; hour++ {
		f.clock.Advance(59 * time.Minute)
		f.collectAll(t, 24*time.Hour)
		n := 0
		require.NoError(t, store.ReadResults(ctx, f.kvStore, job.Record, false, func(int, *store.ItemResult) error { n++; return nil }))
		require.Equal(t, f.items, n, "hour %d", hour)
	}
	for range 12 {
		f.clock.Advance(24 * time.Hour)
		f.collectAll(t, 24*time.Hour)
	}
	for _, prefix := range []string{"batch/data/", "batch/file/", "batch/job/", "batch/chunk/", "batch/resent/", "batch/caller/"} {
		require.Empty(t, f.kvStore.Keys(prefix))
	}
}

// TestRunningJobKeepsItsFile lets a job run far beyond its file's retention.
// Its input must not be removed.
func TestRunningJobKeepsItsFile(t *testing.T) {
	f := newFixture()
	job, _, err := f.submit(f.kvStore, "")
	require.NoError(t, err)
	for range 20 {
		f.clock.Advance(24 * time.Hour)
		f.collectAll(t, 24*time.Hour)
	}
	f.requireOneJob(t, job)
}

// TestChunkIsWrittenOnce repeats a write whose reply was lost. Other results under
// the same number must be rejected.
func TestChunkIsWrittenOnce(t *testing.T) {
	ctx := context.Background()
	f := newFixture()
	c, _, err := store.NewChunk("run", 0, 1, 0, []store.ItemResult{{Index: 1}})
	require.NoError(t, err)
	faulty := &faultStore{Store: f.kvStore, faultAt: 1, fault: func(put func() error) error { _ = put(); return kv.ErrUnreachable }}
	require.Error(t, c.Write(ctx, faulty))
	require.NoError(t, c.Write(ctx, f.kvStore), "writing the same chunk again must succeed")
	other, _, err := store.NewChunk("run", 0, 1, 0, []store.ItemResult{{Index: 2}})
	require.NoError(t, err)
	require.Error(t, other.Write(ctx, f.kvStore))
	before := f.kvStore.Keys("batch/chunk/")
	require.Len(t, before, 1)
}

func TestSpilledChunkKeepsItsContent(t *testing.T) {
	ctx := context.Background()
	f := newFixture()
	c, _, err := store.NewChunk("run", 0, 1, 0, []store.ItemResult{{Index: 1, Result: store.Result{CustomID: "a"}}})
	require.NoError(t, err)
	require.NoError(t, c.Spill(t.TempDir()))
	require.Zero(t, c.Bytes())
	require.NoError(t, c.Write(ctx, f.kvStore))
	var out bytes.Buffer
	require.NoError(t, store.ReadChunk(ctx, f.kvStore, "run", 0, c.Ref, func(r *store.ItemResult) error {
		out.WriteString(r.Result.CustomID)
		return nil
	}))
	require.Equal(t, "a", out.String())
}
