package control

import (
	"bytes"
	"math"
	"sort"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/comfreyspindle/comfreyspindle/admin"
)

// Names of the hosts' metrics that a report reads.
const (
	metricRequests = "comfreyspindle_requests_total"
	metricSeconds  = "comfreyspindle_request_seconds"
	metricRunning  = "comfreyspindle_admission_running"
	metricLimit    = "comfreyspindle_admission_limit"
	metricWaiting  = "comfreyspindle_admission_waiting"
	metricCost     = "comfreyspindle_cost_total"
)

// sample is the sum over all hosts' metrics at one time.
type sample struct {
	at time.Time
	// answered and failed are requests by outcome.
	answered, failed        float64
	running, limit, waiting float64
	// buckets are cumulative counts by upper bound, in seconds.
	buckets map[float64]float64
	// cost is by kind.
	cost map[string]float64
	// hosts answered; missing did not.
	hosts   int
	missing []string
}

// take reads the metrics of all hosts once.
func (c *client) take() (*sample, error) {
	var hosts []admin.HostStatus
	if err := c.get("/v1/hosts", nil, &hosts); err != nil {
		return nil, err
	}
	s := &sample{at: time.Now(), buckets: make(map[float64]float64), cost: make(map[string]float64)}
	for _, h := range hosts {
		if h.Missing != "" {
			s.missing = append(s.missing, h.Name)
			continue
		}
		status, text, err := c.send(h.OperatorsAddress, call{method: "GET", path: "/metrics"})
		if err == nil {
			err = c.check(status, text)
		}
		if err == nil {
			err = s.add(text)
		}
		if err != nil {
			s.missing = append(s.missing, h.Name)
			continue
		}
		s.hosts++
	}
	return s, nil
}

// add adds one host's metrics.
func (s *sample) add(text []byte) error {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return err
	}
	for _, m := range families[metricRequests].GetMetric() {
		if label(m, "outcome") == "ok" {
			s.answered += m.GetCounter().GetValue()
		} else {
			s.failed += m.GetCounter().GetValue()
		}
	}
	for _, m := range families[metricSeconds].GetMetric() {
		for _, b := range m.GetHistogram().GetBucket() {
			s.buckets[b.GetUpperBound()] += float64(b.GetCumulativeCount())
		}
	}
	for name, sum := range map[string]*float64{metricRunning: &s.running, metricLimit: &s.limit, metricWaiting: &s.waiting} {
		for _, m := range families[name].GetMetric() {
			*sum += m.GetGauge().GetValue()
		}
	}
	for _, m := range families[metricCost].GetMetric() {
		s.cost[label(m, "kind")] += m.GetCounter().GetValue()
	}
	return nil
}

func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// quantile estimates a quantile of the time that requests took between two
// samples, by linear interpolation in the histogram's buckets. It is not a
// number when no request ended.
func quantile(before, after *sample, q float64) float64 {
	bounds := make([]float64, 0, len(after.buckets))
	for b := range after.buckets {
		bounds = append(bounds, b)
	}
	sort.Float64s(bounds)
	count := func(i int) float64 { return after.buckets[bounds[i]] - before.buckets[bounds[i]] }
	n := len(bounds)
	if n == 0 || count(n-1) <= 0 {
		return math.NaN()
	}
	rank := q * count(n-1)
	i := sort.Search(n-1, func(i int) bool { return count(i) >= rank })
	low, below := 0.0, 0.0
	if i > 0 {
		low, below = bounds[i-1], count(i-1)
	}
	if math.IsInf(bounds[i], 1) || count(i) == below {
		return low
	}
	return low + (bounds[i]-low)*(rank-below)/(count(i)-below)
}
