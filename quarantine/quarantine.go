// Package quarantine finds requests that crash upstreams and refuses them.
package quarantine

import (
	"context"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Guard watches what runs where and decides what may run.
type Guard interface {
	// Check returns an error with verdict NotRun for a confirmed request, and
	// alone when the request must run alone on its replica.
	Check(service string, f Fingerprint) (alone bool, err error)
	// Started says that a request began on an upstream.
	Started(service, upstream string, f Fingerprint)
	// Ended says how it ended there. After Lost it may wait, for a bounded
	// time, until the hosts of the data centre know of the suspects.
	Ended(service, upstream string, f Fingerprint, end End)
	// ExcludedUpstreams returns the upstreams to which no request may be sent now: a
	// suspect runs there alone, or the upstream was lost and is not yet back.
	ExcludedUpstreams(service string) []string
	// Reserve waits until an upstream of the service may run suspect f alone.
	// The caller sends f there and then releases it. The error carries verdict
	// NotRun.
	Reserve(ctx context.Context, doc *service.Document, f Fingerprint) (Reservation, error)
}

// Reservation keeps one upstream for one suspect.
type Reservation struct {
	Upstream string
	Release  func()
}

// End is how a request ended on an upstream.
type End uint8

const (
	// Abandoned means that the request was cancelled, timed out or turned
	// away; it tells nothing.
	Abandoned End = iota
	// Finished means that the upstream ran the request to its end.
	Finished
	// ConnectionLost means that the connection broke after bytes of the request were
	// sent.
	ConnectionLost
)

// Disabled is a Guard that lets everything run.
type Disabled struct{}

var _ Guard = Disabled{}

// Check implements Guard.
func (Disabled) Check(string, Fingerprint) (bool, error) { return false, nil }

// Started implements Guard.
func (Disabled) Started(string, string, Fingerprint) {}

// Ended implements Guard.
func (Disabled) Ended(string, string, Fingerprint, End) {}

// ExcludedUpstreams implements Guard.
func (Disabled) ExcludedUpstreams(string) []string { return nil }

// Reserve implements Guard.
func (Disabled) Reserve(_ context.Context, doc *service.Document, _ Fingerprint) (Reservation, error) {
	return Reservation{}, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "Service %s reserves no upstream.", doc.Name)
}
