package kv

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Values of the metrics' label op.
const (
	opGet    = "get"
	opPut    = "put"
	opDelete = "delete"
	opWatch  = "watch"
)

// Metered is a Store that records metrics of the calls to another Store, by
// purpose and operation.
type Metered struct {
	store   Store
	calls   *prometheus.CounterVec
	bytes   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
	watches prometheus.Gauge
}

var _ Store = (*Metered)(nil)

// NewMetered returns a Metered that calls store, and registers its metrics. A
// Metered that wraps a Budget also counts calls that the Budget delays or
// refuses; one that a Budget wraps counts only the calls made.
func NewMetered(store Store, reg prometheus.Registerer) *Metered {
	m := &Metered{
		store: store,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyspindle_platform_calls_total", Help: "Calls to the platform's service by purpose, operation and outcome.",
		}, []string{"purpose", "op", "outcome"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyspindle_platform_value_bytes_total", Help: "Bytes of values in calls to the platform's service.",
		}, []string{"purpose", "op"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "comfreyspindle_platform_call_seconds", Help: "Time of calls, the wait for the call budget included.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"purpose", "op"}),
		watches: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "comfreyspindle_platform_watches_waiting", Help: "Watches that wait now.",
		}),
	}
	reg.MustRegister(m.calls, m.bytes, m.seconds, m.watches)
	return m
}

// Get implements Store.
func (m *Metered) Get(ctx context.Context, key string) (Entry, error) {
	start := time.Now()
	e, err := m.store.Get(ctx, key)
	m.observe(ctx, opGet, start, len(e.Value), err)
	return e, err
}

// Put implements Store.
func (m *Metered) Put(ctx context.Context, put Put) (Version, error) {
	start := time.Now()
	v, err := m.store.Put(ctx, put)
	m.observe(ctx, opPut, start, len(put.Value), err)
	return v, err
}

// Delete implements Store.
func (m *Metered) Delete(ctx context.Context, key string, version Version) error {
	start := time.Now()
	err := m.store.Delete(ctx, key, version)
	m.observe(ctx, opDelete, start, 0, err)
	return err
}

// Watch implements Store. The observed duration includes the wait for a change.
func (m *Metered) Watch(ctx context.Context, w Watch) (Changes, error) {
	m.watches.Inc()
	defer m.watches.Dec()
	start := time.Now()
	c, err := m.store.Watch(ctx, w)
	size := 0
	for i := range c.Events {
		size += len(c.Events[i].Value)
	}
	m.observe(ctx, opWatch, start, size, err)
	return c, err
}

func (m *Metered) observe(ctx context.Context, op string, start time.Time, size int, err error) {
	purpose := PurposeOf(ctx).String()
	m.calls.WithLabelValues(purpose, op, outcomeOf(err)).Inc()
	m.bytes.WithLabelValues(purpose, op).Add(float64(size))
	m.seconds.WithLabelValues(purpose, op).Observe(time.Since(start).Seconds())
}

var outcomes = []struct {
	err  error
	name string
}{
	{ErrNotFound, "not_found"},
	{ErrConflict, "conflict"},
	{ErrLimited, "limited"},
	{ErrUnreachable, "unreachable"},
	{ErrUnknown, "unknown"},
	{ErrTooLarge, "too_large"},
	{ErrCompacted, "compacted"},
}

func outcomeOf(err error) string {
	if err == nil {
		return "ok"
	}
	for _, row := range outcomes {
		if errors.Is(err, row.err) {
			return row.name
		}
	}
	return "other"
}
