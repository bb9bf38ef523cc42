// Package ledger remembers requests that may run at most once, over all hosts
// and data centres.
//
// Keys hash to shards. A shard is one head record in the platform's service
// with its newest claims, and immutable chunks that the head names. The
// compare-and-swap of the head is the one arbiter: a claim is won by the write
// that brings it into the head. See docs/design/ledger.md.
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
	// Made is when the caller made the key; zero when it says none.
	Made time.Time
}

// Claim is the right to run a request once.
type Claim struct {
	Key Key
	// Won says that this call made the claim. Otherwise an earlier one did,
	// at the time First, by the host Host.
	Won   bool
	First time.Time
	Host  string
	// RequestID is the id of the request that holds the claim.
	RequestID string
	// Ran says that the holder is known to have run.
	Ran bool
	// Nonce identifies this claim among all claims of the key.
	Nonce uint64
}

// Ledger records claims. A claim is durable before Claim returns.
type Ledger interface {
	// Claim records the key for the request. After an error the request must
	// not be sent. The error carries verdict NotRun, or MayHaveRun for a key
	// that is older than the ledger remembers.
	Claim(ctx context.Context, doc *service.Document, key Key, requestID string) (Claim, error)
	// Settle tells how the request of a won claim ended. NotRun frees the key
	// for a repeat and must be certain; Ran is told to repeats. It returns at
	// once, and what it tells may be lost.
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

// unavailableError refuses a claim while the platform's service can't be used.
func unavailableError(retryAfter time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.CodePlatformUnavailable,
		"Requests that may run at most once can't be recorded now.").WithRetryAfter(retryAfter)
}
