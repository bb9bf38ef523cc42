package control

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/comfreyspindle/comfreyspindle/cli"
	"github.com/comfreyspindle/comfreyspindle/configcheck"
	"github.com/comfreyspindle/comfreyspindle/platform"
)

func newConfigCommand(f *flags) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Work with the configuration of hosts on the users' platform"}
	cmd.AddCommand(newConfigCheckCommand(f))
	return cmd
}

// configCheck is one run of the config check command.
type configCheck struct {
	path, inForce, replicas string
	slotTime                time.Duration
	jobTokens               int64
	stdin                   io.Reader
}

// configReport is the output of the config check command.
type configReport struct {
	// Version is the version of the checked configuration; zero if it can't be decoded.
	Version int64 `json:"version"`
	// InForceVersion is missing without a version in force.
	InForceVersion *int64                `json:"in_force_version,omitempty"`
	Errors         int                   `json:"errors"`
	Warnings       int                   `json:"warnings"`
	Changes        int                   `json:"changes"`
	Findings       []configcheck.Finding `json:"findings"`
}

func newConfigCheckCommand(f *flags) *cobra.Command {
	c := &configCheck{}
	cmd := &cobra.Command{
		Use: "check", Short: "Check a configuration before it is sent, and change nothing", Args: cobra.NoArgs,
		Long: "Check a configuration before it is sent to the platform, and change nothing. No host is\n" +
			"contacted. The exit code is 8 with errors, 7 with warnings only, and 0 otherwise, also\n" +
			"with changes. See docs/CONFIG-CHECK.md.",
		Example: "  spindlectl config check -f new.json --in-force old.json\n" +
			"  spindlectl config check -f new.json --replicas replicas.json --slot-time 1.2s -o json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			c.stdin = cmd.InOrStdin()
			p, err := f.printer(cmd.OutOrStdout())
			if err != nil {
				return err
			}
			return c.run(p)
		},
	}
	flags := cmd.Flags()
	flags.StringVarP(&c.path, "file", "f", "", "configuration to check; - is standard input")
	flags.StringVar(&c.inForce, "in-force", "", "configuration in force, to report differences")
	flags.StringVar(&c.replicas, "replicas", "", "JSON list of the records of replicas, to find services without any")
	flags.DurationVar(&c.slotTime, "slot-time", 0, "mean time for which a request uses a slot; with --replicas, to check quotas")
	flags.Int64Var(&c.jobTokens, "job-tokens", 0, "tokens of one job, prompts and output, to check the limits of waiting tokens")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func (c *configCheck) run(p *printer) error {
	env, err := c.environment()
	if err != nil {
		return err
	}
	inForce, err := c.readInForce()
	if err != nil {
		return err
	}
	text, err := c.read(c.path)
	if err != nil {
		return err
	}
	report := configReport{Findings: []configcheck.Finding{}}
	if inForce != nil {
		report.InForceVersion = &inForce.Table.Version
	}
	next, err := platform.DecodeConfigForCheck(text)
	if err != nil {
		report.Findings = append(report.Findings, platform.UndecodableFinding(text, err))
	} else {
		report.Version = next.Table.Version
		report.Findings = append(report.Findings, configcheck.Check(next, inForce, env)...)
	}
	report.count()
	if err := report.print(p); err != nil {
		return err
	}
	return report.err(c.path)
}

// read reads a file or standard input.
func (c *configCheck) read(path string) ([]byte, error) {
	if path == "-" {
		text, err := io.ReadAll(c.stdin)
		return text, cli.WithCode(err, cli.ExitUsage)
	}
	text, err := os.ReadFile(path)
	return text, cli.WithCode(err, cli.ExitUsage)
}

// environment reads what the flags say of the fleet.
func (c *configCheck) environment() (configcheck.Environment, error) {
	env := configcheck.Environment{SlotTime: c.slotTime, JobTokens: c.jobTokens}
	switch {
	case c.slotTime < 0 || c.jobTokens < 0:
		return env, cli.WithCode(errors.New("--slot-time and --job-tokens must not be below 0"), cli.ExitUsage)
	case c.slotTime > 0 && c.replicas == "":
		return env, cli.WithCode(errors.New("--slot-time needs --replicas"), cli.ExitUsage)
	case c.replicas == "":
		return env, nil
	}
	text, err := c.read(c.replicas)
	if err != nil {
		return env, err
	}
	env.Replicas, err = platform.DecodeReplicaList(text)
	return env, cli.WithCode(errors.Wrap(err, c.replicas), cli.ExitUsage)
}

// readInForce reads the version in force, or nil if none was named.
func (c *configCheck) readInForce() (*configcheck.Config, error) {
	if c.inForce == "" {
		return nil, nil
	}
	text, err := c.read(c.inForce)
	if err != nil {
		return nil, err
	}
	config, err := platform.DecodeConfigForCheck(text)
	return config, cli.WithCode(errors.Wrapf(err, "version in force %s", c.inForce), cli.ExitUsage)
}

func (r *configReport) count() {
	r.Errors = configcheck.Count(r.Findings, configcheck.Error)
	r.Warnings = configcheck.Count(r.Findings, configcheck.Warning)
	r.Changes = configcheck.Count(r.Findings, configcheck.Change)
}

// print prints a line for each finding, or the report in the wanted format. A table would
// cut the reasons off on a terminal.
func (r *configReport) print(p *printer) error {
	if p.format != "table" {
		return p.print(r, nil)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(p.w, findingLine(f)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(p.w, "version %d: %d errors, %d warnings, %d changes\n", r.Version, r.Errors, r.Warnings, r.Changes)
	return err
}

// err returns the error that gives the exit code.
func (r *configReport) err(path string) error {
	switch {
	case r.Errors > 0:
		return cli.WithCode(errors.Newf("%s has errors", path), cli.ExitFaults)
	case r.Warnings > 0:
		return cli.WithCode(errors.Newf("%s has warnings", path), cli.ExitWarnings)
	default:
		return nil
	}
}

// findingLine returns a finding as one line.
func findingLine(f configcheck.Finding) string {
	parts := []string{string(f.Severity)}
	field := f.Field
	if f.InForce {
		field += " (in force)"
	}
	if field != "" {
		parts = append(parts, field)
	}
	switch {
	case f.Previous != "":
		parts = append(parts, printable(f.Previous)+" -> "+printable(f.Value))
	case f.Value != "":
		parts = append(parts, printable(f.Value))
	}
	return strings.Join(append(parts, f.Reason), ": ") + " [" + string(f.Rule) + "]"
}

// printable quotes a value that has characters that a terminal could interpret.
func printable(value string) string {
	if quoted := strconv.Quote(value); quoted != `"`+value+`"` {
		return quoted
	}
	return value
}
