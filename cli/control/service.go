package control

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"github.com/comfreyspindle/comfreyspindle/admin"
	"github.com/comfreyspindle/comfreyspindle/cli"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// pollTime is the time between two looks at hosts that are behind.
const pollTime = 500 * time.Millisecond

func newServiceCommand(f *flags) *cobra.Command {
	cmd := &cobra.Command{Use: "service", Short: "Work with service documents"}
	cmd.AddCommand(newCheckCommand(), newApplyCommand(f), newGetCommand(f), newDiffCommand(f), newListCommand(f),
		newHistoryCommand(f), newRollbackCommand(f))
	return cmd
}

func newCheckCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "check", Short: "Check a document and change nothing", Args: cobra.NoArgs,
		Example: "  spindlectl service check -f service.yaml",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, _, err := readDocument(path); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", path)
			return nil
		},
	}
	fileFlag(cmd, &path)
	return cmd
}

func fileFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVarP(path, "file", "f", "service.yaml", "service document")
}

func readDocument(path string) (*service.Document, string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, "", cli.WithCode(err, cli.ExitUsage)
	}
	doc, err := service.Parse(path, text)
	return doc, string(text), cli.WithCode(err, cli.ExitUsage)
}

// apply is one run of the apply command.
type apply struct {
	path    string
	dryRun  bool
	wait    bool
	timeout time.Duration
	basedOn int64
	errOut  io.Writer
}

func newApplyCommand(f *flags) *cobra.Command {
	a := &apply{}
	cmd := &cobra.Command{
		Use: "apply", Short: "Put a document in force", Args: cobra.NoArgs,
		Long: "Put a document in force. The edit is based on the generation in the file, as\n" +
			"\"service get\" prints it; none creates a service. A racing edit is refused, and the\n" +
			"difference shown.",
		Example: "  spindlectl service apply -f service.yaml --dry-run\n  spindlectl service apply -f service.yaml --wait",
		RunE: func(cmd *cobra.Command, args []string) error {
			a.errOut = cmd.ErrOrStderr()
			return f.run(a.run)(cmd, args)
		},
	}
	fileFlag(cmd, &a.path)
	cmd.Flags().BoolVar(&a.dryRun, "dry-run", false, "check and say what would be taken away; change nothing")
	a.waitFlags(cmd)
	cmd.Flags().Int64Var(&a.basedOn, "based-on", -1, "generation that the edit is based on, instead of the file's")
	return cmd
}

func (a *apply) waitFlags(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&a.wait, "wait", false, "wait until the generation is in force on every host")
	cmd.Flags().DurationVar(&a.timeout, "timeout", 30*time.Second, "bound on --wait")
}

func (a *apply) run(c *client, p *printer, _ []string) error {
	doc, text, err := readDocument(a.path)
	if err != nil {
		return err
	}
	basedOn := int64(doc.Generation)
	if a.basedOn >= 0 {
		basedOn = a.basedOn
	}
	query := url.Values{"based_on": {strconv.FormatInt(basedOn, 10)}, "by": {operatorName()}}
	if a.dryRun {
		query.Set("dry_run", "true")
	}
	answer, err := c.do(call{method: http.MethodPut, path: servicePath(doc.Name), query: query, body: text})
	if err != nil {
		return a.explainConflict(err, text)
	}
	var applied admin.Applied
	if err := json.Unmarshal(answer, &applied); err != nil {
		return errors.Wrap(err, "the answer can't be read")
	}
	for _, w := range applied.Warnings {
		fmt.Fprintf(a.errOut, "warning: %s: %s\n", w.Field, w.Message)
	}
	if a.dryRun {
		p.note("%s", applied.Diff)
	}
	return a.finish(c, p, &applied)
}

// finish prints what was applied, and waits for the hosts if asked.
func (a *apply) finish(c *client, p *printer, applied *admin.Applied) error {
	t := table{head: []string{"SERVICE", "GENERATION", "CHANGED"}}
	t.add(applied.Name, applied.Generation, !applied.DryRun)
	if err := p.print(applied, &t); err != nil || !a.wait || a.dryRun {
		return err
	}
	return a.await(c, applied.Name, applied.Generation)
}

func servicePath(name string) string { return "/v1/services/" + url.PathEscape(name) }

// operatorName names who edits, for the history.
func operatorName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// explainConflict shows what a refused edit would have undone.
func (a *apply) explainConflict(err error, text string) error {
	var conflict *conflictError
	if !errors.As(err, &conflict) {
		return err
	}
	current := conflict.problem.Current
	fmt.Fprint(a.errOut, unified("in force", current.Text, a.path, text))
	return cli.WithCode(errors.Newf(
		"%w; it was made by %q. Take it over into %s (spindlectl service get), or apply again with --based-on %d",
		err, current.By, a.path, current.Generation), cli.ExitConflict)
}

func unified(fromName, from, toName, to string) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from), B: difflib.SplitLines(to), FromFile: fromName, ToFile: toName, Context: 3,
	})
	if err != nil {
		return err.Error() + "\n"
	}
	return text
}

// await waits until the generation is in force on every host, and says on how
// many it is.
func (a *apply) await(c *client, name string, generation uint64) error {
	deadline := time.Now().Add(a.timeout)
	said := ""
	for {
		var hosts []admin.HostStatus
		if err := c.get("/v1/hosts", nil, &hosts); err != nil {
			return err
		}
		behind := behindHosts(hosts, name, generation)
		now := fmt.Sprintf("in force on %d of %d hosts", len(hosts)-len(behind), len(hosts))
		if len(behind) > 0 {
			now += "; behind: " + strings.Join(behind, ", ")
		}
		if now != said {
			fmt.Fprintln(a.errOut, now)
			said = now
		}
		if len(behind) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Newf("generation %d of %s is not %s after %s; look at them with spindlectl hosts", generation, name, now, a.timeout)
		}
		select {
		case <-c.ctx.Done():
			return c.ctx.Err()
		case <-time.After(pollTime):
		}
	}
}

// behindHosts names the hosts on which a generation is not in force, those
// that do not answer with the reason.
func behindHosts(hosts []admin.HostStatus, name string, generation uint64) []string {
	var out []string
	for _, h := range hosts {
		switch {
		case h.Missing != "":
			out = append(out, h.Name+" ("+h.Missing+")")
		case h.Generations[name] < generation:
			out = append(out, h.Name)
		}
	}
	return out
}

func newGetCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "get NAME", Short: "Print the document in force", Args: cobra.ExactArgs(1),
		Example: "  spindlectl service get dispatch-llm > service.yaml", ValidArgsFunction: f.completeServices,
		RunE: f.run(func(c *client, p *printer, args []string) error {
			text, err := c.do(call{method: http.MethodGet, path: servicePath(args[0])})
			if err != nil {
				return err
			}
			if p.format == "json" {
				doc, err := service.Parse(args[0], text)
				if err != nil {
					return err
				}
				return p.print(doc, nil)
			}
			_, err = p.w.Write(text)
			return err
		}),
	}
}

func newDiffCommand(f *flags) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "diff", Short: "Show what a document would change", Args: cobra.NoArgs,
		Long:    "Show what a document would change, defaults filled in. Exit code 3 says that there is a difference.",
		Example: "  spindlectl service diff -f service.yaml",
		RunE: f.run(func(c *client, p *printer, _ []string) error {
			doc, _, err := readDocument(path)
			if err != nil {
				return err
			}
			current, err := c.do(call{method: http.MethodGet, path: servicePath(doc.Name)})
			if err != nil && cli.Code(err) != cli.ExitNotFound {
				return err
			}
			inForce, err := service.Parse(doc.Name, current)
			if len(current) > 0 && err != nil {
				return err
			}
			if len(current) > 0 {
				doc.Generation = inForce.Generation
			}
			next, err := service.Marshal(doc)
			if err != nil {
				return err
			}
			text := unified("in force", string(current), path, string(next))
			if text == "" {
				return nil
			}
			fmt.Fprint(p.w, text)
			return cli.WithCode(errors.Newf("%s differs from what is in force", path), cli.ExitConflict)
		}),
	}
	fileFlag(cmd, &path)
	return cmd
}

func newListCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the services", Args: cobra.NoArgs, Example: "  spindlectl service list",
		RunE: f.run(func(c *client, p *printer, _ []string) error {
			var all []admin.ServiceSummary
			if err := c.get("/v1/services", nil, &all); err != nil {
				return err
			}
			t := table{head: []string{"SERVICE", "GENERATION", "UPSTREAMS", "CALLERS"}}
			for _, s := range all {
				t.add(s.Name, s.Generation, s.Upstreams, s.Callers)
			}
			return p.print(all, &t)
		}),
	}
}

// completeServices completes the names of services.
func (f *flags) completeServices(cmd *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
	c, err := f.client(cmd.Context())
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	var all []admin.ServiceSummary
	if err := c.get("/v1/services", nil, &all); err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	var names []string
	for _, s := range all {
		names = append(names, s.Name)
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

func newHistoryCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "history NAME", Short: "List the kept generations of a document", Args: cobra.ExactArgs(1),
		Long:    "List the kept generations of a document, newest first. -o yaml prints their texts.",
		Example: "  spindlectl service history dispatch-llm", ValidArgsFunction: f.completeServices,
		RunE: f.run(func(c *client, p *printer, args []string) error {
			var all []admin.Generation
			if err := c.get(servicePath(args[0])+"/history", nil, &all); err != nil {
				return err
			}
			t := table{head: []string{"GENERATION", "AT", "BY", "DELETED"}}
			for _, g := range all {
				t.add(g.Generation, g.At.Format(time.RFC3339), g.By, g.Deleted)
			}
			return p.print(all, &t)
		}),
	}
}

func newRollbackCommand(f *flags) *cobra.Command {
	a := &apply{}
	var to uint64
	cmd := &cobra.Command{
		Use: "rollback NAME", Short: "Make an earlier text the next generation", Args: cobra.ExactArgs(1),
		Example: "  spindlectl service rollback dispatch-llm --to 12 --wait", ValidArgsFunction: f.completeServices,
		RunE: func(cmd *cobra.Command, args []string) error {
			a.errOut = cmd.ErrOrStderr()
			return f.run(func(c *client, p *printer, args []string) error { return a.rollback(c, p, args[0], to) })(cmd, args)
		},
	}
	cmd.Flags().Uint64Var(&to, "to", 0, "generation whose text comes back, required")
	_ = cmd.MarkFlagRequired("to")
	a.waitFlags(cmd)
	return cmd
}

// rollback is based on the newest generation of the history, so that an edit
// that comes meanwhile is not undone unseen.
func (a *apply) rollback(c *client, p *printer, name string, to uint64) error {
	var history []admin.Generation
	if err := c.get(servicePath(name)+"/history", nil, &history); err != nil {
		return err
	}
	query := url.Values{
		"to": {strconv.FormatUint(to, 10)}, "by": {operatorName()},
		"based_on": {strconv.FormatUint(history[0].Generation, 10)},
	}
	answer, err := c.do(call{method: http.MethodPost, path: servicePath(name) + "/rollback", query: query})
	if err != nil {
		return err
	}
	var applied admin.Applied
	if err := json.Unmarshal(answer, &applied); err != nil {
		return errors.Wrap(err, "the answer can't be read")
	}
	return a.finish(c, p, &applied)
}
