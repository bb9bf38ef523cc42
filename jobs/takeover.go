package jobs

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

// heir returns the host that is offered the jobs of a host that stops: one of
// the same data centre if any is alive.
func heir(alive []membership.Host, dataCentre, gone string) (membership.Host, bool) {
	alive = slices.DeleteFunc(slices.Clone(alive), func(h membership.Host) bool { return h.Name == gone })
	near := slices.DeleteFunc(slices.Clone(alive), func(h membership.Host) bool { return h.DataCentre != dataCentre })
	for _, of := range [][]membership.Host{near, alive} {
		if first := membership.Rendezvous(of, "jobs/"+gone, 1); len(first) > 0 {
			return first[0], true
		}
	}
	return membership.Host{}, false
}

// Recover reads all jobs, gives up those that other hosts own now, and takes
// over those of an earlier start of this host. With orphans it also takes over
// those whose owner is gone; one host of a data centre does that, and its view
// of the hosts must be whole.
func (m *Manager) Recover(ctx context.Context, orphans bool) error {
	found, _, err := txn.List(ctx, m.Store, headPrefix)
	if err != nil {
		return err
	}
	self := m.View.Self()
	alive := membership.All(m.View)
	var failed error
	for _, item := range found {
		head, err := decodeHead(item)
		if err != nil {
			m.Log.WithError(err).Warn("unreadable job skipped")
			continue
		}
		if m.keeps(head) {
			continue
		}
		if head.Owner != self.Name && !orphans || !inherits(head, alive, self) {
			continue
		}
		if err := m.claim(ctx, head.ID, head.Owner, nil); err != nil {
			failed = errors.CombineErrors(failed, err)
		}
	}
	return failed
}

// keeps reports whether this host owns the job already. One that another host
// has taken over is given up.
func (m *Manager) keeps(head *Head) bool {
	m.mu.Lock()
	j, ok := m.jobs[head.ID]
	if !ok {
		if head.Owner != m.View.Self().Name {
			m.owners[head.ID] = head.Owner
		}
		m.mu.Unlock()
		return false
	}
	m.mu.Unlock()
	if head.Owner == j.head.Owner && head.Incarnation == j.head.Incarnation {
		return true
	}
	m.lose(j, "another host owns it")
	return false
}

// inherits reports whether this host is to take over a job that it doesn't run:
// its own, or one whose owner is gone from its data centre, or from one
// that has no host left.
func inherits(head *Head, alive []membership.Host, self membership.Host) bool {
	switch {
	case !head.open():
		return false
	case head.Owner == self.Name:
		return head.Incarnation <= self.Incarnation
	case slices.ContainsFunc(alive, func(h membership.Host) bool { return h.Name == head.Owner }):
		return false
	case head.DataCentre == self.DataCentre:
		return true
	}
	return !slices.ContainsFunc(alive, func(h membership.Host) bool { return h.DataCentre == head.DataCentre })
}

// claimTries bounds the tries to take a job over whose record changes meanwhile.
const claimTries = 3

// claim makes this host the owner of a job, unless another host than the given
// one owns it or nothing is left to run.
func (m *Manager) claim(ctx context.Context, id, from string, progress []Progress) error {
	var err error
	for range claimTries {
		// A conflict may be a write of the former owner that took effect late.
		if err = m.claimOnce(ctx, id, from, progress); !errors.Is(err, txn.ErrConflict) {
			return err
		}
	}
	return err
}

func (m *Manager) claimOnce(ctx context.Context, id, from string, progress []Progress) error {
	head, rev, err := m.load(ctx, id)
	if err != nil {
		return err
	}
	if head.Owner != from || !head.open() {
		return nil
	}
	items, err := m.storedItems(ctx, head)
	if err != nil {
		return err
	}
	results, err := m.allResults(ctx, head)
	if err != nil {
		return err
	}
	self := m.View.Self()
	head.Owner, head.Incarnation, head.DataCentre = self.Name, self.Incarnation, self.DataCentre
	head.WriteSeq++
	value, err := cbor.Marshal(head)
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	rev, err = m.record(ctx, txn.Request{
		If:     []txn.Condition{{Key: headKey(id), Rev: rev}},
		Writes: []txn.Write{{Key: headKey(id), Value: value}},
	}, head)
	if err != nil {
		return errors.Wrapf(err, "take over job %s", id)
	}
	j := newJob(*head, rev, items, results)
	j.resume(progress)
	m.adopt(j)
	m.Log.WithFields(logrus.Fields{"job": id, "from": from, "listed": head.ResultCount, "total": head.ItemCount, "rev": rev}).Info("job taken over")
	go m.announce(id)
	return nil
}

// allResults reads all recorded results of a job.
func (m *Manager) allResults(ctx context.Context, head *Head) ([]Result, error) {
	var results []Result
	for n := range head.ChunkStarts {
		chunk, err := m.resultChunk(ctx, head.ID, n)
		if err != nil {
			return nil, err
		}
		results = append(results, chunk...)
	}
	return results, nil
}

// resume takes what another host had gathered of the items' outputs.
func (j *job) resume(progress []Progress) {
	for _, p := range progress {
		i := slices.IndexFunc(j.items, func(it *item) bool { return it.ID == p.Item })
		if i >= 0 {
			j.items[i].texts, j.items[i].lastID, j.items[i].failures = p.Texts, p.LastID, p.Failures
		}
	}
}

// HandOver stops all runs, records what is done and gives the open jobs to
// other hosts.
func (m *Manager) HandOver(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	for _, stop := range m.runs {
		stop()
	}
	m.mu.Unlock()
	m.running.Wait()
	m.writing.Lock()
	defer m.writing.Unlock()
	m.flushAll(ctx)
	for _, j := range m.openJobs() {
		m.handOverJob(ctx, j)
	}
}

// flushAll records all results. Writing is held.
func (m *Manager) flushAll(ctx context.Context) {
	for ctx.Err() == nil {
		batch, _ := m.collect(true)
		if len(batch) == 0 {
			return
		}
		if err := m.write(ctx, batch); err != nil {
			m.Log.WithError(err).Warn("results not recorded before the stop")
			return
		}
	}
}

func (m *Manager) openJobs() []*job {
	m.mu.Lock()
	defer m.mu.Unlock()
	var open []*job
	for _, j := range m.jobs {
		if j.head.open() && !j.lost {
			open = append(open, j)
		}
	}
	return open
}

// handOverJob offers a job to its heir. A job that isn't taken is taken over
// when this host is seen to be gone.
func (m *Manager) handOverJob(ctx context.Context, j *job) {
	self := m.View.Self()
	next, ok := heir(membership.All(m.View), self.DataCentre, self.Name)
	if !ok {
		return
	}
	args := AdoptArgs{ID: j.head.ID, From: self.Name}
	m.mu.Lock()
	for _, it := range j.items {
		if !it.ended && (len(it.texts) > 0 || it.failures > 0) {
			args.Progress = append(args.Progress, Progress{Item: it.ID, Texts: it.texts, LastID: it.lastID, Failures: it.failures})
		}
	}
	m.mu.Unlock()
	log := m.Log.WithFields(logrus.Fields{"job": j.head.ID, "to": next.Name})
	bound, cancel := context.WithTimeout(ctx, 2*peerTimeout)
	defer cancel()
	if err := m.Peers.Call(bound, next.PeerAddress, PeerName+".Adopt", args, new(None)); err != nil {
		log.WithError(err).Warn("job not handed over")
		return
	}
	m.lose(j, "handed over")
	m.mu.Lock()
	m.owners[j.head.ID] = next.Name
	m.mu.Unlock()
	log.Info("job handed over")
}
