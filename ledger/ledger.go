// Package ledger records requests that may run at most once, across all hosts
// and data centres.
//
// Keys are hashed to shards. A shard consists of one head record in the store,
// which holds the newest claims, and of immutable chunks that the head lists.
// The compare-and-swap of the head decides between concurrent claims: a claim
// is won by the write that adds it to the head. See docs/design/ledger.md.
package ledger

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Key identifies a request that may run at most once.
type Key struct {
	Service string
	Caller  string
	// Value is the caller's idempotency key.
	Value string
	// Made is when the caller created the key; zero if the key does not say.
	Made time.Time
}

// Claim is the right to run a request once, or the claim of the request that
// already holds this right.
type Claim struct {
	Key Key
	// Won reports whether this call made the claim. Otherwise an earlier call
	// made it, at the time First on the host Host.
	Won   bool
	First time.Time
	Host  string
	// RequestID is the ID of the request that holds the claim.
	RequestID string
	// Ran reports whether the request that holds the claim is known to have
	// run.
	Ran bool
	// Nonce distinguishes this claim from all other claims of the key.
	Nonce uint64
}

// Ledger records claims. A claim is durable before Claim returns.
type Ledger interface {
	// Claim records that the request claims the key. After an error the request
	// must not be sent. The error carries verdict NotRun, or MayHaveRun for a
	// key so old that its claims may have been pruned.
	Claim(ctx context.Context, doc *service.Document, key Key, requestID string) (Claim, error)
	// Settle reports how the request of a won claim ended. NotRun frees the key
	// for a repeat, so it must be certain; Ran is reported to repeats of the
	// request. Settle does not block, and its report may be lost.
	Settle(doc *service.Document, claim Claim, v verdict.Verdict)
}

// Unavailable is a Ledger that refuses every claim.
type Unavailable struct{}

var _ Ledger = Unavailable{}

// Claim implements Ledger.
func (Unavailable) Claim(context.Context, *service.Document, Key, string) (Claim, error) {
	return Claim{}, unavailableError(time.Second)
}

// Settle implements Ledger.
func (Unavailable) Settle(*service.Document, Claim, verdict.Verdict) {}

// unavailableError returns the error for a claim that is refused because the
// store is unavailable.
func unavailableError(retryAfter time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.CodePlatformUnavailable,
		"Requests that may run at most once can't be recorded now.").WithRetryAfter(retryAfter)
}
