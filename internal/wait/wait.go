// Package wait pauses goroutines by an injected clock.
package wait

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// For returns after a time, or earlier when ctx ends.
func For(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-clock.After(d):
	case <-ctx.Done():
	}
}
