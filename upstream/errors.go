package upstream

import (
	"fmt"
	"net/http"
)

// StatusError is an upstream's answer that is an error of the upstream.
type StatusError struct {
	Upstream string
	Status   int
	// Refusal says that the document declares the status a refusal.
	Refusal bool
	// Header holds the answer's headers, with load and leaving.
	Header http.Header
}

// Error implements error.
func (e *StatusError) Error() string {
	if e.Refusal {
		return fmt.Sprintf("upstream %s refused the request with status %d", e.Upstream, e.Status)
	}
	return fmt.Sprintf("upstream %s answered with status %d", e.Upstream, e.Status)
}
