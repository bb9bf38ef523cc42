package slots

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// LoadReport tells a broker what a response of a replica said about the replica's load.
// It holds its age, since the clocks of hosts differ.
type LoadReport struct {
	Replica   replica.Replica
	Running   int
	Waiting   int
	Slowness  float64
	HeadAfter time.Duration
	Age       time.Duration
}

func (r LoadReport) load(now time.Time) replica.Load {
	return replica.Load{Running: r.Running, Waiting: r.Waiting, Slowness: r.Slowness, HeadAfter: r.HeadAfter, At: now.Add(-max(r.Age, 0))}
}

// takeLoads returns the loads of the replicas of a data centre that a broker has not
// been told of.
func (c *Client) takeLoads(h membership.Host, dataCentre string) []LoadReport {
	c.mu.Lock()
	since := c.loadsSentAt[h.Name]
	c.mu.Unlock()
	// Replicas publishes records with its own lock held, which takes this one.
	observed := c.Replicas.LoadsSince(since, dataCentre)
	if len(observed) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	reports := make([]LoadReport, len(observed))
	for i, o := range observed {
		if o.Load.At.After(c.loadsSentAt[h.Name]) {
			c.loadsSentAt[h.Name] = o.Load.At
		}
		reports[i] = LoadReport{
			Replica: o.Replica, Running: o.Load.Running, Waiting: o.Load.Waiting, Slowness: o.Load.Slowness,
			HeadAfter: o.Load.HeadAfter, Age: now.Sub(o.Load.At),
		}
	}
	return reports
}

// observeLoads applies what hosts were told by replicas.
func (s *Scheduler) observeLoads(now time.Time, reports []LoadReport) {
	for _, r := range reports {
		s.ObserveLoad(now, r.Replica, r.load(now))
	}
}

// ObserveLoad applies what a response of a replica said about its load. One of another
// incarnation, or an implausible one, changes nothing.
func (s *Scheduler) ObserveLoad(now time.Time, r replica.Replica, l replica.Load) {
	state := s.findIncarnation(r)
	if state == nil || !state.speed.observe(l) {
		return
	}
	p := s.pool(r.Service)
	p.speed.reportedAt = now
	s.observeHead(now, p, state, l)
}

// reportedRun returns what the broker is told of a run: nothing unless the replicas
// report their slowness.
func (c *Client) reportedRun(h membership.Host, g Grant) Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loadsSentAt[h.Name].IsZero() {
		return Run{}
	}
	return g.Run
}

// newGrantState returns the state of a new grant, whose slot is counted already.
func (s *Scheduler) newGrantState(now time.Time, g Grant, target *replicaState) *grantState {
	state := &grantState{Grant: g, replicaState: target}
	p := s.pool(g.Replica.Service)
	if !p.speed.active(now) {
		return state
	}
	d := p.serviceTime
	if g.Class == Batch {
		d = p.speed.itemDuration()
	}
	state.slowness, state.reported = target.speed.over(now, d), target.speed.reportedOver(now, d)
	state.beside = target.used - 1
	return state
}

// atNormalSpeed returns how long the work that took the given time would take on a
// replica of normal speed.
func (g *grantState) atNormalSpeed(d time.Duration) time.Duration {
	if g.slowness == 0 {
		return d
	}
	return time.Duration(float64(d) / g.slowness)
}

// ObserveRun learns from a response that has ended, before its grant is released.
func (s *Scheduler) ObserveRun(now time.Time, id GrantID, outcome Outcome, run Run) {
	g, ok := s.grants[id]
	if !ok || g.reported == 0 {
		return
	}
	p := s.pool(g.Replica.Service)
	if g.replicaState.pace.limited() {
		// A replica that is cold shows nothing of how fast it will be.
		s.observeRunPace(now, p, g, run)
		return
	}
	p.speed.learnRun(&g.replicaState.speed, run, g.reported, g.beside)
	if g.Class == Batch && outcome == Done {
		p.speed.itemTime.add(g.atNormalSpeed(now.Sub(g.Since)).Seconds(), scaleWeight)
	}
}

// logPaces logs changes of the paces of replicas.
func (b *Broker) logPaces(changes []PaceChange) {
	for _, c := range changes {
		entry := b.log.WithFields(logrus.Fields{
			"replica": c.Replica.ID, "service": c.Replica.Service, "reason": string(c.Reason), "slots": c.Slots, "after_ms": c.After.Milliseconds(),
		})
		switch {
		case c.Reduced:
			entry.Info("replica gets fewer slots: its responses are late")
		case c.Slots == c.Replica.Slots:
			entry.Info("replica gets all its slots")
		default:
			entry.Info("replica gets some of its slots until it responds in time")
		}
	}
}

// PacedReplicas returns the number of replicas that get some of their slots only until
// they respond in time.
func (b *Broker) PacedReplicas() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sched.countPaced()
}

// Slowness returns the least, the mean and the greatest slowness of the replicas of
// services that report theirs; zero without any.
func (b *Broker) Slowness() (least, mean, greatest float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sched.slowness(b.clock.Now())
}

func (s *Scheduler) slowness(now time.Time) (least, mean, greatest float64) {
	n := 0.0
	for _, p := range s.services {
		if !p.speed.active(now) {
			continue
		}
		for _, r := range p.replicas {
			v := r.speed.now(now)
			if n == 0 || v < least {
				least = v
			}
			mean, greatest, n = mean+v, max(greatest, v), n+1
		}
	}
	return least, mean / max(n, 1), greatest
}
