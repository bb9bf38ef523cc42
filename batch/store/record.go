package store

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// Status is the status of a job, with the values of the batch API.
type Status string

// Statuses of a job.
const (
	StatusInProgress Status = "in_progress"
	StatusCompleted  Status = "completed"
	StatusCancelling Status = "cancelling"
	StatusCancelled  Status = "cancelled"
	// StatusAbandoned marks an acceptance that was never completed. Callers do
	// not see such a job.
	StatusAbandoned Status = "abandoned"
)

// Ended reports whether no item of the job will run any more.
func (s Status) Ended() bool {
	return s == StatusCompleted || s == StatusCancelled || s == StatusAbandoned
}

// ErrNotOwner means that the segment is owned by another host or was claimed
// again under a later epoch.
var ErrNotOwner = errors.New("segment has another owner or epoch")

// Owner identifies one incarnation of a host: the process from one start to its
// end.
type Owner struct {
	Host string `json:"h"`
	// Address is the host's address for calls from peers.
	Address string `json:"a,omitempty"`
	// Incarnation increases with each start of the host.
	Incarnation uint64 `json:"i"`
}

// Claim is a host's exclusive ownership of a segment.
type Claim struct {
	Owner
	// Renewals counts the writes that renewed the lease of the claim. Other
	// hosts take over a segment when the count stops changing.
	Renewals uint64 `json:"r,omitempty"`
}

// ChunkRef identifies an immutable chunk of results of one segment.
type ChunkRef struct {
	Epoch    uint32 `json:"e"`
	Sequence uint32 `json:"s"`
	Items    int    `json:"n"`
	// Version is the version of the chunk's key in the store.
	Version kv.Version `json:"v"`
}

// Segment is the state of one segment of a job.
type Segment struct {
	Items int `json:"n"`
	// Epoch increases with each claim, so that writes of a former owner can be
	// told from those of the current one.
	Epoch uint32 `json:"e,omitempty"`
	// Claim is nil while no host owns the segment.
	Claim *Claim `json:"c,omitempty"`
	// Ended is the set of items that have a result. It is cleared when all
	// items have one.
	Ended Bitmap `json:"d,omitempty"`
	// Started is the set of items that may run at most once and may have run.
	Started   Bitmap     `json:"m,omitempty"`
	Completed int        `json:"ok,omitempty"`
	Failed    int        `json:"bad,omitempty"`
	Chunks    []ChunkRef `json:"k,omitempty"`
}

// Done reports whether every item of the segment has a result.
func (s *Segment) Done() bool { return s.Completed+s.Failed == s.Items }

// Record is the head record of a job. It holds the description of the job, the
// claims on its segments and their progress. Every state change that must
// happen exactly once is a conditional write of this record.
type Record struct {
	ID       string            `json:"id"`
	Service  string            `json:"service"`
	Caller   string            `json:"caller"`
	Endpoint string            `json:"endpoint"`
	FileID   string            `json:"file"`
	Digest   string            `json:"digest"`
	Metadata map[string]string `json:"metadata,omitempty"`
	// DataID is the id under which the input segments are stored, and Run the
	// id under which the chunks of results are stored.
	DataID string `json:"data"`
	Run    string `json:"run"`
	// Once means that items of the job run at most once.
	Once       bool      `json:"once,omitempty"`
	Status     Status    `json:"status"`
	AcceptedAt time.Time `json:"accepted_at"`
	DueAt      time.Time `json:"due_at"`
	EndedAt    time.Time `json:"ended_at,omitzero"`
	Segments   []Segment `json:"segments"`
	// PreviousSample and LastSample are the two latest samples of the progress,
	// from which the rate of the job is computed.
	PreviousSample ProgressSample `json:"early,omitzero"`
	LastSample     ProgressSample `json:"recent,omitzero"`
	// FormerOwners are owners whose claim was taken over and whose lease may
	// not have expired yet.
	FormerOwners []FormerOwner `json:"ousted,omitempty"`
}

// ProgressSample is the number of items that had ended at a time.
type ProgressSample struct {
	At    time.Time `json:"t"`
	Ended int       `json:"n"`
}

// progressSampleInterval is the minimum time between two samples of progress.
const progressSampleInterval = 30 * time.Second

// SampleProgress records a sample of the job's progress unless the last one is
// more recent than progressSampleInterval.
func (r *Record) SampleProgress(now time.Time) {
	if now.Sub(r.LastSample.At) < progressSampleInterval {
		return
	}
	_, completed, failed := r.Counts()
	r.PreviousSample, r.LastSample = r.LastSample, ProgressSample{At: now, Ended: completed + failed}
}

// Rate returns the number of items per second that ended since the previous
// sample. It returns false for ok while there are too few samples.
func (r *Record) Rate(now time.Time) (rate float64, ok bool) {
	if r.PreviousSample.At.IsZero() || !now.After(r.PreviousSample.At) {
		return 0, false
	}
	_, completed, failed := r.Counts()
	return float64(completed+failed-r.PreviousSample.Ended) / now.Sub(r.PreviousSample.At).Seconds(), true
}

// Late reports whether the job completed after its due time or, while it is in
// progress, has missed that time or will miss it at its current rate.
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

// FormerOwner is an owner whose claim was taken over by another.
type FormerOwner struct {
	Owner
	At time.Time `json:"at"`
}

// Clone returns a deep copy of the segments, claims and former owners. The
// metadata is shared.
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

// Counts returns the number of items, of those completed with an answer, and of
// those that failed.
func (r *Record) Counts() (items, completed, failed int) {
	for i := range r.Segments {
		items += r.Segments[i].Items
		completed += r.Segments[i].Completed
		failed += r.Segments[i].Failed
	}
	return items, completed, failed
}

// Claimable reports whether any host may claim segment n: the job is in
// progress, and the segment is neither claimed nor done.
func (r *Record) Claimable(n int) bool {
	s := &r.Segments[n]
	return r.Status == StatusInProgress && s.Claim == nil && !s.Done()
}

// ClaimSegment makes owner the owner of segment n, also if another owns it. It
// reports false, and changes nothing, if the job is not in progress, the
// segment is done, or its epoch is not the given one because it was claimed
// meanwhile.
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

// OwnedBy reports whether owner owns segment n under the given epoch.
func (r *Record) OwnedBy(n int, epoch uint32, owner Owner) bool {
	s := &r.Segments[n]
	return s.Epoch == epoch && s.Claim != nil && s.Claim.Owner == owner
}

// Flush is an owner's update of a segment: new results, started items, a
// renewal of the lease or a release.
type Flush struct {
	Segment int
	Epoch   uint32
	// Chunk holds the results of Items. Both are empty if the update only
	// renews the lease.
	Chunk  *ChunkRef
	Items  []int
	Failed int
	// Started lists items that run at most once. They are recorded here before
	// anything is sent to an upstream.
	Started []int
	// Cleared lists items recorded as started that the owner did not start and
	// will not start.
	Cleared []int
	// Release gives up the claim.
	Release bool
}

// Apply records a flush of owner and renews the lease of its claim. It returns
// ErrNotOwner if owner does not own the segment under the epoch of the flush.
// Applying the same flush again while the claim lasts only increments the count
// of renewals, so that a write whose reply was lost can be repeated.
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

// HasChunk reports whether the segment lists a chunk.
func (s *Segment) HasChunk(ref ChunkRef) bool {
	return slices.ContainsFunc(s.Chunks, func(c ChunkRef) bool {
		return c.Epoch == ref.Epoch && c.Sequence == ref.Sequence
	})
}

// NextSequence returns the sequence number that follows those of all listed
// chunks of the epoch.
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

// Cancel requests the cancellation of the job. A job that has ended is
// unchanged.
func (r *Record) Cancel() {
	if r.Status == StatusInProgress {
		r.Status = StatusCancelling
	}
}

// ReleaseClaims removes all claims and former owners. It is for a cancelled job
// whose owners' leases have all expired.
func (r *Record) ReleaseClaims() {
	for i := range r.Segments {
		r.Segments[i].Claim = nil
	}
	r.FormerOwners = nil
}

// UpdateStatus ends the job if all items have a result, or if it is being
// cancelled and no owner can still run items. It first removes the former
// owners that lost their claim before leaseCutoff: their leases have expired.
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
