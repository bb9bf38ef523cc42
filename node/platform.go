package node

import (
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/settings"
)

// newStore returns a client of the platform's store that limits the host's reads and
// writes to its budget and exports metrics of them. If store is nil, the HTTP client
// is used.
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
