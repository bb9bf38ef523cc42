package jobs

import (
	"context"
	"time"
)

// ownerSearchInterval is the minimum time between two checks of the owner of a
// job.
const ownerSearchInterval = time.Second

// ensureOwner takes over a job if the owner in its head record does not run it.
// That happens when the write that made a host the owner takes effect after the
// host has stopped waiting for its outcome.
func (m *Manager) ensureOwner(ctx context.Context, head *Head) {
	m.mu.Lock()
	_, owned := m.jobs[head.ID]
	m.mu.Unlock()
	if owned || !head.open() || m.ownerRunsJob(ctx, head) {
		return
	}
	if err := m.claim(ctx, head.ID, head.Owner, nil); err != nil {
		m.Log.WithError(err).WithField("job", head.ID).Warn("cannot take over job without an owner")
	}
}

// ownerRunsJob reports whether the owner in a job's head record runs the job or
// will run it. It is also true if the owner is no longer a member, or is an
// earlier incarnation of this host: Recover takes over those jobs.
func (m *Manager) ownerRunsJob(ctx context.Context, head *Head) bool {
	if self := m.View.Self(); head.Owner == self.Name {
		return head.Incarnation < self.Incarnation
	}
	owner, ok := m.findHost(head.Owner)
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply OwnsReply
	args := OwnsArgs{ID: head.ID, Incarnation: head.Incarnation}
	if err := m.Peers.Call(ctx, owner.PeerAddress, PeerName+".Owns", args, &reply); err != nil {
		m.Log.WithError(err).WithField("job", head.ID).WithField("peer", owner.Name).Debug("cannot ask peer whether it owns the job")
		return true
	}
	return reply.Owned
}

// ensureOwnerAsync starts ensureOwner in the background, at most once per
// ownerSearchInterval and job.
func (m *Manager) ensureOwnerAsync(head *Head) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, searching := m.ownerSearches[head.ID]; searching || m.stopping {
		return
	}
	m.ownerSearches[head.ID] = struct{}{}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
		m.ensureOwner(ctx, head)
		cancel()
		m.Clock.Sleep(ownerSearchInterval)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.ownerSearches, head.ID)
	}()
}
