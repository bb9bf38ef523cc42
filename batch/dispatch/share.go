// Package dispatch decides how many batch items run on each replica and from
// which job the next segment is claimed. Its functions are pure.
package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Job is the input of Shares for one job.
type Job struct {
	ID    string
	DueAt time.Time
	// Remaining is the number of items without a result.
	Remaining int
	// Held is the number of unfinished items in segments that this host has
	// claimed.
	Held int
}

// Share is the share of the capacity that is allotted to a job.
type Share struct {
	ID string
	// Fraction is the allotted fraction of the capacity, from 0 to 1.
	Fraction float64
	// Late reports whether the job is expected to miss its due time.
	Late bool
	// deficit is the number of items that this host would have to hold in
	// addition to reach the job's share; negative above it.
	deficit float64
	dueAt   time.Time
}

// Shares divides a capacity, in items per second, between jobs. In order of due
// time, each job is allotted the rate that it needs to finish in time (the
// fluid form of earliest due date first, Jackson 1955). A job whose due time
// can't be met is marked late and gets what remains at its turn, but all late
// jobs together get at most lateShare of the capacity. Capacity that is left
// over goes to the job with the earliest due time.
//
// The result begins with the job furthest below its share. A capacity of zero
// means that it is unknown; the result is then in order of due time.
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

// allocateByDueTime sets the fraction of each job in order of due time and
// returns the fraction of the capacity that remains.
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

// requiredFraction returns the fraction of the capacity that the job needs to
// finish by its due time. A value above 1 means that the due time can't be met.
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

// assignRemainder adds the remaining fraction to the first job in order of due
// time that has items left.
func assignRemainder(jobs []Job, shares []Share, remaining float64) {
	for i := range jobs {
		if jobs[i].Remaining > 0 {
			shares[i].Fraction += remaining
			return
		}
	}
}
