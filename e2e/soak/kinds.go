package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Kinds are names of kinds of faults that a run suffers.
type Kinds []string

// Kinds besides those of replicas' responses and connections.
const (
	// plannedFaults are those of Plan.
	plannedFaults = "plan"
	// orderlyCrashes lets the connections of crashed replicas end in order, as the kernel
	// ends those of a killed process. Without it they are reset.
	orderlyCrashes = "orderly-crashes"
	// sameAddress lets a replica have the address of the one that it replaces.
	sameAddress = "same-address"
	// leavingCallers leave streams and resume them several times at once.
	leavingCallers = "leaving-callers"
	// silentConnections lets connections of all kinds fall silent for good, while new ones
	// work, and changes the configuration.
	silentConnections = "silent-connections"
	// upgrade stops hosts in turn, starts each with the next build, and changes the
	// configuration.
	upgrade = "upgrade"
)

// CIKinds are the kinds of the seeds that name none.
var CIKinds = Kinds{plannedFaults}

// rate is the mean number of responses of which one is affected by a kind, silence what a
// silent replica leaves between two events, and maxConns the connections that it takes.
const (
	rate     = 6
	silence  = time.Second
	maxConns = 6
)

// responseFaults are the kinds of faults of replicas' responses and connections.
var responseFaults = map[string]func(*platformtest.Faults){
	"end-between":  func(f *platformtest.Faults) { f.EndBetween = rate },
	"end-within":   func(f *platformtest.Faults) { f.EndWithin = rate },
	"end-in-head":  func(f *platformtest.Faults) { f.EndInHead = rate },
	"reset":        func(f *platformtest.Faults) { f.Reset = rate },
	"copy":         func(f *platformtest.Faults) { f.Copy = rate },
	"garbage":      func(f *platformtest.Faults) { f.Garbage = rate },
	"trailing":     func(f *platformtest.Faults) { f.Trailing = rate },
	"close-header": func(f *platformtest.Faults) { f.CloseHeader = rate },
	"silent":       func(f *platformtest.Faults) { f.Silent, f.Silence = rate, silence },
	"full":         func(f *platformtest.Faults) { f.Capacity = slotsPerReplica / 2 },
	"split":        func(f *platformtest.Faults) { f.Split = 2 },
	"reload":       func(f *platformtest.Faults) { f.Reload = rate },
	"max-conns":    func(f *platformtest.Faults) { f.MaxConns = maxConns },
	// Resumptions follow streams that were cut.
	"fail-resumed":   func(f *platformtest.Faults) { f.EndWithin, f.FailResumed = rate, 2 },
	"refuse-resumed": func(f *platformtest.Faults) { f.EndWithin, f.RefuseResumed = rate, 2 },
	"refuse-copy":    func(f *platformtest.Faults) { f.Refuse, f.Copy = 3, 2 },
}

// Validate returns an error if a kind is not known.
func (k Kinds) Validate() error {
	known := append(slices.Sorted(maps.Keys(responseFaults)), plannedFaults, orderlyCrashes, sameAddress, leavingCallers, silentConnections, upgrade)
	for _, name := range k {
		if !slices.Contains(known, name) {
			return fmt.Errorf("kind of faults %q is none of %v", name, known)
		}
	}
	return nil
}

func (k Kinds) has(name string) bool { return slices.Contains(k, name) }

// faults returns what replicas do with their responses.
func (k Kinds) faults() platformtest.Faults {
	var f platformtest.Faults
	for _, name := range k {
		if set, ok := responseFaults[name]; ok {
			set(&f)
		}
	}
	return f
}
