// Package control is the command line of spindlectl.
package control

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/comfreyspindle/comfreyspindle/cli"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// Main runs the command and returns the exit code.
func Main(args []string) int {
	return cli.Execute(context.Background(), newCommand(), args)
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "spindlectl", Short: "Operate services and hosts",
		Example: "  spindlectl service check -f service.yaml",
	}
	root.AddCommand(newServiceCommand())
	return root
}

func newServiceCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "service", Short: "Work with service documents"}
	var path string
	check := &cobra.Command{
		Use: "check", Short: "Check a document and change nothing", Args: cobra.NoArgs,
		Example: "  spindlectl service check -f service.yaml",
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := os.ReadFile(path)
			if err != nil {
				return cli.WithCode(err, cli.ExitUsage)
			}
			if _, err := service.Parse(path, text); err != nil {
				return cli.WithCode(err, cli.ExitUsage)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", path)
			return nil
		},
	}
	check.Flags().StringVarP(&path, "file", "f", "service.yaml", "service document")
	cmd.AddCommand(check)
	return cmd
}
