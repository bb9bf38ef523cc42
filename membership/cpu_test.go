package membership_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/membership"
)

// A host with a small share of a core was the broker of a data centre that has larger hosts.
func TestHostsWithTheMostProcessorTimeComeFirst(t *testing.T) {
	for _, row := range []struct {
		name string
		cpu  []float64
		want []int
	}{
		{"larger ones first", []float64{0.144, 0.8, 0.48}, []int{1, 2, 0}},
		{"alike keep their order", []float64{0.2, 0.8, 0.6, 0.24}, []int{1, 2, 0, 3}},
		{"one of an older build", []float64{0.144, 0.8, 0}, []int{0, 1, 2}},
		{"none", nil, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			var hosts []membership.Host
			for i, cpu := range row.cpu {
				hosts = append(hosts, membership.Host{Incarnation: uint64(i), CPU: cpu})
			}
			membership.MostCPUFirst(hosts)
			var got []int
			for _, h := range hosts {
				got = append(got, int(h.Incarnation))
			}
			require.Equal(t, row.want, got)
		})
	}
}
