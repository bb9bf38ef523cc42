package batch

import "github.com/comfreyspindle/comfreyspindle/membership"

// replicaOwners remembers which host dispatches for each replica until the hosts
// change. Ranking the hosts for each replica at each tick would cost replicas
// times hosts.
type replicaOwners struct {
	changed <-chan struct{}
	byKey   map[string][]membership.Host
}

// refresh forgets all owners when the hosts have changed since the last call.
// The channel is the view's present one, taken before the hosts are read.
func (o *replicaOwners) refresh(changed <-chan struct{}) {
	if changed == o.changed {
		return
	}
	o.changed = changed
	o.byKey = make(map[string][]membership.Host)
}

// of returns the owner of a key among hosts, or none.
func (o *replicaOwners) of(hosts []membership.Host, key string) []membership.Host {
	owner, ok := o.byKey[key]
	if !ok {
		owner = membership.Rendezvous(hosts, key, 1)
		o.byKey[key] = owner
	}
	return owner
}
