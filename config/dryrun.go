package config

import (
	"context"
	"fmt"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// Usage is what runs under a document now, as far as the host sees.
type Usage struct {
	// Running is the largest number of running requests on one upstream.
	Running int
	// Waiting is the number of waiting requests.
	Waiting int
	// BatchSlots is the largest number of batch items on one upstream.
	BatchSlots int
	// CrossRegionBytes is what the present period has spent.
	CrossRegionBytes int64
	// Callers holds the present rates by caller.
	Callers map[string]Rate
}

// Rate is a caller's present rate over all hosts.
type Rate struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// Warning is a consequence that an operator should know before an edit.
type Warning struct {
	// Field names the field of the document.
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Preview is what an edit would do.
type Preview struct {
	// Generation is the one that the edit would become.
	Generation uint64 `json:"generation"`
	// Diff is the unified difference to the present document.
	Diff     string    `json:"diff"`
	Warnings []Warning `json:"warnings,omitempty"`
}

// DryRun checks an edit like Apply and tells what it would do, but changes
// nothing.
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

// compareDocuments compares two documents under the present use.
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

// warnUpstreams tells which data centres lose their last upstream.
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
