package kv

import "context"

// Purpose says what a call is for. Calls are counted by purpose, and the
// budget of a host serves purposes in the order below.
type Purpose uint8

// Purposes, most important first.
const (
	PurposeRecovery Purpose = iota
	PurposeCancel
	PurposeLedger
	PurposeConfig
	PurposeBatch
	PurposeEscrow
	PurposeOrders
	PurposeQuarantine
	PurposeOther
	purposeCount
)

var purposeNames = [purposeCount]string{
	"recovery", "cancel", "ledger", "config", "batch", "escrow", "orders", "quarantine", "other",
}

// String returns the label of the purpose in metrics.
func (p Purpose) String() string {
	if p >= purposeCount {
		return "other"
	}
	return purposeNames[p]
}

type purposeKey struct{}

// WithPurpose returns a context whose calls are counted under p.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

// PurposeOf returns the purpose in ctx, or PurposeOther.
func PurposeOf(ctx context.Context) Purpose {
	if p, ok := ctx.Value(purposeKey{}).(Purpose); ok {
		return p
	}
	return PurposeOther
}
