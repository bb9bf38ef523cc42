package limits

import (
	"context"
	"sync"
)

// RunningLimit is an Admission without a queue: it refuses a request as soon as
// as many requests of the service run as its queue limit allows.
type RunningLimit struct {
	mu      sync.Mutex
	running map[string]int
}

var _ Admission = (*RunningLimit)(nil)

// NewRunningLimit returns a RunningLimit with no running requests.
func NewRunningLimit() *RunningLimit { return &RunningLimit{running: make(map[string]int)} }

// Admit implements Admission.
func (b *RunningLimit) Admit(_ context.Context, req Request) (func(), error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	name := req.Doc.Name
	if b.running[name] >= req.Doc.Routing.QueueLimit {
		return nil, newOverloadedError(req)
	}
	b.running[name]++
	return sync.OnceFunc(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.running[name]--
	}), nil
}

// Waiting implements Admission. RunningLimit has no queue, so it is always 0.
func (b *RunningLimit) Waiting(string) int { return 0 }
