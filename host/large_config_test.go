package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/peer/peertest"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Links of small hosts, large configurations and the time in which a change must take effect, as
// deployments have them.
const (
	smallLinkBytesPerSecond = 22_000_000 / 8
	largeConfigRoutes       = 2800
	largeConfigTimeout      = 4 * time.Second
)

// A host whose fetch of a large configuration ended before it was there served an older one for good.
func TestLargeConfigurationIsInForceInTimeOverSlowLinks(t *testing.T) {
	for _, row := range []struct {
		name        string
		hosts, rate int
		random      bool
	}{
		{"many hosts fetch from a small one", 8, smallLinkBytesPerSecond, false},
		{"the configuration can't be compressed and the link is too slow for it", 3, smallLinkBytesPerSecond / 10, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newEmptyFleet(t)
			f.links = peertest.NewLinks(row.rate)
			f.addReplica("r0", "", time.Millisecond)
			for i := range row.hosts {
				s := f.newSettings(fmt.Sprintf("h%d", i), "dc", f.address)
				s.ConfigTimeout, s.DrainTimeout = largeConfigTimeout, largeConfigTimeout
				f.serve(s)
			}
			for version := 7; version < 10; version++ {
				f.put(platformtest.WithRoutes(platformtest.ConfigVersion(version, "svc"), largeConfigRoutes, row.random))
				acknowledged := time.Now()
				f.requireInForce(int64(version))
				t.Log("version", version, "in force after", time.Since(acknowledged))
			}
		})
	}
}

// requireInForce requires a version to be in force at all hosts in time.
func (f *fleet) requireInForce(version int64) {
	f.t.Helper()
	for _, h := range f.hosts {
		require.Eventually(f.t, func() bool { return h.config.Table().Version == version }, h.settings.ConfigTimeout, time.Millisecond)
	}
}
