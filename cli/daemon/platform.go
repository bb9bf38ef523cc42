package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/comfreyspindle/comfreyspindle/cli"
	"github.com/comfreyspindle/comfreyspindle/host"
	"github.com/comfreyspindle/comfreyspindle/platform"
)

// newEdgeCommand serves on the users' platform, which gives the settings.
func newEdgeCommand() *cobra.Command {
	return &cobra.Command{
		Use: "edge", Short: "Serve callers on the users' platform", Args: cobra.NoArgs,
		Example: "  spindled edge",
		RunE:    func(cmd *cobra.Command, _ []string) error { return serveEdge(cmd.Context()) },
	}
}

// newStorageCommand runs where the platform wants a process beside a disk. It
// keeps nothing: what must last is in the platform's store.
func newStorageCommand() *cobra.Command {
	return &cobra.Command{
		Use: "storage", Short: "Hold a place on a storage host of the users' platform", Args: cobra.NoArgs,
		Example: "  spindled storage",
		RunE: func(cmd *cobra.Command, _ []string) error {
			hangup := make(chan os.Signal, 1)
			signal.Notify(hangup, syscall.SIGHUP)
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			<-ctx.Done()
			return nil
		},
	}
}

func serveEdge(ctx context.Context) error {
	// Signals may come while the host is starting, and would end the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	signals, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	path := platform.SettingsPath()
	if path == "" {
		return cli.WithCode(errors.New("the platform names no settings file"), cli.ExitUsage)
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return cli.WithCode(err, cli.ExitUsage)
	}
	h, err := host.New(s, os.Stdout)
	if err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- h.Serve(ctx) }()
	for {
		select {
		case err := <-served:
			return err
		case <-hangup:
			h.Reload(path)
		case <-signals.Done():
			// The platform ends a stop that takes too long by SIGKILL: another SIGTERM changes
			// nothing. A second interrupt by hand ends the process at once.
			signal.Reset(syscall.SIGINT)
			return h.Stop(ctx)
		}
	}
}
