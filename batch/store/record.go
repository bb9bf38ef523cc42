package store

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// Status is the status of a job, as in the batch format.
type Status string

// Statuses of a job.
const (
	StatusInProgress Status = "in_progress"
	StatusCompleted  Status = "completed"
	StatusCancelling Status = "cancelling"
	StatusCancelled  Status = "cancelled"
	// StatusAbandoned marks an acceptance that never finished; callers don't
	// see it.
	StatusAbandoned Status = "abandoned"
)

// Ended reports whether nothing of the job will run any more.
func (s Status) Ended() bool {
	return s == StatusCompleted || s == StatusCancelled || s == StatusAbandoned
}

// ErrNotOwner means that the segment has another owner or epoch.
var ErrNotOwner = errors.New("segment has another owner")

// Owner identifies one run of a host's process.
type Owner struct {
	Host string `json:"h"`
	// Address takes calls from peers.
	Address string `json:"a,omitempty"`
	// Incarnation grows with each start of the host.
	Incarnation uint64 `json:"i"`
}

// Claim is a host's claim on a segment.
type Claim struct {
	Owner
	// Renewals counts the writes that renewed the claim.
	Renewals uint64 `json:"r,omitempty"`
}

// ChunkRef names an immutable chunk of results.
type ChunkRef struct {
	Epoch    uint32 `json:"e"`
	Sequence uint32 `json:"s"`
	Items    int    `json:"n"`
	// Version is the chunk's version in the platform's service.
	Version kv.Version `json:"v"`
}

// Segment is the progress of one segment of a job.
type Segment struct {
	Items int `json:"n"`
	// Epoch grows with each claim.
	Epoch uint32 `json:"e,omitempty"`
	// Claim is nil while nobody runs the segment.
	Claim *Claim `json:"c,omitempty"`
	// Ended holds the items with a result; it is dropped when all have one.
	Ended Bitmap `json:"d,omitempty"`
	// Started holds the items that may run at most once and may have run.
	Started   Bitmap     `json:"m,omitempty"`
	Completed int        `json:"ok,omitempty"`
	Failed    int        `json:"bad,omitempty"`
	Chunks    []ChunkRef `json:"k,omitempty"`
}

// Done reports whether each item of the segment has its result.
func (s *Segment) Done() bool { return s.Completed+s.Failed == s.Items }

// Record is the one record of a job: its head, the claims on its segments and
// their progress. Every step that must happen once is a conditional write of it.
type Record struct {
	ID       string            `json:"id"`
	Service  string            `json:"service"`
	Caller   string            `json:"caller"`
	Endpoint string            `json:"endpoint"`
	FileID   string            `json:"file"`
	Digest   string            `json:"digest"`
	Metadata map[string]string `json:"metadata,omitempty"`
	// DataID names the input segments and Run the chunks of results.
	DataID string `json:"data"`
	Run    string `json:"run"`
	// Once marks a job whose items run at most once.
	Once       bool      `json:"once,omitempty"`
	Status     Status    `json:"status"`
	AcceptedAt time.Time `json:"accepted_at"`
	DueAt      time.Time `json:"due_at"`
	EndedAt    time.Time `json:"ended_at,omitzero"`
	Segments   []Segment `json:"segments"`
	// PreviousSample and Recent are points of the job's progress that give its rate.
	PreviousSample ProgressSample `json:"early,omitzero"`
	LastSample     ProgressSample `json:"recent,omitzero"`
	// FormerOwners are owners whose claim was taken over and whose term may last.
	FormerOwners []FormerOwner `json:"ousted,omitempty"`
}

// ProgressSample is the number of items ended by a time.
type ProgressSample struct {
	At    time.Time `json:"t"`
	Ended int       `json:"n"`
}

// progressSampleInterval is the least time between two points of progress.
const progressSampleInterval = 30 * time.Second

// SampleProgress notes a point of the job's progress.
func (r *Record) SampleProgress(now time.Time) {
	if now.Sub(r.LastSample.At) < progressSampleInterval {
		return
	}
	_, completed, failed := r.Counts()
	r.PreviousSample, r.LastSample = r.LastSample, ProgressSample{At: now, Ended: completed + failed}
}

// Rate returns the items a second that the job ended of late; ok is false
// while it is unknown.
func (r *Record) Rate(now time.Time) (rate float64, ok bool) {
	if r.PreviousSample.At.IsZero() || !now.After(r.PreviousSample.At) {
		return 0, false
	}
	_, completed, failed := r.Counts()
	return float64(completed+failed-r.PreviousSample.Ended) / now.Sub(r.PreviousSample.At).Seconds(), true
}

// Late reports whether the job misses its due time at its present rate.
func (r *Record) Late(now time.Time) bool {
	if r.Status != StatusInProgress {
		return r.Status == StatusCompleted && r.EndedAt.After(r.DueAt)
	}
	if now.After(r.DueAt) {
		return true
	}
	rate, ok := r.Rate(now)
	if !ok {
		return false
	}
	items, completed, failed := r.Counts()
	return float64(items-completed-failed) > rate*r.DueAt.Sub(now).Seconds()
}

// FormerOwner is an owner that lost its claim to another.
type FormerOwner struct {
	Owner
	At time.Time `json:"at"`
}

// Clone returns a deep copy.
func (r *Record) Clone() *Record {
	c := *r
	c.FormerOwners = slices.Clone(r.FormerOwners)
	c.Segments = slices.Clone(r.Segments)
	for i := range c.Segments {
		s := &c.Segments[i]
		s.Ended, s.Started, s.Chunks = s.Ended.Clone(), s.Started.Clone(), slices.Clone(s.Chunks)
		if s.Claim != nil {
			claim := *s.Claim
			s.Claim = &claim
		}
	}
	return &c
}

// Counts returns the items, those with an answer and those that failed.
func (r *Record) Counts() (items, completed, failed int) {
	for i := range r.Segments {
		items += r.Segments[i].Items
		completed += r.Segments[i].Completed
		failed += r.Segments[i].Failed
	}
	return items, completed, failed
}

// Claimable reports whether segment n may be claimed by anyone.
func (r *Record) Claimable(n int) bool {
	s := &r.Segments[n]
	return r.Status == StatusInProgress && s.Claim == nil && !s.Done()
}

// ClaimSegment gives segment n to owner. It reports false when the job doesn't run or
// the segment is done or no longer has the epoch that the taker saw.
func (r *Record) ClaimSegment(n int, epoch uint32, owner Owner, now time.Time) bool {
	s := &r.Segments[n]
	if r.Status != StatusInProgress || s.Done() || s.Epoch != epoch {
		return false
	}
	if s.Claim != nil {
		r.FormerOwners = append(r.FormerOwners, FormerOwner{Owner: s.Claim.Owner, At: now})
	}
	s.Epoch++
	s.Claim = &Claim{Owner: owner}
	return true
}

// OwnedBy reports whether owner holds segment n under the epoch.
func (r *Record) OwnedBy(n int, epoch uint32, owner Owner) bool {
	s := &r.Segments[n]
	return s.Epoch == epoch && s.Claim != nil && s.Claim.Owner == owner
}

// Flush is one owner's news of a segment.
type Flush struct {
	Segment int
	Epoch   uint32
	// Chunk holds the results of Items; both are empty for a mere renewal.
	Chunk  *ChunkRef
	Items  []int
	Failed int
	// Started are items that will run at most once, before their first byte.
	Started []int
	// Cleared are started items that the owner will not run after all and
	// that it has not begun.
	Cleared []int
	// Release gives the segment back.
	Release bool
}

// Apply records a flush of the owner. Applying the same flush again changes
// nothing but the count of renewals.
func (r *Record) Apply(f *Flush, owner Owner) error {
	if !r.OwnedBy(f.Segment, f.Epoch, owner) {
		return ErrNotOwner
	}
	s := &r.Segments[f.Segment]
	s.Claim.Renewals++
	for _, i := range f.Started {
		s.Started = s.Started.With(i)
	}
	for _, i := range f.Cleared {
		s.Started = s.Started.Without(i)
	}
	if f.Chunk != nil && !s.HasChunk(*f.Chunk) {
		s.addChunk(f)
	}
	if s.Done() {
		s.Claim, s.Ended, s.Started = nil, nil, nil
	} else if f.Release {
		s.Claim = nil
	}
	return nil
}

// HasChunk reports whether the segment names a chunk.
func (s *Segment) HasChunk(ref ChunkRef) bool {
	return slices.ContainsFunc(s.Chunks, func(c ChunkRef) bool {
		return c.Epoch == ref.Epoch && c.Sequence == ref.Sequence
	})
}

// NextSequence returns the first sequence number of an epoch that no named
// chunk has.
func (s *Segment) NextSequence(epoch uint32) uint32 {
	var next uint32
	for _, ref := range s.Chunks {
		if ref.Epoch == epoch {
			next = max(next, ref.Sequence+1)
		}
	}
	return next
}

func (s *Segment) addChunk(f *Flush) {
	s.Chunks = append(s.Chunks, *f.Chunk)
	for _, i := range f.Items {
		s.Ended = s.Ended.With(i)
	}
	s.Failed += f.Failed
	s.Completed += len(f.Items) - f.Failed
}

// Cancel asks for the end of the job; a job that has ended stays as it is.
func (r *Record) Cancel() {
	if r.Status == StatusInProgress {
		r.Status = StatusCancelling
	}
}

// ReleaseClaims takes away every claim and forgets ousted owners; for a cancelled job
// whose owners' terms have run out.
func (r *Record) ReleaseClaims() {
	for i := range r.Segments {
		r.Segments[i].Claim = nil
	}
	r.FormerOwners = nil
}

// UpdateStatus ends the job when nothing is left to do, and forgets ousted owners
// whose term ended before the given time.
func (r *Record) UpdateStatus(now, leaseCutoff time.Time) {
	r.FormerOwners = slices.DeleteFunc(r.FormerOwners, func(o FormerOwner) bool { return o.At.Before(leaseCutoff) })
	if r.Status.Ended() {
		return
	}
	items, completed, failed := r.Counts()
	claimed := slices.ContainsFunc(r.Segments, func(s Segment) bool { return s.Claim != nil })
	switch {
	case completed+failed == items:
		r.Status, r.EndedAt = StatusCompleted, now
	case r.Status == StatusCancelling && !claimed && len(r.FormerOwners) == 0:
		r.Status, r.EndedAt = StatusCancelled, now
	}
}
