package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"runtime/pprof"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/bench/suite"
	"github.com/comfreyspindle/comfreyspindle/cli"
)

// Errors that decide the exit code.
var (
	errMissed = errors.New("a target was missed")
	errWorse  = errors.New("a figure became worse")
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

func newRunCommand() *cobra.Command {
	env := &experiment.Env{}
	var format, commit, profile string
	cmd := &cobra.Command{
		Use: "run EXPERIMENT", Short: "Run an experiment with its baselines", Args: cobra.ExactArgs(1),
		Example: `  spindlebench run mixed
  spindlebench run overload --seed 7 --scale 0.5 -o json > overload.json`,
		ValidArgsFunction: func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
			return names(), cobra.ShellCompDirectiveNoFileComp
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			x, ok := suite.Find(args[0])
			if !ok {
				return cli.WithCode(errors.Newf("there is no experiment %q; see spindlebench list", args[0]), cli.ExitUsage)
			}
			if format != formatTable && format != formatJSON {
				return cli.WithCode(errors.Newf("the output format is table or json, not %q", format), cli.ExitUsage)
			}
			env.Progress = progress(cmd)
			stop, err := startProfile(profile)
			if err != nil {
				return cli.WithCode(err, cli.ExitUsage)
			}
			defer stop()
			report, err := experiment.Execute(cmd.Context(), x, env, commitOr(commit))
			if err != nil {
				return err
			}
			if err := write(cmd.OutOrStdout(), report, format); err != nil {
				return err
			}
			if !report.Pass {
				return errMissed
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&env.Seed, "seed", 1, "seed of the load")
	cmd.Flags().Float64Var(&env.Scale, "scale", 1, "factor on the length of the run")
	cmd.Flags().StringVarP(&format, "output", "o", formatTable, "output format: table or json")
	cmd.Flags().StringVar(&profile, "cpuprofile", "", "write a CPU profile to this file")
	cmd.Flags().StringVar(&commit, "commit", "", "commit to name in the report; taken from the build where it is known")
	return cmd
}

// startProfile begins a CPU profile and returns the function that ends it. An
// empty path profiles nothing.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "--cpuprofile")
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}

// progress returns where progress is printed: standard error on a terminal.
func progress(cmd *cobra.Command) io.Writer {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 && os.Getenv("SPINDLEBENCH_PROGRESS") == "" {
		return io.Discard
	}
	return cmd.ErrOrStderr()
}

func commitOr(commit string) string {
	if commit != "" {
		return commit
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return ""
}

func write(out io.Writer, r *experiment.Report, format string) error {
	if format == formatTable {
		return r.Write(out)
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

func names() []string {
	var out []string
	for _, x := range suite.All() {
		out = append(out, x.Name)
	}
	return out
}

func newListCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the experiments", Args: cobra.NoArgs, Example: "  spindlebench list",
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			for _, x := range suite.All() {
				fmt.Fprintf(w, "%s\t%s\n", x.Name, x.Summary)
			}
			return w.Flush()
		},
	}
}

func newCompareCommand() *cobra.Command {
	return &cobra.Command{
		Use: "compare BEFORE.json AFTER.json", Short: "Compare two reports of one experiment", Args: cobra.ExactArgs(2),
		Example: "  spindlebench compare docs/results/mixed.json new.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			before, err := readReport(args[0])
			if err != nil {
				return cli.WithCode(err, cli.ExitUsage)
			}
			after, err := readReport(args[1])
			if err != nil {
				return cli.WithCode(err, cli.ExitUsage)
			}
			changes, err := experiment.Compare(before, after)
			if err != nil {
				return cli.WithCode(err, cli.ExitUsage)
			}
			if err := experiment.WriteChanges(cmd.OutOrStdout(), changes); err != nil {
				return err
			}
			for _, c := range changes {
				if c.Worse {
					return errWorse
				}
			}
			return nil
		},
	}
}

func readReport(path string) (*experiment.Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	var r experiment.Report
	return &r, errors.Wrapf(json.Unmarshal(text, &r), "decode report %s", path)
}
