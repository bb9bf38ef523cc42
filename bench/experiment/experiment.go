// Package experiment defines experiments: what they measure, against which
// targets, and how reports are written and compared.
package experiment

import (
	"context"
	"io"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Op compares a figure with a target's value.
type Op string

// Comparisons.
const (
	AtMost  Op = "<="
	AtLeast Op = ">="
)

// Target is the stated bound of a figure.
type Target struct {
	Op    Op      `json:"op"`
	Value float64 `json:"value"`
}

// Holds reports whether a figure meets the target.
func (t Target) Holds(figure float64) bool {
	if math.IsNaN(figure) {
		return false
	}
	if t.Op == AtMost {
		return figure <= t.Value
	}
	return figure >= t.Value
}

// Figures are measured values by name.
type Figures map[string]float64

// Report is the outcome of one run of an experiment.
type Report struct {
	Experiment string            `json:"experiment"`
	Seed       uint64            `json:"seed"`
	Scale      float64           `json:"scale"`
	Commit     string            `json:"commit,omitempty"`
	Figures    Figures           `json:"figures"`
	Targets    map[string]Target `json:"targets"`
	Missed     []string          `json:"missed,omitempty"`
	Pass       bool              `json:"pass"`
	Seconds    float64           `json:"seconds"`
}

// Env is what a run gets.
type Env struct {
	Seed uint64
	// Scale stretches the times of the run; 1 is the reference.
	Scale float64
	// Progress takes a line for each step.
	Progress io.Writer
}

// Duration returns d, scaled.
func (e *Env) Duration(d time.Duration) time.Duration { return time.Duration(float64(d) * e.Scale) }

// Count returns n, scaled, at least 1.
func (e *Env) Count(n int) int { return max(1, int(float64(n)*e.Scale)) }

// Experiment measures figures, its baselines in the same run.
type Experiment struct {
	Name string
	// Summary says in one line what is measured.
	Summary string
	Targets map[string]Target
	Run     func(ctx context.Context, env *Env) (Figures, error)
}

// Execute runs an experiment and judges its figures. A target without a figure
// is missed.
func Execute(ctx context.Context, x *Experiment, env *Env, commit string) (*Report, error) {
	start := time.Now()
	figures, err := x.Run(ctx, env)
	if err != nil {
		return nil, errors.Wrapf(err, "experiment %s", x.Name)
	}
	r := &Report{
		Experiment: x.Name, Seed: env.Seed, Scale: env.Scale, Commit: commit,
		Figures: clean(figures), Targets: x.Targets, Seconds: time.Since(start).Seconds(),
	}
	for name, target := range x.Targets {
		figure, ok := figures[name]
		if !ok || !target.Holds(figure) {
			r.Missed = append(r.Missed, name)
		}
	}
	slices.Sort(r.Missed)
	r.Pass = len(r.Missed) == 0
	return r, nil
}

// clean drops figures that JSON can't hold; a target on one of them is missed.
func clean(in Figures) Figures {
	out := make(Figures, len(in))
	for name, v := range in {
		if !math.IsNaN(v) && !math.IsInf(v, 0) {
			out[name] = v
		}
	}
	return out
}
