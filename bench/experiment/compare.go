package experiment

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Tolerance is the relative change that Compare does not report as worse.
const Tolerance = 0.05

// Change is the difference of one figure between two reports.
type Change struct {
	Name   string
	Before float64
	After  float64
	// Relative is the change as a part of Before.
	Relative float64
	// Worse says that a figure with a target moved away from it by more than
	// the tolerance.
	Worse bool
}

// Compare returns the changes of all figures that both reports have.
func Compare(before, after *Report) ([]Change, error) {
	if before.Experiment != after.Experiment {
		return nil, errors.Newf("reports of different experiments: %s and %s", before.Experiment, after.Experiment)
	}
	var out []Change
	for name, b := range before.Figures {
		a, ok := after.Figures[name]
		if !ok {
			continue
		}
		c := Change{Name: name, Before: b, After: a, Relative: relative(b, a)}
		if t, ok := after.Targets[name]; ok {
			c.Worse = t.Op == AtMost && c.Relative > Tolerance || t.Op == AtLeast && c.Relative < -Tolerance
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y Change) int { return strings.Compare(x.Name, y.Name) })
	return out, nil
}

func relative(before, after float64) float64 {
	if before == after {
		return 0
	}
	if before == 0 {
		return math.Copysign(math.MaxFloat64, after)
	}
	return (after - before) / math.Abs(before)
}

// WriteChanges prints changes as a table.
func WriteChanges(out io.Writer, changes []Change) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "figure\tbefore\tafter\tchange\t")
	for _, c := range changes {
		note := ""
		if c.Worse {
			note = "worse"
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%s\t%s\n", c.Name, c.Before, c.After, percent(c.Relative), note)
	}
	return w.Flush()
}

func percent(r float64) string {
	if math.Abs(r) == math.MaxFloat64 {
		return "from 0"
	}
	return fmt.Sprintf("%+.1f%%", 100*r)
}

// Write prints a report as a table.
func (r *Report) Write(out io.Writer) error {
	names := make([]string, 0, len(r.Figures))
	for name := range r.Figures {
		names = append(names, name)
	}
	for name := range r.Targets {
		if _, ok := r.Figures[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%s (seed %d, %.1f s)\tfigure\ttarget\t\n", r.Experiment, r.Seed, r.Seconds)
	for _, name := range names {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", name, r.figure(name), r.target(name), r.verdict(name))
	}
	return w.Flush()
}

func (r *Report) figure(name string) string {
	if v, ok := r.Figures[name]; ok {
		return fmt.Sprintf("%.4g", v)
	}
	return "none"
}

func (r *Report) target(name string) string {
	if t, ok := r.Targets[name]; ok {
		return fmt.Sprintf("%s %.4g", t.Op, t.Value)
	}
	return ""
}

func (r *Report) verdict(name string) string {
	if _, ok := r.Targets[name]; !ok {
		return ""
	}
	if slices.Contains(r.Missed, name) {
		return "missed"
	}
	return "met"
}
