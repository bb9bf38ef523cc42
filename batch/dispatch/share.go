// Package dispatch decides how many batch items run on each replica and which
// job's segments come next. Its functions are pure.
package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Job is what the plan needs of a job.
type Job struct {
	ID    string
	DueAt time.Time
	// Remaining items have no result yet.
	Remaining int
	// Held items are claimed by this host.
	Held int
}

// Share is a job's part of the capacity.
type Share struct {
	ID string
	// Fraction is the part of the capacity, from 0 to 1.
	Fraction float64
	// Late says that the job misses its due time.
	Late bool
	// deficit is how far the host is below the share, in items.
	deficit float64
	dueAt   time.Time
}

// Shares divides a capacity, in items a second, between jobs: each in order of
// its due time takes the rate that it needs (the fluid form of earliest due
// date first, Jackson 1955). A job that can't be met gets what is left when it
// is its turn, at most lateShare of the capacity, and is marked late; what
// remains goes to the earliest due. The result begins with the job furthest
// below its share. A capacity of zero is unknown: then the order is by due time.
func Shares(jobs []Job, capacity, lateShare float64, now time.Time) []Share {
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, func(a, b Job) int { return cmp.Or(a.DueAt.Compare(b.DueAt), cmp.Compare(a.ID, b.ID)) })
	shares := make([]Share, len(jobs))
	totalHeld := 0
	for i := range jobs {
		shares[i] = Share{ID: jobs[i].ID, dueAt: jobs[i].DueAt}
		totalHeld += jobs[i].Held
	}
	if capacity <= 0 {
		return shares
	}
	remaining := allocateByDueTime(jobs, shares, capacity, lateShare, now)
	assignRemainder(jobs, shares, remaining)
	for i := range shares {
		shares[i].deficit = shares[i].Fraction*float64(totalHeld+1) - float64(jobs[i].Held)
	}
	slices.SortStableFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.deficit, a.deficit), a.dueAt.Compare(b.dueAt))
	})
	return shares
}

// allocateByDueTime gives each job what it needs and returns the part that is left.
func allocateByDueTime(jobs []Job, shares []Share, capacity, lateShare float64, now time.Time) float64 {
	remaining, lateRemaining := 1.0, lateShare
	for i := range jobs {
		fraction := requiredFraction(&jobs[i], capacity, now)
		shares[i].Late = fraction > remaining
		if shares[i].Late {
			fraction = min(remaining, lateRemaining)
			lateRemaining -= fraction
		}
		shares[i].Fraction = fraction
		remaining -= fraction
	}
	return remaining
}

// requiredFraction is the part of the capacity that meets the due time; above 1 it can't be
// met.
func requiredFraction(j *Job, capacity float64, now time.Time) float64 {
	if j.Remaining == 0 {
		return 0
	}
	seconds := j.DueAt.Sub(now).Seconds()
	if seconds <= 0 {
		return 2
	}
	return float64(j.Remaining) / seconds / capacity
}

// assignRemainder gives the part that is left to the earliest due job with work.
func assignRemainder(jobs []Job, shares []Share, remaining float64) {
	for i := range jobs {
		if jobs[i].Remaining > 0 {
			shares[i].Fraction += remaining
			return
		}
	}
}
