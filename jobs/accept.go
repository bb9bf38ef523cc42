package jobs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Times of acceptance.
const (
	// acceptTimeout bounds the wait for the acceptance to be recorded.
	acceptTimeout = 3500 * time.Millisecond
	// probeTimeout bounds the look whether a store that was away is back.
	probeTimeout = 150 * time.Millisecond
	// awayPause is the advice to callers while the store is away. Callers wait
	// up to a third of the time that they have left.
	awayPause = 1300 * time.Millisecond
	// lateWindow is how long a write whose answer was lost may take to have an
	// effect, and lateInterval the pause between two looks for it.
	lateWindow   = 10 * time.Second
	lateInterval = time.Second
)

// acceptance is a submission that is being recorded.
type acceptance struct {
	done chan struct{}
	// err is set once done is closed.
	err error
}

// Submit accepts a job once. It returns when the job is recorded; a job that
// comes again meanwhile shares the outcome.
func (m *Manager) Submit(ctx context.Context, s Submission) error {
	if m.refusing() {
		return verdict.New(verdict.NotRun, verdict.CodeDraining, "The host is stopping.").WithRetryAfter(unsurePause)
	}
	m.mu.Lock()
	if m.knowsLocked(s.ID) {
		m.mu.Unlock()
		return nil
	}
	a, joined := m.accepting[s.ID]
	if !joined {
		a = &acceptance{done: make(chan struct{})}
		m.accepting[s.ID] = a
	}
	m.mu.Unlock()
	if !joined {
		go m.accept(context.WithoutCancel(ctx), s, a)
	}
	select {
	case <-a.done:
		return a.err
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeCancelled, "The caller has left.")
	}
}

func (m *Manager) refusing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping
}

// knowsLocked reports whether a job is known to have been accepted. The lock is
// held.
func (m *Manager) knowsLocked(id string) bool {
	_, owned := m.jobs[id]
	_, other := m.owners[id]
	return owned || other
}

// accept records a job and tells those who wait for it.
func (m *Manager) accept(ctx context.Context, s Submission, a *acceptance) {
	a.err = m.recordSubmission(ctx, s)
	m.mu.Lock()
	delete(m.accepting, s.ID)
	m.mu.Unlock()
	close(a.done)
}

// recordSubmission records a job, and sees to what is left open when its outcome
// stays unknown.
func (m *Manager) recordSubmission(ctx context.Context, s Submission) error {
	if err := m.probe(ctx, s.ID); err != nil {
		return err
	}
	head := m.newHead(&s)
	req, err := newJobRequest(head, s.Items)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "The job can't be recorded.")
	}
	rev, err := m.record(ctx, req, head)
	switch {
	case err == nil:
		m.accepted(head, rev, s.Items)
		return nil
	case errors.Is(err, txn.ErrConflict):
		go m.meetAccepted(s.ID)
		return nil
	case verdict.Of(err) != verdict.NotRun:
		go m.awaitLate(head, s.Items)
	}
	return err
}

// meetAccepted ensures that a job that was accepted before has an owner.
func (m *Manager) meetAccepted(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	log := m.Log.WithField("job", id)
	log.Info("job was accepted before")
	head, _, err := m.load(ctx, id)
	if err != nil {
		log.WithError(err).Warn("owner of an accepted job not read")
		return
	}
	m.ensureOwner(ctx, head)
}

// probe refuses a job while the store is away. Nothing has been sent then whose
// outcome could be unknown.
func (m *Manager) probe(ctx context.Context, id string) error {
	if !m.StoreUnavailable() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := m.Store.Get(ctx, headKey(id)); err != nil && !errors.Is(err, txn.ErrNotFound) {
		return errNotRecorded(err)
	}
	return nil
}

func errNotRecorded(err error) error {
	return verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "The job can't be recorded now.").WithRetryAfter(awayPause)
}

func (m *Manager) newHead(s *Submission) *Head {
	self := m.View.Self()
	return &Head{
		ID: s.ID, Owner: self.Name, Incarnation: self.Incarnation, DataCentre: self.DataCentre, RouteHost: s.Host, RoutePrefix: s.Prefix,
		CreatedMs: m.Clock.Now().UnixMilli(), RunTargetMs: s.RunTarget.Milliseconds(), RetentionMs: s.Retention.Milliseconds(),
		ItemCount: len(s.Items), WriteSeq: 1,
	}
}

func (m *Manager) accepted(head *Head, rev txn.Rev, items []Item) {
	m.adopt(newJob(*head, rev, items, nil))
	m.Log.WithFields(logrus.Fields{"job": head.ID, "items": len(items), "rev": rev, "due": head.due()}).Info("job accepted")
	go m.announce(head.ID)
}

// newJobRequest returns the transaction that records a new job.
func newJobRequest(head *Head, items []Item) (txn.Request, error) {
	chunks, err := itemChunks(items)
	if err != nil {
		return txn.Request{}, err
	}
	if len(chunks)+1 > txn.MaxEntries {
		return txn.Request{}, errors.New("the job is too large")
	}
	head.ItemChunks = len(chunks)
	req := txn.Request{If: []txn.Condition{{Key: headKey(head.ID)}}}
	value, err := cbor.Marshal(head)
	if err != nil {
		return txn.Request{}, errors.Wrap(err, "encode head")
	}
	req.Writes = append(req.Writes, txn.Write{Key: headKey(head.ID), Value: value})
	for n, chunk := range chunks {
		req.Writes = append(req.Writes, txn.Write{Key: itemKey(head.ID, n), Value: chunk})
	}
	return req, nil
}

// record writes the head of a job with this host as its owner. After a lost
// answer the same transaction is sent again: at most one of them takes effect,
// and the head tells whose it was.
func (m *Manager) record(ctx context.Context, req txn.Request, head *Head) (txn.Rev, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	pause := newRetryPause()
	unknown := false
	for {
		rev, err := m.Store.Commit(ctx, req)
		switch {
		case err == nil:
			return rev, nil
		case errors.Is(err, txn.ErrConflict) && unknown:
			return m.whose(ctx, head)
		case errors.Is(err, txn.ErrConflict):
			return 0, err
		case !errors.Is(err, txn.ErrUnknown) && !unknown:
			return 0, errNotRecorded(err)
		}
		unknown = true
		select {
		case <-m.Clock.After(pause.NextBackOff()):
		case <-ctx.Done():
			return 0, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeTimeout, "It is not known whether the job was recorded.")
		}
	}
}

// whose tells an own write whose answer was lost from that of another host.
func (m *Manager) whose(ctx context.Context, head *Head) (txn.Rev, error) {
	found, err := m.Store.Get(ctx, headKey(head.ID))
	if err != nil {
		return 0, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeTimeout, "It is not known whether the job was recorded.")
	}
	other, err := decodeHead(found)
	if err != nil {
		return 0, err
	}
	if !other.sameWrite(head) {
		return 0, txn.ErrConflict
	}
	return found.Rev, nil
}

// awaitLate looks for a job whose acceptance may still take effect.
func (m *Manager) awaitLate(head *Head, items []Item) {
	for end := m.Clock.Now().Add(lateWindow); m.Clock.Now().Before(end); {
		m.Clock.Sleep(lateInterval)
		ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
		found, err := m.Store.Get(ctx, headKey(head.ID))
		cancel()
		if err != nil {
			continue
		}
		other, err := decodeHead(found)
		if err != nil || !other.sameWrite(head) {
			return
		}
		m.accepted(head, found.Rev, items)
		return
	}
	m.Log.WithField("job", head.ID).Info("no acceptance has taken effect late")
}

// owns reports whether this host owns a job or is about to.
func (m *Manager) owns(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, owned := m.jobs[id]
	_, accepting := m.accepting[id]
	return owned || accepting
}
