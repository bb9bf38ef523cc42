// Package backlog bounds the tokens of batch items that wait in a queue, that of a route
// or, with customers, that of one customer on a route, summed over all hosts.
//
// The hosts share one record for each queue in the store. While there is ample
// room, the record gives each host a share of it, and a host accepts jobs within
// its share in transactions that require the record to be unchanged. A host whose
// share doesn't suffice withdraws all shares by writing the record anew, counts the
// waiting tokens from the jobs' own records, and accepts its job in the transaction
// that writes the next record. So no job is accepted on a count that another
// acceptance has made out of date, whichever hosts fail, freeze or lose replies.
// Finished items only lower the count, so recording them needs no agreement.
package backlog

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Host is one run of a host: another start of the same host has no share until
// the record is written anew, since it does not know what its last run used.
type Host struct {
	Name        string
	Incarnation uint64
}

// Queue is what has a limit of waiting tokens of its own.
type Queue struct {
	RouteHost, RoutePrefix string
	// Customer is the customer whose jobs wait; empty stands for all jobs of the route.
	Customer string
}

// route returns the route in the form of logs and metrics.
func (q Queue) route() string { return q.RouteHost + q.RoutePrefix }

// Record is the state of one queue that the hosts share.
type Record struct {
	RouteHost   string `cbor:"1,keyasint"`
	RoutePrefix string `cbor:"2,keyasint"`
	// ConfigVersion is the version of the configuration that Limit is from.
	ConfigVersion int64 `cbor:"3,keyasint"`
	// Limit is the largest number of tokens that may wait.
	Limit int64 `cbor:"4,keyasint"`
	// Shares are the tokens that each host may add while the record keeps its
	// revision. Without shares, each acceptance writes the record.
	Shares []Share `cbor:"5,keyasint"`
	// Customer is that of the queue.
	Customer string `cbor:"6,keyasint,omitempty"`
}

// Share is the part of the room that one run of a host may use.
type Share struct {
	Host   Host  `cbor:"1,keyasint"`
	Tokens int64 `cbor:"2,keyasint"`
}

// check returns an error if a record says what none can say.
func (r *Record) check() error {
	if r.Limit < 0 || r.ConfigVersion < 0 {
		return errors.Newf("limit of %d tokens, of version %d", r.Limit, r.ConfigVersion)
	}
	for _, s := range r.Shares {
		if s.Tokens < 0 || s.Tokens > r.Limit {
			return errors.Newf("share of %d tokens of %d", s.Tokens, r.Limit)
		}
	}
	return nil
}

// share returns the tokens that a host may add.
func (r *Record) share(h Host) int64 {
	for _, s := range r.Shares {
		if s.Host == h {
			return s.Tokens
		}
	}
	return 0
}

// withoutShares returns a copy of the record that requires each acceptance to
// write it.
func (r *Record) withoutShares() Record {
	next := *r
	next.Shares = nil
	return next
}

// Job is the part of a job's record that counts for the limit.
type Job struct {
	ID      string
	Created time.Time
	// Waiting are the tokens of the items that still have to run, Finished those of
	// the others.
	Waiting, Finished int64
}

// Count is the sum over the jobs of a queue.
type Count struct {
	Waiting, Finished int64
	// Oldest is when the oldest of the jobs was accepted.
	Oldest time.Time
}

// Sum adds up the jobs of a queue.
func Sum(jobs []Job) Count {
	var c Count
	for _, j := range jobs {
		c.Waiting += j.Waiting
		c.Finished += j.Finished
		if c.Oldest.IsZero() || j.Created.Before(c.Oldest) {
			c.Oldest = j.Created
		}
	}
	return c
}

// minShareJobs is how many jobs like the present one each share must admit. With
// smaller shares, hosts would withdraw them more often than use them.
const minShareJobs = 2

// plan returns the record to write with the acceptance of a job of need tokens,
// when waiting tokens waited before it. All hosts get equal shares of the room that
// is left, or none if that is little. The job must fit.
func plan(present Record, waiting, need int64, hosts []Host) Record {
	next := present.withoutShares()
	room := present.Limit - waiting - need
	if len(hosts) == 0 {
		return next
	}
	each := room / int64(len(hosts))
	if each < minShareJobs*max(need, 1) {
		return next
	}
	for _, h := range hosts {
		next.Shares = append(next.Shares, Share{Host: h, Tokens: each})
	}
	return next
}

// fits reports whether a job of need tokens may be accepted when waiting tokens
// wait.
func fits(limit, waiting, need int64) bool { return need <= limit && waiting <= limit-need }

// Bounds of the time after which a refused job should come again.
const (
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// retryAfter returns when there is likely room for a job of need tokens: when as
// many tokens as are in the way will have finished, at the mean rate since the
// oldest job was accepted. The result is spread over half of that time more by
// spread, from 0 to 1, since refused jobs would otherwise return together. It is
// zero, for never, if the job is larger than the limit.
func retryAfter(c Count, limit, need int64, now time.Time, spread float64) time.Duration {
	if need > limit {
		return 0
	}
	wait := maxRetryAfter
	if age := now.Sub(c.Oldest); c.Finished > 0 && age > 0 {
		excess := float64(c.Waiting + need - limit)
		seconds := excess / float64(c.Finished) * age.Seconds()
		wait = time.Duration(math.Min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(spread*float64(wait)/2)
}
