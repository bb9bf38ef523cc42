package customer

import (
	"math"
	"sync"
	"time"
)

const (
	// MaxLabels bounds the customers that a metric names.
	MaxLabels = 10
	// OtherLabel is the label of all customers that a metric doesn't name.
	OtherLabel = "other"
	// useTime is the time constant with which use is forgotten.
	useTime = 5 * time.Minute
	// replaceFactor is how much more a customer must have used than one with a label to
	// take its place, so that two of equal use don't take turns.
	replaceFactor = 1.5
)

// Largest tells the customers that have used most lately from all others, for labels of
// metrics. The zero value is ready for use. It is safe for concurrent use.
type Largest struct {
	mu       sync.Mutex
	use      map[string]decayedUse
	labelled map[string]struct{}
	prunedAt time.Time
}

// decayedUse is a sum that decays with useTime.
type decayedUse struct {
	value float64
	at    time.Time
}

func (u decayedUse) now(now time.Time) float64 {
	return u.value * math.Exp(-max(now.Sub(u.at), 0).Seconds()/useTime.Seconds())
}

// Add records what a customer used and returns its label: its name, or OtherLabel.
// replaced is the customer whose label it took, if any.
func (l *Largest) Add(now time.Time, name string, amount float64) (label, replaced string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.use == nil {
		l.use, l.labelled, l.prunedAt = make(map[string]decayedUse), make(map[string]struct{}), now
	}
	l.prune(now)
	used := l.use[name].now(now) + amount
	l.use[name] = decayedUse{value: used, at: now}
	if _, ok := l.labelled[name]; ok {
		return name, ""
	}
	if len(l.labelled) < MaxLabels {
		l.labelled[name] = struct{}{}
		return name, ""
	}
	least := math.Inf(1)
	for other := range l.labelled {
		if u := l.use[other].now(now); u < least {
			least, replaced = u, other
		}
	}
	if used <= replaceFactor*least {
		return OtherLabel, ""
	}
	delete(l.labelled, replaced)
	l.labelled[name] = struct{}{}
	return name, replaced
}

// prune forgets customers without a label that have used nothing for useTime.
func (l *Largest) prune(now time.Time) {
	if now.Sub(l.prunedAt) < useTime {
		return
	}
	l.prunedAt = now
	for name, u := range l.use {
		if _, ok := l.labelled[name]; !ok && now.Sub(u.at) >= useTime {
			delete(l.use, name)
		}
	}
}
