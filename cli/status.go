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

// Status tells the operator of a command's error and returns the exit status that it stands for.
func Status(err error, stderr io.Writer) int {
	var wrong *UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &wrong):
		wrong.Tell(stderr)
		return ExitUsage
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	default:
		// There is nobody to tell if the standard error is closed.
		_, _ = fmt.Fprintln(stderr, "azureshift:", err)
		return ExitFailure
	}
}
