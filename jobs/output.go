package jobs

import (
	"cmp"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/forward"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
)

// readEvents reads the events of a response and adds them to the item's output.
func (m *Manager) readEvents(ans *forward.Response, it *item, timer *slots.RunTimer, seen *runLog) (runEnd, slots.Outcome, error) {
	events := forward.EventParser{After: it.lastEventID, Unfinished: m.Unfinished}
	defer events.Release()
	defer func() { seen.firstEvent, seen.lastEvent = events.FirstID, events.LastID }()
	resumed := it.lastEventID != ""
	buf := make([]byte, readBufferBytes)
	dataLines, progressAt := 0, m.Clock.Now()
	for {
		n, err := ans.Body.Read(buf)
		if n > 0 {
			complete, feedErr := events.Feed(buf[:n])
			if err := m.appendEvents(it, forward.EventData(complete), events.LastID); err != nil {
				return endBroken, slots.Failed, err
			}
			if events.DataLines > dataLines {
				dataLines, progressAt = events.DataLines, m.Clock.Now()
				timer.Record(progressAt, dataLines)
			}
			if feedErr != nil {
				return endBroken, slots.Failed, feedErr
			}
			if m.Clock.Now().Sub(progressAt) > runEventTimeout {
				return endBroken, slots.Failed, errors.Newf("no event with data in %v", runEventTimeout)
			}
		}
		if errors.Is(err, io.EOF) {
			if err := events.CheckEnd(ans.Framing, resumed); err != nil {
				return endBroken, slots.Failed, err
			}
			end, outcome := m.endOfEvents(ans.Framing, it)
			return end, outcome, nil
		}
		if err != nil {
			return endBroken, forward.FailureOutcome(err), err
		}
	}
}

// endOfEvents returns how a run ended whose events ended in order, and the outcome to
// report.
func (m *Manager) endOfEvents(framing pool.Framing, it *item) (runEnd, slots.Outcome) {
	outcome := slots.Done
	if framing == pool.FramingClose {
		outcome = slots.Ended
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if it.ending.Proves(framing, it.lastEventID) {
		return endDone, outcome
	}
	return endUnconfirmed, outcome
}

// outputSize returns the size of an output with the data of these events.
func outputSize(data []string) int {
	size := 0
	for _, text := range data {
		size += len(text) + len("\n")
	}
	return size
}

// appendEvents adds the data of complete events to an item's output. lastID is the id of
// the last event of the run, or empty before the first. An output that could not be
// recorded is discarded, and is an error.
func (m *Manager) appendEvents(it *item, data []string, lastID string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	it.eventBytes += outputSize(data)
	if it.eventBytes > maxOutputBytes {
		it.discardEvents()
		return errors.Newf("output is larger than %d bytes", maxOutputBytes)
	}
	it.eventData = append(it.eventData, data...)
	it.lastEventID = cmp.Or(lastID, it.lastEventID)
	return nil
}
