package experiment_test

import (
	"bytes"
	"context"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
)

func TestExecuteJudgesFigures(t *testing.T) {
	rows := []struct {
		name   string
		figure experiment.Figures
		target experiment.Target
		pass   bool
	}{
		{"at most, met", experiment.Figures{"f": 1}, experiment.Target{Op: experiment.AtMost, Value: 1}, true},
		{"at most, missed", experiment.Figures{"f": 1.1}, experiment.Target{Op: experiment.AtMost, Value: 1}, false},
		{"at least, missed", experiment.Figures{"f": 0.9}, experiment.Target{Op: experiment.AtLeast, Value: 1}, false},
		{"no figure", experiment.Figures{}, experiment.Target{Op: experiment.AtLeast, Value: 0}, false},
		{"no number", experiment.Figures{"f": math.NaN()}, experiment.Target{Op: experiment.AtMost, Value: 1}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			x := &experiment.Experiment{
				Name: "x", Targets: map[string]experiment.Target{"f": row.target},
				Run: func(context.Context, *experiment.Env) (experiment.Figures, error) { return row.figure, nil },
			}
			r, err := experiment.Execute(context.Background(), x, &experiment.Env{Scale: 1}, "")
			require.NoError(t, err)
			require.Equal(t, row.pass, r.Pass)
			require.NoError(t, r.Write(&bytes.Buffer{}))
		})
	}
}

func TestCompareReportsWorse(t *testing.T) {
	targets := map[string]experiment.Target{
		"low": {Op: experiment.AtMost, Value: 1}, "high": {Op: experiment.AtLeast, Value: 1},
	}
	before := &experiment.Report{Experiment: "x", Figures: experiment.Figures{"low": 1, "high": 1, "free": 1}, Targets: targets}
	after := &experiment.Report{Experiment: "x", Figures: experiment.Figures{"low": 1.06, "high": 0.96, "free": 9}, Targets: targets}
	changes, err := experiment.Compare(before, after)
	require.NoError(t, err)
	worse := map[string]bool{}
	for _, c := range changes {
		worse[c.Name] = c.Worse
	}
	require.Equal(t, map[string]bool{"low": true, "high": false, "free": false}, worse)
	_, err = experiment.Compare(before, &experiment.Report{Experiment: "y"})
	require.Error(t, err)
}
