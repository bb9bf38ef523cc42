package membership

import (
	"testing"
	"time"
)

// BenchmarkMemberSecond measures the work of one member of 250 in one second,
// encoding included, without the calls that carry the messages.
func BenchmarkMemberSecond(b *testing.B) {
	const members = 250
	s := newSim(b, 1)
	s.warmFleet("a", members, 1)
	s.run(5 * time.Second)
	for b.Loop() {
		s.run(time.Second)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/members, "us/member-second")
}
