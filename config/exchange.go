package config

import (
	"context"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyspindle/comfreyspindle/membership"
)

// receiver holds the methods that peers call. Arguments and replies are
// encoded as by handle.
type receiver struct{ d *Distributor }

// Push takes changes or a summary and passes them on. The reply is the digest
// of the host's set; the sender repairs a difference.
func (r *receiver) Push(data []byte, reply *[]byte) error { return handle(data, reply, r.d.handlePush) }

// Compare returns the host's summary, and its generations where the digests
// differ.
func (r *receiver) Compare(data []byte, reply *[]byte) error {
	return handle(data, reply, r.d.handleCompare)
}

// Fetch returns the documents of a higher generation than those given.
func (r *receiver) Fetch(data []byte, reply *[]byte) error {
	return handle(data, reply, func(g Generations) (Records, error) {
		return newRecords(r.d.Set.summary(), r.d.Set.newer(g.Held))
	})
}

// Give takes whole documents.
func (r *receiver) Give(data []byte, reply *[]byte) error {
	return handle(data, reply, func(g Records) (Empty, error) { return Empty{}, r.d.applyRecords(g) })
}

// Generation returns the generation of a document that is in force.
func (r *receiver) Generation(data []byte, reply *[]byte) error {
	return handle(data, reply, func(name string) (uint64, error) {
		return r.d.Set.holder.Current().Generation(name), nil
	})
}

func (d *Distributor) handlePush(p Push) (uint64, error) {
	changed := false
	for _, delta := range p.Deltas {
		held, _ := d.Set.get(delta.Name)
		if delta.Base > 0 && held.Generation != delta.Base {
			continue
		}
		rec, err := decodeDelta(delta, held)
		if err != nil {
			d.Log.WithError(err).Warn("change ignored")
			continue
		}
		changed = len(d.Set.apply(rec)) > 0 || changed
	}
	if p.Summary.Complete && p.Summary.Age < takeOverAge {
		d.recordRelayHeartbeat(p.Root)
	}
	d.Set.confirmIfEqual(p.Summary)
	d.recordContact()
	if changed || len(p.Deltas) == 0 {
		d.runInBackground(func() { d.forwardPush(context.Background(), p) })
	}
	return d.Set.summary().Digest, nil
}

func (d *Distributor) handleCompare(s Summary) (Generations, error) {
	reply := Generations{Summary: d.Set.summary()}
	if reply.Summary.Digest != s.Digest {
		reply.Held = d.Set.generations()
		return reply, nil
	}
	d.Set.confirmIfEqual(s)
	return reply, nil
}

// applyRecords takes whole documents. A relay that is cut off from the service
// passes on what it learns from a peer.
func (d *Distributor) applyRecords(r Records) error {
	records, err := r.records()
	if err != nil {
		return err
	}
	_, _, age := d.Set.Complete()
	changes := d.Set.apply(records...)
	d.Set.confirmIfEqual(r.Summary)
	if len(changes) > 0 && age > takeOverAge && d.rank() < relayCount {
		d.push(context.Background(), changes)
	}
	return nil
}

// recordRelayHeartbeat notes a summary from a relay that reaches the service.
func (d *Distributor) recordRelayHeartbeat(root string) {
	if root == d.Hosts.Self().Name {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRelayHeartbeat = d.Clock.Now()
}

// push starts changes, or a summary alone, down the tree rooted at this host.
func (d *Distributor) push(ctx context.Context, changes []replacement) {
	p := Push{Root: d.Hosts.Self().Name, Summary: d.Set.summary()}
	for _, t := range changes {
		delta, err := encodeDelta(t)
		if err != nil {
			d.Log.WithError(err).Error("document not pushed")
			continue
		}
		p.Deltas = append(p.Deltas, delta)
	}
	d.runInBackground(func() { d.forwardPush(ctx, p) })
}

// forwardPush sends a push to the children of this host in the tree of its root.
func (d *Distributor) forwardPush(ctx context.Context, p Push) {
	for _, h := range children(d.Hosts.Local(), p.Root, d.Hosts.Self().Name) {
		d.runInBackground(func() {
			var digest uint64
			if err := d.call(ctx, h.PeerAddress, methodPush, p, &digest); err != nil {
				d.Log.WithError(err).Debug("push lost")
				return
			}
			if digest != d.Set.summary().Digest {
				d.compare(ctx, h.PeerAddress)
			}
		})
	}
}

// children returns the children of a host in the tree of a root. The order of
// the hosts depends on the root, so that the trees of two relays have other
// inner hosts.
func children(hosts []membership.Host, root, self string) []membership.Host {
	weight := func(name string) uint64 {
		if name == root {
			return 0
		}
		return max(1, xxhash.Sum64String(root+"\x00"+name))
	}
	sort.Slice(hosts, func(i, j int) bool { return weight(hosts[i].Name) < weight(hosts[j].Name) })
	at := len(hosts)
	for i, h := range hosts {
		if h.Name == self {
			at = i
		}
	}
	first := min(len(hosts), fanout*at+1)
	return hosts[first:min(len(hosts), first+fanout)]
}

func (d *Distributor) call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := cbor.Marshal(args)
	if err != nil {
		return errors.Wrap(err, "encode arguments")
	}
	var answer []byte
	if err := d.Peers.Call(ctx, address, method, data, &answer); err != nil {
		return err
	}
	return errors.Wrap(cbor.Unmarshal(answer, reply), "decode reply")
}

// compare brings this host and a peer to the same set, unless that is under
// way. It reports whether the peer answered.
func (d *Distributor) compare(ctx context.Context, address string) bool {
	if !d.beginCompare(address) {
		return true
	}
	defer d.endCompare(address)
	local := d.Set.summary()
	var remote Generations
	if err := d.call(ctx, address, methodCompare, local, &remote); err != nil {
		d.Log.WithError(err).Debug("comparison failed")
		return false
	}
	d.recordContact()
	if local.Digest != remote.Summary.Digest {
		d.reconcile(ctx, address, remote)
	}
	d.Set.confirmIfEqual(remote.Summary)
	return true
}

func (d *Distributor) beginCompare(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, running := d.comparing[address]; running {
		return false
	}
	d.comparing[address] = struct{}{}
	return true
}

func (d *Distributor) endCompare(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.comparing, address)
}

// reconcile fetches and gives what one side lacks.
func (d *Distributor) reconcile(ctx context.Context, address string, remote Generations) {
	held := d.Set.generations()
	if hasNewer(held, remote.Held) {
		var reply Records
		err := d.call(ctx, address, methodFetch, Generations{Held: held}, &reply)
		if err == nil {
			err = d.applyRecords(reply)
		}
		if err != nil {
			d.Log.WithError(err).Debug("documents not fetched")
			return
		}
	}
	missing := d.Set.newer(remote.Held)
	if len(missing) == 0 {
		return
	}
	args, err := newRecords(d.Set.summary(), missing)
	if err == nil {
		err = d.call(ctx, address, methodGive, args, &Empty{})
	}
	if err != nil {
		d.Log.WithError(err).Debug("documents not given")
	}
}

// hasNewer reports whether the other side has a higher generation of a document.
func hasNewer(local, remote map[string]uint64) bool {
	for name, generation := range remote {
		if generation > local[name] {
			return true
		}
	}
	return false
}

// compareWithRandomPeer compares with a random peer, and with another one as long as
// none answers.
func (d *Distributor) compareWithRandomPeer(ctx context.Context) {
	for _, address := range d.randomPeers(compareAttempts) {
		if d.compare(ctx, address) {
			return
		}
	}
}

// randomPeers returns up to n peers: of the own data centre, or, when that has
// not reached the service for a while, also of others. A relay then asks only
// others, as its own data centre learns from it.
func (d *Distributor) randomPeers(n int) []string {
	var candidates []string
	self := d.Hosts.Self().Name
	_, _, age := d.Set.Complete()
	remote := d.Hosts.Remote()
	isolated := age > takeOverAge && len(remote) > 0
	if !isolated || d.rank() >= relayCount {
		for _, h := range d.Hosts.Local() {
			if h.Name != self {
				candidates = append(candidates, h.PeerAddress)
			}
		}
	}
	if isolated || len(candidates) == 0 {
		for _, h := range remote {
			candidates = append(candidates, h.PeerAddress)
		}
	}
	if len(candidates) == 0 && d.stale() {
		candidates = slices.Clone(d.Seeds)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rnd.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}

// compareWithSeeds asks a few peers for the set at the start.
func (d *Distributor) compareWithSeeds(ctx context.Context) {
	d.mu.Lock()
	order := d.rnd.Perm(len(d.Seeds))
	d.mu.Unlock()
	for _, i := range order[:min(startPeers, len(order))] {
		d.runInBackground(func() { d.compare(ctx, d.Seeds[i]) })
	}
}
