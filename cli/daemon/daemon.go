// Package daemon is the command line of spindled.
package daemon

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/comfreyspindle/comfreyspindle/cli"
	"github.com/comfreyspindle/comfreyspindle/node"
	"github.com/comfreyspindle/comfreyspindle/settings"
)

// Main runs the command and returns the exit code.
func Main(args []string) int {
	return cli.Execute(context.Background(), newCommand(), args)
}

func newCommand() *cobra.Command {
	var path string
	root := &cobra.Command{
		Use:   "spindled",
		Short: "Serve online and batch inference on one entry host",
		Example: `  spindled -f settings.yaml
  spindled check -f settings.yaml`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), path) },
	}
	root.PersistentFlags().StringVarP(&path, "file", "f", "settings.yaml", "settings file")
	root.AddCommand(&cobra.Command{
		Use: "check", Short: "Check the settings and start nothing", Args: cobra.NoArgs,
		Example: "  spindled check -f settings.yaml",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.Load(path); err != nil {
				return cli.WithCode(err, cli.ExitUsage)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", path)
			return nil
		},
	})
	root.AddCommand(newEdgeCommand(), newStorageCommand())
	return root
}

// serve runs a node until a signal, then stops it in order. A second signal
// ends the process at once.
func serve(ctx context.Context, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return cli.WithCode(err, cli.ExitUsage)
	}
	n, err := node.New(s, node.Options{})
	if err != nil {
		return cli.WithCode(err, cli.ExitUsage)
	}
	signals, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	served := make(chan error, 1)
	go func() { served <- n.Serve(ctx) }()
	select {
	case err := <-served:
		return err
	case <-signals.Done():
		stop()
	}
	bound, cancel := context.WithTimeout(ctx, s.Stop.BalancerDelay+s.Stop.Timeout)
	defer cancel()
	return n.Stop(bound)
}
