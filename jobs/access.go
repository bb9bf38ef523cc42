package jobs

import "github.com/comfreyspindle/comfreyspindle/kv/txn"

// Access says which jobs a call may reach. The zero value reaches all.
type Access struct {
	// Restricted is set if the configuration has customers.
	Restricted bool
	// Customer is the name of the customer that calls; empty for a call without a key.
	Customer string
}

// allows reports whether the call may reach a job of a customer. Jobs without one were
// submitted without a key, and all calls may reach them.
func (a Access) allows(customer string) bool {
	return !a.Restricted || customer == "" || customer == a.Customer
}

// cachedOwner is the last known owner of a job of another host.
type cachedOwner struct {
	// host is the name of the owner, customer that of the customer.
	host, customer string
	// rev is the revision of the head record that names the owner, or zero if it is not
	// known, as in calls of older builds.
	rev txn.Rev
}

// cacheOwner records the owner of a job of another host, unless a later write of the head
// record is known to name one. m.mu must be held.
func (m *Manager) cacheOwner(id string, o cachedOwner) {
	if known, ok := m.cachedOwners[id]; ok && o.rev < known.rev {
		return
	}
	m.cachedOwners[id] = o
}
