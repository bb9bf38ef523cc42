package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/comfreyspindle/comfreyspindle/bench/capacity"
	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/bench/suite"
	"github.com/comfreyspindle/comfreyspindle/cli"
)

func newCapacityCommand() *cobra.Command {
	env := &experiment.Env{}
	var slopesPath, savePath string
	cmd := &cobra.Command{
		Use: "capacity", Short: "Work out the cost of each role at the design size", Args: cobra.NoArgs,
		Long: "Measure slopes at several sizes on this machine and work out from them what each role costs at the design size.",
		Example: `  spindlebench capacity --save docs/results/slopes.json
  spindlebench capacity --slopes docs/results/slopes.json`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			env.Progress = progress(cmd)
			slopes, err := slopesOf(cmd, env, slopesPath)
			if err != nil {
				return err
			}
			if savePath != "" {
				if err := saveSlopes(savePath, slopes); err != nil {
					return err
				}
			}
			return writeCapacity(cmd.OutOrStdout(), slopes)
		},
	}
	cmd.Flags().Uint64Var(&env.Seed, "seed", 1, "seed of the load")
	cmd.Flags().Float64Var(&env.Scale, "scale", 1, "factor on the length of the measurements")
	cmd.Flags().StringVar(&slopesPath, "slopes", "", "take the slopes from this file and measure nothing")
	cmd.Flags().StringVar(&savePath, "save", "", "write the measured slopes to this file")
	return cmd
}

func slopesOf(cmd *cobra.Command, env *experiment.Env, path string) (capacity.Slopes, error) {
	if path == "" {
		return suite.Slopes(cmd.Context(), env)
	}
	var s capacity.Slopes
	text, err := os.ReadFile(path)
	if err != nil {
		return s, cli.WithCode(errors.Wrap(err, "read slopes"), cli.ExitUsage)
	}
	return s, errors.Wrapf(json.Unmarshal(text, &s), "decode slopes %s", path)
}

func saveSlopes(path string, s capacity.Slopes) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(path, append(text, '\n'), 0o644), "write slopes")
}

func writeCapacity(out io.Writer, s capacity.Slopes) error {
	rows := capacity.Plan(capacity.TwoYears(), s)
	total := capacity.Total(rows)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "role\tcore %\tMB\tB/s\twrites/s\treads/s\t")
	for _, r := range append(rows, total) {
		name := r.Role
		if r.Data {
			name += " (data)"
		}
		fmt.Fprintf(w, "%s\t%.3f\t%.1f\t%.0f\t%.1f\t%.1f\t\n", name, 100*r.CPU, r.Bytes/(1<<20), r.Traffic, r.Writes, r.Reads)
	}
	b := capacity.UserBudgets()
	fmt.Fprintf(w, "budget\t%.3f\t%.1f\t%.0f\t%.1f\t%.1f\t\n", 100*b.CPU, b.Bytes/(1<<20), b.Traffic, b.Writes, b.Reads)
	if err := w.Flush(); err != nil {
		return err
	}
	if missed := capacity.Misses(total, b); len(missed) > 0 {
		fmt.Fprintf(out, "over budget: %s\n", strings.Join(missed, ", "))
	}
	return nil
}
