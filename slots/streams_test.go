package slots

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

func TestStreamsAreRememberedForTheirRetention(t *testing.T) {
	s := newStreamVersions()
	s.record(start, StreamVersion{Stream: "a", SoftwareVersion: "v1"})
	s.record(start.Add(streamRetention), StreamVersion{Stream: "b", SoftwareVersion: "v2"})
	known, ok := s.lookUp("a")
	require.True(t, ok)
	require.Equal(t, "v1", known.SoftwareVersion)
	s.record(start.Add(3*streamRetention), StreamVersion{Stream: "c", SoftwareVersion: "v2"})
	s.record(start.Add(5*streamRetention), StreamVersion{Stream: "d", SoftwareVersion: "v2"})
	_, ok = s.lookUp("a")
	require.False(t, ok)
	require.Equal(t, []StreamVersion{{Stream: "c", SoftwareVersion: "v2"}, {Stream: "d", SoftwareVersion: "v2"}}, s.all())
}

// A stream that began keeps its version, whatever is granted to later attempts.
func TestGrantDoesNotChangeTheVersionOfAStreamThatBegan(t *testing.T) {
	s := newStreamVersions()
	s.record(start, StreamVersion{Stream: "s", SoftwareVersion: "v1"})
	s.record(start, StreamVersion{Stream: "s", SoftwareVersion: "v2", Began: true})
	s.record(start.Add(2*streamRetention), StreamVersion{Stream: "s", SoftwareVersion: "v1"})
	known, ok := s.lookUp("s")
	require.True(t, ok)
	require.Equal(t, StreamVersion{Stream: "s", SoftwareVersion: "v2", Began: true}, known)
}

// Each row gives the replicas' versions at times before the question, of which the last
// is in force.
func TestVersionHistory(t *testing.T) {
	type update struct {
		ago      time.Duration
		versions []string
	}
	rows := []struct {
		name    string
		updates []update
		mixed   bool
	}{
		{"no records", nil, false},
		{"no replicas", []update{{time.Minute, nil}}, false},
		{"one version", []update{{time.Minute, []string{"v1", "v1"}}}, false},
		{"two versions", []update{{time.Minute, []string{"v1", "v2"}}}, true},
		{"replaced lately", []update{{time.Minute, []string{"v1"}}, {time.Second, []string{"v2"}}}, true},
		{"replaced long ago", []update{{2 * time.Minute, []string{"v1"}}, {time.Minute, []string{"v2"}}}, false},
		{"removed lately", []update{{time.Minute, []string{"v1"}}, {time.Second, nil}}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var h versionHistory
			for _, u := range row.updates {
				replicas := make(map[string]replica.Replica)
				for i, version := range u.versions {
					id := string(rune('a' + i))
					replicas[id] = replica.Replica{ID: id, Service: service, SoftwareVersion: version}
				}
				h.update(start.Add(-u.ago), replicas)
			}
			require.Equal(t, row.mixed, h.isMixed(start, service))
		})
	}
}

func TestChooseStreamVersion(t *testing.T) {
	began := func(v string) StreamVersionReply { return knownStreamVersion(v, true) }
	granted := func(v string) StreamVersionReply { return knownStreamVersion(v, false) }
	rows := []struct {
		name    string
		replies []StreamVersionReply
		// want is the version if grants don't count, and wantByGrants if they do; empty is
		// unknown.
		want, wantByGrants string
	}{
		{"nobody answers", nil, "", ""},
		{"nobody knows", []StreamVersionReply{{}, {}}, "", ""},
		{"one knows", []StreamVersionReply{{}, began("v1")}, "v1", "v1"},
		{"the same", []StreamVersionReply{began("v1"), granted("v1")}, "v1", "v1"},
		{"granted", []StreamVersionReply{{}, granted("v1")}, "", "v1"},
		{"granted at two versions", []StreamVersionReply{granted("v1"), granted("v2")}, "", ""},
		{"granted at two versions, began at one", []StreamVersionReply{granted("v1"), granted("v2"), began("v2")}, "v2", "v2"},
		{"contradiction", []StreamVersionReply{began("v1"), began("v2")}, "", ""},
		{"a broker of an older build goes by its view", []StreamVersionReply{{SoftwareVersion: "v1", Confidence: Certain}}, "", ""},
		{"the same beside one that knows", []StreamVersionReply{{SoftwareVersion: "v1", Confidence: Certain}, began("v2")}, "v2", "v2"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			for grantsCount, want := range map[bool]string{false: row.want, true: row.wantByGrants} {
				version, ok := chooseStreamVersion(row.replies, grantsCount)
				require.Equal(t, want != "", ok)
				if ok {
					require.Equal(t, want, version)
				}
			}
		})
	}
}

// recordedVersions is a VersionRecords with the versions of one service.
type recordedVersions struct {
	versions []string
	// silent means that no read gets an answer, although the store counts as available.
	silent bool
	reads  int
}

func (r *recordedVersions) Only(ctx context.Context, _ string) (string, bool, error) {
	r.reads++
	if r.silent {
		<-ctx.Done()
		return "", false, ctx.Err()
	}
	if len(r.versions) != 1 {
		return "", false, nil
	}
	return r.versions[0], true, nil
}

// What a host sees of the replicas doesn't tell at which version a stream began. All hosts
// see replicas of v1 alone, and have for long, in each row.
func TestStreamGoesOnOnlyWhereItsVersionIsKnown(t *testing.T) {
	const x1, x2 = "x1", "x2"
	rows := []struct {
		name string
		// recorded are the versions in the store's record.
		recorded []string
		// unavailable are the hosts for which the store is unavailable, silent those that get
		// no answer from it but don't know that yet.
		unavailable, silent []string
		// known is what x2 remembers of the stream.
		known *StreamVersion
		want  string
		ok    bool
	}{
		{name: "one version", recorded: []string{"v1"}, want: "v1", ok: true},
		{name: "an earlier version has left", recorded: []string{"v0", "v1"}},
		{name: "a later version has joined unseen", recorded: []string{"v1", "v2"}},
		{name: "the stream began at a later version", recorded: []string{"v1", "v2"}, known: &StreamVersion{"s", "v2", true}, want: "v2", ok: true},
		{name: "a slot of a later version was granted", recorded: []string{"v1", "v2"}, known: &StreamVersion{"s", "v2", false}},
		{name: "the store is away, a slot was granted", unavailable: []string{x1, x2}, known: &StreamVersion{"s", "v2", false}, want: "v2", ok: true},
		{name: "nothing is recorded"},
		{name: "cut off from the store alone", recorded: []string{"v1"}, unavailable: []string{x1}, want: "v1", ok: true},
		{name: "cut off from the store alone, two versions", recorded: []string{"v1", "v2"}, unavailable: []string{x1}},
		{name: "the store is away", recorded: []string{"v1"}, unavailable: []string{x1, x2}},
		{name: "the store is away, the stream is known", unavailable: []string{x1, x2}, known: &StreamVersion{"s", "v2", true}, want: "v2", ok: true},
		{name: "the store stands still for one host", recorded: []string{"v1"}, silent: []string{x1}, want: "v1", ok: true},
		{name: "the store stands still", recorded: []string{"v1"}, silent: []string{x1, x2}},
		{name: "the store stands still, the stream is known", silent: []string{x1, x2}, known: &StreamVersion{"s", "v2", true}, want: "v2", ok: true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetOf(x1, x2)
			f.setVersions("v1", "v1")
			f.clock.Advance(2 * streamRetention)
			for name, m := range f.hosts {
				m.storeUnavailable = slices.Contains(row.unavailable, name)
				m.broker.SetVersions(&recordedVersions{versions: row.recorded, silent: slices.Contains(row.silent, name)})
			}
			if row.known != nil {
				f.hosts[x2].broker.streams.record(f.clock.Now(), *row.known)
			}
			version, err := f.hosts[x1].StreamVersion(context.Background(), service, "s")
			if !row.ok {
				require.ErrorIs(t, err, ErrVersionUnknown)
				return
			}
			require.NoError(t, err)
			require.Equal(t, row.want, version)
		})
	}
}

// Most services have one version. A stream that is resumed there costs one read and no call.
func TestResumedStreamOfOneVersionCostsNoCalls(t *testing.T) {
	f := newFleet()
	f.setVersions("v1", "v1")
	records := &recordedVersions{versions: []string{"v1"}}
	f.hosts["x1"].broker.SetVersions(records)
	version, err := f.hosts["x1"].StreamVersion(context.Background(), service, "s")
	require.NoError(t, err)
	require.Equal(t, "v1", version)
	require.Equal(t, 1, records.reads)
	require.Zero(t, f.count("Slots.StreamVersion"))
}

// setVersions sets the software versions of the replicas rx and ry.
func (f *fleet) setVersions(x, y string) {
	for _, m := range f.hosts {
		all := records(1)
		for id, version := range map[string]string{"rx": x, "ry": y} {
			r := all[id]
			r.SoftwareVersion = version
			all[id] = r
		}
		m.broker.SetReplicas(all, m.View.Self().DataCentre)
	}
}

// begin grants a slot in a data centre to a stream of a host there.
func (f *fleet) begin(t *testing.T, stream, dataCentre string) *member {
	_, other := f.broker(dataCentre)
	g, err := other.Acquire(context.Background(), AcquireArgs{Host: other.name(), Service: service, Stream: stream}, 0)
	require.NoError(t, err)
	other.Release(g, Done)
	return other
}

func TestStreamIsKnownToOtherHosts(t *testing.T) {
	f := newFleet()
	f.setVersions("v1", "v2")
	f.begin(t, "s", "x")
	for name, m := range f.hosts {
		version, err := m.StreamVersion(context.Background(), service, "s")
		require.NoError(t, err, name)
		require.Equal(t, "v1", version, name)
	}
	_, err := f.hosts["x1"].StreamVersion(context.Background(), service, "unknown")
	require.True(t, errors.Is(err, ErrVersionUnknown))
}

func TestStreamIsKnownAfterItsBrokerFails(t *testing.T) {
	f := newFleetOf("x1", "x2", "x3")
	f.setVersions("v1", "v2")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, m := range f.hosts {
		go m.copyStreams(ctx)
	}
	broker := f.brokerOf("x")
	g, err := broker.Acquire(ctx, AcquireArgs{Host: broker.name(), Service: service, Stream: "s"}, 0)
	require.NoError(t, err)
	broker.StreamBegan("s", g, true)
	require.Eventually(t, func() bool {
		f.clock.Advance(streamCopyDelay)
		return f.count("Slots.RecordStreams") > 0
	}, 5*time.Second, time.Millisecond)
	f.setDown(broker.name(), true)
	for name, m := range f.hosts {
		if m == broker {
			continue
		}
		version, err := m.StreamVersion(ctx, service, "s")
		require.NoError(t, err, name)
		require.Equal(t, "v1", version, name)
	}
}

// A broker that is cut off from the store has not seen the second version, at which the
// stream began.
func TestBrokerWithoutStoreIsNotCertainOfAVersion(t *testing.T) {
	f := newFleet()
	f.setVersions("v1", "v1")
	f.clock.Advance(2 * streamRetention)
	outdated, _ := f.broker("x")
	outdated.storeUnavailable = true
	all := records(1)
	for id, r := range all {
		r.SoftwareVersion = "v2"
		all[id] = r
	}
	for _, m := range f.hosts {
		if m != outdated {
			m.broker.SetReplicas(all, m.View.Self().DataCentre)
		}
	}
	current, _ := f.broker("y")
	current.broker.streams.record(f.clock.Now(), StreamVersion{Stream: "s", SoftwareVersion: "v2"})
	var reply StreamVersionReply
	require.NoError(t, outdated.broker.StreamVersion(StreamVersionArgs{Service: service, Stream: "s"}, &reply))
	require.Equal(t, StreamVersionReply{}, reply)
	version, err := outdated.StreamVersion(context.Background(), service, "s")
	require.NoError(t, err)
	require.Equal(t, "v2", version)
}

// A service has one version while a stream begins, then another one comes.
func TestEarlierStreamsAreCopiedWhenAVersionIsAdded(t *testing.T) {
	f := newFleet()
	f.setVersions("v1", "v1")
	f.clock.Advance(2 * streamRetention)
	f.begin(t, "s", "x")
	broker, _ := f.broker("x")
	require.Empty(t, broker.broker.takeUncopied())
	f.setVersions("v1", "v2")
	require.Equal(t, []StreamVersion{{Stream: "s", SoftwareVersion: "v1"}}, broker.broker.takeUncopied())
}

// The first attempt of a request fails at one version, the second one begins the stream at
// another.
func TestStreamOfALaterAttemptIsKnownWithItsVersion(t *testing.T) {
	f := newFleet()
	f.setVersions("v1", "v2")
	host := f.begin(t, "s", "x")
	g, err := host.Acquire(context.Background(), AcquireArgs{Host: host.name(), Service: service, Stream: "s", Avoid: []string{"rx"}}, 0)
	require.NoError(t, err)
	require.Equal(t, "ry", g.Replica.ID)
	host.StreamBegan("s", g, false)
	broker, _ := f.broker("x")
	require.Eventually(t, func() bool {
		version, err := broker.StreamVersion(context.Background(), service, "s")
		return err == nil && version == "v2"
	}, 5*time.Second, time.Millisecond)
}

// A slot was granted at v1, whose reply was lost, and the stream began at v2, granted by
// another broker. That one is lost with the host. The grant at v1 says nothing then.
func TestGrantAloneDoesNotTellTheVersionOfAStream(t *testing.T) {
	for _, recorded := range [][]string{{"v1", "v2"}, nil} {
		f := newFleetOf("x1", "x2", "x3")
		f.setVersions("v1", "v2")
		for _, m := range f.hosts {
			m.storeUnavailable = recorded == nil
			m.broker.SetVersions(&recordedVersions{versions: recorded})
		}
		f.hosts["x1"].broker.streams.record(f.clock.Now(), StreamVersion{Stream: "s", SoftwareVersion: "v1"})
		f.hosts["x3"].broker.streams.record(f.clock.Now(), StreamVersion{Stream: "s", SoftwareVersion: "v2", Began: true})
		f.setDown("x3", true)
		_, err := f.hosts["x2"].StreamVersion(context.Background(), service, "s")
		require.ErrorIs(t, err, ErrVersionUnknown)
	}
}

// While a service has several versions, the broker is told at which one each stream began,
// so that it can be resumed when its host is lost.
func TestBrokerIsToldWhereStreamsBeginWhileAServiceIsMixed(t *testing.T) {
	for versions, mixed := range map[[2]string]bool{{"v1", "v1"}: false, {"v1", "v2"}: true} {
		f := newFleetOf("x1", "x2", "x3")
		f.setVersions(versions[0], versions[1])
		f.clock.Advance(2 * streamRetention)
		broker := f.brokerOf("x")
		var host *member
		for _, m := range f.hosts {
			if m != broker {
				host = m
			}
		}
		g, err := host.Acquire(t.Context(), AcquireArgs{Host: host.name(), Service: service, Stream: "s"}, 0)
		require.NoError(t, err)
		require.Equal(t, mixed, g.Mixed)
		host.StreamBegan("s", g, true)
		if !mixed {
			require.Zero(t, f.count("Slots.RecordStreams"))
			continue
		}
		require.Eventually(t, func() bool {
			known, ok := broker.broker.streams.lookUp("s")
			return ok && known.Began
		}, 5*time.Second, time.Millisecond)
	}
}
