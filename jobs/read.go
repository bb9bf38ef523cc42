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

// Results returns results from a position on. Without any it waits for one.
func (m *Manager) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	if page, ok := m.ownResults(ctx, id, after, wait); ok {
		return page, nil
	}
	var reply ReadReply
	asked, err := m.askOwner(ctx, id, "Read", ReadArgs{ID: id, After: after, Wait: wait}, &reply, wait)
	if err != nil {
		return Page{}, err
	}
	if asked && reply.Owned {
		return reply.Page, nil
	}
	return m.storedResults(ctx, id, after)
}

// ownResults answers for a job of this host.
func (m *Manager) ownResults(ctx context.Context, id string, after int, wait time.Duration) (Page, bool) {
	timer := m.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		j, ok := m.jobs[id]
		if !ok || j.lost {
			m.mu.Unlock()
			return Page{}, false
		}
		page := Page{Total: j.head.ItemCount, Results: pageOf(j.results, after)}
		changed := j.changed
		complete := len(j.results) == j.head.ItemCount || j.head.Ended
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

// pageOf returns the results from a position on, at least one if there is any.
func pageOf(results []Result, after int) []Result {
	if after >= len(results) || after < 0 {
		return nil
	}
	size := 0
	for i, r := range results[after:] {
		size += len(r.Output)
		if i > 0 && size > pageBytes {
			return results[after : after+i]
		}
	}
	return results[after:]
}

// askOwner calls the host that owns a job. It reports whether the owner, who
// may be known wrongly, answered.
func (m *Manager) askOwner(ctx context.Context, id, method string, args, reply any, wait time.Duration) (bool, error) {
	m.mu.Lock()
	owner, known := m.owners[id]
	m.mu.Unlock()
	if !known {
		head, _, err := m.load(ctx, id)
		if err != nil {
			return false, err
		}
		owner = head.Owner
		m.mu.Lock()
		m.owners[id] = owner
		m.mu.Unlock()
	}
	h, ok := m.host(owner)
	if !ok || h.Name == m.View.Self().Name {
		m.forgetOwner(id)
		return false, nil
	}
	bound, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	if err := m.Peers.Call(bound, h.PeerAddress, PeerName+"."+method, args, reply); err != nil {
		m.Log.WithError(err).WithField("job", id).WithField("peer", owner).Warn("owner of a job doesn't answer")
		m.forgetOwner(id)
		return false, nil
	}
	return true, nil
}

func (m *Manager) forgetOwner(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.owners, id)
}

func (m *Manager) host(name string) (membership.Host, bool) {
	for _, h := range membership.All(m.View) {
		if h.Name == name {
			return h, true
		}
	}
	return membership.Host{}, false
}

// load reads the head of a job.
func (m *Manager) load(ctx context.Context, id string) (*Head, txn.Rev, error) {
	found, err := m.Store.Get(ctx, headKey(id))
	if errors.Is(err, txn.ErrNotFound) {
		return nil, 0, errUnknownJob()
	}
	if err != nil {
		return nil, 0, errUnsure(err)
	}
	head, err := decodeHead(found)
	if err != nil {
		return nil, 0, errUnsure(err)
	}
	return head, found.Rev, nil
}

// storedResults reads results from the store, for a job whose owner is away.
func (m *Manager) storedResults(ctx context.Context, id string, after int) (Page, error) {
	head, _, err := m.load(ctx, id)
	if err != nil {
		return Page{}, err
	}
	if head.open() {
		m.findOwner(head)
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
		return Page{}, errUnsure(err)
	}
	page.Results = pageOf(chunk, after-head.ChunkStarts[n])
	return page, nil
}

func (m *Manager) resultChunk(ctx context.Context, id string, n int) ([]Result, error) {
	found, err := m.Store.Get(ctx, resultKey(id, n))
	if err != nil {
		return nil, err
	}
	var chunk []Result
	return chunk, errors.Wrapf(cbor.Unmarshal(found.Value, &chunk), "decode results %d of job %s", n, id)
}

// Body returns the body of an item.
func (m *Manager) Body(ctx context.Context, id, itemID string) ([]byte, error) {
	if body, ok := m.ownBody(id, itemID); ok {
		return body, nil
	}
	var reply BodyReply
	if _, err := m.askOwner(ctx, id, "Body", BodyArgs{ID: id, Item: itemID}, &reply, 0); err != nil {
		return nil, err
	}
	if reply.Found {
		return reply.Body, nil
	}
	head, _, err := m.load(ctx, id)
	if err != nil {
		return nil, err
	}
	items, err := m.storedItems(ctx, head)
	if err != nil {
		return nil, errUnsure(err)
	}
	for _, it := range items {
		if it.ID == itemID {
			return it.Body, nil
		}
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "The job has no such item.")
}

func (m *Manager) ownBody(id, itemID string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j, ok := m.jobs[id]
	if !ok {
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

// End ends a job: no item begins to run after it returns.
func (m *Manager) End(ctx context.Context, id string) error {
	if done, err := m.endOwn(ctx, id); done || err != nil {
		return err
	}
	// The first owner may be known wrongly; the second is read from the store.
	for range 2 {
		var reply EndReply
		asked, err := m.askOwner(ctx, id, "End", EndArgs{ID: id}, &reply, acceptTimeout)
		if err != nil {
			return err
		}
		if reply.Ended {
			return nil
		}
		if asked {
			m.forgetOwner(id)
		}
	}
	return m.endStored(ctx, id)
}

// endOwn ends a job of this host and waits until that is recorded.
func (m *Manager) endOwn(ctx context.Context, id string) (bool, error) {
	m.mu.Lock()
	j, ok := m.jobs[id]
	if !ok {
		m.mu.Unlock()
		return false, nil
	}
	if !j.head.Ended {
		j.ending = true
	}
	m.mu.Unlock()
	m.stopRuns(j)
	signal(m.dirty)
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	for {
		m.mu.Lock()
		ended, lost, changed := j.head.Ended, j.lost, j.changed
		m.mu.Unlock()
		if ended || lost {
			return ended, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false, errUnsure(ctx.Err())
		}
	}
}

// HandleEndMarks takes marks of jobs that were ended without their owner. The owner
// stops, and removes the mark.
func (m *Manager) HandleEndMarks(ctx context.Context, marks []txn.Item) {
	for _, mark := range marks {
		id := strings.TrimPrefix(mark.Key, endedPrefix)
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
			go m.tellOwner(ctx, id)
			continue
		}
		m.stopRuns(j)
		m.Log.WithFields(logrus.Fields{"job": id, "rev": mark.Rev}).Info("job was ended at another host")
		if _, err := m.Store.Commit(ctx, txn.Request{Remove: []string{mark.Key}}); err != nil {
			m.Log.WithError(err).WithField("job", id).Warn("mark of an ended job not removed")
		}
	}
}

// tellOwner tells the owner that the store names of the end of its job.
func (m *Manager) tellOwner(ctx context.Context, id string) {
	m.forgetOwner(id)
	var reply EndReply
	asked, err := m.askOwner(ctx, id, "End", EndArgs{ID: id}, &reply, acceptTimeout)
	m.Log.WithError(err).WithFields(logrus.Fields{"job": id, "asked": asked, "ended": reply.Ended}).Info("owner told of the end of its job")
}

// endStored records the end of a job whose owner doesn't answer. The owner
// meets the change at its next write.
func (m *Manager) endStored(ctx context.Context, id string) error {
	for {
		head, rev, err := m.load(ctx, id)
		if err != nil {
			return err
		}
		if head.Ended {
			return nil
		}
		head.Ended = true
		value, err := cbor.Marshal(head)
		if err != nil {
			return errors.Wrap(err, "encode head")
		}
		_, err = m.Store.Commit(ctx, txn.Request{
			If:     []txn.Condition{{Key: headKey(id), Rev: rev}},
			Writes: []txn.Write{{Key: headKey(id), Value: value}, {Key: endedPrefix + id}},
		})
		if err == nil {
			m.Log.WithFields(logrus.Fields{"job": id, "owner": head.Owner}).Warn("job ended without its owner")
			return nil
		}
		if !errors.Is(err, txn.ErrConflict) {
			return errUnsure(err)
		}
	}
}
