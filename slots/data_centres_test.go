package slots

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/membership"
)

// Each row guards against asking data centres that can't serve the request before those
// that can, or against paying for bytes between regions without need.
func TestOrderTargets(t *testing.T) {
	near := target{dataCentre: "near", sameRegion: true}
	far := target{dataCentre: "far", known: true, free: 9}
	with := func(t target, change func(*target)) target { change(&t); return t }
	for _, row := range []struct {
		name    string
		targets []target
		want    []string
	}{
		{"own region first, though another has more free slots", []target{far, near}, []string{"near", "far"}},
		{"own region full just now", []target{far, with(near, func(t *target) { t.known = true })}, []string{"far"}},
		{"own region was full a while ago", []target{far, with(near, func(t *target) { t.known, t.age = true, fullReportAge })}, []string{"near", "far"}},
		{"link to the own region is cut", []target{far, with(near, func(t *target) { t.unreachable = true })}, []string{"far"}},
		{"all links are cut", []target{with(near, func(t *target) { t.unreachable = true })}, []string{"near"}},
		{"all full", []target{with(near, func(t *target) { t.known = true }), with(far, func(t *target) { t.free = 0 })}, nil},
		{"none", nil, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			require.Equal(t, row.want, orderTargets(row.targets, false, func() float64 { return 0.5 }))
		})
	}
}

// A customer under its share may go before the requests that wait in a full data centre, so
// its requests must ask there too, after those with free slots, if no bytes between regions
// are paid for it.
func TestCustomersAskFullDataCentresOfTheirRegionLast(t *testing.T) {
	targets := []target{
		{dataCentre: "cut", sameRegion: true, unreachable: true},
		{dataCentre: "full", known: true},
		{dataCentre: "near and full", sameRegion: true, known: true},
		{dataCentre: "free", known: true, free: 1},
	}
	require.Equal(t, []string{"free", "near and full"}, orderTargets(targets, true, func() float64 { return 0.5 }))
}

// Hosts choose on the same reports. If all chose the data centre with the most free slots,
// it would be full before the next report.
func TestTargetsAreChosenInProportionToFreeSlots(t *testing.T) {
	targets := []target{
		{dataCentre: "idle", known: true, free: 24},
		{dataCentre: "half", known: true, free: 12},
		{dataCentre: "unknown"},
		{dataCentre: "old", known: true, free: 24, age: maxReportAge},
	}
	rng := rand.New(rand.NewPCG(1, 1))
	first := make(map[string]int)
	const n = 10000
	for range n {
		first[orderTargets(targets, false, rng.Float64)[0]]++
	}
	for dc, want := range map[string]float64{"idle": 24, "half": 12, "unknown": unknownFree, "old": unknownFree} {
		require.InDelta(t, want/(24+12+2*unknownFree), float64(first[dc])/n, 0.02, dc)
	}
}

// Implausible and outdated reports must not change the choice.
func TestFreeReports(t *testing.T) {
	var f freeReports
	now := time.Unix(100, 0)
	f.observe(now, FreeSlots{"x", "s", 5, 100 * time.Millisecond})
	f.observe(
		now, FreeSlots{"x", "s", 9, 200 * time.Millisecond}, FreeSlots{"x", "s", -1, 0}, FreeSlots{"x", "s", 7, -time.Hour},
		FreeSlots{"y", "s", 3, maxReportAge},
	)
	free, age, known := f.get(now, "x", "s")
	require.Equal(t, []any{5, 100 * time.Millisecond, true}, []any{free, age, known})
	_, _, known = f.get(now, "y", "s")
	require.False(t, known)
	_, _, known = f.get(now, "x", "other")
	require.False(t, known)
	require.Equal(t, []FreeSlots{{"x", "s", 5, 900 * time.Millisecond}}, f.recent(now.Add(800*time.Millisecond)))
	_, _, known = f.get(now.Add(900*time.Millisecond), "x", "s")
	require.False(t, known, "old")
	require.Empty(t, f.recent(now.Add(time.Hour)))
	require.Empty(t, f.last)
}

func (m *member) acquireFor(customer string) (string, error) {
	g, err := m.Acquire(context.Background(), AcquireArgs{Host: m.name(), Service: service, Customer: customer}, 0)
	return g.Replica.ID, err
}

// What one host learns of another data centre must reach the others of its own, since each
// host alone sends few requests there.
func TestHostsShareReportsOfFreeSlots(t *testing.T) {
	f := newFleetOf("x1", "x2", "x3", "y1")
	hosts := []*member{f.hosts["x1"], f.hosts["x2"], f.hosts["x3"]}
	for range 3 {
		_, err := hosts[0].acquireFor("c")
		require.NoError(t, err)
	}
	free, _, known := hosts[0].free.get(f.clock.Now(), "y", service)
	require.True(t, known)
	require.Equal(t, 1, free)
	f.poll(t, hosts[0])
	for _, h := range hosts[1:] {
		f.poll(t, h)
		free, _, known = h.free.get(f.clock.Now(), "y", service)
		require.True(t, known)
		require.Equal(t, 1, free)
	}
	for range 2 {
		_, _ = hosts[1].acquireFor("c")
	}
	calls := func() int {
		before := f.count("Slots.Acquire")
		_, err := hosts[1].acquireFor("c")
		require.Error(t, err)
		return f.count("Slots.Acquire") - before
	}
	require.Equal(t, 2, calls(), "the full data centre of the region is asked for a customer")
	y1 := membership.Host{Name: "y1", DataCentre: "y", Region: "another", PeerAddress: "y1"}
	hosts[1].View.(*membership.Static).Set([]membership.Host{hosts[0].View.Self(), hosts[2].View.Self(), y1})
	require.Equal(t, 1, calls(), "the full data centre of another region is not asked")
}

// Deployments without customers and without reports of slowness are served as before.
func TestDataCentresAreAskedByNameWithoutCustomers(t *testing.T) {
	f := newFleetOf("x1", "y1", "z1")
	x := f.hosts["x1"]
	for range 4 {
		_, err := x.acquireFor("")
		require.NoError(t, err)
	}
	require.Empty(t, x.free.recent(f.clock.Now()))
	require.Equal(t, []string{"y", "z"}, x.remoteTargets(&AcquireArgs{Service: service}, false))
}

// Where replicas state how slow they are, requests without a customer are sent by the
// reports as well.
func TestReportsAreUsedWhereReplicasStateTheirSlowness(t *testing.T) {
	f := newFleetOf("x1", "y1", "z1")
	x := f.hosts["x1"]
	for _, h := range f.hosts {
		p := h.broker.sched.pool(service)
		p.speed.reportedAt = f.clock.Now()
	}
	for range 3 {
		_, err := x.acquireFor("")
		require.NoError(t, err)
	}
	require.NotEmpty(t, x.free.recent(f.clock.Now()))
	require.True(t, x.usesReports.Load())
}
