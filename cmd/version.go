package cmd

import (
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"azureshift/cli"
	"azureshift/version"
)

// showVersion prints the build information that the Go toolchain recorded.
func showVersion(args []string, stdout, stderr io.Writer) error {
	if err := cli.ParseFlags(cli.NewFlags("version", "", stderr), args, 0, 0); err != nil {
		return err
	}
	_, err := fmt.Fprintln(stdout, version.Read())
	return eris.Wrap(err, "print the version")
}
