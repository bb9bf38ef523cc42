package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkMemberSecond measures the processor time of one of 250 members for one
// second of the protocol, with encoding but without the RPC calls.
func BenchmarkMemberSecond(b *testing.B) {
	const members = 250
	s := newSim(b, 1)
	s.connectedFleet("a", members, 1)
	s.advance(5 * time.Second)
	for b.Loop() {
		s.advance(time.Second)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/members, "us/member-second")
}

// BenchmarkTableMemory measures the heap memory of one member that knows as many
// hosts as the design size has.
func BenchmarkTableMemory(b *testing.B) {
	const local, remote = 250, 1950
	s := newSim(b, 1)
	template := s.add("a", "x", 1).self.hostUpdate
	var bytes uint64
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := newStateMachine(template, nil, s.rnd, s.now)
		for i := range local + remote {
			u := template
			u.Name = fmt.Sprintf("data-centre-host-%d", i)
			if i >= local {
				u.DataCentre = fmt.Sprintf("data-centre-%d", i%9)
			}
			m.applyUpdate(s.now, u)
		}
		m.view()
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytes = after.HeapAlloc - before.HeapAlloc
		runtime.KeepAlive(m)
	}
	b.ReportMetric(float64(bytes), "B/member")
}
