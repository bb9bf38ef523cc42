// Package suite holds the experiments of spindlebench.
package suite

import (
	"slices"
	"strings"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
)

// All returns all experiments, sorted by name.
func All() []*experiment.Experiment {
	all := []*experiment.Experiment{
		mixed(), burst(), overload(), spread(), affinity(), crash(), hostLoss(), outage(),
		configChange(), control(), overhead(), ledgerCost(), batchCost(), cutOff(), drain(),
	}
	slices.SortFunc(all, func(a, b *experiment.Experiment) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Find returns an experiment by name.
func Find(name string) (*experiment.Experiment, bool) {
	for _, x := range All() {
		if x.Name == name {
			return x, true
		}
	}
	return nil, false
}

func atMost(v float64) experiment.Target {
	return experiment.Target{Op: experiment.AtMost, Value: v}
}

func atLeast(v float64) experiment.Target {
	return experiment.Target{Op: experiment.AtLeast, Value: v}
}
