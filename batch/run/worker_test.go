package run_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/batch/run"
	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// testService holds one service with real times under a fake clock.
type testService struct {
	t     *testing.T
	clock *clockwork.FakeClock
	kv    *kvtest.Store
	doc   *service.Document
}

func newTestService(t *testing.T) *testService {
	clock := clockwork.NewFakeClock()
	return &testService{t: t, clock: clock, kv: kvtest.NewStore(clock), doc: &service.Document{Name: simService, Batch: service.Batch{
		MaxTries: 3, Retention: 24 * time.Hour, ResendWindow: time.Hour, LateShare: 0.5, SegmentItems: 500,
	}}}
}

func (b *testService) worker(name string, limits run.Limits) *run.Worker {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return run.New(run.Options{
		KV: b.kv.Host(name), Clock: b.clock, Owner: store.Owner{Host: name, Incarnation: 1},
		Events: timeline.NewRecorder(name, timeline.NewClock(b.clock), 64), Log: logrus.NewEntry(log),
		Costs: accounting.NewCounters(prometheus.NewRegistry()), Rand: rand.New(rand.NewPCG(1, 1)),
		Timing: run.DefaultTiming(), Limits: limits,
		Document: func(string) (*service.Document, bool) { return b.doc, true },
	})
}

// accept streams a file in and creates its job.
func (b *testService) accept(kv kv.Store, items int) *store.Job {
	ctx := context.Background()
	a := &store.Acceptor{KV: kv, Clock: b.clock}
	o := store.Origin{Service: simService, Caller: "c", Window: time.Hour, Retention: 24 * time.Hour}
	up, err := a.Begin(ctx, o, b.doc.Batch.SegmentItems)
	require.NoError(b.t, err)
	r, w := io.Pipe()
	go func() {
		buf := bufio.NewWriter(w)
		rng := rand.New(rand.NewPCG(2, 2))
		for i := range items {
			_, _ = fmt.Fprintf(buf, `{"custom_id":"item-%06d","method":"POST","url":"/v1/completions","body":{"model":"m","prompt":"%x"}}`+"\n", i, prompt(rng))
		}
		_ = buf.Flush()
		_ = w.Close()
	}()
	require.NoError(b.t, store.ReadItems(r, 1<<20, func(_ int, item *store.Item) error { return up.Add(ctx, item) }))
	f, _, err := up.Accept(ctx, "f")
	require.NoError(b.t, err)
	job, _, err := a.Job(ctx, &store.JobRequest{Origin: o, File: f, Endpoint: "/v1/completions", Due: time.Hour})
	require.NoError(b.t, err)
	return job
}

func prompt(rng *rand.Rand) []byte {
	text := make([]byte, 80)
	for i := range text {
		text[i] = byte(rng.Uint32())
	}
	return text
}

func (b *testService) announce(w *run.Worker) {
	var all []store.ActiveEntry
	for shard := range store.Shards {
		entries, err := store.Active(context.Background(), b.kv, simService, shard)
		require.NoError(b.t, err)
		all = append(all, entries...)
	}
	w.SetActiveJobs(simService, all)
}

func (b *testService) step(w *run.Worker, items int) {
	w.Step(context.Background(), run.Demand{Service: simService, Items: items})
}

// startItems starts up to n items.
func (b *testService) startItems(w *run.Worker, n int) []*run.Attempt {
	var out []*run.Attempt
	for range n {
		work, ok := w.Next(simService)
		if !ok {
			break
		}
		require.True(b.t, w.TryStart(work))
		out = append(out, work)
	}
	return out
}

func (b *testService) finish(w *run.Worker, works []*run.Attempt) {
	for _, work := range works {
		body := fmt.Sprintf(`{"text":"%x"}`, work.Item.Body[:100])
		w.Finish(work, &store.Result{CustomID: work.Item.CustomID, Response: &store.ItemResponse{StatusCode: 200, Body: []byte(body)}})
	}
}

func (b *testService) status(id string) *store.Job {
	job, err := store.Load(context.Background(), b.kv, id)
	require.NoError(b.t, err)
	return job
}

const (
	largeItems = 89_000
	// maxHeap bounds the memory above idle, the stand-in store apart.
	maxHeap = 64 << 20
	// maxCalls bounds the calls to the platform's service for each item.
	maxCalls = 0.01
)

// TestLargestJobStaysWithinBounds runs the largest job and bounds memory and calls an item,
// acceptance included.
func TestLargestJobStaysWithinBounds(t *testing.T) {
	b := newTestService(t)
	idle, peak := b.heap(), int64(0)
	id := b.accept(b.kv.Host("a"), largeItems).ID
	peak = max(peak, b.heap()-idle)
	w := b.worker("a", run.DefaultLimits())
	b.announce(w)
	for round := 0; !b.status(id).Status.Ended(); round++ {
		b.step(w, 640)
		b.finish(w, b.startItems(w, 320))
		b.clock.Advance(100 * time.Millisecond)
		if round%50 == 0 {
			peak = max(peak, b.heap()-idle)
		}
	}
	job := b.status(id)
	n := 0
	require.NoError(t, store.ReadResults(context.Background(), b.kv, job.Record, true, func(int, *store.ItemResult) error {
		if n++; n == largeItems/2 {
			peak = max(peak, b.heap()-idle)
		}
		return nil
	}))
	require.Equal(t, largeItems, n)
	calls := float64(b.kv.Calls("a", "")) / largeItems
	t.Logf("peak heap above idle %.1f MB; %.4f calls and %.0f bytes written an item; record of %d segments",
		float64(peak)/(1<<20), calls, float64(b.kv.BytesWritten())/largeItems, len(job.Segments))
	require.Less(t, peak, int64(maxHeap))
	require.Less(t, calls, maxCalls)
}

// heap is what the process holds, less what the stand-in store does.
func (b *testService) heap() int64 {
	b.kv.Compact()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	held := int64(0)
	for _, v := range b.kv.Snapshot() {
		held += int64(len(v))
	}
	return int64(m.HeapAlloc) - held
}

// TestJobContinuesDuringStoreOutage takes the platform's service away for ten minutes in the middle of
// a job: running segments go on, nothing is lost, and the flush is small.
func TestJobContinuesDuringStoreOutage(t *testing.T) {
	const (
		items  = 6000
		outage = 10 * time.Minute
	)
	for _, folder := range []string{"", t.TempDir()} {
		b := newTestService(t)
		id := b.accept(b.kv, items).ID
		limits := run.Limits{ChunkBytes: 64 << 10, MemoryBytes: 1 << 20, DiskBytes: 1 << 30, SpillFolder: folder}
		if folder == "" {
			limits.MemoryBytes = 16 << 20
		}
		w := b.worker("a", limits)
		b.announce(w)
		b.step(w, items)
		b.kv.SetOutage(true)
		begun := 0
		for end := b.clock.Now().Add(outage); b.clock.Now().Before(end); b.clock.Advance(time.Second) {
			b.step(w, items)
			works := b.startItems(w, 9)
			begun += len(works)
			b.finish(w, works)
		}
		require.Greater(t, begun, items*4/5, "running segments go on")
		b.kv.SetOutage(false)
		before, seconds := b.kv.Calls("a", ""), 0
		for !b.status(id).Status.Ended() {
			b.clock.Advance(time.Second)
			seconds++
			b.step(w, items)
			b.finish(w, b.startItems(w, 1000))
		}
		calls := b.kv.Calls("a", "") - before
		t.Logf("folder %t: %d items run in the outage, %d calls in the %d s afterwards", folder != "", begun, calls, seconds)
		require.Less(t, calls, items/100)
		_, completed, _ := b.status(id).Counts()
		require.Equal(t, items, completed)
	}
}

// TestFullResultBufferStopsStarts bounds what waits for the platform's service.
func TestFullResultBufferStopsStarts(t *testing.T) {
	b := newTestService(t)
	b.accept(b.kv, 2000)
	w := b.worker("a", run.Limits{ChunkBytes: 4 << 10, MemoryBytes: 64 << 10})
	b.announce(w)
	b.step(w, 2000)
	b.kv.SetOutage(true)
	for range 200 {
		b.finish(w, b.startItems(w, 10))
		b.step(w, 2000)
		b.clock.Advance(time.Second)
	}
	st := w.State()
	require.Zero(t, st.Ready)
	require.Less(t, st.BufferedBytes, 128<<10)
	b.kv.SetOutage(false)
	b.clock.Advance(time.Minute)
	b.step(w, 2000)
	require.Positive(t, w.State().Ready)
}

// TestNoStartAfterLeaseExpires keeps a worker from starting items after its term, while
// the platform's service is away.
func TestNoStartAfterLeaseExpires(t *testing.T) {
	b := newTestService(t)
	b.accept(b.kv, 100)
	w := b.worker("a", run.DefaultLimits())
	b.announce(w)
	b.step(w, 10)
	b.kv.SetOutage(true)
	attempt, ok := w.Next(simService)
	require.True(t, ok)
	b.clock.Advance(run.DefaultTiming().LeaseDuration)
	require.False(t, w.TryStart(attempt), "the check just before the first byte")
	require.Empty(t, b.startItems(w, 1))
}

func TestCancelDuringStoreOutage(t *testing.T) {
	b := newTestService(t)
	id := b.accept(b.kv, 100).ID
	w := b.worker("a", run.DefaultLimits())
	b.announce(w)
	b.step(w, 10)
	works := b.startItems(w, 4)
	b.kv.SetOutage(true)
	require.Equal(t, 4, w.Stop(id))
	for _, work := range works {
		require.True(t, stopped(work))
		w.Preempt(work, run.Partial{})
	}
	require.Empty(t, b.startItems(w, 1))
	b.step(w, 10)
	require.Equal(t, store.StatusInProgress, b.status(id).Status)
	b.kv.SetOutage(false)
	b.clock.Advance(time.Minute)
	b.step(w, 10)
	require.Equal(t, store.StatusCancelled, b.status(id).Status)
}

func TestDrainHandsOverProgress(t *testing.T) {
	b := newTestService(t)
	id := b.accept(b.kv, 300).ID
	first, second := b.worker("a", run.DefaultLimits()), b.worker("b", run.DefaultLimits())
	b.announce(first)
	b.step(first, 10)
	b.finish(first, b.startItems(first, 20))
	running := b.startItems(first, 3)
	first.Drain()
	for _, work := range running {
		first.Preempt(work, run.Partial{})
	}
	b.step(first, 10)
	require.Zero(t, first.State().Held)
	_, completed, _ := b.status(id).Counts()
	require.Equal(t, 20, completed, "progress is handed over")
	b.announce(second)
	b.step(second, 10)
	require.Equal(t, 280, second.State().Ready, "the others go on at once")
}

// TestStuckItemDoesNotBlockOthers leaves one item running for ever.
func TestStuckItemDoesNotBlockOthers(t *testing.T) {
	b := newTestService(t)
	id := b.accept(b.kv, 1500).ID
	w := b.worker("a", run.DefaultLimits())
	b.announce(w)
	b.step(w, 100)
	require.Len(t, b.startItems(w, 1), 1)
	for range 100 {
		b.step(w, 100)
		b.finish(w, b.startItems(w, 100))
		b.clock.Advance(time.Second)
	}
	b.step(w, 100)
	_, completed, _ := b.status(id).Counts()
	require.Equal(t, 1499, completed)
}

// TestSharedReplicaFailuresAreNotTries loses the replica of an item again and
// again while it runs with others, then lets it fail by itself.
func TestSharedReplicaFailuresAreNotTries(t *testing.T) {
	b := newTestService(t)
	id := b.accept(b.kv, 1).ID
	w := b.worker("a", run.DefaultLimits())
	b.announce(w)
	b.step(w, 1)
	ids := make(map[string]bool)
	next := func() *run.Attempt {
		works := b.startItems(w, 1)
		require.Len(t, works, 1)
		require.False(t, ids[works[0].ID], "each run has its own id")
		ids[works[0].ID] = true
		return works[0]
	}
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "The replica was lost.")
	for n := range 5 {
		work := next()
		require.Equal(t, n, work.ReplicaFailures)
		w.FailWithReplica(work, lost)
	}
	for range b.doc.Batch.MaxTries {
		require.Equal(t, store.StatusInProgress, b.status(id).Status)
		w.Fail(next(), lost)
	}
	b.step(w, 1)
	_, _, failed := b.status(id).Counts()
	require.Equal(t, 1, failed)
}
