package quota

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/customer"
)

// BenchmarkTake measures the time that a request takes at its broker while there is
// credit.
func BenchmarkTake(b *testing.B) {
	limit := customer.Quota{PerSecond: 1e6, Burst: 1e6}
	a := NewAccount(testTolerance, func(string) (customer.Quota, int64, bool) { return limit, 1, true }, settled(1).rng)
	e := a.entryOf("c", limit, 1)
	a.exchanged = true
	for b.Loop() {
		e.credit = 10
		a.Take(0, "c", 0)
	}
}

// BenchmarkExchange measures the time of one exchange for a number of customers, with
// both encodings and decodings.
func BenchmarkExchange(b *testing.B) {
	for _, customers := range []int{0, 10, 100} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			a := newTestAllocator()
			a.limits = func(string) (customer.Quota, int64, bool) { return customer.Quota{PerSecond: 10, Burst: 10}, 1, true }
			args := &ExchangeArgs{Broker: "b"}
			for i := range customers {
				args.Wants = append(args.Wants, Want{Customer: fmt.Sprintf("customer-%d", i), Tokens: 1, PerSecond: 10, Burst: 10})
			}
			var there, back bytes.Buffer
			encodeArgs, decodeArgs := gob.NewEncoder(&there), gob.NewDecoder(&there)
			encodeReply, decodeReply := gob.NewEncoder(&back), gob.NewDecoder(&back)
			sent := 0
			for b.Loop() {
				require.NoError(b, encodeArgs.Encode(args))
				var received ExchangeArgs
				size := there.Len()
				require.NoError(b, decodeArgs.Decode(&received))
				require.NoError(b, encodeReply.Encode(a.Exchange(a.now, &received)))
				sent = size + back.Len()
				var reply ExchangeReply
				require.NoError(b, decodeReply.Decode(&reply))
			}
			b.ReportMetric(float64(sent), "B/exchange")
		})
	}
}

// BenchmarkMessages measures the exchanges of a fleet with 7,000 customers whose sizes
// follow a power law. The number of hosts matters only by the number of brokers.
func BenchmarkMessages(b *testing.B) {
	for _, size := range []struct {
		brokers, customers int
		perSecond          float64
	}{{6, 77, 340}, {12, 7000, 340}, {12, 7000, 12000}} {
		b.Run(fmt.Sprintf("%d brokers, %d customers, %.0f requests a second", size.brokers, size.customers, size.perSecond), func(b *testing.B) {
			limits := make(map[string]customer.Quota)
			sum := 0.0
			for i := range size.customers {
				sum += math.Pow(float64(i+1), -1.2)
			}
			for i := range size.customers {
				rate := size.perSecond * math.Pow(float64(i+1), -1.2) / sum
				limits[fmt.Sprint("c", i)] = customer.Quota{PerSecond: 1.6 * rate, Burst: 1.6 * rate}
			}
			const measured = 5 * time.Second
			for b.Loop() {
				n := newNetwork(1, size.brokers, 3, limits)
				n.run(8 * time.Second)
				for name, limit := range limits {
					n.load(name, limit.PerSecond/1.6, measured+5*time.Second, n.anyHost)
				}
				n.run(5 * time.Second)
				n.exchanges, n.wants, n.waited, n.refused = 0, 0, 0, make(map[string]int)
				n.run(measured)
				refused := 0
				for _, r := range n.refused {
					refused += r
				}
				b.ReportMetric(float64(n.exchanges)/measured.Seconds(), "exchanges/s")
				b.ReportMetric(float64(n.wants)/float64(n.exchanges), "customers/exchange")
				b.ReportMetric(float64(n.waited)/measured.Seconds(), "waits/s")
				b.ReportMetric(float64(refused)/measured.Seconds(), "refused/s")
			}
		})
	}
}
