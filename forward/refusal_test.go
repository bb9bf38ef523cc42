package forward

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// noSlot refuses each request for its wait.
type noSlot struct{ fakeSlots }

func (n *noSlot) Acquire(context.Context, slots.AcquireArgs, time.Duration) (slots.Grant, error) {
	return slots.Grant{}, &slots.RefusedError{
		Wait: 310 * time.Millisecond, RetryAfter: time.Second, Replicas: 6, Share: slots.ShareUse{Share: 0.05, Used: 0.31, Displaced: true},
	}
}

// Guards against a refusal of which neither the log nor the metrics say whose request it
// was and why it was refused.
func TestRefusalTellsCustomerAndShare(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	clock := clockwork.NewFakeClock()
	r := &Runner{Slots: &noSlot{}, Clock: clock, Log: logrus.NewEntry(log), Metrics: NewMetrics(prometheus.NewRegistry())}
	req := &Request{Route: idempotent, Customer: &customer.Customer{Name: "c"}, Arrived: clock.Now(), Deadline: clock.Now().Add(time.Minute)}
	e := verdict.As(r.Run(context.Background(), req, &recordingSink{}))
	require.Equal(t, verdict.CodeNoUpstream, e.Code)
	data := hook.LastEntry().Data
	for field, want := range map[string]any{"customer": "c", "share": 0.05, "share_used": 0.31, "displaced": true, "expected_wait": "310ms", "retry_after": "1s"} {
		require.Equal(t, want, data[field], field)
	}
	require.InDelta(t, 1, testutil.ToFloat64(r.Metrics.byCustomer.WithLabelValues("c", "no_upstream")), 0)
}

// Guards against metrics by customer where there are none.
func TestRequestsWithoutCustomerHaveNoMetricByCustomer(t *testing.T) {
	m := NewMetrics(prometheus.NewRegistry())
	m.countRequest(time.Now(), "", nil)
	require.Zero(t, testutil.CollectAndCount(m.byCustomer))
}
