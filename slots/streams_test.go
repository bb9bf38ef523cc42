package slots

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

func TestStreamsAreRememberedForTheirRetention(t *testing.T) {
	s := newStreamVersions()
	s.record(start, StreamVersion{"a", "v1"})
	s.record(start.Add(streamRetention), StreamVersion{"b", "v2"})
	version, ok := s.lookUp("a")
	require.True(t, ok)
	require.Equal(t, "v1", version)
	s.record(start.Add(3*streamRetention), StreamVersion{"c", "v2"})
	s.record(start.Add(5*streamRetention), StreamVersion{"d", "v2"})
	_, ok = s.lookUp("a")
	require.False(t, ok)
	require.Equal(t, []StreamVersion{{"c", "v2"}, {"d", "v2"}}, s.all())
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
		want    StreamVersionReply
	}{
		{"no records", nil, StreamVersionReply{}},
		{"no replicas", []update{{time.Minute, nil}}, StreamVersionReply{}},
		{"one version, known for long", []update{{time.Minute, []string{"v1", "v1"}}}, StreamVersionReply{"v1", Certain}},
		{"one version, known lately", []update{{time.Second, []string{"v1"}}}, StreamVersionReply{"v1", Probable}},
		{"two versions", []update{{time.Minute, []string{"v1", "v2"}}}, StreamVersionReply{Confidence: Ambiguous}},
		{"replaced lately", []update{{time.Minute, []string{"v1"}}, {time.Second, []string{"v2"}}}, StreamVersionReply{Confidence: Ambiguous}},
		{"replaced long ago", []update{{2 * time.Minute, []string{"v1"}}, {time.Minute, []string{"v2"}}}, StreamVersionReply{"v2", Certain}},
		{"removed lately", []update{{time.Minute, []string{"v1"}}, {time.Second, nil}}, StreamVersionReply{"v1", Certain}},
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
			require.Equal(t, row.want, h.only(start, service))
		})
	}
}

func TestMergeOfStreamVersions(t *testing.T) {
	rows := []struct {
		name       string
		a, b, want StreamVersionReply
	}{
		{"only one knows", StreamVersionReply{}, StreamVersionReply{"v1", Probable}, StreamVersionReply{"v1", Probable}},
		{"the same", StreamVersionReply{"v1", Probable}, StreamVersionReply{"v1", Probable}, StreamVersionReply{"v1", Probable}},
		{"contradiction", StreamVersionReply{"v1", Probable}, StreamVersionReply{"v2", Probable}, StreamVersionReply{Confidence: Ambiguous}},
		{"one knows of another version", StreamVersionReply{"v1", Probable}, StreamVersionReply{Confidence: Ambiguous}, StreamVersionReply{Confidence: Ambiguous}},
		{"one knows the stream", StreamVersionReply{"v2", Certain}, StreamVersionReply{Confidence: Ambiguous}, StreamVersionReply{"v2", Certain}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			require.Equal(t, row.want, row.a.merge(row.b))
			require.Equal(t, row.want, row.b.merge(row.a))
		})
	}
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
	current.broker.streams.record(f.clock.Now(), StreamVersion{"s", "v2"})
	var reply StreamVersionReply
	require.NoError(t, outdated.broker.StreamVersion(StreamVersionArgs{Service: service, Stream: "s"}, &reply))
	require.Equal(t, StreamVersionReply{"v1", Probable}, reply)
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
	require.Equal(t, []StreamVersion{{"s", "v1"}}, broker.broker.takeUncopied())
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
