package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
)

// faultStore calls fault instead of the Put with the number faultAt, counted
// from 1. Fault gets that Put as an argument.
type faultStore struct {
	kv.Store
	faultAt int
	puts    int
	fault   func(put func() error) error
	// hostFailed makes all later calls fail, as if the host had crashed.
	hostFailed bool
}

func (s *faultStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if s.hostFailed {
		return kv.Entry{}, kv.ErrUnreachable
	}
	return s.Store.Get(ctx, key)
}

func (s *faultStore) Put(ctx context.Context, put kv.Put) (v kv.Version, err error) {
	if s.hostFailed {
		return 0, kv.ErrUnreachable
	}
	s.puts++
	if s.puts != s.faultAt {
		return s.Store.Put(ctx, put)
	}
	err = s.fault(func() error { v, err = s.Store.Put(ctx, put); return err })
	return v, err
}

type fixture struct {
	kvStore *kvtest.Store
	clock   *clockwork.FakeClock
	items   int
}

func newFixture() *fixture {
	clock := clockwork.NewFakeClock()
	return &fixture{kvStore: kvtest.NewStore(clock), clock: clock, items: 25}
}

// submit uploads a file of f.items items and creates a job for it, as one host
// does.
func (f *fixture) submit(kvStore kv.Store, key string) (job *store.Job, resent bool, err error) {
	ctx := context.Background()
	a := &store.Acceptor{KV: kvStore, Clock: f.clock}
	o := store.Origin{Service: "svc", Caller: "c", Key: key, Window: time.Hour, Retention: 24 * time.Hour}
	up, err := a.BeginUpload(ctx, o, 10)
	if err != nil {
		return nil, false, err
	}
	for i := range f.items {
		item := &store.Item{CustomID: fmt.Sprint(i), Method: "POST", URL: "/v1/completions", Body: []byte(`{}`)}
		if err := up.Add(ctx, item); err != nil {
			return nil, false, err
		}
	}
	file, _, err := up.Accept(ctx, "f")
	if err != nil {
		return nil, false, err
	}
	return a.AcceptJob(ctx, &store.JobRequest{Origin: o, File: file, Endpoint: "/v1/completions", Due: time.Hour})
}

// requireOneJob requires that there is exactly one job, that its input is
// complete, and that it is announced once.
func (f *fixture) requireOneJob(t *testing.T, job *store.Job) {
	ctx := context.Background()
	require.Len(t, f.kvStore.Keys("batch/job/"), 1)
	items, announced := 0, 0
	for n := range job.Segments {
		segment, err := store.ReadSegment(ctx, f.kvStore, job.DataID, n)
		require.NoError(t, err)
		items += len(segment)
	}
	require.Equal(t, f.items, items)
	for shard := range store.Shards {
		entries, err := store.ActiveJobs(ctx, f.kvStore, "svc", shard)
		require.NoError(t, err)
		for _, e := range entries {
			require.Equal(t, job.ID, e.Job)
			announced++
		}
	}
	require.Equal(t, 1, announced)
}

// maxSteps exceeds the number of Put calls of an acceptance. Tests stop at the
// first number that is not reached.
const maxSteps = 40

// TestRepeatedAcceptanceAfterFaultAtEachPut fails each Put of an acceptance in
// turn, then accepts the same content on a host without faults: there must be one
// complete job, the first one if the first acceptance succeeded.
func TestRepeatedAcceptanceAfterFaultAtEachPut(t *testing.T) {
	faults := []struct {
		name       string
		hostFailed bool
		do         func(put func() error) error
	}{
		{"store unreachable", false, func(func() error) error { return kv.ErrUnreachable }},
		{"limit", false, func(func() error) error { return kv.ErrLimited }},
		{"reply lost", false, func(put func() error) error { _ = put(); return kv.ErrUnknown }},
		{"host fails before the write", true, func(func() error) error { return kv.ErrUnreachable }},
		{"host fails after the write", true, func(put func() error) error { _ = put(); return kv.ErrUnknown }},
	}
	for _, fault := range faults {
		for _, key := range []string{"", "key"} {
			t.Run(fault.name+"/key "+key, func(t *testing.T) {
				for step := 1; step < maxSteps; step++ {
					f := newFixture()
					faulty := &faultStore{Store: f.kvStore, faultAt: step}
					faulty.fault = func(put func() error) error { faulty.hostFailed = fault.hostFailed; return fault.do(put) }
					first, _, err := f.submit(faulty, key)
					if faulty.puts < step {
						require.Greater(t, step, 6)
						return
					}
					accepted := err == nil
					again, resent, err := f.submit(f.kvStore, key)
					require.NoError(t, err, "step %d", step)
					if accepted {
						require.Equal(t, first.ID, again.ID)
						require.True(t, resent)
						require.Equal(t, first.AcceptedAt.UTC(), again.AcceptedAt.UTC())
					}
					f.requireOneJob(t, again)
				}
				t.Fatal("an acceptance has more than maxSteps Put calls")
			})
		}
	}
}

// TestConcurrentAcceptanceYieldsOneJob lets a second host accept the same
// content just before each Put of the first one.
func TestConcurrentAcceptanceYieldsOneJob(t *testing.T) {
	for _, key := range []string{"", "key"} {
		for step := 1; step < maxSteps; step++ {
			f := newFixture()
			var other *store.Job
			faulty := &faultStore{Store: f.kvStore, faultAt: step}
			faulty.fault = func(put func() error) error {
				var err error
				other, _, err = f.submit(f.kvStore, key)
				require.NoError(t, err)
				return put()
			}
			job, _, err := f.submit(faulty, key)
			if faulty.puts < step {
				break
			}
			require.NoError(t, err)
			require.Equal(t, other.ID, job.ID, "step %d", step)
			require.Equal(t, other.Run, job.Run)
			f.requireOneJob(t, job)
		}
	}
}

// TestResendReturnsTheSameJob covers requests with a key and, inside and after
// the window, requests without one.
func TestResendReturnsTheSameJob(t *testing.T) {
	cases := []struct {
		name  string
		key   string
		after time.Duration
		same  bool
	}{
		{"same key at once", "k", 0, true},
		{"same key the next day", "k", 23 * time.Hour, true},
		{"same content inside the window", "", 59 * time.Minute, true},
		{"same content after the window", "", 24 * time.Hour, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			first, resent, err := f.submit(f.kvStore, c.key)
			require.NoError(t, err)
			require.False(t, resent)
			f.clock.Advance(c.after)
			second, resent, err := f.submit(f.kvStore, c.key)
			require.NoError(t, err)
			require.Equal(t, c.same, resent)
			require.Equal(t, c.same, first.ID == second.ID)
		})
	}
}

func TestKeyReusedWithOtherContentIsRejected(t *testing.T) {
	f := newFixture()
	_, _, err := f.submit(f.kvStore, "k")
	require.NoError(t, err)
	f.items++
	_, _, err = f.submit(f.kvStore, "k")
	errtest.Is(t, err, store.ErrContentMismatch)
}

// collectAll collects every shard of the service.
func (f *fixture) collectAll(t *testing.T, retention time.Duration) {
	c := &store.Collector{KV: f.kvStore}
	for shard := range store.Shards {
		require.NoError(t, c.Collect(context.Background(), "svc", shard, retention, f.clock.Now()))
	}
}

// TestInterruptedAcceptanceIsRemoved stops the accepting host after each Put
// and requires that the collector removes all that it wrote, unless the job was
// accepted by then.
func TestInterruptedAcceptanceIsRemoved(t *testing.T) {
	ctx := context.Background()
	for step := 1; step < maxSteps; step++ {
		f := newFixture()
		faulty := &faultStore{Store: f.kvStore, faultAt: step}
		faulty.fault = func(put func() error) error { _ = put(); faulty.hostFailed = true; return kv.ErrUnknown }
		_, _, err := f.submit(faulty, "")
		if faulty.puts < step {
			return
		}
		require.Error(t, err)
		f.clock.Advance(3 * time.Hour)
		for shard := range store.Shards {
			entries, err := store.ActiveJobs(ctx, f.kvStore, "svc", shard)
			require.NoError(t, err)
			for _, e := range entries {
				_, err := store.Abandon(ctx, f.kvStore, "svc", e, f.clock.Now())
				require.NoError(t, err)
			}
		}
		if _, err := store.Load(ctx, f.kvStore, jobID(f)); err == nil && len(f.kvStore.Keys("batch/caller/")) > 0 && accepted(t, f) {
			continue
		}
		for range 12 {
			f.clock.Advance(24 * time.Hour)
			f.collectAll(t, 24*time.Hour)
		}
		require.Empty(t, f.kvStore.Keys("batch/data/"), "step %d", step)
		require.Empty(t, f.kvStore.Keys("batch/file/"), "step %d", step)
		require.Empty(t, f.kvStore.Keys("batch/job/"), "step %d", step)
	}
}

func jobID(f *fixture) string {
	keys := f.kvStore.Keys("batch/job/")
	if len(keys) == 0 {
		return ""
	}
	return keys[0][len("batch/job/"):]
}

// accepted reports whether the job was accepted although the reply to the last
// Put was lost.
func accepted(t *testing.T, f *fixture) bool {
	job, err := store.Load(context.Background(), f.kvStore, jobID(f))
	require.NoError(t, err)
	return job.Status == store.StatusInProgress
}

// TestHeadWrittenAfterAbandonIsAnnounced abandons an acceptance just before its
// head record is written: the job must still be announced and have its input.
func TestHeadWrittenAfterAbandonIsAnnounced(t *testing.T) {
	f := newFixture()
	ctx := context.Background()
	faulty := &faultStore{Store: f.kvStore}
	_, _, err := f.submit(faulty, "")
	require.NoError(t, err)
	lastPut := faulty.puts
	f = newFixture()
	faulty = &faultStore{Store: f.kvStore, faultAt: lastPut}
	faulty.fault = func(put func() error) error {
		for shard := range store.Shards {
			entries, err := store.ActiveJobs(ctx, f.kvStore, "svc", shard)
			require.NoError(t, err)
			for _, e := range entries {
				done, err := store.Abandon(ctx, f.kvStore, "svc", e, f.clock.Now().Add(3*time.Hour))
				require.NoError(t, err)
				require.True(t, done)
			}
		}
		return put()
	}
	job, _, err := f.submit(faulty, "")
	require.NoError(t, err)
	f.requireOneJob(t, job)
}
