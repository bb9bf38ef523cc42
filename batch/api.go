// Package batch accepts jobs of many items, gives each item one result and
// keeps the results readable.
package batch

import (
	"context"
	"io"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/config"
)

// Status is the status of a job, as in the batch format.
type Status = store.Status

// Statuses of a job.
const (
	StatusInProgress = store.StatusInProgress
	StatusCompleted  = store.StatusCompleted
	StatusCancelling = store.StatusCancelling
	StatusCancelled  = store.StatusCancelled
)

// Item is one line of an input file.
type Item = store.Item

// Result is one line of a result file.
type Result = store.Result

// Job is one accepted job.
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
	// Items were accepted; Completed ended with an answer; Failed with a reason.
	Items     int `json:"items"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	// Resent says that the job had been accepted before this request.
	Resent bool `json:"resent,omitempty"`
	// Late says that the job will miss its due time at the present rate.
	Late bool `json:"late,omitempty"`
}

// File is an input or a result file.
type File struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
}

// CreateRequest asks for a job.
type CreateRequest struct {
	InputFileID string
	Endpoint    string
	// CompletionWindow is the time until the job is due; zero takes the document's.
	CompletionWindow time.Duration
	Metadata         map[string]string
	// IdempotencyKey is the caller's idempotency key; it may be empty.
	IdempotencyKey string
}

// API is what callers can do with jobs. Errors carry verdicts.
type API interface {
	// PutFile checks and keeps an input file. The key is the caller's
	// idempotency key; it may be empty.
	PutFile(ctx context.Context, who config.Identity, name, key string, r io.Reader) (File, error)
	// File describes an input or result file.
	File(ctx context.Context, who config.Identity, id string) (File, error)
	// Content writes a file, in order of input if asked.
	Content(ctx context.Context, who config.Identity, id string, inputOrder bool, w io.Writer) error
	// Create accepts a job, or finds the same job accepted before.
	Create(ctx context.Context, who config.Identity, req CreateRequest) (Job, error)
	// Job returns a job with its progress.
	Job(ctx context.Context, who config.Identity, id string) (Job, error)
	// Cancel asks for the end of a job. Its status is cancelling until nothing
	// of it can start any more, then cancelled.
	Cancel(ctx context.Context, who config.Identity, id string) (Job, error)
	// List returns up to limit jobs after the given id, newest first.
	List(ctx context.Context, who config.Identity, after string, limit int) (jobs []Job, more bool, err error)
}

// Object is a job in the callers' format.
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

// Counts are a job's items by outcome.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Prefixes that make the ids of a job's result files from its own.
const (
	outputPrefix = "out-"
	errorPrefix  = "err-"
)

// Object returns the job in the callers' format.
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
