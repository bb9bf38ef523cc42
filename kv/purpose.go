package kv

import "context"

// Purpose is what a call is made for. Metrics count calls by purpose, and a
// host's Budget serves waiting calls in the order of the constants below.
type Purpose uint8

// Purposes, the most important first.
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

// String returns the value of the metrics' label purpose.
func (p Purpose) String() string {
	if p >= purposeCount {
		return "other"
	}
	return purposeNames[p]
}

type purposeKey struct{}

// WithPurpose returns a context that gives calls the purpose p.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

// PurposeOf returns the purpose that ctx carries, or PurposeOther.
func PurposeOf(ctx context.Context) Purpose {
	if p, ok := ctx.Value(purposeKey{}).(Purpose); ok {
		return p
	}
	return PurposeOther
}
