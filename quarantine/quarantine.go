// Package quarantine detects requests that crash upstreams and rejects them.
//
// When an upstream fails, every request in flight there becomes a suspect. A
// suspect that runs to its end elsewhere is cleared. One that keeps being in
// flight when upstreams fail runs alone on a reserved upstream, in a trial; if
// that upstream fails too, the request is confirmed and rejected for a time.
//
// A State makes these decisions, for whole requests and for the parts of prompts that
// requests share. A Detector feeds it on hosts of package node, the brokers of package
// slots do on the users' platform.
package quarantine

import (
	"context"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Guard tracks which requests run on which upstreams and decides whether a
// request may run.
type Guard interface {
	// Check returns an error with verdict NotRun for a confirmed request. It
	// returns alone if the request must run alone on its upstream.
	Check(service string, f Fingerprint) (alone bool, err error)
	// Started records that a request was sent to an upstream.
	Started(service, upstream string, f Fingerprint)
	// Ended records how the request ended there. After ConnectionLost it may
	// block, for a bounded time, until the hosts of the data centre have
	// received the suspects.
	Ended(service, upstream string, f Fingerprint, end End)
	// ExcludedUpstreams returns the upstreams to which no request may be sent
	// now: those reserved for a trial, and those that failed and have not
	// answered since.
	ExcludedUpstreams(service string) []string
	// Reserve blocks until an upstream of the service is reserved for suspect
	// f. The calling code sends f there and releases the reservation after it
	// has ended. The error carries verdict NotRun.
	Reserve(ctx context.Context, doc *service.Document, f Fingerprint) (Reservation, error)
}

// Reservation holds one upstream for the trial of one suspect.
type Reservation struct {
	Upstream string
	Release  func()
}

// End is how a request ended on an upstream.
type End uint8

const (
	// Abandoned means that the request was cancelled, timed out or rejected,
	// which says nothing about the upstream or the request.
	Abandoned End = iota
	// Finished means that the upstream ran the request to its end.
	Finished
	// ConnectionLost means that the connection broke after bytes of the request
	// were sent.
	ConnectionLost
)

// Disabled is a Guard that permits every request.
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
