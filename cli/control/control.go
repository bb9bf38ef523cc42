// Package control is the command line of spindlectl.
package control

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"github.com/comfreyspindle/comfreyspindle/cli"
)

// Main runs the command and returns the exit code.
func Main(args []string) int {
	return cli.Execute(context.Background(), newCommand(), args)
}

// flags are the flags of every command.
type flags struct {
	contexts  string
	context   string
	addresses []string
	tokenFile string
	output    string
}

func newCommand() *cobra.Command {
	f := &flags{}
	root := &cobra.Command{
		Use: "spindlectl", Short: "Operate services and hosts",
		Long: "Operate services and hosts. A context names the hosts' operators' addresses and a\n" +
			"token file; see \"spindlectl context\". Exit codes: 1 failure, 2 usage, 3 conflict,\n" +
			"4 no host reached, 5 token refused, 6 not found, 7 warnings of a check, 8 errors of a check.",
		Example: "  spindlectl service apply -f service.yaml --wait\n  spindlectl explain 01JD...",
	}
	p := root.PersistentFlags()
	p.StringVar(&f.contexts, "contexts", defaultContexts(), "file of contexts")
	p.StringVar(&f.context, "context", "", "context to use instead of the current one")
	p.StringSliceVar(&f.addresses, "address", nil, "operators' addresses, IP number and port, instead of a context")
	p.StringVar(&f.tokenFile, "token-file", "", "file with the operators' token, with --address")
	p.StringVarP(&f.output, "output", "o", "table", "table, json or yaml")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(formats, cobra.ShellCompDirectiveNoFileComp))
	_ = root.RegisterFlagCompletionFunc("context", f.completeContexts)
	root.AddCommand(
		newServiceCommand(f), newConfigCommand(f), newContextCommand(f), newHostsCommand(f), newUpstreamsCommand(f), newJobsCommand(f),
		newJobCommand(f), newTimelineCommand(f), newExplainCommand(f), newCostCommand(f), newReportCommand(f),
	)
	return root
}

// run makes the body of a command that talks to the hosts.
func (f *flags) run(body func(c *client, p *printer, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		p, err := f.printer(cmd.OutOrStdout())
		if err != nil {
			return err
		}
		c, err := f.client(cmd.Context())
		if err != nil {
			return err
		}
		return body(c, p, args)
	}
}

func (f *flags) printer(w io.Writer) (*printer, error) {
	return newPrinter(w, f.output)
}
