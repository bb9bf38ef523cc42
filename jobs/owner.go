package jobs

import (
	"context"
	"time"
)

// searchInterval is the least time between two searches for the owner of a job.
const searchInterval = time.Second

// ensureOwner takes a job over whose owner doesn't know of it: a write that made
// it the owner took effect after it had given up waiting for the answer.
func (m *Manager) ensureOwner(ctx context.Context, head *Head) {
	m.mu.Lock()
	_, owned := m.jobs[head.ID]
	m.mu.Unlock()
	if owned || !head.open() || m.ownerKnows(ctx, head) {
		return
	}
	if err := m.claim(ctx, head.ID, head.Owner, nil); err != nil {
		m.Log.WithError(err).WithField("job", head.ID).Warn("job without an owner not taken over")
	}
}

// ownerKnows reports whether the owner that a job's record names runs the job, or
// will. Recovery takes over what a lost host or an earlier start leaves.
func (m *Manager) ownerKnows(ctx context.Context, head *Head) bool {
	if self := m.View.Self(); head.Owner == self.Name {
		return head.Incarnation < self.Incarnation
	}
	owner, ok := m.host(head.Owner)
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply OwnsReply
	args := OwnsArgs{ID: head.ID, Incarnation: head.Incarnation}
	if err := m.Peers.Call(ctx, owner.PeerAddress, PeerName+".Owns", args, &reply); err != nil {
		m.Log.WithError(err).WithField("job", head.ID).WithField("peer", owner.Name).Debug("owner of a job not asked")
		return true
	}
	return reply.Owned
}

// findOwner ensures in the background that a job that has been read has an
// owner.
func (m *Manager) findOwner(head *Head) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, searching := m.searches[head.ID]; searching || m.stopping {
		return
	}
	m.searches[head.ID] = struct{}{}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
		m.ensureOwner(ctx, head)
		cancel()
		m.Clock.Sleep(searchInterval)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.searches, head.ID)
	}()
}
