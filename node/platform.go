package node

import (
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/settings"
)

// newStore returns the platform's service within the host's call budget. A nil
// store takes the HTTP adapter.
func newStore(store platform.Store, s *settings.Settings, clock clockwork.Clock, reg prometheus.Registerer) platform.Store {
	if store == nil {
		store = platform.NewHTTP(s.Host, s.Platform.Addresses, s.Platform.Timeout)
	}
	budget := platform.NewBudget(store, platform.BudgetOptions{
		WritesPerSecond: s.Platform.WritesPerSecond,
		ReadsPerSecond:  s.Platform.ReadsPerSecond,
		Queue:           platform.DefaultQueue,
	}, clock)
	return platform.NewMetered(budget, reg)
}
