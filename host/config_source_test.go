package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The record of an incident held 404s with a version and no sign of why that version was old.
func TestLogOfAMissingRouteSaysWhereTheConfigurationComesFrom(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	hosts := []*Host{f.start("a"), f.start("b")}
	require.Eventually(t, func() bool {
		return hosts[0].slotClient.IsBroker() != hosts[1].slotClient.IsBroker()
	}, testTimeout, time.Millisecond)
	broker, other := hosts[0], hosts[1]
	if other.slotClient.IsBroker() {
		broker, other = other, broker
	}
	require.Eventually(t, func() bool {
		fields := other.configSource()
		return fields["notice_from"] == broker.settings.Host && fields["notice_version"] == broker.config.Table().Version
	}, testTimeout, time.Millisecond)
	fields := other.configSource()
	require.Equal(t, broker.settings.Host, fields["polls"])
	require.Less(t, fields["notice_age_ms"], int64(2000))
	require.Equal(t, true, fields["store_available"])
	require.Equal(t, true, fields["notice_current"])
	require.Less(t, fields["notice_store_age_ms"], int64(2000))
	require.Less(t, fields["store_answer_age_ms"], int64(2000))
	require.Contains(t, []string{"store", broker.settings.Peers}, fields["config_from"])
	// Each is less than a millisecond at times.
	require.Eventually(t, func() bool {
		fields := other.configSource()
		return fields["config_age_ms"].(int64) > 0 && fields["notice_store_age_ms"].(int64) > 0
	}, testTimeout, time.Millisecond)
}
