package node

import (
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/settings"
)

// newStore returns the platform's service within the host's call budget. A nil
// store takes the HTTP adapter.
func newStore(store kv.Store, s *settings.Settings, clock clockwork.Clock, reg prometheus.Registerer) kv.Store {
	if store == nil {
		store = kv.NewHTTP(s.Host, s.Platform.Addresses, s.Platform.Timeout)
	}
	budget := kv.NewBudget(store, kv.BudgetOptions{
		WritesPerSecond: s.Platform.WritesPerSecond,
		ReadsPerSecond:  s.Platform.ReadsPerSecond,
		Queue:           kv.DefaultQueue,
	}, clock)
	return kv.NewMetered(budget, reg)
}
