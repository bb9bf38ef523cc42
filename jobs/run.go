package jobs

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/forward"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
)

// readBytes is the size of the buffer for events.
const readBytes = 8 << 10

// Demand implements slots.Items: what waits for a place, by service. Other data
// centres are asked only for items that are due soon.
func (m *Manager) Demand(remote bool) []slots.DemandMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	byService := make(map[string]*slots.DemandMessage)
	for it, service := range m.pending(now) {
		left := it.job.head.due().Sub(now)
		if remote && left > spillSlack {
			continue
		}
		w, ok := byService[service]
		if !ok {
			w = &slots.DemandMessage{Service: service, DueIn: left}
			byService[service] = w
		}
		w.Items++
		if slots.CompareUrgency(left, w.DueIn) < 0 {
			w.DueIn = left
		}
	}
	wants := make([]slots.DemandMessage, 0, len(byService))
	for _, w := range byService {
		wants = append(wants, *w)
	}
	return wants
}

// pending yields the items that wait for a place with their services. The lock
// is held.
func (m *Manager) pending(now time.Time) func(yield func(*item, string) bool) {
	return func(yield func(*item, string) bool) {
		table := m.Table()
		if m.stopping || table == nil {
			return
		}
		for _, j := range m.jobs {
			if j.lost || j.ending || !j.head.open() {
				continue
			}
			for _, it := range j.items {
				if it.ended || it.running || now.Before(it.notBefore) {
					continue
				}
				rt := table.Match(j.head.RouteHost, it.Path)
				if rt != nil && !yield(it, rt.Service(it.ID)) {
					return
				}
			}
		}
	}
}

// Granted implements slots.Items: the most urgent item gets the place.
func (m *Manager) Granted(g slots.Grant) {
	m.mu.Lock()
	now := m.Clock.Now()
	var best *item
	for it, service := range m.pending(now) {
		if service != g.Replica.Service {
			continue
		}
		if best == nil || slots.CompareUrgency(it.job.head.due().Sub(now), best.job.head.due().Sub(now)) < 0 {
			best = it
		}
	}
	if best == nil {
		m.mu.Unlock()
		m.Slots.Release(g, slots.Unused)
		return
	}
	best.running = true
	ctx, cancel := context.WithCancel(context.Background())
	best.stop = cancel
	m.runs[g.ID] = cancel
	rt := m.Table().Match(best.job.head.RouteHost, best.Path)
	m.running.Add(1)
	m.mu.Unlock()
	go func() {
		defer m.running.Done()
		m.run(ctx, g, best, rt)
		cancel()
	}()
}

// Revoked implements slots.Items: the run ends and the item waits again.
func (m *Manager) Revoked(id slots.GrantID) {
	m.mu.Lock()
	cancel := m.runs[id]
	m.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// ending is how one run of an item ended.
type ending uint8

const (
	// endDone: the output is whole.
	endDone ending = iota
	// endInvalid: the item can never be done.
	endInvalid
	// endFailed: the replica answered that the run failed.
	endFailed
	// endTurnedAway: the replica did not run the item.
	endTurnedAway
	// endBroken: the exchange broke off.
	endBroken
	// endStopped: this host ended the run.
	endStopped
)

// String returns the name of the ending in logs.
func (e ending) String() string {
	return [...]string{"done", "invalid", "failed", "turned_away", "broken", "stopped"}[e]
}

// run runs an item once.
func (m *Manager) run(ctx context.Context, g slots.Grant, it *item, rt *route.Route) {
	end, outcome, err := m.exchange(ctx, g, it, rt)
	if ctx.Err() != nil && end != endDone {
		end, outcome = endStopped, slots.Unused
	}
	m.mu.Lock()
	delete(m.runs, g.ID)
	it.running = false
	events := len(it.texts)
	m.settle(it, rt, end)
	m.mu.Unlock()
	m.Slots.Release(g, outcome)
	m.Metrics.runs.WithLabelValues(end.String()).Inc()
	entry := m.Log.WithFields(logrus.Fields{
		"job": it.job.head.ID, "item": it.ID, "replica": g.Replica.ID, "end": end.String(),
		"events": events, "held_ms": m.Clock.Now().Sub(g.Since).Milliseconds(),
	})
	if err != nil && end != endStopped {
		entry = entry.WithError(err)
	}
	entry.Info("run of an item ended")
	signal(m.waiting)
}

// settle takes the end of a run. The lock is held.
func (m *Manager) settle(it *item, rt *route.Route, end ending) {
	switch end {
	case endDone:
		m.finish(it, Result{ID: it.ID, Done: true, Output: strings.Join(it.texts, "\n")})
		return
	case endInvalid:
		m.finish(it, Result{ID: it.ID})
		return
	case endFailed:
		it.failures++
		it.texts, it.lastID = nil, ""
		if it.failures >= rt.MaxAttempts {
			m.finish(it, Result{ID: it.ID})
			return
		}
	case endStopped:
		it.pauses = 0
		return
	case endTurnedAway, endBroken:
	}
	pause := min(runPause<<min(it.pauses, 6), maxRunPause)
	it.pauses++
	it.notBefore = m.Clock.Now().Add(pause)
	m.Clock.AfterFunc(pause, func() { signal(m.waiting) })
}

// finish takes the result of an item, to be recorded. The lock is held.
func (m *Manager) finish(it *item, r Result) {
	if it.ended || it.job.lost {
		return
	}
	it.ended = true
	it.texts = nil
	if len(it.job.fresh) == 0 {
		it.job.freshSince = m.Clock.Now()
	}
	it.job.fresh = append(it.job.fresh, r)
	signal(m.dirty)
}

// exchange sends an item to a replica and gathers its output.
func (m *Manager) exchange(ctx context.Context, g slots.Grant, it *item, rt *route.Route) (ending, slots.Outcome, error) {
	req := &forward.Request{
		ID: it.ID, Route: rt, Service: g.Replica.Service, Method: http.MethodPost, Target: it.Path,
		Host: it.job.head.RouteHost, Header: make(http.Header), Body: it.Body,
	}
	for name, value := range it.Headers {
		req.Header.Set(name, value)
	}
	ans, err := m.Upstream.Send(ctx, req, forward.SendArgs{Replica: g.Replica, LastEventID: it.lastID, FirstByteTimeout: runFirstByte, GapTimeout: runGap})
	if err != nil {
		return endBroken, outcomeOf(err), err
	}
	defer ans.Close()
	switch {
	case ans.Misdirected:
		return endTurnedAway, slots.Replaced, nil
	case ans.NotRun:
		return endTurnedAway, slots.Full, nil
	case !ans.Verified:
		return endBroken, slots.Failed, errors.New("the answer isn't signed by the replica")
	case ans.Status == http.StatusUnprocessableEntity:
		return endInvalid, slots.Done, nil
	case ans.Status == http.StatusInternalServerError:
		// Items that fail wherever they run say nothing of the replica.
		return endFailed, slots.Unused, nil
	case ans.Status != http.StatusOK:
		return endBroken, slots.Done, errors.Newf("the replica answered %d", ans.Status)
	}
	return m.gather(ans, it)
}

func outcomeOf(err error) slots.Outcome {
	if errors.Is(err, pool.ErrConnect) || errors.Is(err, pool.ErrSilent) {
		return slots.Unreachable
	}
	return slots.Failed
}

// gather reads the events of a run.
func (m *Manager) gather(ans *forward.Response, it *item) (ending, slots.Outcome, error) {
	var events forward.EventParser
	buf := make([]byte, readBytes)
	for {
		n, err := ans.Body.Read(buf)
		if n > 0 {
			if whole := events.Feed(buf[:n]); whole != nil {
				m.gained(it, forward.EventData(whole), events.LastID)
			}
		}
		if errors.Is(err, io.EOF) {
			if len(events.Remainder()) > 0 {
				return endBroken, slots.Failed, errors.New("the answer ends inside an event")
			}
			return endDone, slots.Done, nil
		}
		if err != nil {
			return endBroken, outcomeOf(err), err
		}
	}
}

// gained adds the data of whole events to an item's output.
func (m *Manager) gained(it *item, data []string, lastID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	it.texts = append(it.texts, data...)
	it.lastID = lastID
}
