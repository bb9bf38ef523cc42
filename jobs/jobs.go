// Package jobs stores batch jobs in a transactional key-value store and runs
// their items on slots that the brokers don't need for online requests. One host
// owns a job at a time and runs its items. Every change of a job is a transaction
// on the job's head record, so that a host that no longer owns the job can't
// change it.
package jobs

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Item is one request of a job.
type Item struct {
	ID      string
	Path    string
	Headers map[string]string
	Body    []byte
	// Tokens is the number of tokens of the prompt and the maximum number of output
	// tokens together.
	Tokens int64
}

// Submission is a job as submitted by a caller.
type Submission struct {
	ID string
	// Host is the host name of the job's route.
	Host string
	// Prefix is the path prefix of the job's route.
	Prefix    string
	Items     []Item
	RunTarget time.Duration
	Retention time.Duration
	// Access says whose job it is, and that no other customer's job is meant.
	Access Access
	// Public reports that the job belongs to no customer, although one may submit it.
	Public bool
}

// owner returns the name of the customer that the job belongs to, or empty.
func (s *Submission) owner() string {
	if s.Public {
		return ""
	}
	return s.Access.Customer
}

// bodyBytes returns the size of the bodies of all items.
func (s *Submission) bodyBytes() int64 {
	var sum int64
	for _, it := range s.Items {
		sum += int64(len(it.Body))
	}
	return sum
}

// tokens returns the tokens of all items.
func (s *Submission) tokens() int64 {
	var sum int64
	for _, it := range s.Items {
		sum += it.Tokens
	}
	return sum
}

// Result is the result of one item.
type Result struct {
	ID string
	// Done is false if the item was given up without an output.
	Done   bool
	Output string
}

// Page is a part of a job's results, in the order in which they were recorded.
// Total is the number of items of the job.
type Page struct {
	Total   int
	Results []Result
}

// errUnknownJob returns the error for a job that is not in the store.
func errUnknownJob() error {
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, "There is no such job.")
}

// errStoreUnavailable returns the error for a record that can't be read or changed
// because of err.
func errStoreUnavailable(err error) error {
	return verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "The job's record can't be read now.").WithRetryAfter(retryAfter)
}

// errEndUnknown returns the error for the end of a job that may still be recorded.
func errEndUnknown(err error) error {
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeTimeout, "It is not known whether the end of the job was recorded.")
}

// Timeouts, delays and other durations.
const (
	// retryAfter is the Retry-After sent to callers when a head record can't be
	// read, or when this host is stopping.
	retryAfter = 500 * time.Millisecond
	// minFlushDelay and maxFlushDelay bound how long results are collected before
	// they are recorded, which is flushDelayFraction of the time left. Results that
	// are lost with their host before that are produced again, so they may wait
	// longer while there is time for that.
	minFlushDelay      = 1200 * time.Millisecond
	maxFlushDelay      = 2400 * time.Millisecond
	flushDelayFraction = 0.2
	// flushMargin is the time before a job is due from which on its results
	// are recorded without delay.
	flushMargin = 2 * time.Second
	// writeRetryDelay is the delay after a failed write. It doubles with each
	// consecutive failure up to maxWriteRetryDelay and is randomised by the
	// fraction writeRetryJitter in both directions.
	writeRetryDelay    = 150 * time.Millisecond
	maxWriteRetryDelay = 900 * time.Millisecond
	writeRetryJitter   = 0.2
	// runFirstByteTimeout and runGapTimeout bound the time without data from a
	// replica, before the first byte and between two reads. After that the item
	// is run on another slot.
	runFirstByteTimeout = 600 * time.Millisecond
	runGapTimeout       = 700 * time.Millisecond
	// runEventTimeout bounds the time without an event with data while bytes arrive.
	runEventTimeout = 5 * time.Second
	// runRetryDelay is the delay before an item runs again after a failed run.
	// It doubles with each consecutive failure up to maxRunRetryDelay.
	runRetryDelay    = 50 * time.Millisecond
	maxRunRetryDelay = 2 * time.Second
	// crashesToSuspect is the number of replicas that are gone after a run of an item from
	// which on the item is suspected to crash them. It runs suspectRuns times more.
	crashesToSuspect = 3
	suspectRuns      = 2
	// remoteDemandWindow is the time before an item is due from which on slots
	// are also requested in other data centres.
	remoteDemandWindow = 16 * time.Second
	// peerTimeout bounds calls to other hosts. Calls that wait for results get
	// it on top of their wait.
	peerTimeout = 700 * time.Millisecond
)

// newWriteBackOff returns the back-off between attempts of one write.
func newWriteBackOff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: writeRetryDelay, Multiplier: 2, MaxInterval: maxWriteRetryDelay, RandomizationFactor: writeRetryJitter,
	}
}

// Size limits.
const (
	// maxChunkBytes keeps the value of a key below the store's limit.
	maxChunkBytes = 700 << 10
	// maxOutputBytes bounds the output of an item, so that it can be recorded.
	maxOutputBytes = 900 << 10
	// maxPageBytes bounds the total size of the outputs in one page.
	maxPageBytes = 900 << 10
	// maxFlushJobs bounds the number of jobs whose changes are recorded in one
	// transaction.
	maxFlushJobs = 10
)
