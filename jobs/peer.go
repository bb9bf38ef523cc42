package jobs

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// PeerName is the name under which hosts serve each other's calls about jobs.
const PeerName = "Jobs"

// Peer serves the calls of other hosts.
type Peer struct{ m *Manager }

// Peer returns the receiver of the calls of other hosts.
func (m *Manager) Peer() *Peer { return &Peer{m: m} }

// ReadArgs ask for results.
type ReadArgs struct {
	ID    string
	After int
	Wait  time.Duration
}

// ReadReply holds results, if the host owns the job.
type ReadReply struct {
	Owned bool
	Page  Page
}

// Read returns the results of a job that this host owns.
func (p *Peer) Read(args ReadArgs, reply *ReadReply) error {
	reply.Page, reply.Owned = p.m.ownResults(context.Background(), args.ID, args.After, args.Wait)
	if !reply.Owned {
		p.m.forgetOwner(args.ID)
	}
	return nil
}

// BodyArgs ask for the body of an item.
type BodyArgs struct{ ID, Item string }

// BodyReply holds the body, if the host has it.
type BodyReply struct {
	Found bool
	Body  []byte
}

// Body returns the body of an item of a job that this host owns.
func (p *Peer) Body(args BodyArgs, reply *BodyReply) error {
	reply.Body, reply.Found = p.m.ownBody(args.ID, args.Item)
	return nil
}

// EndArgs ask for the end of a job.
type EndArgs struct{ ID string }

// EndReply says whether the end is recorded.
type EndReply struct{ Ended bool }

// End ends a job that this host owns.
func (p *Peer) End(args EndArgs, reply *EndReply) (err error) {
	reply.Ended, err = p.m.endOwn(context.Background(), args.ID)
	return err
}

// OwnsArgs ask whether the host owns a job, of which the store says so.
type OwnsArgs struct {
	ID string
	// Incarnation is that of the owner in the job's record.
	Incarnation uint64
}

// OwnsReply answers OwnsArgs.
type OwnsReply struct{ Owned bool }

// Owns reports whether this host owns a job or will: its acceptance is being
// recorded, or the host takes it over from an earlier start of its own.
func (p *Peer) Owns(args OwnsArgs, reply *OwnsReply) error {
	reply.Owned = args.Incarnation < p.m.View.Self().Incarnation || p.m.owns(args.ID)
	return nil
}

// AnnounceArgs say which host owns a job.
type AnnounceArgs struct{ ID, Owner string }

// None is an empty reply.
type None struct{}

// Announce notes the owner of a job.
func (p *Peer) Announce(args AnnounceArgs, _ *None) error {
	p.m.mu.Lock()
	defer p.m.mu.Unlock()
	if _, own := p.m.jobs[args.ID]; !own {
		p.m.owners[args.ID] = args.Owner
	}
	return nil
}

// announce tells the hosts of the region who owns a job, so that they need not
// read its head. A host that isn't told reads it.
func (m *Manager) announce(id string) {
	self := m.View.Self()
	for _, h := range membership.All(m.View) {
		if h.Region != self.Region || h.Name == self.Name {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		if err := m.Peers.Call(ctx, h.PeerAddress, PeerName+".Announce", AnnounceArgs{ID: id, Owner: self.Name}, new(None)); err != nil {
			m.Log.WithError(err).WithField("job", id).WithField("peer", h.Name).Debug("owner of a job not announced")
		}
		cancel()
	}
}

// Progress is what has been gathered of an item's output.
type Progress struct {
	Item     string
	Texts    []string
	LastID   string
	Failures int
}

// AdoptArgs hand a job over.
type AdoptArgs struct {
	ID       string
	From     string
	Progress []Progress
}

// Adopt takes a job over from a host that is stopping.
func (p *Peer) Adopt(args AdoptArgs, _ *None) error {
	if p.m.refusing() {
		return verdict.New(verdict.NotRun, verdict.CodeDraining, "The host is stopping.")
	}
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	return p.m.claim(ctx, args.ID, args.From, args.Progress)
}
