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
	// decayTime is the time constant of the exponential decay of use.
	decayTime = 5 * time.Minute
	// replaceFactor is the ratio of use above which a customer takes the label of another
	// one. It keeps two customers of about equal use from replacing each other repeatedly.
	replaceFactor = 1.5
)

// Largest selects the customers with the highest recent use, which metrics label by name. The zero value is ready for use. It is safe for concurrent use.
type Largest struct {
	mu       sync.Mutex
	use      map[string]decayedUse
	labelled map[string]struct{}
	prunedAt time.Time
}

// decayedUse is a sum that decays with decayTime.
type decayedUse struct {
	value float64
	at    time.Time
}

func (u decayedUse) now(now time.Time) float64 {
	return u.value * math.Exp(-max(now.Sub(u.at), 0).Seconds()/decayTime.Seconds())
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

// prune forgets customers without a label that have used nothing for decayTime.
func (l *Largest) prune(now time.Time) {
	if now.Sub(l.prunedAt) < decayTime {
		return
	}
	l.prunedAt = now
	for name, u := range l.use {
		if _, ok := l.labelled[name]; !ok && now.Sub(u.at) >= decayTime {
			delete(l.use, name)
		}
	}
}
