package jobs

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
)

// idleFlush is how often the writer looks for jobs to give up or forget.
const idleFlush = time.Second

// change is what one transaction records for one job.
type change struct {
	job   *job
	head  Head
	fresh []Result
}

// flush records what is due and returns how long to wait.
func (m *Manager) flush(ctx context.Context) time.Duration {
	m.expire(ctx)
	m.writing.Lock()
	defer m.writing.Unlock()
	batch, wait := m.collect(false)
	if len(batch) == 0 {
		return wait
	}
	if err := m.write(ctx, batch); err != nil && ctx.Err() == nil {
		m.Log.WithError(err).WithField("jobs", len(batch)).Warn("results not recorded yet")
		return m.pause.NextBackOff()
	}
	m.pause.Reset()
	return 0
}

// collect returns the changes to record now, of jobs that are due first, and
// how long to wait when there are none.
func (m *Manager) collect(all bool) ([]change, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	wait := idleFlush
	var ready []*job
	due := false
	for _, j := range m.jobs {
		if j.lost || len(j.fresh) == 0 && !j.ending {
			continue
		}
		ready = append(ready, j)
		at := j.flushAt()
		if left := at.Sub(now); left > 0 && !all {
			wait = min(wait, left)
			continue
		}
		due = true
	}
	if !due {
		return nil, wait
	}
	slices.SortFunc(ready, func(a, b *job) int { return cmp.Compare(a.head.CreatedMs, b.head.CreatedMs) })
	var (
		batch []change
		size  int
	)
	for _, j := range ready[:min(len(ready), flushJobs)] {
		c := j.change()
		for _, r := range c.fresh {
			size += len(r.Output)
		}
		if size > chunkBytes && len(batch) > 0 {
			break
		}
		batch = append(batch, c)
	}
	return batch, wait
}

// flushAt is when the fresh results of a job are to be recorded: at once when
// they complete the job or it is due, else after more may have gathered.
func (j *job) flushAt() time.Time {
	if j.ending || j.head.ResultCount+len(j.fresh) >= j.head.ItemCount {
		return time.Time{}
	}
	at := j.freshSince.Add(flushDelay)
	if early := j.head.due().Add(-flushMargin); early.Before(at) {
		return early
	}
	return at
}

func (j *job) change() change {
	c := change{job: j, head: j.head, fresh: slices.Clone(j.fresh)}
	c.head.WriteSeq++
	c.head.Ended = j.head.Ended || j.ending
	if len(c.fresh) > 0 {
		c.head.ChunkStarts = append(slices.Clone(j.head.ChunkStarts), j.head.ResultCount)
		c.head.ResultCount += len(c.fresh)
	}
	return c
}

// request returns the transaction of several changes.
func request(batch []change) (txn.Request, error) {
	var req txn.Request
	for _, c := range batch {
		value, err := cbor.Marshal(c.head)
		if err != nil {
			return req, errors.Wrap(err, "encode head")
		}
		req.If = append(req.If, txn.Condition{Key: headKey(c.head.ID), Rev: c.job.rev})
		req.Writes = append(req.Writes, txn.Write{Key: headKey(c.head.ID), Value: value})
		if len(c.fresh) == 0 {
			continue
		}
		chunk, err := cbor.Marshal(c.fresh)
		if err != nil {
			return req, errors.Wrap(err, "encode results")
		}
		req.Writes = append(req.Writes, txn.Write{Key: resultKey(c.head.ID, len(c.head.ChunkStarts)-1), Value: chunk})
	}
	return req, nil
}

// write records changes. After a lost answer the same transaction is sent again
// until its outcome is known, so that a write that takes effect late records
// the same results.
func (m *Manager) write(ctx context.Context, batch []change) error {
	req, err := request(batch)
	if err != nil {
		return err
	}
	start := m.Clock.Now()
	pause := newRetryPause()
	for unknown := false; ; unknown = true {
		rev, err := m.Store.Commit(ctx, req)
		switch {
		case err == nil:
			m.Metrics.flush.Observe(m.Clock.Now().Sub(start).Seconds())
			for _, c := range batch {
				m.recorded(c, rev)
			}
			return nil
		case errors.Is(err, txn.ErrConflict):
			return m.resolve(ctx, batch)
		case !errors.Is(err, txn.ErrUnknown) && !unknown:
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.Clock.After(pause.NextBackOff()):
		}
	}
}

// recorded makes a change visible.
func (m *Manager) recorded(c change, rev txn.Rev) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j := c.job
	if c.head.WriteSeq <= j.head.WriteSeq {
		return
	}
	j.rev = rev
	j.head.WriteSeq, j.head.ChunkStarts, j.head.ResultCount, j.head.Ended = c.head.WriteSeq, c.head.ChunkStarts, c.head.ResultCount, c.head.Ended
	j.results = append(j.results, c.fresh...)
	j.fresh = j.fresh[len(c.fresh):]
	j.freshSince = m.Clock.Now()
	if c.head.Ended {
		j.ending = false
	}
	if !j.head.open() {
		j.forgetBodies()
	}
	close(j.changed)
	j.changed = make(chan struct{})
	m.Log.WithFields(logrus.Fields{
		"job": j.head.ID, "listed": j.head.ResultCount, "total": j.head.ItemCount, "ended": j.head.Ended, "rev": rev,
	}).Info("results recorded")
}

// forgetBodies frees what only runs need. The bodies of items without a result
// stay in the store.
func (j *job) forgetBodies() {
	for _, it := range j.items {
		if it.ended {
			it.Body, it.Headers = nil, nil
		}
	}
}

// resolve finds out, job by job, why a transaction met another revision: its
// first copy took effect, the job was ended elsewhere, or it has another owner.
func (m *Manager) resolve(ctx context.Context, batch []change) error {
	for _, c := range batch {
		found, err := m.Store.Get(ctx, headKey(c.head.ID))
		if errors.Is(err, txn.ErrNotFound) {
			m.lose(c.job, "its record is gone")
			continue
		}
		if err != nil {
			return err
		}
		head, err := decodeHead(found)
		if err != nil {
			return err
		}
		m.reconcile(c, head, found.Rev)
	}
	return nil
}

func (m *Manager) reconcile(c change, head *Head, rev txn.Rev) {
	switch {
	case head.sameWrite(&c.head):
		m.recorded(c, rev)
	case head.Owner != c.head.Owner || head.Incarnation != c.head.Incarnation:
		m.lose(c.job, "another host owns it")
	default:
		// The end was recorded by another host.
		m.mu.Lock()
		c.job.rev = rev
		c.job.head.Ended = c.job.head.Ended || head.Ended
		c.job.head.WriteSeq = head.WriteSeq
		m.mu.Unlock()
		if head.Ended {
			m.stopRuns(c.job)
		}
	}
}

// lose gives up a job that this host no longer owns.
func (m *Manager) lose(j *job, why string) {
	m.mu.Lock()
	j.lost = true
	if m.jobs[j.head.ID] == j {
		delete(m.jobs, j.head.ID)
	}
	close(j.changed)
	j.changed = make(chan struct{})
	m.mu.Unlock()
	m.stopRuns(j)
	m.Log.WithFields(logrus.Fields{"job": j.head.ID, "reason": why}).Warn("job lost")
}

// stopRuns ends the runs of a job's items.
func (m *Manager) stopRuns(j *job) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, it := range j.items {
		if it.running && it.stop != nil {
			it.stop()
		}
	}
}

// expire gives up items whose time is over, or whose route is gone, and forgets
// jobs whose results need no longer be readable.
func (m *Manager) expire(ctx context.Context) {
	m.mu.Lock()
	now := m.Clock.Now()
	table := m.Table()
	var old []*job
	for id, j := range m.jobs {
		if now.Sub(j.head.created()) > 2*m.Retention {
			delete(m.jobs, id)
			old = append(old, j)
			continue
		}
		if !j.head.open() || j.ending || table == nil {
			continue
		}
		over := now.After(j.head.givenUp())
		for _, it := range j.items {
			if !it.ended && !it.running && (over || table.Match(j.head.RouteHost, it.Path) == nil) {
				m.finish(it, Result{ID: it.ID})
			}
		}
	}
	m.mu.Unlock()
	for _, j := range old {
		m.remove(ctx, j)
	}
}

// remove deletes the records of an old job. A failure leaves garbage behind,
// not a wrong answer.
func (m *Manager) remove(ctx context.Context, j *job) {
	req := txn.Request{If: []txn.Condition{{Key: headKey(j.head.ID), Rev: j.rev}}, Remove: []string{headKey(j.head.ID)}}
	for n := range j.head.ItemChunks {
		req.Remove = append(req.Remove, itemKey(j.head.ID, n))
	}
	for n := range j.head.ChunkStarts {
		req.Remove = append(req.Remove, resultKey(j.head.ID, n))
	}
	if len(req.Remove) >= txn.MaxEntries {
		req.Remove = req.Remove[:txn.MaxEntries-1]
	}
	if _, err := m.Store.Commit(ctx, req); err != nil {
		m.Log.WithError(err).WithField("job", j.head.ID).Warn("old job not removed")
	}
}
