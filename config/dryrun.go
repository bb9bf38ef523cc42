package config

import (
	"context"
	"fmt"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// Usage is the current load under a document, as far as this host knows it.
type Usage struct {
	// Running is the largest number of requests that run on one upstream.
	Running int
	// Waiting is the number of queued requests.
	Waiting int
	// BatchSlots is the largest number of batch items that run on one upstream.
	BatchSlots int
	// CrossRegionBytes is the number of bytes between regions that count
	// against the ceiling of the current period.
	CrossRegionBytes int64
	// Callers maps the names of callers to their current rates.
	Callers map[string]Rate
}

// Rate is the current rate of a caller over all hosts.
type Rate struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// Warning is a consequence of an edit that an operator should know about before
// making it.
type Warning struct {
	// Field is the path of the field in the document.
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Preview is the result of a dry run.
type Preview struct {
	// Generation is the generation that the edit would get.
	Generation uint64 `json:"generation"`
	// Diff is the unified diff against the current document.
	Diff     string    `json:"diff"`
	Warnings []Warning `json:"warnings,omitempty"`
}

// DryRun validates an edit like Apply and returns what it would change, but
// does not store it.
func (e *Editor) DryRun(ctx context.Context, edit Edit) (Preview, error) {
	ctx = kv.WithPurpose(ctx, kv.PurposeConfig)
	if err := validateEdit(edit); err != nil {
		return Preview{}, err
	}
	old, _, err := e.current(ctx, edit.Name)
	if err != nil {
		return Preview{}, err
	}
	if old.Generation != edit.BasedOn {
		return Preview{}, &ConflictError{Name: edit.Name, BasedOn: edit.BasedOn, Current: old}
	}
	next := old.next(edit.Name, StoredDocument{Text: edit.Text, Deleted: edit.Deleted})
	diff, err := unifiedDiff(edit.Name, old, next, "edit")
	if err != nil {
		return Preview{}, err
	}
	before, err := old.Document(edit.Name)
	if err != nil {
		before = &service.Document{}
	}
	after, err := next.Document(edit.Name)
	if err != nil {
		return Preview{}, err
	}
	return Preview{Generation: next.Generation, Diff: diff, Warnings: compareDocuments(before, after, e.usage(edit.Name))}, nil
}

// compareDocuments returns the warnings about replacing one document with
// another under the current load.
func compareDocuments(before, after *service.Document, usage Usage) []Warning {
	var out []Warning
	warn := func(field, format string, args ...any) {
		out = append(out, Warning{Field: field, Message: fmt.Sprintf(format, args...)})
	}
	if after.Deleted {
		if usage.Running+usage.Waiting+usage.BatchSlots > 0 {
			warn("deleted", "the service still has running or waiting requests")
		}
		return out
	}
	warnUpstreams(before, after, warn)
	warnLimits(before, after, usage, warn)
	warnCallers(after, usage, warn)
	return out
}

type warnFunc func(field, format string, args ...any)

// warnUpstreams warns about each data centre that loses its last upstream.
func warnUpstreams(before, after *service.Document, warn warnFunc) {
	if len(after.Upstreams) == 0 {
		if len(before.Upstreams) > 0 {
			warn("upstreams", "takes away the last upstream: every request will be refused")
		}
		return
	}
	remaining := make(map[string]bool)
	for i := range after.Upstreams {
		remaining[after.Upstreams[i].DataCentre] = true
	}
	for i := range before.Upstreams {
		dc := before.Upstreams[i].DataCentre
		if _, seen := remaining[dc]; !seen {
			remaining[dc] = false
			warn("upstreams", "takes away the last upstream in data centre %s", dc)
		}
	}
}

func warnLimits(before, after *service.Document, usage Usage, warn warnFunc) {
	r := &after.Routing
	if r.Concurrency < before.Routing.Concurrency && r.Concurrency < usage.Running {
		warn("routing.concurrency", "%d is below the %d requests that run on one upstream now", r.Concurrency, usage.Running)
	}
	if r.QueueLimit < before.Routing.QueueLimit && r.QueueLimit < usage.Waiting {
		warn("routing.queue_limit", "%d is below the %d requests that wait now", r.QueueLimit, usage.Waiting)
	}
	if after.Batch.MaxSlots < before.Batch.MaxSlots && after.Batch.MaxSlots < usage.BatchSlots {
		warn("batch.max_slots", "%d is below the %d items that run on one upstream now", after.Batch.MaxSlots, usage.BatchSlots)
	}
	if limit := after.Ceilings.CrossRegionBytes; limit < before.Ceilings.CrossRegionBytes && limit < usage.CrossRegionBytes {
		warn("ceilings.cross_region_bytes", "%d is below the %d bytes spent in this period", limit, usage.CrossRegionBytes)
	}
}

func warnCallers(after *service.Document, usage Usage, warn warnFunc) {
	for name, rate := range usage.Callers {
		c, ok := after.CallerNamed(name)
		if !ok {
			warn("callers", "caller %s has requests running and loses access", name)
			continue
		}
		if limit := c.RequestsPerSecond; limit > 0 && limit < rate.RequestsPerSecond {
			warn("callers."+name+".requests_per_second", "%g is below the present rate of %.1f", limit, rate.RequestsPerSecond)
		}
		if limit := c.TokensPerSecond; limit > 0 && limit < rate.TokensPerSecond {
			warn("callers."+name+".tokens_per_second", "%g is below the present rate of %.1f", limit, rate.TokensPerSecond)
		}
	}
}
