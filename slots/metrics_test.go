package slots

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
)

// Guards against slot time that is counted for the wrong customer or class, and against
// metrics by customer where there are none.
func TestSlotTimeIsCountedByCustomer(t *testing.T) {
	m := NewMetrics(prometheus.NewRegistry())
	s := newScheduler(1, 4)
	s.onUse = m.countUse
	request := acquireOf(s, start, "a", 0).Grant.ID
	unnamed := acquireOf(s, start, "", 0).Grant.ID
	s.SetDemand("h", itemsOf(start, 1, Share{Customer: "b"}))
	item := s.Plan(start).Batch[0].ID
	s.Release(start.Add(time.Second), unnamed, Done)
	require.Zero(t, testutil.CollectAndCount(m.slotSeconds))
	s.Release(start.Add(2*time.Second), request, Done)
	s.Release(start.Add(3*time.Second), item, Unused)
	require.InDelta(t, 2, testutil.ToFloat64(m.slotSeconds.WithLabelValues("a", "online")), 1e-9)
	require.InDelta(t, 3, testutil.ToFloat64(m.slotSeconds.WithLabelValues("b", "batch")), 1e-9)
}
