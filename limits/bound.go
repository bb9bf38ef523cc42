package limits

import (
	"context"
	"sync"
)

// RunningLimit is an Admission that only bounds the running requests of a service by
// its queue limit.
type RunningLimit struct {
	mu      sync.Mutex
	running map[string]int
}

var _ Admission = (*RunningLimit)(nil)

// NewRunningLimit returns a Bound.
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
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.running[name]--
	}, nil
}

// Waiting implements Admission.
func (b *RunningLimit) Waiting(string) int { return 0 }
