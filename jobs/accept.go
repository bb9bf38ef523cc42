package jobs

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/jobs/backlog"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Timeouts and intervals of the acceptance of jobs.
const (
	// acceptTimeout bounds the wait until the acceptance is recorded.
	acceptTimeout = 3500 * time.Millisecond
	// probeTimeout bounds the read that checks whether an unavailable store
	// answers again.
	probeTimeout = 150 * time.Millisecond
	// unavailableRetryAfter is the Retry-After sent to callers while the store is
	// unavailable. Callers wait up to a third of the time that they have left.
	unavailableRetryAfter = 1300 * time.Millisecond
	// lateWriteWindow is how long a write whose reply was lost may take to take
	// effect. The head record is polled for it every lateWriteInterval.
	lateWriteWindow   = 10 * time.Second
	lateWriteInterval = time.Second
)

// acceptance is a submission that is being recorded.
type acceptance struct {
	done chan struct{}
	// customer is the customer that submits the job.
	customer string
	// bodyBytes is the size of the bodies of all items.
	bodyBytes int64
	// err may be read once done is closed.
	err error
}

// Submit accepts a job and returns once it is recorded. Submitting a job again has
// no effect; if the first submission is still being recorded, both get its
// outcome.
func (m *Manager) Submit(ctx context.Context, s Submission) error {
	for {
		m.mu.Lock()
		if m.stopping {
			m.mu.Unlock()
			return verdict.New(verdict.NotRun, verdict.CodeDraining, "The host is stopping.").WithRetryAfter(retryAfter)
		}
		if customer, known := m.customerOfLocked(s.ID); known {
			m.mu.Unlock()
			if !s.Access.allows(customer) {
				return errUnknownJob()
			}
			return nil
		}
		a, joined := m.accepting[s.ID]
		if !joined {
			a = &acceptance{done: make(chan struct{}), customer: s.owner(), bodyBytes: s.bodyBytes()}
			if m.MaxBodyBytes > 0 && m.heldBodyBytes()+a.bodyBytes > m.MaxBodyBytes {
				m.mu.Unlock()
				return verdict.New(verdict.NotRun, verdict.CodeHostFull, "The host has no memory for the bodies of the job.").WithRetryAfter(retryAfter)
			}
			m.accepting[s.ID] = a
		}
		m.mu.Unlock()
		if !joined {
			go m.accept(context.WithoutCancel(ctx), s, a)
		}
		select {
		case <-a.done:
			if a.customer == s.owner() {
				return a.err
			}
			// Another customer's submission has ended. If it is recorded, the next pass
			// finds that out.
		case <-ctx.Done():
			return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeCancelled, "The caller has left.")
		}
	}
}

// heldBodyBytes returns the size of the bodies of all jobs that this host owns or is accepting.
// m.mu must be held.
func (m *Manager) heldBodyBytes() int64 {
	var sum int64
	for _, j := range m.jobs {
		sum += j.bodyBytes
	}
	for _, a := range m.accepting {
		sum += a.bodyBytes
	}
	return sum
}

// awaitAcceptances waits until no submission is being recorded, or until ctx ends. It reports
// whether there were any.
func (m *Manager) awaitAcceptances(ctx context.Context) bool {
	m.mu.Lock()
	accepting := slices.Collect(maps.Values(m.accepting))
	m.mu.Unlock()
	for _, a := range accepting {
		select {
		case <-a.done:
		case <-ctx.Done():
			return true
		}
	}
	return len(accepting) > 0
}

func (m *Manager) isStopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping
}

// customerOfLocked reports whether the job is known to be accepted, and whose it is. m.mu
// must be held.
func (m *Manager) customerOfLocked(id string) (customer string, known bool) {
	if j, owned := m.jobs[id]; owned {
		return j.head.Customer, true
	}
	owner, cached := m.cachedOwners[id]
	return owner.customer, cached
}

// accept records a job and releases the submissions that wait for it.
func (m *Manager) accept(ctx context.Context, s Submission, a *acceptance) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	unlock, err := m.lockOwner(ctx, s.ID)
	if err != nil {
		a.err = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeTimeout, "It is not known whether the job was recorded.")
	} else {
		a.err = m.recordSubmission(ctx, s)
		unlock()
	}
	m.mu.Lock()
	delete(m.accepting, s.ID)
	m.mu.Unlock()
	close(a.done)
}

// recordSubmission records a job. If the job is already recorded, or if the
// outcome of the write is unknown, the rest is done in the background.
func (m *Manager) recordSubmission(ctx context.Context, s Submission) error {
	if err := m.probeStore(ctx, s.ID); err != nil {
		return err
	}
	head := m.newHead(&s)
	for {
		permit, err := m.backlog.Admit(ctx, m.backlogRequest(&s))
		if errors.Is(err, backlog.ErrAccepted) {
			return m.resolveAccepted(ctx, &s)
		}
		if err != nil {
			return err
		}
		rev, err := m.commitAcceptance(ctx, head, s.Items, permit)
		switch {
		case err == nil:
			m.startAccepted(head, rev, s.Items)
			return nil
		case errors.Is(err, errPermitOutdated):
			continue
		case errors.Is(err, txn.ErrConflict):
			return m.resolveAccepted(ctx, &s)
		case verdict.Of(err) != verdict.NotRun:
			go m.awaitLateWrite(head, s.Items)
		}
		return err
	}
}

// errPermitOutdated means that a job is not recorded and needs a new permit:
// another host changed the route's backlog record. Late copies of the transaction
// can't take effect either.
var errPermitOutdated = errors.New("backlog record has changed")

// commitAcceptance commits the transaction that records a job. It returns
// txn.ErrConflict if the job is already recorded.
func (m *Manager) commitAcceptance(ctx context.Context, head *Head, items []Item, permit backlog.Permit) (txn.Rev, error) {
	req, err := newJobRequest(head, items, permit)
	if err != nil {
		return 0, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "The job can't be recorded.")
	}
	rev, err := m.commitAsOwner(ctx, req, head)
	if err == nil {
		m.backlog.Accepted(permit, rev)
		return rev, nil
	}
	m.backlog.Failed(permit, err)
	if errors.Is(err, txn.ErrConflict) && permit.Limited() {
		recorded, readErr := m.isRecorded(ctx, head.ID, err)
		switch {
		case readErr != nil:
			// The conflict may be that the job is recorded already.
			return 0, verdict.Wrap(readErr, verdict.MayHaveRun, verdict.CodeTimeout, "It is not known whether the job was recorded.")
		case !recorded:
			return 0, errPermitOutdated
		}
	}
	return 0, err
}

// isRecorded reports whether a job is recorded, after a conflict.
func (m *Manager) isRecorded(ctx context.Context, id string, err error) (bool, error) {
	var conflict *txn.ConflictError
	if errors.As(err, &conflict) {
		if item, ok := conflict.Item(headKey(id)); ok {
			return item.Rev != 0, nil
		}
	}
	return m.isStored(ctx, id)
}

// IsAccepted reports whether there is a job that a call may reach.
func (m *Manager) IsAccepted(ctx context.Context, a Access, id string) (bool, error) {
	m.mu.Lock()
	customer, known := m.customerOfLocked(id)
	m.mu.Unlock()
	if known {
		return a.allows(customer), nil
	}
	_, _, err := m.loadHeadFor(ctx, a, id)
	if err != nil && verdict.As(err).Code == verdict.CodeNotFound {
		return false, nil
	}
	return err == nil, err
}

// isStored reads whether a job is recorded.
func (m *Manager) isStored(ctx context.Context, id string) (bool, error) {
	_, err := m.Store.Get(ctx, headKey(id))
	if errors.Is(err, txn.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// resolveAccepted returns the outcome of the submission of a job that is recorded already,
// maybe by another customer.
func (m *Manager) resolveAccepted(ctx context.Context, s *Submission) error {
	if !s.Access.Restricted {
		go m.ensureAcceptedOwner(s.ID)
		return nil
	}
	head, _, err := m.loadHead(ctx, s.ID)
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeTimeout, "It is not known whose job was recorded.")
	}
	if !s.Access.allows(head.Customer) {
		return errUnknownJob()
	}
	m.Log.WithField("job", s.ID).Info("job is already accepted")
	m.ensureOwnerAsync(head)
	return nil
}

// ensureAcceptedOwner ensures that a job that was already accepted has an owner.
func (m *Manager) ensureAcceptedOwner(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	log := m.Log.WithField("job", id)
	log.Info("job is already accepted")
	head, _, err := m.loadHead(ctx, id)
	if err != nil {
		log.WithError(err).Warn("cannot read head record of accepted job")
		return
	}
	m.ensureOwner(ctx, head)
}

// probeStore returns an error if the store is unavailable. The job is then
// rejected before a write is sent whose outcome could be unknown.
func (m *Manager) probeStore(ctx context.Context, id string) error {
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
	return verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "The job can't be recorded now.").WithRetryAfter(unavailableRetryAfter)
}

func (m *Manager) newHead(s *Submission) *Head {
	self := m.View.Self()
	head := &Head{
		ID: s.ID, Owner: self.Name, Incarnation: self.Incarnation, DataCentre: self.DataCentre, RouteHost: s.Host, RoutePrefix: s.Prefix,
		CreatedMs: m.Clock.Now().UnixMilli(), RunTargetMs: s.RunTarget.Milliseconds(), RetentionMs: s.Retention.Milliseconds(),
		ItemCount: len(s.Items), Tokens: s.tokens(), WaitingTokens: s.tokens(),
		MeanRunMs: m.meanRunTime(routeKey{s.Host, s.Prefix}).Milliseconds(), Customer: s.owner(),
	}
	head.nextWrite()
	return head
}

func (m *Manager) startAccepted(head *Head, rev txn.Rev, items []Item) {
	m.addOwned(newJob(*head, rev, items, nil))
	m.Log.WithFields(logrus.Fields{"job": head.ID, "customer": head.Customer, "items": len(items), "rev": rev, "due": head.due()}).Info("job accepted")
	go m.announce(AnnounceArgs{ID: head.ID, Customer: head.Customer, Rev: rev}, "")
}

// newJobRequest returns the transaction that creates a job's records with a permit.
func newJobRequest(head *Head, items []Item, permit backlog.Permit) (txn.Request, error) {
	chunks, err := encodeItems(items)
	if err != nil {
		return txn.Request{}, err
	}
	head.ItemChunks = len(chunks)
	if err := head.check(); err != nil {
		return txn.Request{}, err
	}
	req := txn.Request{If: []txn.Condition{{Key: headKey(head.ID)}}}
	value, err := cbor.Marshal(head)
	if err != nil {
		return txn.Request{}, errors.Wrap(err, "encode head record")
	}
	req.Writes = append(req.Writes, txn.Write{Key: headKey(head.ID), Value: value})
	for n, chunk := range chunks {
		req.Writes = append(req.Writes, txn.Write{Key: itemKey(head.ID, n), Value: chunk})
	}
	permit.AddTo(&req)
	if len(req.If)+len(req.Writes) > txn.MaxEntries {
		return txn.Request{}, errors.New("job needs more chunks than one transaction can write")
	}
	return req, nil
}

// commitAsOwner commits a transaction that writes a head record with this host as
// the owner. If the reply is lost, the same transaction is sent again until ctx
// ends: at most one of the copies takes effect, and the stored head record shows
// whether one did.
func (m *Manager) commitAsOwner(ctx context.Context, req txn.Request, head *Head) (txn.Rev, error) {
	pause := newWriteBackOff()
	unknown := false
	for {
		rev, err := m.Store.Commit(ctx, req)
		switch {
		case err == nil:
			return rev, nil
		case errors.Is(err, txn.ErrConflict) && unknown:
			return m.confirmOwnWrite(ctx, head)
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

// confirmOwnWrite returns the revision of head if the store holds it: an earlier
// copy of the transaction has then taken effect. Otherwise another condition of it
// no longer holds, and it returns txn.ErrConflict.
func (m *Manager) confirmOwnWrite(ctx context.Context, head *Head) (txn.Rev, error) {
	found, err := m.Store.Get(ctx, headKey(head.ID))
	if errors.Is(err, txn.ErrNotFound) {
		return 0, txn.ErrConflict
	}
	if err != nil {
		return 0, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeTimeout, "It is not known whether the job was recorded.")
	}
	stored, err := decodeHead(found)
	if err != nil {
		return 0, err
	}
	if !stored.sameWrite(head) {
		return 0, txn.ErrConflict
	}
	// Another host may have recorded the end of the job since.
	head.Ended = stored.Ended
	return found.Rev, nil
}

// awaitLateWrite polls for the acceptance of a job whose write may still take
// effect, and starts the job if it does.
func (m *Manager) awaitLateWrite(head *Head, items []Item) {
	for end := m.Clock.Now().Add(lateWriteWindow); m.Clock.Now().Before(end); {
		m.Clock.Sleep(lateWriteInterval)
		if m.startLateAcceptance(head, items) {
			return
		}
	}
	m.Log.WithField("job", head.ID).Info("unconfirmed acceptance of job has not taken effect")
}

// startLateAcceptance starts a job whose acceptance was unconfirmed, if its write has
// taken effect. It reports whether the outcome is known now.
func (m *Manager) startLateAcceptance(head *Head, items []Item) bool {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	unlock, err := m.lockOwner(ctx, head.ID)
	if err != nil {
		return false
	}
	defer unlock()
	if m.runsJob(head.ID) {
		return true
	}
	found, err := m.Store.Get(ctx, headKey(head.ID))
	if err != nil {
		return false
	}
	stored, err := decodeHead(found)
	if err != nil || !stored.sameWrite(head) {
		return true
	}
	m.startAccepted(stored, found.Rev, items)
	return true
}

// owns reports whether this host owns a job or is recording its acceptance.
func (m *Manager) owns(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, owned := m.jobs[id]
	_, accepting := m.accepting[id]
	return owned || accepting
}
