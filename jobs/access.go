package jobs

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
}
