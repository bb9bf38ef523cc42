package slots

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/membership"
)

// Under a burst the calls to a broker with a seventh of a core timed out, and what its hosts knew was seconds old.
func TestBrokerIsAHostWithTheMostProcessorTime(t *testing.T) {
	var hosts []membership.Host
	for i := range 13 {
		h := membership.Host{Name: fmt.Sprintf("h%d", i), DataCentre: "dc", CPU: 0.144}
		switch i {
		case 4, 9:
			h.CPU = 0.8
		case 2, 6, 11:
			h.CPU = 0.48
		}
		hosts = append(hosts, h)
	}
	var first []string
	for i, self := range hosts {
		others := append(append([]membership.Host{}, hosts[:i]...), hosts[i+1:]...)
		c := &Client{View: membership.NewStatic(self, others...)}
		ranked := c.rankedHosts("dc")
		require.Len(t, ranked, len(hosts))
		var holders []string
		for _, h := range ranked[:maxRecordHolders] {
			holders = append(holders, h.Name)
		}
		if first == nil {
			first = holders
		}
		require.Equal(t, first, holders, "all hosts agree")
	}
	require.ElementsMatch(t, []string{"h4", "h9"}, first[:2])
	require.ElementsMatch(t, []string{"h2", "h6", "h11"}, first[2:])
}
