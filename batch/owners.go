package batch

import "github.com/comfreyspindle/comfreyspindle/membership"

// replicaOwners caches the owner of each replica, the host that runs batch items
// on it, until the hosts change. Without the cache, each tick would compute a
// weight for every pair of replica and host.
type replicaOwners struct {
	// changed is closed when the cached owners are out of date.
	changed <-chan struct{}
	byKey   map[string][]membership.Host
}

// refresh clears the cache if the hosts have changed since the last call. The
// caller must get changed from the view before it reads the hosts, or a change
// in between would be missed.
func (o *replicaOwners) refresh(changed <-chan struct{}) {
	if changed == o.changed {
		return
	}
	o.changed = changed
	o.byKey = make(map[string][]membership.Host)
}

// of returns the owner of the replica with the given key among hosts, or no host
// if none is alive.
func (o *replicaOwners) of(hosts []membership.Host, key string) []membership.Host {
	owner, ok := o.byKey[key]
	if !ok {
		owner = membership.Rendezvous(hosts, key, 1)
		o.byKey[key] = owner
	}
	return owner
}
