package jobs

import (
	"context"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// handOverTarget returns the host that is offered the jobs of a leaving host. Hosts
// of the same data centre are preferred.
func handOverTarget(members []membership.Host, dataCentre, leaving string) (membership.Host, bool) {
	members = slices.DeleteFunc(slices.Clone(members), func(h membership.Host) bool { return h.Name == leaving })
	sameDataCentre := slices.DeleteFunc(slices.Clone(members), func(h membership.Host) bool { return h.DataCentre != dataCentre })
	for _, candidates := range [][]membership.Host{sameDataCentre, members} {
		if first := membership.Rendezvous(candidates, "jobs/"+leaving, 1); len(first) > 0 {
			return first[0], true
		}
	}
	return membership.Host{}, false
}

// stillOwns reports whether this host owns the job and runs it already. A job that
// another host has taken over is disowned. A head record of an earlier revision than
// this host's own last write says nothing about the present owner.
func (m *Manager) stillOwns(head *Head, rev txn.Rev) bool {
	m.mu.Lock()
	j, ok := m.jobs[head.ID]
	if !ok {
		if head.Owner != m.View.Self().Name {
			m.cacheOwner(head.ID, cachedOwner{head.Owner, head.Customer, rev})
		}
		m.mu.Unlock()
		return false
	}
	outdated := rev < j.rev
	m.mu.Unlock()
	if outdated || head.Owner == j.head.Owner && head.Incarnation == j.head.Incarnation {
		return true
	}
	m.disown(j, "another host owns the job")
	return false
}

// shouldTakeOver reports whether this host is to take over a job that it does not
// run: one of its own, or one whose owner is no longer a member and was in this
// data centre, or in one without any members.
func shouldTakeOver(head *Head, members []membership.Host, self membership.Host) bool {
	switch {
	case !head.open():
		return false
	case head.Owner == self.Name:
		return true
	case slices.ContainsFunc(members, func(h membership.Host) bool { return h.Name == head.Owner }):
		return false
	case head.DataCentre == self.DataCentre:
		return true
	}
	return !slices.ContainsFunc(members, func(h membership.Host) bool { return h.DataCentre == head.DataCentre })
}

// maxClaimAttempts bounds the attempts to claim a job whose head record is changed
// concurrently.
const maxClaimAttempts = 3

// claim makes this host the owner of a job. It does nothing if the host runs the job
// already, the owner is not the given one any more, or no items are left to run.
func (m *Manager) claim(ctx context.Context, id, from string, progress []Progress) error {
	unlock, err := m.lockOwner(ctx, id)
	if err != nil {
		return err
	}
	defer unlock()
	if m.runsJob(id) {
		return nil
	}
	return m.watchOutcome(id, m.claimLocked(ctx, id, from, progress))
}

// watchOutcome returns err. If it leaves open whether this host owns the job, that is
// found out in the background.
func (m *Manager) watchOutcome(id string, err error) error {
	if err != nil && verdict.Of(err) != verdict.NotRun {
		go m.awaitLateTakeOver(id)
	}
	return err
}

// awaitLateTakeOver polls for a take-over whose write may still take effect, and runs the
// job if it does: no other host would.
func (m *Manager) awaitLateTakeOver(id string) {
	for end := m.Clock.Now().Add(lateWriteWindow); m.Clock.Now().Before(end); {
		m.Clock.Sleep(lateWriteInterval)
		if m.isStopping() || m.claimLate(id) {
			return
		}
	}
}

// claimLate claims a job whose head record names this host already, and reports whether
// this host runs it now.
func (m *Manager) claimLate(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	unlock, err := m.lockOwner(ctx, id)
	if err != nil {
		return false
	}
	defer unlock()
	if m.runsJob(id) {
		return true
	}
	if err := m.claimLocked(ctx, id, "", nil); err != nil {
		m.Log.WithError(err).WithField("job", id).Info("can't find out whether this host owns the job")
	}
	return m.runsJob(id)
}

// claimLocked is claim under the lock of lockOwner, for a job that this host doesn't run.
func (m *Manager) claimLocked(ctx context.Context, id, from string, progress []Progress) error {
	var err error
	for range maxClaimAttempts {
		// A write of the former owner that takes effect late causes a conflict.
		if err = m.claimOnce(ctx, id, from, progress); !errors.Is(err, txn.ErrConflict) {
			return err
		}
	}
	return err
}

// claimListed is claim for a job whose head record was just listed, which is read again
// only if it has changed since.
func (m *Manager) claimListed(ctx context.Context, head *Head, rev txn.Rev) error {
	id, from := head.ID, head.Owner
	unlock, err := m.lockOwner(ctx, id)
	if err != nil {
		return err
	}
	defer unlock()
	if m.runsJob(id) {
		return nil
	}
	err = m.claimHead(ctx, head, rev, nil)
	if errors.Is(err, txn.ErrConflict) {
		err = m.claimLocked(ctx, id, from, nil)
	}
	return m.watchOutcome(id, err)
}

func (m *Manager) claimOnce(ctx context.Context, id, from string, progress []Progress) error {
	head, rev, err := m.loadHead(ctx, id)
	if err != nil {
		return err
	}
	if !head.open() || head.Owner != from && !m.namesSelf(head) {
		return nil
	}
	return m.claimHead(ctx, head, rev, progress)
}

// claimHead makes this host the owner of a job, if its head record still has the revision.
// The lock of lockOwner must be held.
func (m *Manager) claimHead(ctx context.Context, head *Head, rev txn.Rev, progress []Progress) error {
	id, from := head.ID, head.Owner
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
	head.nextWrite()
	value, err := cbor.Marshal(head)
	if err != nil {
		return errors.Wrap(err, "encode head record")
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	rev, err = m.commitAsOwner(ctx, txn.Request{
		If:     []txn.Condition{{Key: headKey(id), Rev: rev}},
		Writes: []txn.Write{{Key: headKey(id), Value: value}},
	}, head)
	if err != nil {
		return errors.Wrapf(err, "take over job %s", id)
	}
	j := newJob(*head, rev, items, results)
	j.restoreProgress(progress)
	m.addOwned(j)
	m.Log.WithFields(logrus.Fields{"job": id, "from": from, "listed": head.ResultCount, "total": head.ItemCount, "rev": rev}).Info("job taken over")
	go m.announce(AnnounceArgs{ID: id, Customer: head.Customer, Rev: rev}, from)
	return nil
}

// maxListedChunks bounds the chunks of results that are listed together: each has up to
// maxOutputBytes, and a reply is in memory several times while it is decoded.
const maxListedChunks = 16

// allResults reads all recorded results of a job.
func (m *Manager) allResults(ctx context.Context, head *Head) ([]Result, error) {
	if n := len(head.ChunkStarts); n > 1 && n <= maxListedChunks {
		return m.listedResults(ctx, head)
	}
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

// listedResults lists the results of a job, usually with one call for all chunks. Chunks
// that head doesn't name yet are left out.
func (m *Manager) listedResults(ctx context.Context, head *Head) ([]Result, error) {
	found, _, err := txn.List(ctx, m.Store, resultKeys(head.ID))
	if err != nil {
		return nil, err
	}
	values := make(map[string][]byte, len(found))
	for _, item := range found {
		values[item.Key] = item.Value
	}
	var results []Result
	for n := range head.ChunkStarts {
		value, ok := values[resultKey(head.ID, n)]
		if !ok {
			return nil, errors.Wrapf(txn.ErrNotFound, "read results %d of job %s", n, head.ID)
		}
		chunk, err := decodeResults(value, head.ID, n)
		if err != nil {
			return nil, err
		}
		results = append(results, chunk...)
	}
	return results, nil
}

// restoreProgress sets the progress of items that was made on another host.
func (j *job) restoreProgress(progress []Progress) {
	for _, p := range progress {
		i := slices.IndexFunc(j.items, func(it *item) bool { return it.ID == p.Item })
		if i < 0 {
			continue
		}
		it := j.items[i]
		it.failures, it.crashes = p.Failures, p.Crashes
		if p.isBeginning() {
			it.eventData, it.lastEventID, it.ran = p.Texts, p.LastID, p.Ran
			it.service, it.softwareVersion = p.Service, p.SoftwareVersion
			it.eventBytes = outputSize(p.Texts)
		}
	}
}

// isBeginning reports whether the number of events agrees with the id of the last one, if the
// first has the number 0 or 1. Hosts of older builds hand over events that they did not check.
// An output with events without data is not told from one that lacks events.
func (p *Progress) isBeginning() bool {
	last, err := strconv.Atoi(p.LastID)
	return err == nil && len(p.Texts) > 0 && (last == len(p.Texts) || last == len(p.Texts)-1)
}

// HandOver cancels all runs, records all results and offers the open jobs to other
// hosts, also those whose submissions are still being recorded. It is called when this host stops.
func (m *Manager) HandOver(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	for _, stop := range m.runs {
		stop()
	}
	m.mu.Unlock()
	m.activeRuns.Wait()
	m.handOverOpenJobs(ctx)
	if m.awaitAcceptances(ctx) {
		m.handOverOpenJobs(ctx)
	}
}

func (m *Manager) handOverOpenJobs(ctx context.Context) {
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	m.flushAll(ctx)
	for _, j := range m.openJobs() {
		m.handOverJob(ctx, j)
	}
}

// flushAll records all results. m.writeMu must be held.
func (m *Manager) flushAll(ctx context.Context) {
	for ctx.Err() == nil {
		batch, _ := m.collectChanges(true)
		if len(batch) == 0 {
			return
		}
		if err := m.writeChanges(ctx, batch); err != nil {
			m.Log.WithError(err).Warn("cannot record results before shutdown")
			return
		}
	}
}

func (m *Manager) openJobs() []*job {
	m.mu.Lock()
	defer m.mu.Unlock()
	var open []*job
	for _, j := range m.jobs {
		if j.head.open() && !j.disowned {
			open = append(open, j)
		}
	}
	return open
}

// handOverJob offers a job to another host. If that fails, a peer takes the job
// over once this host has left the membership.
func (m *Manager) handOverJob(ctx context.Context, j *job) {
	self := m.View.Self()
	next, ok := handOverTarget(membership.All(m.View), self.DataCentre, self.Name)
	if !ok {
		return
	}
	args := AdoptArgs{ID: j.head.ID, From: self.Name}
	m.mu.Lock()
	for _, it := range j.items {
		if !it.hasResult && (len(it.eventData) > 0 || it.failures > 0 || it.crashes > 0) {
			args.Progress = append(args.Progress, Progress{
				Item: it.ID, Texts: it.eventData, LastID: it.lastEventID, Service: it.service, SoftwareVersion: it.softwareVersion,
				Failures: it.failures, Crashes: it.crashes, Ran: it.ran,
			})
		}
	}
	m.mu.Unlock()
	log := m.Log.WithFields(logrus.Fields{"job": j.head.ID, "to": next.Name})
	callCtx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
	defer cancel()
	if err := m.Peers.Call(callCtx, next.PeerAddress, PeerName+".Adopt", args, new(None)); err != nil {
		log.WithError(err).Warn("cannot hand over job")
		return
	}
	m.disown(j, "handed over")
	m.mu.Lock()
	m.cacheOwner(j.head.ID, cachedOwner{next.Name, j.head.Customer, j.rev})
	m.mu.Unlock()
	log.Info("job handed over")
}
