package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/customer"
)

// arrival is a request of a customer that arrives at a host.
type arrival struct {
	at       time.Duration
	customer string
	host     int
}

// The load of the comparison: 60 hosts in six data centres of different load, 77
// customers whose sizes follow a power law, 340 requests a second in lulls and peaks, and
// one customer at 5.5 times its usual load for 8 s.
const (
	compareDataCentres, compareSize = 6, 10
	compareCustomers                = 77
	compareRate                     = 340.0
	compareTime                     = 35 * time.Second
)

func compareLoad(seed uint64) (arrivals []arrival, limits map[string]customer.Quota) {
	rng := rand.New(rand.NewPCG(seed, 11))
	limits = make(map[string]customer.Quota)
	sum := 0.0
	for i := range compareCustomers {
		sum += math.Pow(float64(i+1), -1.2)
	}
	weights := []float64{0.35, 0.25, 0.15, 0.12, 0.08, 0.05}
	for i := range compareCustomers {
		name, rate := fmt.Sprintf("c%02d", i), compareRate*math.Pow(float64(i+1), -1.2)/sum
		limits[name] = customer.Quota{PerSecond: 1.6 * rate, Burst: 1.6 * rate}
		for at := time.Duration(0); at < compareTime; {
			factor := 0.383
			if at%(5800*time.Millisecond) >= 3400*time.Millisecond {
				factor = 1.87
			}
			if i == 2 && at > 10*time.Second && at < 18*time.Second {
				factor *= 5.5
			}
			at += time.Duration(rng.ExpFloat64() / (rate * factor) * float64(time.Second))
			dataCentre, u := 0, rng.Float64()
			for u > weights[dataCentre] && dataCentre < len(weights)-1 {
				u -= weights[dataCentre]
				dataCentre++
			}
			arrivals = append(arrivals, arrival{at, name, dataCentre + compareDataCentres*rng.IntN(compareSize)})
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals, limits
}

// simpleBucket is a token bucket that starts full.
type simpleBucket struct {
	level float64
	at    time.Duration
}

func (b *simpleBucket) take(now time.Duration, rate, burst float64) bool {
	b.level, b.at = min(b.level+rate*(now-b.at).Seconds(), burst), now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// result is what a policy decides on each arrival, and its calls between hosts.
type result struct {
	admitted []bool
	calls    int
}

// splitBuckets plays buckets that each have a part of a limit and of the tolerance.
func splitBuckets(arrivals []arrival, limits map[string]customer.Quota, tolerance float64, key func(arrival) int, part func(a arrival) float64) result {
	buckets := make(map[string]*simpleBucket)
	r := result{admitted: make([]bool, len(arrivals))}
	for i, a := range arrivals {
		p, limit := part(a), limits[a.customer]
		burst := (limit.Burst + tolerance*testTolerance.of(limit)) * p
		id := fmt.Sprint(a.customer, key(a))
		b, ok := buckets[id]
		if !ok {
			b = &simpleBucket{level: burst}
			buckets[id] = b
		}
		r.admitted[i] = b.take(a.at, limit.PerSecond*p, burst)
	}
	return r
}

// byDemand plays shares of the data centres that follow their demand: each second they
// tell each other what each customer sent.
func byDemand(arrivals []arrival, limits map[string]customer.Quota) result {
	shares, sent := make(map[string]float64), make(map[string]float64)
	next, calls := time.Second, 0
	dataCentre := func(a arrival) int { return a.host % compareDataCentres }
	key := func(name string, dc int) string { return fmt.Sprint(name, dc) }
	r := splitBuckets(arrivals, limits, creditShare, dataCentre, func(a arrival) float64 {
		for ; a.at >= next; next += time.Second {
			calls += compareDataCentres * (compareDataCentres - 1)
			for name := range limits {
				sum := 0.0
				for dc := range compareDataCentres {
					sum += sent[key(name, dc)] + 0.5
				}
				for dc := range compareDataCentres {
					shares[key(name, dc)] = (sent[key(name, dc)] + 0.5) / sum
					sent[key(name, dc)] /= 2
				}
			}
		}
		k := key(a.customer, dataCentre(a))
		sent[k]++
		if share, ok := shares[k]; ok {
			return share
		}
		return 1.0 / compareDataCentres
	})
	r.calls = calls
	return r
}

// thisDesign plays the arrivals in the model of the network.
func thisDesign(seed uint64, arrivals []arrival, limits map[string]customer.Quota) (result, *network) {
	n := newNetwork(seed, compareDataCentres, compareSize, limits)
	n.run(8 * time.Second)
	n.exchanges = 0
	r := result{admitted: make([]bool, len(arrivals))}
	for i, a := range arrivals {
		n.after(a.at, func() {
			n.request(n.nodes[a.host], a.customer, 3, func(d Decision) { r.admitted[i] = d.Admitted })
		})
	}
	n.run(compareTime + time.Second)
	r.calls = n.exchanges
	return r, n
}

// differences returns by how much more of each customer's requests a policy has admitted
// than the exact counter has by the end of the time.
func differences(arrivals []arrival, exact, r result) map[string]int {
	byCustomer := make(map[string]int)
	for i, a := range arrivals {
		if r.admitted[i] {
			byCustomer[a.customer]++
		}
		if exact.admitted[i] {
			byCustomer[a.customer]--
		}
	}
	return byCustomer
}

// Compared with one exact counter this design refuses requests below the limit, or needs
// a call for each.
func TestComparisonWithOneExactCounter(t *testing.T) {
	for seed := range uint64(3) {
		arrivals, limits := compareLoad(seed)
		whole := func(arrival) float64 { return 1 }
		zero := func(arrival) int { return 0 }
		exact := splitBuckets(arrivals, limits, 0, zero, whole)
		exact.calls = len(arrivals)
		perHost := splitBuckets(arrivals, limits, creditShare, func(a arrival) int { return a.host }, func(arrival) float64 { return 1.0 / (compareDataCentres * compareSize) })
		design, n := thisDesign(seed, arrivals, limits)
		results := map[string]result{"one counter": exact, "per host": perHost, "by demand": byDemand(arrivals, limits), "this design": design}
		below := make(map[string]int)
		for name, r := range results {
			admitted, beyond := 0, 0
			for _, difference := range differences(arrivals, exact, r) {
				below[name] += max(-difference, 0)
				beyond += max(difference, 0)
			}
			for _, ok := range r.admitted {
				if ok {
					admitted++
				}
			}
			t.Logf("seed %d: %-12s admitted %5d of %d, beyond the counter %4d, refused below it %4d, calls a second %.1f",
				seed, name, admitted, len(arrivals), beyond, below[name], float64(r.calls)/compareTime.Seconds())
		}
		for name, limit := range limits {
			n.requireBound(t, name, limit)
		}
		require.LessOrEqual(t, below["this design"], len(arrivals)/500)
		require.Less(t, below["this design"], below["by demand"])
		require.Less(t, below["by demand"], below["per host"])
		require.Less(t, design.calls, exact.calls/5)
	}
}
