package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/comfreyspindle/comfreyspindle/cli"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
	"github.com/comfreyspindle/comfreyspindle/upstream/upstreamtest"
)

func newPlatformCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use: "platform", Short: "Run the stand-in of the platform's key-value service", Args: cobra.NoArgs,
		Long:    "Run the stand-in of the platform's key-value service. It keeps everything in memory.",
		Example: "  spindlebench platform --listen 127.0.0.1:2379",
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return cli.WithCode(errors.Wrap(err, "--listen"), cli.ExitUsage)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "platform on %s\n", l.Addr())
			store := kvtest.NewStore(clockwork.NewRealClock())
			return serveUntil(cmd.Context(), l, kvtest.Handler(store))
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to bind")
	return cmd
}

func newEngineCommand() *cobra.Command {
	o := upstreamtest.DefaultOptions()
	cmd := &cobra.Command{
		Use: "engine", Short: "Run a stand-in engine", Args: cobra.NoArgs,
		Example: "  spindlebench engine --listen 127.0.0.1:20000 --step 10ms",
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := net.Listen("tcp", o.Listen)
			if err != nil {
				return cli.WithCode(errors.Wrap(err, "--listen"), cli.ExitUsage)
			}
			o.Listen = l.Addr().String()
			if err := l.Close(); err != nil {
				return err
			}
			e := upstreamtest.NewEngine(o)
			defer e.Close()
			fmt.Fprintf(cmd.OutOrStdout(), "engine on %s\n", e.Address())
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&o.Listen, "listen", "127.0.0.1:0", "address to bind")
	cmd.Flags().DurationVar(&o.StepBase, "step", o.StepBase, "time of a step with one sequence")
	cmd.Flags().IntVar(&o.MaxRunning, "running", o.MaxRunning, "sequences in one step")
	cmd.Flags().StringVar(&o.CrashMarker, "crash-marker", "", "crash at a prompt that holds this word")
	return cmd
}

// serveUntil serves until ctx ends.
func serveUntil(ctx context.Context, l net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
