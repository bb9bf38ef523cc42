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

// testService is one service and its store, with default timing under a fake
// clock.
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

// worker returns a worker of the named host.
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

// accept streams an input file to the store and creates its job.
func (b *testService) accept(kv kv.Store, items int) *store.Job {
	ctx := context.Background()
	a := &store.Acceptor{KV: kv, Clock: b.clock}
	o := store.Origin{Service: simService, Caller: "c", Window: time.Hour, Retention: 24 * time.Hour}
	up, err := a.BeginUpload(ctx, o, b.doc.Batch.SegmentItems)
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
	job, _, err := a.AcceptJob(ctx, &store.JobRequest{Origin: o, File: f, Endpoint: "/v1/completions", Due: time.Hour})
	require.NoError(b.t, err)
	return job
}

// prompt returns random bytes.
func prompt(rng *rand.Rand) []byte {
	text := make([]byte, 80)
	for i := range text {
		text[i] = byte(rng.Uint32())
	}
	return text
}

// announce passes the active jobs in the store to a worker.
func (b *testService) announce(w *run.Worker) {
	var all []store.ActiveEntry
	for shard := range store.Shards {
		entries, err := store.ActiveJobs(context.Background(), b.kv, simService, shard)
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
		attempt, ok := w.Next(simService)
		if !ok {
			break
		}
		require.True(b.t, w.TryStart(attempt))
		out = append(out, attempt)
	}
	return out
}

// finish ends attempts with a result.
func (b *testService) finish(w *run.Worker, attempts []*run.Attempt) {
	for _, attempt := range attempts {
		body := fmt.Sprintf(`{"text":"%x"}`, attempt.Item.Body[:100])
		w.Finish(attempt, &store.Result{CustomID: attempt.Item.CustomID, Response: &store.ItemResponse{StatusCode: 200, Body: []byte(body)}})
	}
}

func (b *testService) status(id string) *store.Job {
	job, err := store.Load(context.Background(), b.kv, id)
	require.NoError(b.t, err)
	return job
}

const (
	largeItems = 89_000
	// maxHeap bounds the memory in bytes above that of an idle process, not
	// counting the data of the in-memory store.
	maxHeap = 64 << 20
	// maxCalls bounds the store calls per item.
	maxCalls = 0.01
)

// TestLargestJobStaysWithinBounds runs the largest job and bounds the memory
// and the store calls per item, including those of its acceptance.
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

// heap returns the size of the heap without the data of the in-memory store.
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

// TestJobContinuesDuringStoreOutage makes the store unavailable for ten minutes
// during a job: claimed segments continue, no result is lost, and recording
// them afterwards takes few calls.
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
			attempts := b.startItems(w, 9)
			begun += len(attempts)
			b.finish(w, attempts)
		}
		require.Greater(t, begun, items*4/5, "items of claimed segments continue to run")
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

// TestFullResultBufferStopsStarts checks that no item starts while the
// unrecorded results are at their limit during a store outage, and that items
// start again afterwards.
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

// TestNoStartAfterLeaseExpires checks that a worker starts no item after its
// lease has expired during a store outage.
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
	require.False(t, w.TryStart(attempt), "started after the lease expired")
	require.Empty(t, b.startItems(w, 1))
}

// TestCancelDuringStoreOutage checks that a job stops at once while the store
// is unavailable, and that the cancellation is recorded afterwards.
func TestCancelDuringStoreOutage(t *testing.T) {
	b := newTestService(t)
	id := b.accept(b.kv, 100).ID
	w := b.worker("a", run.DefaultLimits())
	b.announce(w)
	b.step(w, 10)
	attempts := b.startItems(w, 4)
	b.kv.SetOutage(true)
	require.Equal(t, 4, w.Stop(id))
	for _, attempt := range attempts {
		require.True(t, stopped(attempt))
		w.Preempt(attempt, run.Partial{})
	}
	require.Empty(t, b.startItems(w, 1))
	b.step(w, 10)
	require.Equal(t, store.StatusInProgress, b.status(id).Status)
	b.kv.SetOutage(false)
	b.clock.Advance(time.Minute)
	b.step(w, 10)
	require.Equal(t, store.StatusCancelled, b.status(id).Status)
}

// TestDrainHandsOverProgress checks that another host can continue at once
// after a drain, with the results recorded so far.
func TestDrainHandsOverProgress(t *testing.T) {
	b := newTestService(t)
	id := b.accept(b.kv, 300).ID
	first, second := b.worker("a", run.DefaultLimits()), b.worker("b", run.DefaultLimits())
	b.announce(first)
	b.step(first, 10)
	b.finish(first, b.startItems(first, 20))
	running := b.startItems(first, 3)
	first.Drain()
	for _, attempt := range running {
		first.Preempt(attempt, run.Partial{})
	}
	b.step(first, 10)
	require.Zero(t, first.State().Held)
	_, completed, _ := b.status(id).Counts()
	require.Equal(t, 20, completed, "results of the drained host are recorded")
	b.announce(second)
	b.step(second, 10)
	require.Equal(t, 280, second.State().Ready, "the other host can run the remaining items at once")
}

// TestStuckItemDoesNotBlockOthers keeps one item running forever; all others
// must complete.
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

func TestItemUnderWhichReplicasCrashedIsStillOwed(t *testing.T) {
	b := newTestService(t)
	id := b.accept(b.kv, 1).ID
	w := b.worker("a", run.DefaultLimits())
	b.announce(w)
	for range 50 {
		b.step(w, 1)
		attempts := b.startItems(w, 1)
		require.Len(t, attempts, 1)
		w.FailWithReplica(attempts[0], verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "The replica was lost."))
		require.Empty(t, b.startItems(w, 1), "not at once")
		b.clock.Advance(time.Minute)
	}
	b.step(w, 1)
	require.Equal(t, store.StatusInProgress, b.status(id).Status)
	b.finish(w, b.startItems(w, 1))
	b.clock.Advance(time.Minute)
	b.step(w, 1)
	_, completed, failed := b.status(id).Counts()
	require.Equal(t, 1, completed)
	require.Zero(t, failed)
}

// TestSharedReplicaFailuresAreNotTries fails the replica of an item several
// times; only failures of the item itself count as tries.
func TestSharedReplicaFailuresAreNotTries(t *testing.T) {
	b := newTestService(t)
	id := b.accept(b.kv, 1).ID
	w := b.worker("a", run.DefaultLimits())
	b.announce(w)
	b.step(w, 1)
	ids := make(map[string]bool)
	next := func() *run.Attempt {
		attempts := b.startItems(w, 1)
		require.Len(t, attempts, 1)
		require.False(t, ids[attempts[0].ID], "each run has its own id")
		ids[attempts[0].ID] = true
		return attempts[0]
	}
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "The replica was lost.")
	for n := range 5 {
		attempt := next()
		require.Equal(t, n, attempt.ReplicaFailures)
		w.FailWithReplica(attempt, lost)
		b.clock.Advance(time.Minute)
		b.step(w, 1)
	}
	for range b.doc.Batch.MaxTries {
		require.Equal(t, store.StatusInProgress, b.status(id).Status)
		w.Fail(next(), lost)
	}
	b.step(w, 1)
	_, _, failed := b.status(id).Counts()
	require.Equal(t, 1, failed)
}

// Guards against an item that no replica can go on with and that fails at each try.
func TestItemWhoseRestIsUnusableBeginsAgain(t *testing.T) {
	b := newTestService(t)
	b.accept(b.kv, 1)
	w := b.worker("a", run.DefaultLimits())
	b.announce(w)
	b.step(w, 1)
	partial := run.Partial{Text: "a", Tokens: 1}
	w.Preempt(b.startItems(w, 1)[0], partial)
	lost := b.startItems(w, 1)[0]
	require.Equal(t, partial, lost.Partial)
	w.Fail(lost, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "The replica was lost."))
	unusable := b.startItems(w, 1)[0]
	require.Equal(t, partial, unusable.Partial)
	w.Fail(unusable, verdict.New(verdict.Ran, verdict.CodeIncomplete, "The answer goes on elsewhere."))
	require.Zero(t, b.startItems(w, 1)[0].Partial)
}
