// Package timeline records the events of one process in a bounded ring buffer,
// stamped by a hybrid logical clock, and merges the events of several processes.
package timeline

import (
	"cmp"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Kind is the type of an event.
type Kind string

// Stamp is a reading of a hybrid logical clock: physical milliseconds since
// the Unix epoch and a logical counter (Kulkarni et al., "Logical Physical
// Clocks", OPODIS 2014).
type Stamp struct {
	Millis  int64  `json:"millis"`
	Logical uint32 `json:"logical"`
}

// Compare orders stamps by physical time, then by logical counter.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Millis, o.Millis), cmp.Compare(s.Logical, o.Logical))
}

// Event is one thing that happened in a process.
type Event struct {
	Stamp    Stamp  `json:"stamp"`
	Host     string `json:"host"`
	Kind     Kind   `json:"kind"`
	Service  string `json:"service,omitempty"`
	Request  string `json:"request,omitempty"`
	Job      string `json:"job,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	// Cause is a short reason for the event.
	Cause string `json:"cause,omitempty"`
	// Scores are the candidates of a routing decision, best first.
	Scores []Score `json:"scores,omitempty"`
}

// Score is the score of one candidate; lower is better.
type Score struct {
	Upstream string  `json:"upstream"`
	Score    float64 `json:"score"`
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	clock clockwork.Clock
	mu    sync.Mutex
	last  Stamp
}

// NewClock returns a hybrid logical clock that reads physical time from clock.
func NewClock(clock clockwork.Clock) *Clock { return &Clock{clock: clock} }

// Now returns a stamp that is greater than every stamp returned or observed
// before.
func (c *Clock) Now() Stamp { return c.Observe(Stamp{}) }

// Observe advances the clock past a stamp received from another process and
// returns the new reading.
func (c *Clock) Observe(remote Stamp) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := c.last
	if remote.Compare(latest) > 0 {
		latest = remote
	}
	if now := c.clock.Now().UnixMilli(); now > latest.Millis {
		c.last = Stamp{Millis: now}
	} else {
		c.last = Stamp{Millis: latest.Millis, Logical: latest.Logical + 1}
	}
	return c.last
}

// Time returns the physical part of a stamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.Millis) }

// Recorder keeps the newest events of a process. It is safe for concurrent use.
type Recorder struct {
	host  string
	clock *Clock

	mu   sync.Mutex
	ring []Event
	next uint64
}

// NewRecorder returns a recorder that keeps the newest events of a host, at most
// as many as the parameter events says.
func NewRecorder(host string, clock *Clock, events int) *Recorder {
	return &Recorder{host: host, clock: clock, ring: make([]Event, 0, events)}
}

// Clock returns the recorder's clock, which also stamps messages to other
// processes.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record sets the event's Stamp and Host and stores it. When the ring buffer is
// full, it overwrites the oldest event.
func (r *Recorder) Record(e Event) {
	e.Host = r.host
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Stamp = r.clock.Now()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
	} else {
		r.ring[r.next%uint64(cap(r.ring))] = e
	}
	r.next++
}

// Events returns the stored events that match, oldest first.
func (r *Recorder) Events(match func(*Event) bool) []Event {
	return r.After(0, match).Events
}

// Page is the result of reading a ring buffer from a position.
type Page struct {
	Events []Event `json:"events"`
	// Next is the position after the newest event, at which the next read
	// continues.
	Next uint64 `json:"next"`
	// Lost is the number of events after the position that were overwritten
	// before they were read.
	Lost uint64 `json:"lost,omitempty"`
}

// After returns the stored events from a position on that match, oldest first.
// Position 0 is the oldest stored event. A position past the end was handed out
// by an earlier process of this host; it counts as 0.
func (r *Recorder) After(position uint64, match func(*Event) bool) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.next - uint64(len(r.ring))
	page := Page{Next: r.next}
	if position > r.next {
		position = 0
	}
	if position > 0 && position < oldest {
		page.Lost = oldest - position
	}
	for i := max(position, oldest); i < r.next; i++ {
		e := &r.ring[i%uint64(cap(r.ring))]
		if match(e) {
			page.Events = append(page.Events, *e)
		}
	}
	return page
}
