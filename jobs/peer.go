package jobs

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// PeerName is the net/rpc name of the service between hosts.
const PeerName = "Jobs"

// Peer is the net/rpc receiver for calls from other hosts.
type Peer struct{ m *Manager }

// Peer returns the net/rpc receiver for calls from other hosts.
func (m *Manager) Peer() *Peer { return &Peer{m: m} }

// ReadArgs are the arguments of Peer.Read: results from position After on,
// waiting up to Wait for the first.
type ReadArgs struct {
	ID     string
	Access Access
	After  int
	Wait   time.Duration
}

// ReadReply is the reply of Peer.Read. Page is valid if Owned is set.
type ReadReply struct {
	Owned bool
	Page  Page
}

// Read returns results of a job that this host owns.
func (p *Peer) Read(args ReadArgs, reply *ReadReply) error {
	reply.Page, reply.Owned = p.m.localResults(context.Background(), args.Access, args.ID, args.After, args.Wait)
	if !reply.Owned {
		p.m.removeCachedOwner(args.ID)
	}
	return nil
}

// BodyArgs are the arguments of Peer.Body.
type BodyArgs struct {
	ID, Item string
	Access   Access
}

// BodyReply is the reply of Peer.Body. Body is valid if Found is set.
type BodyReply struct {
	Found bool
	Body  []byte
}

// Body returns the request body of an item of a job that this host owns.
func (p *Peer) Body(args BodyArgs, reply *BodyReply) error {
	reply.Body, reply.Found = p.m.localBody(args.Access, args.ID, args.Item)
	return nil
}

// EndArgs are the arguments of Peer.End.
type EndArgs struct {
	ID     string
	Access Access
}

// EndReply is the reply of Peer.End. Ended is set once the end is recorded.
type EndReply struct{ Ended bool }

// End ends a job that this host owns.
func (p *Peer) End(args EndArgs, reply *EndReply) (err error) {
	reply.Ended, err = p.m.endLocal(context.Background(), args.Access, args.ID)
	return err
}

// OwnsArgs are the arguments of Peer.Owns, for a job whose head record names the
// called host as its owner.
type OwnsArgs struct {
	ID string
	// Incarnation is the owner's incarnation in the head record.
	Incarnation uint64
}

// OwnsReply is the reply of Peer.Owns.
type OwnsReply struct{ Owned bool }

// Owns reports whether this host owns a job or will own it, because it is
// recording the job's acceptance or will take the job over from an earlier
// incarnation of itself.
func (p *Peer) Owns(args OwnsArgs, reply *OwnsReply) error {
	self := p.m.View.Self()
	switch {
	case p.m.owns(args.ID):
		reply.Owned = true
	case args.Incarnation != self.Incarnation && !p.m.isStopping():
		// The write of an earlier incarnation may have taken effect after this one has
		// looked for its jobs.
		go p.m.claimOwn(args.ID)
		reply.Owned = true
	}
	return nil
}

// claimOwn takes over a job from an earlier incarnation of this host.
func (m *Manager) claimOwn(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	if err := m.claim(ctx, id, m.View.Self().Name, nil); err != nil {
		m.Log.WithError(err).WithField("job", id).Warn("cannot take over job of an earlier incarnation")
	}
}

// AnnounceArgs are the arguments of Peer.Announce.
type AnnounceArgs struct {
	ID, Owner, Customer string
	// Rev is the revision of the head record that names the owner, or zero in calls of older
	// builds.
	Rev txn.Rev
}

// None is the reply of methods that return nothing.
type None struct{}

// Announce caches the owner of a job, unless this host owns the job itself or knows of a later
// owner.
func (p *Peer) Announce(args AnnounceArgs, _ *None) error {
	p.m.mu.Lock()
	defer p.m.mu.Unlock()
	if _, own := p.m.jobs[args.ID]; own {
		go p.m.checkOwner(args.ID)
		return nil
	}
	p.m.cacheOwner(args.ID, cachedOwner{args.Owner, args.Customer, args.Rev})
	return nil
}

// checkOwner reads the head record of a job that this host runs and disowns the job
// if another host has taken it over. It tries again while the store is unavailable.
func (m *Manager) checkOwner(id string) {
	for range maxOwnerChecks {
		ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
		head, rev, err := m.loadHead(ctx, id)
		cancel()
		if err == nil {
			m.stillOwns(head, rev)
			return
		}
		m.Log.WithError(err).WithField("job", id).Info("can't check whether another host owns the job")
		<-m.Clock.After(ownerCheckDelay)
	}
}

// A check of the owner of a job is tried again while the store is unavailable, and
// a former owner is looked for as long.
const (
	maxOwnerChecks  = 20
	ownerCheckDelay = 500 * time.Millisecond
)

// announce notifies all hosts of the region that this host owns a job, so that
// they need not read its head record. A host that misses the call reads it. The
// former owner, if there is one, comes first: it may still run the job.
func (m *Manager) announce(args AnnounceArgs, formerOwner string) {
	self := m.View.Self()
	args.Owner = self.Name
	if formerOwner != "" && formerOwner != self.Name {
		go m.announceToFormerOwner(args, formerOwner)
	}
	for _, h := range membership.All(m.View) {
		if h.Region == self.Region && h.Name != self.Name && h.Name != formerOwner {
			m.announceTo(h, args)
		}
	}
}

// announceToFormerOwner notifies the former owner once it is in the view: a host that
// stood still may come back, with a view of its own, just when its jobs are taken
// over.
func (m *Manager) announceToFormerOwner(args AnnounceArgs, formerOwner string) {
	for range maxOwnerChecks {
		if h, ok := m.findHost(formerOwner); ok && m.announceTo(h, args) {
			return
		}
		<-m.Clock.After(ownerCheckDelay)
	}
}

// announceTo notifies one host and reports whether it answered.
func (m *Manager) announceTo(h membership.Host, args AnnounceArgs) bool {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	err := m.Peers.Call(ctx, h.PeerAddress, PeerName+".Announce", args, new(None))
	if err != nil {
		m.Log.WithError(err).WithField("job", args.ID).WithField("peer", h.Name).Debug("cannot announce job owner to peer")
	}
	return err == nil
}

// Progress is the state of a partly run item: the data of the events received so
// far, the id of the last event, the service and the software version of the replicas
// that sent them, the number of failed runs, and how long it has run. Service is empty in
// calls of older builds.
type Progress struct {
	Item            string
	Texts           []string
	LastID          string
	Service         string
	SoftwareVersion string
	Failures        int
	// Crashes is the number of replicas that were gone after a run that brought no event.
	Crashes int
	Ran     time.Duration
}

// AdoptArgs are the arguments of Peer.Adopt.
type AdoptArgs struct {
	ID       string
	From     string
	Progress []Progress
}

// Adopt takes over a job from a host that is stopping.
func (p *Peer) Adopt(args AdoptArgs, _ *None) error {
	if p.m.isStopping() {
		return verdict.New(verdict.NotRun, verdict.CodeDraining, "The host is stopping.")
	}
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	return p.m.claim(ctx, args.ID, args.From, args.Progress)
}
