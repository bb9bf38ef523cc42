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

// idleFlushInterval is how often the flush loop checks for expired items and jobs
// while there is nothing to record.
const idleFlushInterval = time.Second

// change is what one transaction records for one job: the new head record and
// the results to add.
type change struct {
	job     *job
	head    Head
	results []Result
}

// flush records the changes that are due and returns how long to wait until the
// next call.
func (m *Manager) flush(ctx context.Context) time.Duration {
	m.expire(ctx)
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	batch, wait := m.collectChanges(false)
	if len(batch) == 0 {
		return wait
	}
	if err := m.writeChanges(ctx, batch); err != nil && ctx.Err() == nil {
		m.Log.WithError(err).WithField("jobs", len(batch)).Warn("cannot record results; will retry")
		return m.writeBackOff.NextBackOff()
	}
	m.writeBackOff.Reset()
	return 0
}

// collectChanges returns the changes to record now, those of the oldest jobs
// first. Without any it returns how long to wait for the next. With force it does
// not wait for further results of a job.
func (m *Manager) collectChanges(force bool) ([]change, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	wait := idleFlushInterval
	var ready []*job
	due := false
	for _, j := range m.jobs {
		if j.disowned || len(j.unrecorded) == 0 && !j.endRequested {
			continue
		}
		ready = append(ready, j)
		at := j.flushAt()
		if left := at.Sub(now); left > 0 && !force {
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
	for _, j := range ready[:min(len(ready), maxFlushJobs)] {
		c := j.nextChange()
		c.head.MeanRunMs = m.meanRunTimes[j.head.route()].Milliseconds()
		for _, r := range c.results {
			size += len(r.Output)
		}
		if size > maxChunkBytes && len(batch) > 0 {
			break
		}
		batch = append(batch, c)
	}
	return batch, wait
}

// flushAt returns when the unrecorded results of a job are to be recorded: at once
// if they complete the job or the job is nearly due, otherwise after a delay so that
// more results share the write.
func (j *job) flushAt() time.Time {
	if j.endRequested || j.head.ResultCount+len(j.unrecorded) >= j.head.ItemCount {
		return time.Time{}
	}
	latest := j.head.due().Add(-flushMargin)
	at := j.unrecordedSince.Add(flushDelay(latest.Sub(j.unrecordedSince)))
	if latest.Before(at) {
		return latest
	}
	return at
}

// flushDelay returns how long to collect results before they are recorded, if they must be
// recorded within the time left.
func flushDelay(left time.Duration) time.Duration {
	return min(max(time.Duration(flushDelayFraction*float64(left)), minFlushDelay), maxFlushDelay)
}

func (j *job) nextChange() change {
	c := change{job: j, head: j.head, results: slices.Clone(firstChunk(j.unrecorded))}
	c.head.nextWrite()
	c.head.Ended = j.head.Ended || j.endRequested
	if len(c.results) > 0 {
		c.head.ChunkStarts = append(slices.Clone(j.head.ChunkStarts), j.head.ResultCount)
		c.head.ResultCount += len(c.results)
		c.head.WaitingTokens -= j.tokensOf(c.results)
	}
	return c
}

// firstChunk returns the results at the beginning of a list whose outputs total at
// most maxChunkBytes, and at least one.
func firstChunk(results []Result) []Result {
	size := 0
	for i, r := range results {
		size += len(r.Output)
		if i > 0 && size > maxChunkBytes {
			return results[:i]
		}
	}
	return results
}

// tokensOf returns the tokens of the items that have the given results.
func (j *job) tokensOf(results []Result) int64 {
	tokens := make(map[string]int64, len(j.items))
	for _, it := range j.items {
		tokens[it.ID] = it.Tokens
	}
	var sum int64
	for _, r := range results {
		sum += tokens[r.ID]
	}
	return sum
}

// changesRequest returns the transaction that records several changes.
func changesRequest(batch []change) (txn.Request, error) {
	var req txn.Request
	for _, c := range batch {
		value, err := cbor.Marshal(c.head)
		if err != nil {
			return req, errors.Wrap(err, "encode head record")
		}
		req.If = append(req.If, txn.Condition{Key: headKey(c.head.ID), Rev: c.job.rev})
		req.Writes = append(req.Writes, txn.Write{Key: headKey(c.head.ID), Value: value})
		if len(c.results) == 0 {
			continue
		}
		chunk, err := cbor.Marshal(c.results)
		if err != nil {
			return req, errors.Wrap(err, "encode results")
		}
		req.Writes = append(req.Writes, txn.Write{Key: resultKey(c.head.ID, len(c.head.ChunkStarts)-1), Value: chunk})
	}
	return req, nil
}

// writeChanges records changes. If the reply is lost, it sends the same transaction
// again until the outcome is known, so that a copy that takes effect late records
// the same results.
func (m *Manager) writeChanges(ctx context.Context, batch []change) error {
	req, err := changesRequest(batch)
	if err != nil {
		return err
	}
	start := m.Clock.Now()
	pause := newWriteBackOff()
	for unknown := false; ; unknown = true {
		rev, err := m.Store.Commit(ctx, req)
		switch {
		case err == nil:
			m.Metrics.flush.Observe(m.Clock.Now().Sub(start).Seconds())
			for _, c := range batch {
				m.applyChange(c, rev)
			}
			return nil
		case errors.Is(err, txn.ErrConflict):
			return m.resolveConflict(ctx, batch)
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

// applyChange applies a recorded change to the job in memory. It does nothing if
// the change is already applied.
func (m *Manager) applyChange(c change, rev txn.Rev) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j := c.job
	if c.head.WriteSeq <= j.head.WriteSeq {
		return
	}
	j.rev = rev
	j.head.WriteSeq, j.head.WriteID = c.head.WriteSeq, c.head.WriteID
	j.head.ChunkStarts, j.head.ResultCount, j.head.Ended = c.head.ChunkStarts, c.head.ResultCount, c.head.Ended
	j.head.WaitingTokens = c.head.WaitingTokens
	j.recorded = append(j.recorded, c.results...)
	j.unrecorded = j.unrecorded[len(c.results):]
	j.unrecordedSince = m.Clock.Now()
	if c.head.Ended {
		j.endRequested = false
	}
	if !j.head.open() {
		j.releaseBodies()
	}
	close(j.changed)
	j.changed = make(chan struct{})
	m.Log.WithFields(logrus.Fields{
		"job": j.head.ID, "listed": j.head.ResultCount, "total": j.head.ItemCount, "ended": j.head.Ended, "rev": rev,
	}).Info("results recorded")
}

// releaseBodies frees the bodies and headers of items that have a result; they
// are only needed to run the items. Other items keep theirs. All bodies are also
// in the store.
func (j *job) releaseBodies() {
	for _, it := range j.items {
		if it.hasResult {
			it.Body, it.Headers = nil, nil
		}
	}
}

// resolveConflict finds out for each job why the transaction failed on another
// revision: an earlier copy of it took effect, another host ended the job, or
// another host owns the job.
func (m *Manager) resolveConflict(ctx context.Context, batch []change) error {
	for _, c := range batch {
		found, err := m.Store.Get(ctx, headKey(c.head.ID))
		if errors.Is(err, txn.ErrNotFound) {
			m.disown(c.job, "head record was removed")
			continue
		}
		if err != nil {
			return err
		}
		head, err := decodeHead(found)
		if err != nil {
			m.Log.WithError(err).WithField("rev", found.Rev).Error("cannot decode head record of an own job")
			m.disown(c.job, "head record can't be decoded")
			continue
		}
		m.reconcile(c, head, found.Rev)
	}
	return nil
}

func (m *Manager) reconcile(c change, head *Head, rev txn.Rev) {
	switch {
	case head.sameWrite(&c.head):
		// Another host may have recorded the end of the job since.
		c.head.Ended = head.Ended
		m.applyChange(c, rev)
		if head.Ended {
			m.cancelRuns(c.job)
		}
	case head.Owner != c.head.Owner || head.Incarnation != c.head.Incarnation:
		m.disown(c.job, "another host owns the job")
	case head.ResultCount != c.job.head.ResultCount:
		// What this host holds in memory is not what it wrote last.
		m.disown(c.job, "the head record has other results than this host")
		m.ensureOwnerAsync(head)
	default:
		// Another host recorded the end of the job.
		m.mu.Lock()
		c.job.rev = rev
		c.job.head.Ended = c.job.head.Ended || head.Ended
		c.job.head.WriteSeq, c.job.head.WriteID = head.WriteSeq, head.WriteID
		m.mu.Unlock()
		if head.Ended {
			m.cancelRuns(c.job)
		}
	}
}

// disown stops a job that this host no longer owns.
func (m *Manager) disown(j *job, reason string) {
	m.mu.Lock()
	j.disowned = true
	if m.jobs[j.head.ID] == j {
		delete(m.jobs, j.head.ID)
	}
	close(j.changed)
	j.changed = make(chan struct{})
	m.mu.Unlock()
	m.cancelRuns(j)
	m.Log.WithFields(logrus.Fields{"job": j.head.ID, "reason": reason}).Warn("job lost")
}

// cancelRuns cancels the runs of a job's items.
func (m *Manager) cancelRuns(j *job) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, it := range j.items {
		if it.running && it.cancelRun != nil {
			it.cancelRun()
		}
	}
}

// expire gives up items that are past their retention or have no route any more.
// It also removes jobs whose results need not be readable any longer.
func (m *Manager) expire(ctx context.Context) {
	m.mu.Lock()
	now := m.Clock.Now()
	table := m.Table()
	var expired []*job
	for id, j := range m.jobs {
		if now.Sub(j.head.created()) > 2*m.Retention {
			delete(m.jobs, id)
			expired = append(expired, j)
			continue
		}
		if !j.head.open() || j.endRequested || table == nil {
			continue
		}
		pastRetention := now.After(j.head.expiresAt())
		for _, it := range j.items {
			if !it.hasResult && !it.running && (pastRetention || table.Match(j.head.RouteHost, it.Path) == nil) {
				m.setResult(it, Result{ID: it.ID})
			}
		}
	}
	m.mu.Unlock()
	for _, j := range expired {
		m.removeRecords(ctx, j)
	}
}

// removeRecords deletes the records of an expired job, the head record first. If
// that fails, unused keys remain in the store, with no effect on results.
func (m *Manager) removeRecords(ctx context.Context, j *job) {
	keys := []string{headKey(j.head.ID)}
	for n := range j.head.ItemChunks {
		keys = append(keys, itemKey(j.head.ID, n))
	}
	for n := range j.head.ChunkStarts {
		keys = append(keys, resultKey(j.head.ID, n))
	}
	condition := []txn.Condition{{Key: headKey(j.head.ID), Rev: j.rev}}
	for batch := range slices.Chunk(keys, txn.MaxEntries-1) {
		if _, err := m.Store.Commit(ctx, txn.Request{If: condition, Remove: batch}); err != nil {
			m.Log.WithError(err).WithField("job", j.head.ID).Warn("cannot remove records of expired job")
			return
		}
		condition = nil
	}
}
