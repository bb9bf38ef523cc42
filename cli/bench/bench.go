// Package bench is the command line of spindlebench.
package bench

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/comfreyspindle/comfreyspindle/bench/demo"
	"github.com/comfreyspindle/comfreyspindle/cli"
)

// Main runs the command and returns the exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return cli.Execute(ctx, newCommand(), args)
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "spindlebench", Short: "Generate load, run experiments, show a demo",
		Example: "  spindlebench demo",
	}
	root.AddCommand(newDemoCommand(), newRunCommand(), newListCommand(), newCompareCommand(),
		newPlatformCommand(), newEngineCommand(), newCapacityCommand())
	return root
}

func newDemoCommand() *cobra.Command {
	var o demo.Options
	cmd := &cobra.Command{
		Use: "demo", Short: "Start a small fleet in this process and serve both example services", Args: cobra.NoArgs,
		Example: `  spindlebench demo
  spindlebench demo --keep`,
		RunE: func(cmd *cobra.Command, _ []string) error { return demo.Run(cmd.Context(), cmd.OutOrStdout(), o) },
	}
	cmd.Flags().DurationVar(&o.Duration, "duration", 4*time.Second, "length of each of the two phases")
	cmd.Flags().IntVar(&o.Items, "items", 600, "items of each evening batch")
	cmd.Flags().BoolVar(&o.Keep, "keep", false, "stay up until interrupted")
	return cmd
}
