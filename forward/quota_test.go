package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/quota"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// overQuota refuses each request as over its customer's quota.
type overQuota struct{ fakeSlots }

func (o *overQuota) Acquire(context.Context, slots.AcquireArgs, time.Duration) (slots.Grant, error) {
	return slots.Grant{}, &slots.RefusedError{
		OverQuota: true, RetryAfter: 300 * time.Millisecond,
		Quota: quota.Refusal{Limit: customer.Quota{PerSecond: 16, Burst: 17}, Level: 0.25, ConfigVersion: 7},
	}
}

// A request over its customer's quota gets another status than 429, or the log doesn't say
// why it was refused.
func TestRequestOverQuotaGets429(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	clock := clockwork.NewFakeClock()
	r := &Runner{Slots: &overQuota{}, Clock: clock, Log: logrus.NewEntry(log), Metrics: NewMetrics(prometheus.NewRegistry())}
	req := &Request{Route: idempotent, Customer: &customer.Customer{Name: "c"}, Arrived: clock.Now(), Deadline: clock.Now().Add(time.Minute)}
	e := verdict.As(r.Run(context.Background(), req, &recordingSink{}))
	require.Equal(t, http.StatusTooManyRequests, e.Status())
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Equal(t, 300*time.Millisecond, e.RetryAfter)
	data := hook.LastEntry().Data
	for field, want := range map[string]any{"customer": "c", "per_second": 16.0, "burst": 17.0, "tokens_left": 0.25, "retry_after": "300ms", "config_version": int64(7)} {
		require.Equal(t, want, data[field], field)
	}
}

// A request takes a token for each of its attempts.
func TestFurtherAttemptsAreCharged(t *testing.T) {
	req := &Request{ID: "r", Route: idempotent, ConfigVersion: 7, Customer: &customer.Customer{Name: "c", Priority: 2}}
	o := scriptResult{
		upstream: &fakeUpstream{attempts: []scriptedAttempt{status(500, true), ok(strings.NewReader("x"))}},
		slots:    &fakeSlots{left: 5}, sink: &recordingSink{},
	}.runRequest(req)
	require.NoError(t, o.err)
	require.Len(t, o.slots.acquires, 2)
	for i, args := range o.slots.acquires {
		require.Equal(t, "c", args.Customer)
		require.EqualValues(t, 7, args.ConfigVersion)
		require.Equal(t, i > 0, args.Charged)
	}
}

// A request that no replica has run keeps its token, or one that may have run gets it back.
func TestTokenOfARequestThatDidNotRunIsReturned(t *testing.T) {
	rows := []struct {
		name     string
		attempts []scriptedAttempt
		left     int
		returned int
	}{
		{"it ran", []scriptedAttempt{ok(strings.NewReader("x"))}, 5, 0},
		{"no slot", nil, 0, 0},
		{"not run by a replica, then no slot", []scriptedAttempt{notRun(503)}, 1, 1},
		{"not run by a replica, then run", []scriptedAttempt{notRun(503), ok(strings.NewReader("x"))}, 5, 0},
		{"may have run", []scriptedAttempt{status(500, true)}, 1, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			o := scriptResult{upstream: &fakeUpstream{attempts: row.attempts}, slots: &fakeSlots{left: row.left}, sink: &recordingSink{}}.runRequest(
				&Request{ID: "r", Route: idempotent, Customer: &customer.Customer{Name: "c"}})
			require.Equal(t, row.returned, o.slots.returned)
		})
	}
}
