package forward

import (
	"net/http"
	"time"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/route"
)

// Request is a request of a caller.
type Request struct {
	ID      string
	Route   *route.Route
	Service string
	// Customer is the customer whose request it is; nil if the configuration has no
	// customers or the route is public.
	Customer *customer.Customer
	// HasCustomers reports that the configuration has customers. Replicas then get the
	// customer's name and nothing of what the caller sent to be identified.
	HasCustomers bool
	// ConfigVersion is the version of the configuration that Route belongs to.
	ConfigVersion int64
	// Method, Target, Host, Header and Body are those of the caller's HTTP
	// request and are passed on to the replica. Target is the path with the
	// query.
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// LastEventID is the id of the last event that the caller has received
	// before this request; the stream resumes after it. Empty is the beginning.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of the stream,
	// if the caller resumes one.
	Resumes string
	Arrived time.Time
	// Fingerprint is the same for all attempts of callers to send an equal request:
	// with the same host, target and body. Run sets it.
	Fingerprint quarantine.Fingerprint
	// PromptParts holds the IDs of the parts of the prompt that other requests may share,
	// in order: all but the last.
	PromptParts []string
	// Deadline is when the response must be complete.
	Deadline time.Time
}

// Stream returns the ID of the request that brings the first event of the stream:
// this one, or the one that it resumes. It is empty if the caller can't resume the
// stream, or does not say which request began it.
func (r *Request) Stream() string {
	switch {
	case !r.Route.Resumable:
		return ""
	case r.LastEventID != "":
		return r.Resumes
	}
	return r.ID
}

// customerName returns the name of the customer for logs, or an empty string.
func (r *Request) customerName() string {
	if r.Customer == nil {
		return ""
	}
	return r.Customer.Name
}

// content returns what of the request may crash replicas.
func (r *Request) content() quarantine.Content {
	c := quarantine.Content{Fingerprint: r.Fingerprint}
	for _, id := range r.PromptParts {
		c.Parts = append(c.Parts, quarantine.FingerprintOfPart(id))
	}
	return c
}
