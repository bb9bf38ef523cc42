package versions

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

const service = "svc"

func replicas(versions ...string) map[string]replica.Replica {
	all := make(map[string]replica.Replica)
	for i, version := range versions {
		id := fmt.Sprint("r", i)
		all[id] = replica.Replica{ID: id, Service: service, SoftwareVersion: version}
	}
	return all
}

func version(name string) replica.Replica {
	return replica.Replica{Service: service, SoftwareVersion: name}
}

// newRecorder returns a Recorder that serves until the test ends.
func newRecorder(t *testing.T, store txn.Store, firstStart bool) *Recorder {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := NewRecorder(store, clockwork.NewRealClock(), logrus.NewEntry(log), firstStart, func() {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

// start lists the records and shows the replicas to a recorder, as a host does.
func start(t *testing.T, r *Recorder, versions ...string) {
	t.Helper()
	require.NoError(t, r.Refresh(t.Context()))
	r.Observe(replicas(versions...))
}

func only(t *testing.T, store txn.Store) (string, bool) {
	t.Helper()
	version, ok, err := NewReader(store).Only(t.Context(), service)
	require.NoError(t, err)
	return version, ok
}

// A version is recorded before streams begin there, and all hosts read it then.
func TestVersionIsRecordedBeforeStreamsBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := txntest.NewStore()
		r := newRecorder(t, store, true)
		store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
		r.Observe(replicas("v1"))
		time.Sleep(10 * time.Second)
		require.False(t, r.Admits(version("v1")), "not recorded")
		store.SetFault(nil)
		time.Sleep(2 * time.Second)
		require.True(t, r.Admits(version("v1")))
		got, ok := only(t, store)
		require.True(t, ok)
		require.Equal(t, "v1", got)
		r.Observe(replicas("v1", "v2"))
		require.False(t, r.Admits(version("v2")))
		require.True(t, r.Admits(version("v1")))
		time.Sleep(time.Second)
		require.True(t, r.Admits(version("v2")))
		_, ok = only(t, store)
		require.False(t, ok)
	})
}

// While a host can't write a new version, another one does. The host was not told that it may
// use the version's replicas.
func TestVersionRecordedByAnotherHostIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := txntest.NewStore()
		start(t, newRecorder(t, store, true), "v1", "v2")
		time.Sleep(time.Second)
		item, err := store.Get(t.Context(), key(service))
		require.NoError(t, err)
		r := newRecorder(t, store, true)
		recorded := 0
		r.onRecorded = func() { recorded++ }
		store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
		r.Observe(replicas("v2"))
		time.Sleep(time.Second)
		r.Apply([]txn.Item{item})
		require.True(t, r.Admits(version("v2")))
		require.Equal(t, 1, recorded)
	})
}

// Whatever becomes of the writes, several recorders end with one record that admits what
// each of them sees.
func TestRecordersAgreeUnderFaults(t *testing.T) {
	for _, fault := range []txntest.Fault{txntest.Refuse, txntest.LoseRequest, txntest.LoseReply, txntest.Late} {
		synctest.Test(t, func(t *testing.T) {
			store := txntest.NewStore()
			a, b := newRecorder(t, store, true), newRecorder(t, store, true)
			n := 0
			store.SetFault(func(string) txntest.Fault {
				if n++; n%2 == 0 {
					return fault
				}
				return txntest.None
			})
			a.Observe(replicas("v1"))
			b.Observe(replicas("v1", "v2"))
			time.Sleep(5 * time.Second)
			store.SetFault(nil)
			store.ReleaseLate()
			time.Sleep(5 * time.Second)
			require.True(t, a.Admits(version("v1")) && b.Admits(version("v1")) && b.Admits(version("v2")), "fault %v", fault)
			_, ok := only(t, store)
			require.False(t, ok, "fault %v", fault)
		})
	}
}

// After a start there is one version, if that was the only one before too. One that has left
// is remembered for as long as its streams can be resumed.
func TestRestartedHostKnowsTheVersionsOfBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := txntest.NewStore()
		start(t, newRecorder(t, store, true), "v1")
		time.Sleep(time.Second)
		start(t, newRecorder(t, store, false), "v1")
		time.Sleep(time.Second)
		got, ok := only(t, store)
		require.True(t, ok, "a plain restart")
		require.Equal(t, "v1", got)

		replaced := newRecorder(t, store, false)
		start(t, replaced, "v2")
		time.Sleep(time.Second)
		require.True(t, replaced.Admits(version("v2")))
		time.Sleep(StreamRetention)
		_, ok = only(t, store)
		require.False(t, ok, "streams of v1 can still be resumed")
	})
}

func TestVersionWithoutReplicasIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := txntest.NewStore()
		a, b := newRecorder(t, store, true), newRecorder(t, store, true)
		start(t, a, "v1")
		start(t, b, "v1")
		time.Sleep(time.Second)
		a.Observe(replicas("v2"))
		time.Sleep(time.Second)
		b.Observe(replicas("v2"))
		gone := time.Now()
		follow(t, store, a, b)
		require.Eventually(t, func() bool { _, ok := only(t, store); return ok }, 2*StreamRetention, 100*time.Millisecond)
		require.GreaterOrEqual(t, time.Since(gone), StreamRetention)
		got, _ := only(t, store)
		require.Equal(t, "v2", got)
	})
}

// follow passes changes of the records to recorders until the test ends.
func follow(t *testing.T, store *txntest.Store, recorders ...*Recorder) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			for _, r := range recorders {
				_ = r.Refresh(ctx)
			}
			time.Sleep(400 * time.Millisecond)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// The write that removes a version takes effect after the version has come back. Then no
// stream may have begun there that the record doesn't tell of.
func TestLateRemovalOfAVersionThatIsBackTakesNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := txntest.NewStore()
		a, b := newRecorder(t, store, true), newRecorder(t, store, true)
		start(t, a, "v1", "v2")
		time.Sleep(time.Second)
		a.Observe(replicas("v2"))
		time.Sleep(StreamRetention)
		store.SetFault(func(call string) txntest.Fault {
			if call == "commit" {
				return txntest.Late
			}
			return txntest.None
		})
		time.Sleep(3 * time.Second)
		require.Positive(t, store.Calls("commit"))
		a.Pause()
		store.SetFault(nil)
		start(t, b, "v1", "v2")
		require.False(t, b.Admits(version("v1")), "retired")
		time.Sleep(time.Second)
		require.True(t, b.Admits(version("v1")))
		store.ReleaseLate()
		_, ok := only(t, store)
		require.False(t, ok)
	})
}

// A system that was served by an older build has no record, but streams.
func TestFirstRecordOfARunningSystemTellsOfEarlierVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := txntest.NewStore()
		start(t, newRecorder(t, store, false), "v1")
		time.Sleep(StreamRetention - time.Second)
		_, ok := only(t, store)
		require.False(t, ok)
		time.Sleep(5 * time.Second)
		got, ok := only(t, store)
		require.True(t, ok)
		require.Equal(t, "v1", got)
	})
}

// Another writer left something else in the place of a record: it is unknown which versions
// there were, and the service goes on.
func TestUnreadableRecordIsWrittenAnew(t *testing.T) {
	tooMany, err := json.Marshal(Record{Service: service, Versions: make([]Version, 10*maxVersions)})
	require.NoError(t, err)
	for _, value := range []string{"[[[", `{"service":"another"}`, `{"service":"svc","versions":[{"name":"v1","retired":1e99}]}`, string(tooMany)} {
		synctest.Test(t, func(t *testing.T) {
			store := txntest.NewStore()
			_, err := store.Commit(t.Context(), txn.Request{Writes: []txn.Write{{Key: key(service), Value: []byte(value)}}})
			require.NoError(t, err)
			_, _, err = NewReader(store).Only(t.Context(), service)
			require.Error(t, err)
			r := newRecorder(t, store, true)
			start(t, r, "v1")
			time.Sleep(time.Second / 2)
			require.True(t, r.Admits(version("v1")), value)
			_, ok := only(t, store)
			require.False(t, ok, value)
			r.Observe(replicas("v1"))
			time.Sleep(StreamRetention + 5*time.Second)
			_, ok = only(t, store)
			require.True(t, ok, value)
		})
	}
}

// The same while a host that knows the record watches it.
func TestOverwrittenRecordIsWrittenAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := txntest.NewStore()
		r := newRecorder(t, store, true)
		start(t, r, "v1")
		time.Sleep(time.Second)
		at, err := store.Commit(t.Context(), txn.Request{Writes: []txn.Write{{Key: key(service), Value: []byte("odd")}}})
		require.NoError(t, err)
		r.Apply([]txn.Item{{Key: key(service), Rev: at, Value: []byte("odd")}})
		require.True(t, r.Admits(version("v1")))
		time.Sleep(time.Second)
		_, ok := only(t, store)
		require.False(t, ok, "others may have recorded a version in between")
		time.Sleep(StreamRetention + 5*time.Second)
		got, ok := only(t, store)
		require.True(t, ok)
		require.Equal(t, "v1", got)
	})
}

// A service has more versions than a record names, by many replicas or by an odd writer. All
// its replicas are used, and it is never taken for one of a single version.
func TestVersionsBeyondTheBoundAreUsedUnlisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := txntest.NewStore()
		r := newRecorder(t, store, true)
		var names []string
		for i := range 10 * maxVersions {
			names = append(names, fmt.Sprint("v", i))
		}
		start(t, r, names...)
		time.Sleep(2 * time.Second)
		for _, name := range names {
			require.True(t, r.Admits(version(name)), name)
		}
		item, err := store.Get(t.Context(), key(service))
		require.NoError(t, err)
		record, err := decode(item)
		require.NoError(t, err)
		require.Len(t, record.Versions, maxVersions+1)
		r.Observe(replicas("v1"))
		time.Sleep(StreamRetention)
		_, ok := only(t, store)
		require.False(t, ok, "streams of the others can still be resumed")
		time.Sleep(5 * time.Second)
		got, ok := only(t, store)
		require.True(t, ok)
		require.Equal(t, "v1", got)
	})
}

// Another writer deletes the record of a service. It is written anew, and tells of versions
// that nobody knows for as long as streams can be resumed.
func TestDeletedRecordIsWrittenAnew(t *testing.T) {
	for name, notice := range map[string]func(t *testing.T, r *Recorder, at txn.Rev){
		"seen by the watch": func(_ *testing.T, r *Recorder, at txn.Rev) {
			r.Apply([]txn.Item{{Key: key(service), Rev: at, Deleted: true}})
		},
		"missing in a list":         func(t *testing.T, r *Recorder, _ txn.Rev) { require.NoError(t, r.Refresh(t.Context())) },
		"found by the next version": func(_ *testing.T, r *Recorder, _ txn.Rev) { r.Observe(replicas("v1", "v2")) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := txntest.NewStore()
				r := newRecorder(t, store, true)
				start(t, r, "v1")
				time.Sleep(time.Second)
				at, err := store.Commit(t.Context(), txn.Request{Remove: []string{key(service)}})
				require.NoError(t, err)
				notice(t, r, at)
				require.True(t, r.Admits(version("v1")))
				time.Sleep(2 * time.Second)
				r.Observe(replicas("v1"))
				require.True(t, r.Admits(version("v1")))
				_, ok := only(t, store)
				require.False(t, ok)
				time.Sleep(StreamRetention + 5*time.Second)
				got, ok := only(t, store)
				require.True(t, ok)
				require.Equal(t, "v1", got)
			})
		})
	}
}

// gatedStore lets reads begin, and end when the gate is opened.
type gatedStore struct {
	*txntest.Store
	begun, gate chan struct{}
}

func (s *gatedStore) Get(ctx context.Context, key string) (txn.Item, error) {
	item, err := s.Store.Get(ctx, key)
	s.begun <- struct{}{}
	<-s.gate
	return item, err
}

// A read that has begun may have seen the record before a version was added, so a stream that
// is resumed afterwards needs another one. All that wait share it.
func TestReadIsSharedOnlyBeforeItBegins(t *testing.T) {
	synctest.Test(t, testReadIsShared)
}

func testReadIsShared(t *testing.T) {
	store := &gatedStore{Store: txntest.NewStore(), begun: make(chan struct{}), gate: make(chan struct{})}
	put := func(record string) {
		_, err := store.Commit(t.Context(), txn.Request{Writes: []txn.Write{{Key: key(service), Value: []byte(record)}}})
		require.NoError(t, err)
	}
	put(`{"service":"svc","versions":[{"name":"v1"}]}`)
	r := NewReader(store)
	results := make(chan bool)
	ask := func() { _, ok, _ := r.Only(t.Context(), service); results <- ok }
	for range maxReads {
		go ask()
		<-store.begun
	}
	put(`{"service":"svc","versions":[{"name":"v1"},{"name":"v2"}]}`)
	const more = 5
	for range more {
		go ask()
	}
	synctest.Wait()
	for range maxReads {
		store.gate <- struct{}{}
		require.True(t, <-results, "began before the change")
	}
	<-store.begun
	store.gate <- struct{}{}
	for range more {
		require.False(t, <-results)
	}
	require.Equal(t, maxReads+1, store.Calls("get"))
}
