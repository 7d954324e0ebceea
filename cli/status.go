package cli

import (
	"errors"
	"flag"
	"fmt"
	"io"
)

// The exit statuses of commands.
const (
	ExitOK = iota
	ExitFailure
	ExitUsage
)

// ExitStatus prints a command's error to stderr and returns the matching exit status.
func ExitStatus(err error, stderr io.Writer) int {
	var usage *UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		usage.Print(stderr)
		return ExitUsage
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	default:
		// The error is ignored: if stderr is closed, there is nowhere to report it.
		_, _ = fmt.Fprintln(stderr, "azureshift:", err)
		return ExitFailure
	}
}
