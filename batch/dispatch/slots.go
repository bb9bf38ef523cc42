package dispatch

import (
	"math"
	"time"

	"github.com/comfreyspindle/comfreyspindle/service"
)

// Replica is what a dispatcher knows of one replica.
type Replica struct {
	// Slots is the present number of slots, and Batch the items that run in
	// them.
	Slots int
	Batch int
	// ObservedSlots is the number of slots whose effect the load reports show.
	ObservedSlots int
	// BatchPeak is the largest number of late; load reports lag behind it.
	BatchPeak int
	// Online is the host's own online requests in flight there.
	Online int
	// OnlineAverage is their usual number, a moving average.
	OnlineAverage float64
	// PeerRequests is the work of other hosts there, as load reports show it; a
	// moving average.
	PeerRequests float64
	// LastReport is the newest load report; it is ignored when it is old.
	LastReport Report
	// BurstAt is when a host last told of a burst or of waiting online work.
	BurstAt time.Time
	// RaisedAt is when a slot was last added, LoweredAt when slots were last
	// taken away.
	RaisedAt  time.Time
	LoweredAt time.Time
	// Ceiling is the number of slots at which the replica last queued, less a
	// little; it holds for a time after CeilingAt. Zero is none.
	Ceiling   int
	CeilingAt time.Time
	// Leaving takes no new work.
	Leaving bool
}

// Report is a replica's own report of its load.
type Report struct {
	At      time.Time
	Running int
	Waiting int
	// QueuedFor is how long reports have shown that work waits, by the replica's
	// clock.
	QueuedFor time.Duration
	// TokenInterval is the time between tokens of one sequence.
	TokenInterval time.Duration
}

// HasBacklog reports whether more work waits than arrives from one step to the next.
func (r *Report) HasBacklog() bool { return r.Waiting > backlogFloor+r.Running/backlogDivisor }

// Cause says why a plan has its number of slots.
type Cause string

// Causes.
const (
	CauseLeaving       Cause = "leaving"
	CauseBurst         Cause = "burst"
	CauseOnlineQueued  Cause = "online work waits"
	CauseCooldown      Cause = "after a burst"
	CauseTokenInterval Cause = "time between tokens"
	CauseReplicaQueue  Cause = "replica queues"
	CauseRaised        Cause = "room"
	CauseAtLimit       Cause = "all slots"
	CauseSteady        Cause = "steady"
)

// Plan is the decision for one replica.
type Plan struct {
	Slots int
	Cause Cause
	// Ceiling and CeilingAt are kept in the replica's state.
	Ceiling   int
	CeilingAt time.Time
}

const (
	// maxReportAge is the age after which a load report says nothing.
	maxReportAge = 2 * time.Second
	// burstFactor and burstFloor tell a burst from the usual online work.
	burstFactor     = 2.0
	burstFloor      = 4.0
	burstTotalFloor = 3.0
	// slowRaiseInterval and raiseFast bound the time between two added slots.
	slowRaiseInterval = 60 * time.Millisecond
	fastRaiseInterval = 5 * time.Millisecond
	// longBurstCooldown and holdShort bound the wait after a burst.
	longBurstCooldown  = 1500 * time.Millisecond
	shortBurstCooldown = 300 * time.Millisecond
	// lowIntervalFraction and intervalHigh are the parts of the target for the time
	// between tokens up to which batch fills a replica.
	lowIntervalFraction  = 0.5
	highIntervalFraction = 0.95
	// ceilingTTL is how long a replica's slots stay below the number at which
	// it queued.
	ceilingTTL = 2 * time.Minute
	// queueEpisodeWindow is the longest time between two reports of one episode of
	// queueing.
	queueEpisodeWindow = time.Second
	// lowerInterval is the least time between two reductions.
	lowerInterval = 250 * time.Millisecond
	// growthFloor, or one in growPart, is how far slots go beyond those whose
	// effect the reports show.
	growthFloor   = 3
	growthDivisor = 4
	// highReserveFraction and roomLow bound the part of a full replica that is left free.
	highReserveFraction = 0.18
	lowReserveFraction  = 0.10
	// riseWeight and othersFall are the parts by which a report moves the
	// moving average of other hosts' work: a rise is followed at once.
	riseWeight = 0.7
	fallWeight = 0.2
	// backlogFloor, and one in queuePart of what runs, may wait for the next step.
	backlogFloor   = 2
	backlogDivisor = 8
	// backlogSteps is the number of steps after which waiting work queues.
	backlogSteps = 3
)

// interpolate goes from low at weight 0 to high at weight 1.
func interpolate(low, high, weight float64) float64 { return low + (high-low)*weight }

func interpolateDuration(low, high time.Duration, weight float64) time.Duration {
	return time.Duration(interpolate(float64(low), float64(high), weight))
}

// PlanSlots plans the batch slots of a replica: none at once when online work
// bursts or waits, fewer when the replica slows down, else one more at a time.
// Where the replica's capacity is stated, work that waits there takes the places
// of just as many items. The document's weight between throughput and online tail sets how fast slots
// come back and how much room is left.
func PlanSlots(r *Replica, conf *service.Batch, now time.Time) Plan {
	p := Plan{Ceiling: r.Ceiling, CeilingAt: r.CeilingAt}
	if conf.Capacity == 0 && r.isQueueing(now) && r.BatchPeak > 0 && r.LastReport.At.After(r.CeilingAt) {
		p.Ceiling, p.CeilingAt = r.queueCeiling(conf.ThroughputWeight), r.LastReport.At
	}
	p.Slots, p.Cause = r.decide(conf, p, now)
	return p
}

func (r *Replica) decide(conf *service.Batch, p Plan, now time.Time) (int, Cause) {
	weight := conf.ThroughputWeight
	cooldown := interpolateDuration(longBurstCooldown, shortBurstCooldown, weight)
	maxInterval := time.Duration(float64(conf.TokenInterval) * interpolate(lowIntervalFraction, highIntervalFraction, weight))
	switch {
	case r.Leaving:
		return 0, CauseLeaving
	case float64(r.Online) > burstFactor*r.OnlineAverage+burstFloor:
		return 0, CauseBurst
	case now.Sub(r.BurstAt) < cooldown:
		return 0, CauseBurst
	case conf.Capacity == 0 && r.isQueueing(now) && r.LastReport.Running+r.LastReport.Waiting > r.BatchPeak:
		return 0, CauseOnlineQueued
	case r.Slots == 0 && !r.LoweredAt.IsZero() && now.Sub(r.LoweredAt) < cooldown:
		return 0, CauseCooldown
	case conf.Capacity == 0 && r.isQueueing(now):
		return r.lower(now), CauseReplicaQueue
	case r.hasFreshReport(now) && r.LastReport.TokenInterval > maxInterval:
		return r.lower(now), CauseTokenInterval
	}
	return r.raise(conf, p, now)
}

// IsBurst reports whether a host's online requests in flight, over all replicas of
// a service, are far above their usual number: more than twice it and more than
// the spread of random arrivals (two standard deviations of a Poisson count).
// The sum shows a burst long before any single replica does.
func IsBurst(online int, usual float64) bool {
	return float64(online) > burstFactor*usual+2*math.Sqrt(usual)+burstTotalFloor
}

func (r *Replica) hasFreshReport(now time.Time) bool {
	return !r.LastReport.At.IsZero() && now.Sub(r.LastReport.At) < maxReportAge
}

// isQueueing reports whether work waits in the replica. What arrived since the last
// step of a replica that batches continuously waits only for the next one.
func (r *Replica) isQueueing(now time.Time) bool {
	return r.hasFreshReport(now) && r.LastReport.HasBacklog() && r.LastReport.QueuedFor > backlogSteps*r.LastReport.TokenInterval
}

// queueCeiling is the number of slots that leaves room for online work in a replica
// that runs as much as it can.
func (r *Replica) queueCeiling(weight float64) int {
	reserve := int(float64(r.LastReport.Running) * interpolate(highReserveFraction, lowReserveFraction, weight))
	ceiling := max(1, r.LastReport.Running-r.Online-reserve)
	if r.LastReport.At.Sub(r.CeilingAt) < queueEpisodeWindow {
		// Later reports of one episode show the replica as it empties.
		return max(ceiling, r.Ceiling)
	}
	return ceiling
}

// ObservePeerRequests brings Others up to date with a load report that was taken
// while batch items and own online requests were in flight as given.
func (r *Replica) ObservePeerRequests(reported Report, batch, online int) {
	requests := max(0, float64(reported.Running+reported.Waiting-batch-online))
	weight := fallWeight
	if requests > r.PeerRequests {
		weight = riseWeight
	}
	r.PeerRequests += weight * (requests - r.PeerRequests)
}

// onlineRequests is the onlineRequests work of all hosts on the replica.
func (r *Replica) onlineRequests() int { return r.Online + int(math.Ceil(r.PeerRequests)) }

// capacityLimit returns the slots for a replica of stated capacity: items that run stay
// while they leave no online request without a place, and no new ones start
// beyond the room that is left free.
func (r *Replica) capacityLimit(conf *service.Batch) int {
	available := max(0, conf.Capacity-r.onlineRequests())
	reserve := int(math.Round(float64(conf.Capacity) * interpolate(highReserveFraction, lowReserveFraction, conf.ThroughputWeight)))
	return max(0, available-reserve, min(r.Batch, available))
}

// raiseInterval is the time between two added slots. Where the capacity is stated
// there is nothing to find out, and slots come back fast.
func raiseInterval(conf *service.Batch) time.Duration {
	if conf.Capacity > 0 {
		return fastRaiseInterval
	}
	return interpolateDuration(slowRaiseInterval, fastRaiseInterval, conf.ThroughputWeight)
}

// lower takes a quarter of the slots away, and waits until that shows.
func (r *Replica) lower(now time.Time) int {
	if now.Sub(r.LoweredAt) < lowerInterval {
		return r.Slots
	}
	return r.Slots - (r.Slots+3)/4
}

func (r *Replica) raise(conf *service.Batch, p Plan, now time.Time) (int, Cause) {
	limit := conf.MaxSlots
	if conf.Capacity > 0 {
		limit = min(limit, r.capacityLimit(conf))
	}
	if p.Ceiling > 0 && now.Sub(p.CeilingAt) < ceilingTTL {
		limit = min(limit, p.Ceiling)
	}
	switch {
	case r.Slots >= limit:
		return limit, CauseAtLimit
	case r.Batch < r.Slots:
		return r.Slots, CauseSteady
	case conf.Capacity == 0 && r.Slots >= r.ObservedSlots+max(growthFloor, r.ObservedSlots/growthDivisor):
		return r.Slots, CauseSteady
	case now.Sub(r.RaisedAt) < raiseInterval(conf):
		return r.Slots, CauseSteady
	default:
		return r.Slots + 1, CauseRaised
	}
}
