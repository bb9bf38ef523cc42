// Package cli holds what the commands share: the version and exit codes.
package cli

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// Exit codes by kind of error.
const (
	ExitOK = iota
	// ExitFailure is any failure without a code of its own.
	ExitFailure
	// ExitUsage means bad arguments, settings or documents.
	ExitUsage
	// ExitConflict means that another change came first.
	ExitConflict
	// ExitUnreachable means that no host or platform could be reached.
	ExitUnreachable
	// ExitDenied means a missing or wrong token.
	ExitDenied
	// ExitNotFound means that the named thing does not exist.
	ExitNotFound
	// ExitWarnings means that a check found warnings and no errors.
	ExitWarnings
	// ExitFaults means that a check found errors.
	ExitFaults
)

// codeError is an error with an exit code.
type codeError struct {
	error
	code int
}

// Unwrap returns the error without its code.
func (e *codeError) Unwrap() error { return e.error }

// WithCode gives an error an exit code; a nil error stays nil.
func WithCode(err error, code int) error {
	if err == nil {
		return nil
	}
	return &codeError{error: err, code: code}
}

// Code returns the exit code of an error.
func Code(err error) int {
	var e *codeError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.code
	default:
		return ExitFailure
	}
}

// Version returns the module's version as built.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// Execute runs a root command and returns the exit code. An error that comes
// before a command runs is one of usage.
func Execute(ctx context.Context, root *cobra.Command, args []string) int {
	root.Version = Version()
	root.SilenceUsage, root.SilenceErrors = true, true
	started := false
	root.PersistentPreRun = func(*cobra.Command, []string) { started = true }
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", root.Name(), err)
	if !started {
		return ExitUsage
	}
	return Code(err)
}
