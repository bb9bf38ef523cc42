package host

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// newMixedFleet returns a fleet whose replicas r0, r1, ... have the given software
// versions.
func newMixedFleet(t *testing.T, eventInterval time.Duration, versions ...string) *fleet {
	f := newEmptyFleet(t)
	for i, version := range versions {
		f.addReplica(fmt.Sprintf("r%d", i), version, eventInterval)
	}
	return f
}

// versionsIn returns the software versions that made the events in a text.
func versionsIn(text string) []string {
	var versions []string
	for _, match := range eventVersion.FindAllStringSubmatch(text, -1) {
		if len(versions) == 0 || versions[len(versions)-1] != match[1] {
			versions = append(versions, match[1])
		}
	}
	return versions
}

var eventVersion = regexp.MustCompile(`(v\d)e\d`)

func TestTruncatedStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	f := newMixedFleet(t, time.Millisecond, "v1", "v1", "v2")
	f.replicas[0].SetFraming(platformtest.ResponseFraming{TruncateEvery: 1})
	a := f.start("a")
	for i := range 20 {
		got, err := call(a, fmt.Sprint("q", i))
		require.LessOrEqual(t, len(versionsIn(got.Body)), 1, "%s", got.Body)
		require.NoError(t, err, "two replicas of the version serve")
		require.Equal(t, 8, strings.Count(got.Body, "data: "))
	}
}

func TestTruncatedStreamIsNotJoinedWithAnotherSoftwareVersion(t *testing.T) {
	f := newMixedFleet(t, time.Millisecond, "v1", "v2")
	f.replicas[0].SetFraming(platformtest.ResponseFraming{TruncateEvery: 1})
	a := f.start("a")
	for i := range 20 {
		got, _ := call(a, fmt.Sprint("q", i))
		require.LessOrEqual(t, len(versionsIn(got.Body)), 1, "%s", got.Body)
	}
}

// The caller's connection breaks, and it takes the stream up at another host.
func TestCallerResumesStreamAtItsSoftwareVersion(t *testing.T) {
	f := newMixedFleet(t, time.Millisecond, "v1", "v2")
	a, b := f.start("a"), f.start("b")
	require.Eventually(t, func() bool { return len(a.view.Local()) == 2 && len(b.view.Local()) == 2 }, 10*time.Second, 10*time.Millisecond)
	for i := range 20 {
		origin := fmt.Sprint("q", i)
		got, err := call(a, origin)
		require.NoError(t, err)
		for n, h := range []*Host{b, a} {
			rest, err := platformtest.NewCaller().Resume(h.settings.Callers, "/s/x", fmt.Sprint(origin, "-", n), "body", origin, 4)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, rest.Status)
			require.Equal(t, versionsIn(got.Body), versionsIn(rest.Body), "resumed at %s", h.settings.Host)
			require.Equal(t, 4, strings.Count(rest.Body, "data: "))
		}
	}
}

func TestItemOutputHasOneSoftwareVersion(t *testing.T) {
	f := newMixedFleet(t, time.Millisecond, "v1", "v2")
	f.replicas[0].SetFraming(platformtest.ResponseFraming{TruncateEvery: 2})
	a := f.start("a")
	f.submit(a, "job", 20)
	require.Eventually(t, func() bool {
		outputs, err := platformtest.Results(a.settings.Callers, "job")
		return err == nil && len(outputs) == 20
	}, 20*time.Second, 50*time.Millisecond)
	outputs, err := platformtest.Results(a.settings.Callers, "job")
	require.NoError(t, err)
	for _, output := range outputs {
		require.Len(t, versionsIn(output), 1, "%s", output)
		require.Equal(t, 8, strings.Count(output, "e"))
	}
}

// settingsOfFirstStart are the settings of a host of a system that starts for the first time.
func (f *fleet) settingsOfFirstStart(name string) *platform.Settings {
	s := f.newSettings(name, "dc", f.address)
	s.FirstStart = true
	return s
}

// newFleetWithStreams returns a fleet of the hosts a and b, which starts for the first time,
// after a number of streams: q0, q1, and so on. Its two replicas have the version v1.
func newFleetWithStreams(t *testing.T, streams int) *fleet {
	f := newMixedFleet(t, time.Millisecond, "v1", "v1")
	a := f.serve(f.settingsOfFirstStart("a"))
	f.serve(f.settingsOfFirstStart("b"))
	for i := range streams {
		_, err := call(a, fmt.Sprint("q", i))
		require.NoError(t, err)
	}
	return f
}

// restartAll kills all hosts at the same time and starts others with their names.
func (f *fleet) restartAll(names ...string) []*Host {
	for _, name := range names {
		lease := f.hosts[name].presence.leaseID
		f.kill(name)
		require.NoError(f.t, f.store.Expire(lease))
	}
	hosts := make([]*Host, len(names))
	for i, name := range names {
		hosts[i] = f.start(name)
	}
	return hosts
}

// resume takes a stream up at a host, after event 4 of 8.
func resume(h *Host, id, origin string) (platformtest.Response, error) {
	return platformtest.NewCaller().Resume(h.settings.Callers, "/s/x", id, "body", origin, 4)
}

// All hosts are killed at once on a day of one version. What callers then take up goes on.
func TestStreamsOfOneVersionGoOnAfterARestartOfAllHosts(t *testing.T) {
	const streams = 20
	f := newFleetWithStreams(t, streams)
	for n, h := range f.restartAll("a", "b") {
		for i := range streams {
			origin := fmt.Sprint("q", i)
			rest, err := resume(h, fmt.Sprint(origin, "-", n), origin)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, rest.Status, "stream %s at %s", origin, h.settings.Host)
			require.Equal(t, []string{"v1"}, versionsIn(rest.Body))
		}
	}
}

// All hosts are killed at once, soon after the replicas were replaced by those of another
// version (review/3). The streams that began at the former ones don't go on at the others.
func TestStreamsOfAFormerVersionAreNotJoinedAfterARestartOfAllHosts(t *testing.T) {
	const streams = 20
	f := newFleetWithStreams(t, streams)
	former := f.replicas
	f.addReplica("new", "v2", time.Millisecond)
	for _, r := range former {
		_, err := f.store.Commit(t.Context(), txn.Request{Remove: []string{r.Record("svc", "dc", "ready", 4).Key}})
		require.NoError(t, err)
	}
	for n, h := range f.restartAll("a", "b") {
		require.Eventually(t, func() bool {
			got, err := call(h, fmt.Sprint("new-", n))
			return err == nil && got.Replica == "new"
		}, testTimeout, 10*time.Millisecond)
		for i := range streams {
			origin := fmt.Sprint("q", i)
			rest, err := resume(h, fmt.Sprint(origin, "-", n), origin)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, rest.Status, "stream %s at %s: %s", origin, h.settings.Host, rest.Body)
		}
	}
}

// A host gets no answer from the store, and doesn't know that yet, while replicas of another
// version join. A stream that began at one of them through a host that is lost is taken up
// there.
func TestStreamOfAVersionThatAHostHasNotSeenIsNotJoined(t *testing.T) {
	f := newMixedFleet(t, time.Millisecond, "v1", "v1")
	f.put(f.replicas[1].Record("svc", "other", "ready", 4))
	proxy := &storeProxy{}
	outOfStep := f.newSettings("b", "other", proxy.start(f))
	outOfStep.FirstStart = true
	a, b := f.serve(f.settingsOfFirstStart("a")), f.serve(outOfStep)
	require.Eventually(t, func() bool { return len(a.view.Remote()) == 1 && len(b.view.Remote()) == 1 }, 10*time.Second, 10*time.Millisecond)
	proxy.standStill()
	f.put(f.replicas[0].Record("svc", "dc", "draining", 4))
	f.addReplica("new", "v2", time.Millisecond)
	var origin string
	require.Eventually(t, func() bool {
		origin = fmt.Sprint("q", time.Now().UnixNano())
		got, err := call(a, origin)
		return err == nil && got.Replica == "new"
	}, testTimeout, 10*time.Millisecond)
	f.kill("a")
	rest, err := resume(b, origin+"-again", origin)
	if err == nil && rest.Status == http.StatusOK {
		require.Equal(t, []string{"v2"}, versionsIn(rest.Body))
	}
}

// A host that watches the store gets records from a peer, and then sees a replica of another
// version in the store. Streams may begin at what the peer uses, and at the other version
// once it is recorded.
func TestVersionSeenBesideRecordsOfAPeerIsRecordedFirst(t *testing.T) {
	f := newMixedFleet(t, time.Millisecond, "v1")
	a := f.serve(f.settingsOfFirstStart("a"))
	f.store.SetFault(func(call string) txntest.Fault {
		if call == "commit" {
			return txntest.Refuse
		}
		return txntest.None
	})
	peers := []replica.Replica{a.replicas.snapshot()[0], {ID: "p", Service: "svc", SoftwareVersion: "v2"}}
	a.replicas.replaceFromPeer(peers, 0)
	require.ElementsMatch(t, peers, a.replicas.snapshot())
	seen := platformtest.NewReplica("s", 8, time.Millisecond)
	t.Cleanup(seen.Close)
	seen.SetSoftwareVersion("v3")
	record := seen.Record("svc", "dc", "ready", 4)
	a.replicas.apply(t.Context(), []txn.Item{{Key: record.Key, Value: record.Value, Rev: 100}})
	require.ElementsMatch(t, peers, a.replicas.snapshot())
	f.store.SetFault(nil)
	require.Eventually(t, func() bool { return len(a.replicas.snapshot()) == len(peers)+1 }, testTimeout, time.Millisecond)
}
