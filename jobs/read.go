package jobs

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Results returns results of a job from position after on. If there are none it
// waits for one.
func (m *Manager) Results(ctx context.Context, a Access, id string, after int, wait time.Duration) (Page, error) {
	if page, ok := m.localResults(ctx, a, id, after, wait); ok {
		return page, nil
	}
	var reply ReadReply
	answered, err := m.callOwner(ctx, id, "Read", ReadArgs{ID: id, Access: a, After: after, Wait: wait}, &reply, wait)
	if err != nil {
		return Page{}, err
	}
	if answered && reply.Owned {
		return reply.Page, nil
	}
	return m.storedResults(ctx, a, id, after)
}

// localResults returns results of a job if this host owns it and the call may reach it.
func (m *Manager) localResults(ctx context.Context, a Access, id string, after int, wait time.Duration) (Page, bool) {
	timer := m.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		j, ok := m.jobs[id]
		if !ok || j.disowned || !a.allows(j.head.Customer) {
			m.mu.Unlock()
			return Page{}, false
		}
		page := Page{Total: j.head.ItemCount, Results: resultPage(j.recorded, after)}
		changed := j.changed
		complete := len(j.recorded) == j.head.ItemCount || j.head.Ended
		m.mu.Unlock()
		if len(page.Results) > 0 || complete || wait <= 0 {
			return page, true
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return page, true
		case <-ctx.Done():
			return page, true
		}
	}
}

// resultPage returns results from a position on, as many as maxPageBytes allows
// and at least one if there is any.
func resultPage(results []Result, after int) []Result {
	if after >= len(results) || after < 0 {
		return nil
	}
	size := 0
	for i, r := range results[after:] {
		size += len(r.Output)
		if i > 0 && size > maxPageBytes {
			return results[after : after+i]
		}
	}
	return results[after:]
}

// callOwner calls the owner of a job. It reports whether the called host answered;
// that host may not be the owner any more if the cached owner is out of date.
func (m *Manager) callOwner(ctx context.Context, id, method string, args, reply any, wait time.Duration) (bool, error) {
	m.mu.Lock()
	owner, known := m.cachedOwners[id]
	m.mu.Unlock()
	if !known {
		head, rev, err := m.loadHead(ctx, id)
		if err != nil {
			return false, err
		}
		owner = cachedOwner{head.Owner, head.Customer, rev}
		m.mu.Lock()
		m.cacheOwner(id, owner)
		m.mu.Unlock()
	}
	h, ok := m.findHost(owner.host)
	if !ok || h.Name == m.View.Self().Name {
		m.removeCachedOwner(id)
		return false, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	if err := m.Peers.Call(callCtx, h.PeerAddress, PeerName+"."+method, args, reply); err != nil {
		m.Log.WithError(err).WithField("job", id).WithField("peer", owner.host).Warn("call to owner of job failed")
		m.removeCachedOwner(id)
		return false, nil
	}
	return true, nil
}

func (m *Manager) removeCachedOwner(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.cachedOwners, id)
}

func (m *Manager) findHost(name string) (membership.Host, bool) {
	for _, h := range membership.All(m.View) {
		if h.Name == name {
			return h, true
		}
	}
	return membership.Host{}, false
}

// loadHead reads the head record of a job.
func (m *Manager) loadHead(ctx context.Context, id string) (*Head, txn.Rev, error) {
	found, err := m.Store.Get(ctx, headKey(id))
	if errors.Is(err, txn.ErrNotFound) {
		return nil, 0, errUnknownJob()
	}
	if err != nil {
		return nil, 0, errStoreUnavailable(err)
	}
	head, err := decodeHead(found)
	if err != nil {
		return nil, 0, errStoreUnavailable(err)
	}
	return head, found.Rev, nil
}

// loadHeadFor is loadHead for a call that may not reach all jobs.
func (m *Manager) loadHeadFor(ctx context.Context, a Access, id string) (*Head, txn.Rev, error) {
	head, rev, err := m.loadHead(ctx, id)
	if err == nil && !a.allows(head.Customer) {
		return nil, 0, errUnknownJob()
	}
	return head, rev, err
}

// storedResults reads results from the store, for a job whose owner can't be
// reached.
func (m *Manager) storedResults(ctx context.Context, a Access, id string, after int) (Page, error) {
	head, _, err := m.loadHeadFor(ctx, a, id)
	if err != nil {
		return Page{}, err
	}
	if head.open() {
		m.ensureOwnerAsync(head)
	}
	page := Page{Total: head.ItemCount}
	if after >= head.ResultCount {
		return page, nil
	}
	n := len(head.ChunkStarts) - 1
	for n > 0 && head.ChunkStarts[n] > after {
		n--
	}
	chunk, err := m.resultChunk(ctx, id, n)
	if err != nil {
		return Page{}, errStoreUnavailable(err)
	}
	page.Results = resultPage(chunk, after-head.ChunkStarts[n])
	return page, nil
}

func (m *Manager) resultChunk(ctx context.Context, id string, n int) ([]Result, error) {
	found, err := m.Store.Get(ctx, resultKey(id, n))
	if err != nil {
		return nil, err
	}
	return decodeResults(found.Value, id, n)
}

// resultDecoding accepts any bytes in strings: outputs are recorded as replicas sent them,
// and one that is not UTF-8 must not make the other results of its chunk unreadable.
var resultDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func decodeResults(value []byte, id string, n int) ([]Result, error) {
	var chunk []Result
	err := resultDecoding.Unmarshal(value, &chunk)
	return chunk, errors.Wrapf(err, "decode results %d of job %s", n, id)
}

// Body returns the request body of an item.
func (m *Manager) Body(ctx context.Context, a Access, id, itemID string) ([]byte, error) {
	if body, ok := m.localBody(a, id, itemID); ok {
		return body, nil
	}
	var reply BodyReply
	if _, err := m.callOwner(ctx, id, "Body", BodyArgs{ID: id, Item: itemID, Access: a}, &reply, 0); err != nil {
		return nil, err
	}
	if reply.Found {
		return reply.Body, nil
	}
	head, _, err := m.loadHeadFor(ctx, a, id)
	if err != nil {
		return nil, err
	}
	items, err := m.storedItems(ctx, head)
	if err != nil {
		return nil, errStoreUnavailable(err)
	}
	for _, it := range items {
		if it.ID == itemID {
			return it.Body, nil
		}
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "The job has no such item.")
}

func (m *Manager) localBody(a Access, id, itemID string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j, ok := m.jobs[id]
	if !ok || !a.allows(j.head.Customer) {
		return nil, false
	}
	for _, it := range j.items {
		if it.ID == itemID && it.Body != nil {
			return it.Body, true
		}
	}
	return nil, false
}

func (m *Manager) storedItems(ctx context.Context, head *Head) ([]Item, error) {
	var items []Item
	for n := range head.ItemChunks {
		found, err := m.Store.Get(ctx, itemKey(head.ID, n))
		if err != nil {
			return nil, err
		}
		var chunk []Item
		if err := cbor.Unmarshal(found.Value, &chunk); err != nil {
			return nil, errors.Wrapf(err, "decode items of job %s", head.ID)
		}
		items = append(items, chunk...)
	}
	return items, nil
}

// End ends a job. No item starts after it returns.
func (m *Manager) End(ctx context.Context, a Access, id string) error {
	if done, err := m.endLocal(ctx, a, id); done || err != nil {
		return err
	}
	// The cached owner of the first try may be out of date; the second try
	// reads the owner from the store.
	for range 2 {
		var reply EndReply
		answered, err := m.callOwner(ctx, id, "End", EndArgs{ID: id, Access: a}, &reply, acceptTimeout)
		if err != nil {
			return err
		}
		if reply.Ended {
			return nil
		}
		if answered {
			m.removeCachedOwner(id)
		}
	}
	return m.endInStore(ctx, a, id)
}

// endLocal ends a job of this host, if the call may reach it, and waits until the end is
// recorded.
func (m *Manager) endLocal(ctx context.Context, a Access, id string) (bool, error) {
	m.mu.Lock()
	j, ok := m.jobs[id]
	if !ok || !a.allows(j.head.Customer) {
		m.mu.Unlock()
		return false, nil
	}
	if !j.head.Ended {
		j.endRequested = true
	}
	m.mu.Unlock()
	m.cancelRuns(j)
	signal(m.flushRequested)
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	for {
		m.mu.Lock()
		ended, disowned, changed := j.head.Ended, j.disowned, j.changed
		m.mu.Unlock()
		if ended || disowned {
			return ended, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false, errEndUnknown(ctx.Err())
		}
	}
}

// HandleEndMarks processes end marks. The owner of the job stops its runs and
// removes the mark, other hosts forward the end to the owner.
func (m *Manager) HandleEndMarks(ctx context.Context, marks []txn.Item) {
	for _, mark := range marks {
		id := strings.TrimPrefix(mark.Key, endMarkPrefix)
		m.mu.Lock()
		j, own := m.jobs[id]
		if own && !mark.Deleted {
			j.head.Ended = true
		}
		m.mu.Unlock()
		if mark.Deleted {
			continue
		}
		if !own {
			go m.notifyOwnerOfEnd(ctx, id)
			continue
		}
		m.cancelRuns(j)
		m.Log.WithFields(logrus.Fields{"job": id, "rev": mark.Rev}).Info("job was ended by another host")
		if _, err := m.Store.Commit(ctx, txn.Request{Remove: []string{mark.Key}}); err != nil {
			m.Log.WithError(err).WithField("job", id).Warn("cannot remove end mark of job")
		}
	}
}

// notifyOwnerOfEnd notifies the owner in the head record that its job was ended. It tries
// again for a while: the owner may be alive although this host doesn't see it now.
func (m *Manager) notifyOwnerOfEnd(ctx context.Context, id string) {
	log := m.Log.WithField("job", id)
	m.removeCachedOwner(id)
	owner := ""
	for range maxOwnerChecks {
		if owner == "" {
			head, _, err := m.loadHead(ctx, id)
			if err != nil && verdict.As(err).Code == verdict.CodeNotFound {
				return
			}
			if err == nil {
				owner = head.Owner
			}
		}
		if h, ok := m.findHost(owner); ok && m.forwardEnd(ctx, h, id) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-m.Clock.After(ownerCheckDelay):
		}
	}
	log.WithField("owner", owner).Warn("can't forward the end of a job to its owner")
}

// forwardEnd forwards the end of a job to its owner and reports whether that answered.
func (m *Manager) forwardEnd(ctx context.Context, owner membership.Host, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout+peerTimeout)
	defer cancel()
	var reply EndReply
	err := m.Peers.Call(ctx, owner.PeerAddress, PeerName+".End", EndArgs{ID: id}, &reply)
	m.Log.WithError(err).WithFields(logrus.Fields{"job": id, "owner": owner.Name, "ended": reply.Ended}).Info("forwarded end of job to its owner")
	return err == nil
}

// endInStore records the end of a job whose owner does not answer, with an end
// mark. The owner also finds the change when its next write conflicts.
func (m *Manager) endInStore(ctx context.Context, a Access, id string) error {
	for {
		head, rev, err := m.loadHeadFor(ctx, a, id)
		if err != nil {
			return err
		}
		if head.Ended {
			return nil
		}
		head.Ended = true
		value, err := cbor.Marshal(head)
		if err != nil {
			return errors.Wrap(err, "encode head record")
		}
		_, err = m.Store.Commit(ctx, txn.Request{
			If:     []txn.Condition{{Key: headKey(id), Rev: rev}},
			Writes: []txn.Write{{Key: headKey(id), Value: value}, {Key: endMarkPrefix + id}},
		})
		if err == nil {
			m.Log.WithFields(logrus.Fields{"job": id, "owner": head.Owner}).Warn("job ended in the store; its owner did not answer")
			return nil
		}
		if errors.Is(err, txn.ErrUnknown) {
			return errEndUnknown(err)
		}
		if !errors.Is(err, txn.ErrConflict) {
			return errStoreUnavailable(err)
		}
	}
}
