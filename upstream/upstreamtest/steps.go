package upstreamtest

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/upstream"
)

var (
	errCrashed   = errors.New("engine crashed")
	errCancelled = errors.New("request cancelled")
)

// maxReports bounds the kept load readings.
const maxReports = 512

// sequence is one request in the engine.
type sequence struct {
	id      string
	prompt  []string
	seed    uint64
	next    int
	end     int
	startBy time.Time
	crash   bool
	started bool
	out     chan string

	once sync.Once
	done chan struct{}
	err  error
}

// finish ends the sequence; a nil error means that it is whole.
func (s *sequence) finish(err error) {
	s.once.Do(func() {
		s.err = err
		close(s.done)
	})
}

// Word returns token i of the answer to a prompt with the given seed.
func Word(seed uint64, i int) string {
	return fmt.Sprintf("w%x ", xxhash.Sum64String(fmt.Sprintf("%d/%d", seed, i))&0xffff)
}

// Seed returns the seed of the answer to a prompt.
func Seed(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Answer returns the whole answer of n tokens to a prompt.
func Answer(prompt string, n int) string {
	text := ""
	for i := range n {
		text += Word(Seed(prompt), i)
	}
	return text
}

func (e *Engine) enqueue(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.leaving {
		return false
	}
	if s.next >= s.end {
		s.finish(nil)
		return true
	}
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// loop runs steps while there is work.
func (e *Engine) loop() {
	for {
		prefill := e.admit()
		n := e.runningCount()
		if n == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.stopped:
				return
			}
		}
		select {
		case <-time.After(e.stepTime(n, prefill)):
			e.step()
		case <-e.stopped:
			return
		}
	}
}

func (e *Engine) stepTime(running, prefill int) time.Duration {
	extra := time.Duration(max(0, running-1)) * e.opts.StepPerSequence
	return e.opts.StepBase + extra + time.Duration(prefill)*e.opts.PrefillPerToken
}

func (e *Engine) runningCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// admit moves waiting sequences into the running batch, in order of arrival,
// and returns the prompt tokens to compute.
func (e *Engine) admit() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefill := 0
	for len(e.waiting) > 0 && len(e.running) < e.opts.MaxRunning {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !s.startBy.IsZero() && time.Now().After(s.startBy) {
			s.finish(errCancelled)
			continue
		}
		cached := e.cache.lookup(s.prompt)
		computed := len(s.prompt) + s.next - cached
		e.hits.Add(int64(cached))
		e.prefills.Add(int64(computed))
		prefill += computed
		s.started = true
		e.runs[s.id]++
		if s.next > 0 {
			e.resumes.Add(1)
		}
		e.running = append(e.running, s)
	}
	return prefill
}

// step emits one token per running sequence.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		if s.crash {
			go e.crash()
			return
		}
	}
	kept := e.running[:0]
	for _, s := range e.running {
		if e.advance(s) {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.report()
}

// advance emits the next token of s and reports whether more follow.
func (e *Engine) advance(s *sequence) bool {
	select {
	case <-s.done:
		return false
	default:
	}
	s.out <- Word(s.seed, s.next)
	s.next++
	e.tokens.Add(1)
	if s.next >= s.end {
		s.finish(nil)
		return false
	}
	return true
}

func (e *Engine) report() {
	e.reports = append(e.reports, e.loadNow())
	if len(e.reports) > maxReports {
		e.reports = append([]upstream.Load(nil), e.reports[maxReports/2:]...)
	}
}

// crash loses all running work and comes back after RestartTime.
func (e *Engine) crash() {
	e.crashes.Add(1)
	e.Kill()
	select {
	case <-time.After(e.opts.RestartTime):
		e.Revive()
	case <-e.stopped:
	}
}
