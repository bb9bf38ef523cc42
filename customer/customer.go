// Package customer holds the customers of a configuration: the keys by which their
// requests are known, and what each customer is entitled to.
package customer

// Quota bounds the requests of one customer that replicas run, over all hosts.
type Quota struct {
	// PerSecond is the sustained rate; zero means no bound.
	PerSecond float64
	// Burst is the number of requests that may run at once after a time without any.
	Burst float64
}

// Limited reports whether the quota bounds the customer's requests.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Customer is one customer of a configuration. It is immutable.
type Customer struct {
	Name string
	// Priority orders waiting requests before the priority of their routes does; 0 is
	// the highest.
	Priority int
	Quota    Quota
}
