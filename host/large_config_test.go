package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/peer/peertest"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Links of small hosts and large configurations, as deployments have them.
const (
	smallLinkBytesPerSecond = 22_000_000 / 8
	largeConfigRoutes       = 2800
)

// A host whose fetch of a large configuration ended before it was there served an older one for good.
func TestLargeConfigurationIsInForceInTimeOverSlowLinks(t *testing.T) {
	for _, row := range []struct {
		name   string
		rate   int
		random bool
	}{
		{"many hosts fetch from a small one", smallLinkBytesPerSecond, false},
		{"the configuration can't be compressed and the link is too slow for it", smallLinkBytesPerSecond / 10, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newEmptyFleet(t)
			f.links = peertest.NewLinks(row.rate)
			f.addReplica("r0", "", time.Millisecond)
			for i := range 8 {
				f.start(fmt.Sprintf("h%d", i))
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
