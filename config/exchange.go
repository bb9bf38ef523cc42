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

// receiver has the RPC methods that peers call. Their arguments and replies are
// encoded as described at handle.
type receiver struct{ d *Distributor }

// Push applies changes or a summary and forwards them down the tree. The reply
// is the digest of this host's set. If it differs from the sender's, the sender
// starts a comparison.
func (r *receiver) Push(data []byte, reply *[]byte) error { return handle(data, reply, r.d.handlePush) }

// Compare returns the host's summary, and the generations of its documents if
// the digests differ.
func (r *receiver) Compare(data []byte, reply *[]byte) error {
	return handle(data, reply, r.d.handleCompare)
}

// Fetch returns the documents that have a higher generation than the given
// ones.
func (r *receiver) Fetch(data []byte, reply *[]byte) error {
	return handle(data, reply, func(g Generations) (Records, error) {
		return newRecords(r.d.Set.summary(), r.d.Set.newer(g.Held))
	})
}

// Give applies whole documents.
func (r *receiver) Give(data []byte, reply *[]byte) error {
	return handle(data, reply, func(g Records) (Empty, error) { return Empty{}, r.d.applyRecords(g) })
}

// Generation returns the generation of a document that is in force on this
// host.
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
			d.Log.WithError(err).Warn("failed to decode pushed document; ignoring it")
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

// applyRecords applies whole documents that a peer sent. A relay that does not
// reach the store pushes the changes to its data centre.
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

// recordRelayHeartbeat records a summary from a host that reaches the store,
// unless that is this host.
func (d *Distributor) recordRelayHeartbeat(root string) {
	if root == d.Hosts.Self().Name {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRelayHeartbeat = d.Clock.Now()
}

// push sends changes, or a summary alone, down the tree rooted at this host.
func (d *Distributor) push(ctx context.Context, changes []replacement) {
	p := Push{Root: d.Hosts.Self().Name, Summary: d.Set.summary()}
	for _, t := range changes {
		delta, err := encodeDelta(t)
		if err != nil {
			d.Log.WithError(err).Error("failed to encode document; not pushing it to peers")
			continue
		}
		p.Deltas = append(p.Deltas, delta)
	}
	d.runInBackground(func() { d.forwardPush(ctx, p) })
}

// forwardPush sends a push to the children of this host in the tree of its
// root. It starts a comparison with each child whose digest differs afterwards.
func (d *Distributor) forwardPush(ctx context.Context, p Push) {
	for _, h := range children(d.Hosts.Local(), p.Root, d.Hosts.Self().Name) {
		d.runInBackground(func() {
			var digest uint64
			if err := d.call(ctx, h.PeerAddress, methodPush, p, &digest); err != nil {
				d.Log.WithError(err).Debug("failed to push documents to peer")
				return
			}
			if digest != d.Set.summary().Digest {
				d.compare(ctx, h.PeerAddress)
			}
		})
	}
}

// children returns the children of a host in the tree of a root. The order of
// the hosts depends on the root, so that the trees of two relays have different
// inner hosts. It sorts hosts in place.
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
	var encoded []byte
	if err := d.Peers.Call(ctx, address, method, data, &encoded); err != nil {
		return err
	}
	return errors.Wrap(cbor.Unmarshal(encoded, reply), "decode reply")
}

// compare makes the sets of this host and a peer equal, unless a comparison
// with that peer is running. It returns false if the peer did not reply.
func (d *Distributor) compare(ctx context.Context, address string) bool {
	if !d.beginCompare(address) {
		return true
	}
	defer d.endCompare(address)
	local := d.Set.summary()
	var remote Generations
	if err := d.call(ctx, address, methodCompare, local, &remote); err != nil {
		d.Log.WithError(err).Debug("failed to compare documents with peer")
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

// reconcile fetches the documents that this host lacks from a peer, and sends
// the peer those that it lacks.
func (d *Distributor) reconcile(ctx context.Context, address string, remote Generations) {
	held := d.Set.generations()
	if hasNewer(held, remote.Held) {
		var reply Records
		err := d.call(ctx, address, methodFetch, Generations{Held: held}, &reply)
		if err == nil {
			err = d.applyRecords(reply)
		}
		if err != nil {
			d.Log.WithError(err).Debug("failed to fetch documents from peer")
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
		d.Log.WithError(err).Debug("failed to send documents to peer")
	}
}

// hasNewer reports whether remote has a higher generation of a document than
// local.
func hasNewer(local, remote map[string]uint64) bool {
	for name, generation := range remote {
		if generation > local[name] {
			return true
		}
	}
	return false
}

// compareWithRandomPeer compares with a random peer, and tries others while
// none replies.
func (d *Distributor) compareWithRandomPeer(ctx context.Context) {
	for _, address := range d.randomPeers(compareAttempts) {
		if d.compare(ctx, address) {
			return
		}
	}
}

// randomPeers returns up to n random peers. They are hosts of the own data
// centre, and also of others once the set is older than takeOverAge. A relay
// then returns only hosts of other data centres, since its own data centre gets
// the documents from it.
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

// compareWithSeeds compares the set of a starting host with those of a few
// random seeds.
func (d *Distributor) compareWithSeeds(ctx context.Context) {
	d.mu.Lock()
	order := d.rnd.Perm(len(d.Seeds))
	d.mu.Unlock()
	for _, i := range order[:min(startPeers, len(order))] {
		d.runInBackground(func() { d.compare(ctx, d.Seeds[i]) })
	}
}
