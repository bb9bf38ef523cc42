// Package jobs keeps batch jobs in a transactional key-value service and runs
// their items on places that the brokers have left over. One host owns a job at
// a time: it runs the items, and every change of the job is a transaction on
// the job's head, so that a host that has lost the job can't change it.
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
}

// Submission is a job as a caller sends it.
type Submission struct {
	ID string
	// Host is the host name of the job's route.
	Host string
	// Prefix is the path prefix of the job's route.
	Prefix    string
	Items     []Item
	RunTarget time.Duration
	Retention time.Duration
}

// Result is the end of an item.
type Result struct {
	ID string
	// Done is false for an item that was given up.
	Done   bool
	Output string
}

// Page is a part of a job's results, in the order in which they were recorded.
type Page struct {
	Total   int
	Results []Result
}

// errUnknownJob is for jobs that the store doesn't hold.
func errUnknownJob() error {
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, "There is no such job.")
}

func errStoreUnavailable(err error) error {
	return verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "The job's record can't be read now.").WithRetryAfter(retryAfter)
}

// Times of jobs.
const (
	// retryAfter is the advice to callers when a record can't be read.
	retryAfter = 500 * time.Millisecond
	// flushDelay is how long results gather before they are written.
	flushDelay = 1200 * time.Millisecond
	// flushMargin makes results of a job that is due this soon go out at once.
	flushMargin = 2 * time.Second
	// writeRetryDelay is the pause after a failed write. It doubles with each further
	// one, up to maxRetryPause, and is spread by retrySpread of itself.
	writeRetryDelay    = 150 * time.Millisecond
	maxWriteRetryDelay = 900 * time.Millisecond
	writeRetryJitter   = 0.2
	// runFirstByteTimeout and runGap are how long a replica may be silent before an
	// item goes on elsewhere.
	runFirstByteTimeout = 600 * time.Millisecond
	runGapTimeout       = 700 * time.Millisecond
	// runRetryDelay is the pause of an item after a failed run; it doubles with each
	// further one, up to maxRunPause.
	runRetryDelay    = 50 * time.Millisecond
	maxRunRetryDelay = 2 * time.Second
	// remoteDemandWindow is the time before an item is due at which other data centres
	// are asked for a place.
	remoteDemandWindow = 16 * time.Second
	// peerTimeout bounds calls between hosts, waits for results apart.
	peerTimeout = 700 * time.Millisecond
)

// newWriteBackOff returns the pauses between tries of one write.
func newWriteBackOff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: writeRetryDelay, Multiplier: 2, MaxInterval: maxWriteRetryDelay, RandomizationFactor: writeRetryJitter,
	}
}

// Sizes.
const (
	// maxChunkBytes bounds the value of one key below the store's limit.
	maxChunkBytes = 700 << 10
	// maxPageBytes bounds the outputs of one page.
	maxPageBytes = 900 << 10
	// maxFlushJobs bounds the jobs of one transaction.
	maxFlushJobs = 10
)
