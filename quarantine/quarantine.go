// Package quarantine finds requests that crash upstreams and refuses them.
package quarantine

import (
	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by service and canonical body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(service string, body []byte) Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(service)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return Fingerprint(h.Sum64())
}

// Guard watches what runs where and decides what may run.
type Guard interface {
	// Check returns an error with verdict NotRun for a confirmed request, and
	// alone when the request must run alone on its replica.
	Check(service string, f Fingerprint) (alone bool, err error)
	// Started says that a request began on an upstream.
	Started(service, upstream string, f Fingerprint)
	// Ended says that it ended there; lost means that the connection broke.
	Ended(service, upstream string, f Fingerprint, lost bool)
}

// Off is a Guard that lets everything run.
type Off struct{}

var _ Guard = Off{}

// Check implements Guard.
func (Off) Check(string, Fingerprint) (bool, error) { return false, nil }

// Started implements Guard.
func (Off) Started(string, string, Fingerprint) {}

// Ended implements Guard.
func (Off) Ended(string, string, Fingerprint, bool) {}
