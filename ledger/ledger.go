// Package ledger remembers requests that may run at most once, over all hosts.
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
}

// Ledger records claims. A claim is durable before Claim returns.
type Ledger interface {
	// Claim records the key for the request. The error carries verdict NotRun.
	Claim(ctx context.Context, doc *service.Document, key Key, requestID string) (Claim, error)
}

// Unavailable is a Ledger that refuses every claim.
type Unavailable struct{}

var _ Ledger = Unavailable{}

// Claim implements Ledger.
func (Unavailable) Claim(context.Context, *service.Document, Key, string) (Claim, error) {
	return Claim{}, verdict.New(verdict.NotRun, verdict.CodePlatformUnavailable,
		"Requests that may run at most once can't be recorded now.").WithRetryAfter(time.Second)
}
