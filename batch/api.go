// Package batch accepts batch jobs, runs their items so that each gets exactly
// one result, and serves the results.
package batch

import (
	"context"
	"io"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/config"
)

// Status is the status of a job, with the values of the batch API.
type Status = store.Status

// Statuses of a job.
const (
	StatusInProgress = store.StatusInProgress
	StatusCompleted  = store.StatusCompleted
	StatusCancelling = store.StatusCancelling
	StatusCancelled  = store.StatusCancelled
)

// Item is a request to run, one line of an input file.
type Item = store.Item

// Result is the result of an item, one line of a result file.
type Result = store.Result

// Job is an accepted batch job as callers see it.
type Job struct {
	ID          string            `json:"id"`
	Service     string            `json:"service"`
	Caller      string            `json:"caller"`
	Endpoint    string            `json:"endpoint"`
	InputFileID string            `json:"input_file_id"`
	Metadata    map[string]string `json:"metadata,omitempty"`
	Status      Status            `json:"status"`
	AcceptedAt  time.Time         `json:"accepted_at"`
	DueAt       time.Time         `json:"due_at"`
	EndedAt     time.Time         `json:"ended_at,omitzero"`
	// Items is the number of items, Completed the number of those that ended
	// with a response, and Failed the number of those that ended with an error.
	Items     int `json:"items"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	// Resent reports whether the job had been accepted before, by an earlier
	// request.
	Resent bool `json:"resent,omitempty"`
	// Late reports whether the job has missed its due time or is expected to
	// miss it.
	Late bool `json:"late,omitempty"`
}

// File describes an input file or a result file.
type File struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
}

// CreateRequest holds the arguments of API.Create.
type CreateRequest struct {
	InputFileID string
	Endpoint    string
	// CompletionWindow is the time from the acceptance of the job to its due
	// time. If it is zero, the due time of the service document applies.
	CompletionWindow time.Duration
	Metadata         map[string]string
	// IdempotencyKey is the caller's idempotency key. It may be empty.
	IdempotencyKey string
}

// API is the set of operations on files and jobs that are offered to callers.
// All errors carry verdicts.
type API interface {
	// PutFile validates and stores an input file. The key is the caller's
	// idempotency key. It may be empty.
	PutFile(ctx context.Context, identity config.Identity, name, key string, r io.Reader) (File, error)
	// File returns the description of an input file or a result file.
	File(ctx context.Context, identity config.Identity, id string) (File, error)
	// Content writes the content of a file to w. With inputOrder, the lines of
	// a result file are in the order of the input file.
	Content(ctx context.Context, identity config.Identity, id string, inputOrder bool, w io.Writer) error
	// Create accepts a job, or returns the same job if it was accepted before.
	Create(ctx context.Context, identity config.Identity, req CreateRequest) (Job, error)
	// Job returns a job with its progress.
	Job(ctx context.Context, identity config.Identity, id string) (Job, error)
	// Cancel requests the cancellation of a job. The status of the job is
	// cancelling until none of its items can start any more, then cancelled.
	Cancel(ctx context.Context, identity config.Identity, id string) (Job, error)
	// List returns up to limit jobs, newest first, beginning after the job with
	// the id in after. It reports whether there are more.
	List(ctx context.Context, identity config.Identity, after string, limit int) (jobs []Job, more bool, err error)
}

// Object is a job in the format of the batch API.
type Object struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	CompletionWindow string            `json:"completion_window"`
	Status           Status            `json:"status"`
	CreatedAt        int64             `json:"created_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	RequestCounts    Counts            `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	Resent           bool              `json:"comfreyspindle_resent,omitempty"`
	Late             bool              `json:"comfreyspindle_late,omitempty"`
}

// Counts holds the numbers of a job's items by outcome.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// The id of a result file is one of these prefixes and the id of the job.
const (
	outputPrefix = "out-"
	errorPrefix  = "err-"
)

// Object returns the job in the format of the batch API.
func (j *Job) Object() Object {
	o := Object{
		ID: j.ID, Object: "batch", Endpoint: j.Endpoint, InputFileID: j.InputFileID,
		OutputFileID: outputPrefix + j.ID, CompletionWindow: j.DueAt.Sub(j.AcceptedAt).String(),
		Status: j.Status, CreatedAt: j.AcceptedAt.Unix(), ExpiresAt: j.DueAt.Unix(),
		RequestCounts: Counts{Total: j.Items, Completed: j.Completed, Failed: j.Failed},
		Metadata:      j.Metadata, Resent: j.Resent, Late: j.Late,
	}
	if j.Failed > 0 {
		o.ErrorFileID = errorPrefix + j.ID
	}
	if j.Status == StatusCompleted {
		o.CompletedAt = j.EndedAt.Unix()
	}
	if j.Status == StatusCancelled {
		o.CancelledAt = j.EndedAt.Unix()
	}
	return o
}
