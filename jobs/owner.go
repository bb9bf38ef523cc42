package jobs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ownerSearchInterval is the minimum time between two checks of the owner of a
// job.
const ownerSearchInterval = time.Second

// lockOwner waits until no other call of this host makes it the owner of the job, and
// keeps others from it until unlock is called. Two such calls at a time would write the
// head record twice, and the host would go on with the revision of either.
func (m *Manager) lockOwner(ctx context.Context, id string) (unlock func(), err error) {
	done := make(chan struct{})
	for {
		m.mu.Lock()
		other, busy := m.ownerChanges[id]
		if !busy {
			m.ownerChanges[id] = done
			m.mu.Unlock()
			return func() { m.unlockOwner(id, done) }, nil
		}
		m.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "wait for another take-over of job %s", id)
		}
	}
}

func (m *Manager) unlockOwner(id string, done chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.ownerChanges, id)
	close(done)
}

// runsJob reports whether this host owns the job and runs it.
func (m *Manager) runsJob(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.jobs[id]
	return ok
}

// namesSelf reports whether the head record names this host, in its present incarnation,
// as the owner.
func (m *Manager) namesSelf(head *Head) bool {
	self := m.View.Self()
	return head.Owner == self.Name && head.Incarnation == self.Incarnation
}

// ensureOwner takes over a job if the owner in its head record does not run it.
// That happens when the write that made a host the owner takes effect after the
// host has stopped waiting for its outcome.
func (m *Manager) ensureOwner(ctx context.Context, head *Head) {
	if m.runsJob(head.ID) || !head.open() || m.ownerRunsJob(ctx, head) {
		return
	}
	if err := m.claim(ctx, head.ID, head.Owner, nil); err != nil {
		m.Log.WithError(err).WithField("job", head.ID).Warn("cannot take over job without an owner")
	}
}

// ownerRunsJob reports whether the owner in a job's head record runs the job or
// will run it. It is also true if the owner is no longer a member: Recover takes over
// those jobs.
func (m *Manager) ownerRunsJob(ctx context.Context, head *Head) bool {
	if head.Owner == m.View.Self().Name {
		return false
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
