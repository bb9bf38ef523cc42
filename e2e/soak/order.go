package soak

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// text is what a caller received of a stream, over one response or several, or of an item.
type text struct {
	// path is that of the requests; empty for an item.
	path  string
	parts []part
	// complete means that the last part was framed as complete. Whether it is can't be
	// told of a close-delimited response to a request that is not resumable.
	complete bool
}

// part is the body of one response, or the output of an item.
type part struct{ request, host, body string }

// event is one event of a text.
type event struct {
	number               int
	version, run, source string
}

// String describes the event.
func (e event) String() string { return fmt.Sprintf("event %d of run %s", e.number, e.run) }

var (
	streamEvent = regexp.MustCompile(`\A(?:x-weight-versions: \d+\n)?id: (\d+)\ndata: (v\d+)e(\d+) (\S+)\n\n`)
	itemEvent   = regexp.MustCompile(`\A()(v\d+)e(\d+) (\S+)(?:\n|\z)`)
)

func (t text) isItem() bool { return t.path == "" }

// events returns the events of a part and what follows them.
func (t text) events(p part) (events []event, rest string) {
	pattern := streamEvent
	if t.isItem() {
		pattern = itemEvent
	}
	for rest = p.body; ; {
		m := pattern.FindStringSubmatch(rest)
		if m == nil || !t.isItem() && m[1] != m[3] {
			return events, rest
		}
		number, _ := strconv.Atoi(m[3])
		events = append(events, event{number: number, version: m[2], run: m[4], source: p.request})
		rest = rest[len(m[0]):]
	}
}

// last returns the number of the last event.
func (t text) last() int {
	last := 0
	for _, p := range t.parts {
		if events, _ := t.events(p); len(events) > 0 {
			last = events[len(events)-1].number
		}
	}
	return last
}

// whole returns the text without the part of an event at its end.
func (t text) whole() text {
	t.parts = slices.Clone(t.parts)
	for i, p := range t.parts {
		_, rest := t.events(p)
		t.parts[i].body = strings.TrimSuffix(p.body, rest)
	}
	return t
}

// join returns the text with a further part.
func (t text) join(p part, complete bool) text {
	t.parts, t.complete = append(slices.Clone(t.parts), p), complete
	return t
}

// received notes a text.
func (l *Ledger) received(t text) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.texts = append(l.texts, t)
}

// CheckOrder checks that each text was made by runs that follow each other.
func (l *Ledger) CheckOrder(runs []platformtest.Run) {
	byName := make(map[string]platformtest.Run, len(runs))
	for _, r := range runs {
		byName[r.Name] = r
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.texts {
		if wrong := t.check(byName); wrong != "" {
			l.violations = append(l.violations, fmt.Sprintf("%s, in %s%q", wrong, t.path, t.parts))
		}
	}
}

// check returns what is wrong with a text; empty is nothing.
func (t text) check(runs map[string]platformtest.Run) string {
	var before event
	for i, p := range t.parts {
		events, rest := t.events(p)
		for _, e := range events {
			if wrong := e.checkAfter(before, runs); wrong != "" {
				return wrong
			}
			before = e
		}
		if rest != "" && (t.complete || i < len(t.parts)-1 || strings.Contains(rest, "\n\n")) {
			return fmt.Sprintf("MIXED: %q is no event, after %s", rest, before)
		}
	}
	run := runs[before.run]
	if t.complete && before.number != eventsPerAnswer && (t.isItem() || isResumable(t.path) || !isUndecidable(run)) {
		return fmt.Sprintf("ORDER: a complete text ends after %s (%s)", before, run)
	}
	return ""
}

// isUndecidable reports whether nothing tells the end of a run's response from its
// completion, other than asking for the rest.
func isUndecidable(r platformtest.Run) bool {
	return r.CloseDelimited && (r.End == platformtest.RunCut || r.End == platformtest.RunCrashed)
}

// checkAfter returns what is wrong with an event after another one; empty is nothing.
func (e event) checkAfter(before event, runs map[string]platformtest.Run) string {
	run, ok := runs[e.run]
	switch {
	case !ok:
		return fmt.Sprintf("MIXED: %s, which no replica made", e)
	case run.Request != e.source:
		return fmt.Sprintf("MIXED: %s in a response to %s (%s)", e, e.source, run)
	case e.number != before.number+1:
		return fmt.Sprintf("ORDER: %s follows %s (%s)", e, before, run)
	case before.version != "" && e.version != before.version:
		return fmt.Sprintf("ORDER: %s of version %s follows %s of %s", e, e.version, before, before.version)
	case e.run != before.run && run.After != before.number:
		return fmt.Sprintf("ORDER: %s follows %s, but was not asked to (%s)", e, before, run)
	}
	return ""
}

// abandonTime is how long a replica may still work on a request that goes on elsewhere.
const abandonTime = 400 * time.Millisecond

// CheckTwice checks that no request of a caller goes on at another replica while one works
// on it. Items may run twice.
func (l *Ledger) CheckTwice(runs []platformtest.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byRequest := make(map[string][]platformtest.Run)
	for _, r := range runs {
		if _, ok := l.sent[r.Request]; ok {
			byRequest[r.Request] = append(byRequest[r.Request], r)
		}
	}
	for _, of := range byRequest {
		slices.SortFunc(of, func(a, b platformtest.Run) int { return a.Began.Compare(b.Began) })
		for i, later := range of[min(1, len(of)):] {
			if before := of[i]; before.Ended.Sub(later.Began) > abandonTime {
				l.violations = append(l.violations, fmt.Sprintf("TWICE: %s works %s after %s began", before, before.Ended.Sub(later.Began), later))
			}
		}
	}
}
