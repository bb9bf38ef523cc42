package jobs

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

// Recover reads the head records of all jobs. It disowns jobs that other hosts own
// by now and takes over those of earlier incarnations of this host. With orphans
// it also takes over jobs whose owner is no longer a member and has no record in the
// store, and checks that members run the jobs that they own. Only one host of a data
// centre may do that, and only with a complete membership view.
func (m *Manager) Recover(ctx context.Context, orphans bool) error {
	found, _, err := txn.List(ctx, m.Store, headPrefix)
	if err != nil {
		return err
	}
	search := &recoverySearch{
		Manager: m, members: membership.All(m.View), orphans: orphans,
		registered: make(map[string]bool), revs: make(map[string]txn.Rev, len(found)),
	}
	var failed error
	for _, item := range found {
		head, err := decodeHead(item)
		if err != nil {
			m.Log.WithError(err).Warn("cannot decode head record of job; job skipped")
			continue
		}
		failed = errors.CombineErrors(failed, search.recover(ctx, head, item.Rev))
	}
	if orphans {
		m.mu.Lock()
		m.searchedRevs = search.revs
		m.mu.Unlock()
	}
	return failed
}

// recoverySearch is one pass over the head records of all jobs.
type recoverySearch struct {
	*Manager
	members []membership.Host
	// orphans reports that the jobs of lost hosts are taken over too.
	orphans bool
	// registered holds which owners have a record in the store, as far as it was read.
	registered map[string]bool
	// revs holds the revisions of the jobs that this host doesn't run.
	revs map[string]txn.Rev
}

// recover takes over a job if it is to be taken over by this host.
func (s *recoverySearch) recover(ctx context.Context, head *Head, rev txn.Rev) error {
	self := s.View.Self()
	if s.stillOwns(head, rev) || head.Owner != self.Name && !s.orphans {
		return nil
	}
	s.revs[head.ID] = rev
	if !shouldTakeOver(head, s.members, self) {
		if s.mayBeIdle(head, rev, s.members) {
			s.ensureOwnerAsync(head)
		}
		return nil
	}
	alive, err := s.ownerIsRegistered(ctx, head.Owner, s.registered)
	if err != nil || alive {
		return err
	}
	return s.claimListed(ctx, head, rev)
}

// mayBeIdle reports whether the owner of a job, a member of this data centre, may not run
// it: the record names another incarnation, or has not changed since the last search. The
// write that made it the owner may have taken effect after it had looked for its jobs.
func (m *Manager) mayBeIdle(head *Head, rev txn.Rev, members []membership.Host) bool {
	if !head.open() || head.DataCentre != m.View.Self().DataCentre {
		return false
	}
	m.mu.Lock()
	unchanged := m.searchedRevs[head.ID] == rev
	m.mu.Unlock()
	return unchanged || slices.ContainsFunc(members, func(h membership.Host) bool {
		return h.Name == head.Owner && h.Incarnation != head.Incarnation
	})
}

// ownerIsRegistered reports whether another host that owns a job has a record in the store:
// the view may be wrong about it. It remembers the answers in known.
func (m *Manager) ownerIsRegistered(ctx context.Context, owner string, known map[string]bool) (bool, error) {
	if owner == m.View.Self().Name {
		return false, nil
	}
	if registered, ok := known[owner]; ok {
		return registered, nil
	}
	registered, err := m.IsRegistered(ctx, owner)
	if err == nil {
		known[owner] = registered
	}
	return registered, err
}
