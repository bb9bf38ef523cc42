package dispatch

import (
	"math"
	"time"

	"github.com/comfreyspindle/comfreyspindle/service"
)

// Replica is the state of one replica as its dispatcher knows it.
type Replica struct {
	// Slots is the current number of batch slots, Batch the number of items
	// that run in them.
	Slots int
	Batch int
	// ObservedSlots is the number of slots whose effect is included in the load
	// reports received so far.
	ObservedSlots int
	// BatchPeak is the largest recent value of Batch. Load reports are compared
	// with it because they lag behind Batch.
	BatchPeak int
	// Online is the number of this host's online requests in flight to the
	// replica.
	Online int
	// OnlineAverage is a moving average of Online.
	OnlineAverage float64
	// PeerRequests is a moving average of the requests that other hosts have on
	// the replica, derived from load reports.
	PeerRequests float64
	// LastReport is the newest load report. It is ignored once it is older than
	// maxReportAge.
	LastReport Report
	// BurstAt is the time at which a host last reported a burst of online
	// requests, or online requests that wait, on the replica.
	BurstAt time.Time
	// RaisedAt is the time at which a slot was last added, LoweredAt the time
	// at which slots were last removed.
	RaisedAt  time.Time
	LoweredAt time.Time
	// Ceiling is the number of batch slots that left room for online work when
	// the replica last had a queue. It applies for ceilingTTL after CeilingAt;
	// zero means that there is none.
	Ceiling   int
	CeilingAt time.Time
	// Leaving reports whether the replica accepts no new work.
	Leaving bool
}

// Report is a load report of a replica.
type Report struct {
	At      time.Time
	Running int
	Waiting int
	// QueuedFor is the time for which successive reports have shown a backlog,
	// by the replica's clock.
	QueuedFor time.Duration
	// TokenInterval is the time between two tokens of one sequence.
	TokenInterval time.Duration
}

// HasBacklog reports whether more requests wait than normally arrive during one
// decode step.
func (r *Report) HasBacklog() bool { return r.Waiting > backlogFloor+r.Running/backlogDivisor }

// Cause is the reason for the number of slots in a plan.
type Cause string

// Causes of a plan.
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

// Plan is the number of slots that one replica is to have.
type Plan struct {
	Slots int
	Cause Cause
	// Ceiling and CeilingAt are the new values of the fields of Replica.
	Ceiling   int
	CeilingAt time.Time
}

const (
	// maxReportAge is the age above which a load report is ignored.
	maxReportAge = 2 * time.Second
	// A replica has a burst when its online requests exceed burstFactor times
	// their average plus burstFloor; see IsBurst for burstTotalFloor.
	burstFactor     = 2.0
	burstFloor      = 4.0
	burstTotalFloor = 3.0
	// slowRaiseInterval and fastRaiseInterval are the times between two added
	// slots at throughput weights 0 and 1.
	slowRaiseInterval = 60 * time.Millisecond
	fastRaiseInterval = 5 * time.Millisecond
	// longBurstCooldown and shortBurstCooldown are the times for which a
	// replica has no slots after a burst, at throughput weights 0 and 1.
	longBurstCooldown  = 1500 * time.Millisecond
	shortBurstCooldown = 300 * time.Millisecond
	// lowIntervalFraction and highIntervalFraction are the fractions of the
	// target token interval up to which batch work may slow a replica down, at
	// throughput weights 0 and 1.
	lowIntervalFraction  = 0.5
	highIntervalFraction = 0.95
	// ceilingTTL is how long a ceiling limits the slots of a replica.
	ceilingTTL = 2 * time.Minute
	// queueEpisodeWindow is the longest time between two reports of a queue
	// that belong to one episode of queueing.
	queueEpisodeWindow = time.Second
	// lowerInterval is the shortest time between two reductions.
	lowerInterval = 250 * time.Millisecond
	// The number of slots may exceed ObservedSlots by growthFloor, or by one in
	// growthDivisor of ObservedSlots if that is more.
	growthFloor   = 3
	growthDivisor = 4
	// highReserveFraction and lowReserveFraction are the fractions of a full
	// replica that stay free for online requests, at throughput weights 0 and
	// 1.
	highReserveFraction = 0.18
	lowReserveFraction  = 0.10
	// riseWeight and fallWeight are the weights of a new report in the moving
	// average of PeerRequests. Rises have the larger weight because they must
	// be followed at once.
	riseWeight = 0.7
	fallWeight = 0.2
	// Up to backlogFloor plus one in backlogDivisor of the running requests may
	// wait for the next decode step without counting as a backlog.
	backlogFloor   = 2
	backlogDivisor = 8
	// backlogSteps is the number of decode steps for which a backlog must last
	// to count as a queue.
	backlogSteps = 3
)

// interpolate returns the value between low (weight 0) and high (weight 1).
func interpolate(low, high, weight float64) float64 { return low + (high-low)*weight }

func interpolateDuration(low, high time.Duration, weight float64) time.Duration {
	return time.Duration(interpolate(float64(low), float64(high), weight))
}

// PlanSlots returns the number of batch slots of a replica: none when online
// requests burst or wait, fewer when the replica slows down, otherwise at most
// one more than now. If the service document states the replica's capacity,
// each request that waits there takes the slot of one item. The document's
// weight between throughput and online tail latency sets how fast slots come
// back and how much of the replica stays free.
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

// IsBurst reports whether a host's online requests in flight, over all replicas
// of a service, are far above their average: more than twice the average plus
// the spread of random arrivals (two standard deviations of a Poisson count)
// and burstTotalFloor. The sum over all replicas shows a burst long before any
// single replica does.
func IsBurst(online int, average float64) bool {
	return float64(online) > burstFactor*average+2*math.Sqrt(average)+burstTotalFloor
}

func (r *Replica) hasFreshReport(now time.Time) bool {
	return !r.LastReport.At.IsZero() && now.Sub(r.LastReport.At) < maxReportAge
}

// isQueueing reports whether requests queue in the replica. With continuous
// batching, requests that arrived since the last decode step only wait for the
// next one and don't count.
func (r *Replica) isQueueing(now time.Time) bool {
	return r.hasFreshReport(now) && r.LastReport.HasBacklog() && r.LastReport.QueuedFor > backlogSteps*r.LastReport.TokenInterval
}

// queueCeiling returns the number of batch slots that leaves room for online
// requests, for a replica that is full.
func (r *Replica) queueCeiling(weight float64) int {
	reserve := int(float64(r.LastReport.Running) * interpolate(highReserveFraction, lowReserveFraction, weight))
	ceiling := max(1, r.LastReport.Running-r.Online-reserve)
	if r.LastReport.At.Sub(r.CeilingAt) < queueEpisodeWindow {
		// Later reports of the same episode show fewer running requests because
		// slots have been removed since; they must not lower the ceiling.
		return max(ceiling, r.Ceiling)
	}
	return ceiling
}

// ObservePeerRequests updates PeerRequests from a load report. The arguments
// batch and online are the numbers of this host's batch items and online
// requests that were in flight when the report was taken.
func (r *Replica) ObservePeerRequests(reported Report, batch, online int) {
	requests := max(0, float64(reported.Running+reported.Waiting-batch-online))
	weight := fallWeight
	if requests > r.PeerRequests {
		weight = riseWeight
	}
	r.PeerRequests += weight * (requests - r.PeerRequests)
}

// onlineRequests returns the number of online requests of all hosts on the
// replica.
func (r *Replica) onlineRequests() int { return r.Online + int(math.Ceil(r.PeerRequests)) }

// capacityLimit returns the largest number of slots for a replica of stated
// capacity. Running items keep their slots as long as every online request has
// one; new items start only below the reserve for online requests.
func (r *Replica) capacityLimit(conf *service.Batch) int {
	available := max(0, conf.Capacity-r.onlineRequests())
	reserve := int(math.Round(float64(conf.Capacity) * interpolate(highReserveFraction, lowReserveFraction, conf.ThroughputWeight)))
	return max(0, available-reserve, min(r.Batch, available))
}

// raiseInterval returns the time between two added slots. If the capacity is
// stated, the right number of slots is known and need not be approached slowly,
// so slots are added at the fastest rate.
func raiseInterval(conf *service.Batch) time.Duration {
	if conf.Capacity > 0 {
		return fastRaiseInterval
	}
	return interpolateDuration(slowRaiseInterval, fastRaiseInterval, conf.ThroughputWeight)
}

// lower removes a quarter of the slots, then none for lowerInterval, so that
// load reports can show the effect.
func (r *Replica) lower(now time.Time) int {
	if now.Sub(r.LoweredAt) < lowerInterval {
		return r.Slots
	}
	return r.Slots - (r.Slots+3)/4
}

// raise returns one slot more if all slots are in use, the limits allow it, and
// the effect of the earlier ones has been observed.
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
