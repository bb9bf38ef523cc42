package jobs

import (
	"context"
)

// ensureOwner takes a job over whose owner doesn't know of it: a write that made
// it the owner took effect after it had given up waiting for the answer.
func (m *Manager) ensureOwner(ctx context.Context, id string) {
	log := m.Log.WithField("job", id)
	head, _, err := m.load(ctx, id)
	if err != nil {
		log.WithError(err).Warn("owner of an accepted job not read")
		return
	}
	m.mu.Lock()
	_, owned := m.jobs[id]
	m.mu.Unlock()
	if owned || !head.open() {
		return
	}
	if self := m.View.Self(); head.Owner == self.Name {
		if head.Incarnation < self.Incarnation {
			// Recovery takes over what an earlier start has left.
			return
		}
	} else {
		owner, ok := m.host(head.Owner)
		if !ok {
			// Recovery takes over what a lost host leaves.
			return
		}
		bound, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		var reply OwnsReply
		args := OwnsArgs{ID: id, Incarnation: head.Incarnation}
		if err := m.Caller.Call(bound, owner.PeerAddress, PeerName+".Owns", args, &reply); err != nil || reply.Owned {
			return
		}
	}
	if err := m.claim(ctx, id, head.Owner, nil); err != nil {
		log.WithError(err).Warn("accepted job without an owner not taken over")
	}
}

// findOwner ensures in the background that a job that has been read has an
// owner. One search a job runs at a time.
func (m *Manager) findOwner(id string) {
	m.mu.Lock()
	_, searching := m.searches[id]
	if !searching && !m.stopping {
		m.searches[id] = struct{}{}
	}
	idle := !searching && !m.stopping
	m.mu.Unlock()
	if !idle {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
		defer cancel()
		m.ensureOwner(ctx, id)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.searches, id)
	}()
}
