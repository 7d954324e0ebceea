// Package cli parses command lines and reports usage errors to operators.
package cli

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
)

// UsageError describes the operator's mistakes in the arguments or input files, one per line.
type UsageError struct {
	Lines []string
}

// Error joins the lines.
func (err *UsageError) Error() string {
	return strings.Join(err.Lines, "\n")
}

// Unwrap returns flag.ErrHelp, so that callers which test for it treat the error as one of usage.
func (err *UsageError) Unwrap() error {
	return flag.ErrHelp
}

// Usagef returns a UsageError with one formatted line.
func Usagef(format string, values ...any) error {
	return &UsageError{Lines: []string{fmt.Sprintf(format, values...)}}
}

// Print writes each line to stderr, prefixed with the program's name.
func (err *UsageError) Print(stderr io.Writer) {
	for _, line := range err.Lines {
		_, _ = fmt.Fprintln(stderr, "azureshift:", line)
	}
}

// NewFlags returns a flag set whose usage text begins with a line that shows how to call the command.
func NewFlags(name, call string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.Usage = func() {
		_, _ = fmt.Fprintf(stderr, "usage: azureshift %s %s\n\nflags:\n", name, call)
		flags.SetOutput(stderr)
		flags.PrintDefaults()
		flags.SetOutput(io.Discard)
	}
	return flags
}

// ParseFlags parses the flags and checks that the required ones are set and that between least and most arguments
// follow them.
func ParseFlags(flags *flag.FlagSet, args []string, least, most int, required ...string) error {
	usage := flags.Usage
	flags.Usage = func() {}
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		usage()
		return flag.ErrHelp
	}
	if err != nil {
		return Usagef("%s: %v; see azureshift %s -h", flags.Name(), err, flags.Name())
	}
	for _, name := range required {
		if flags.Lookup(name).Value.String() == "" {
			return Usagef("%s: flag -%s is missing; see azureshift %s -h", flags.Name(), name, flags.Name())
		}
	}
	if flags.NArg() < least {
		return Usagef("%s: FILE is missing; see azureshift %s -h", flags.Name(), flags.Name())
	}
	if flags.NArg() > most {
		return Usagef("%s: unexpected %q; flags go before FILE, see azureshift %s -h",
			flags.Name(), flags.Arg(most), flags.Name())
	}
	return nil
}
