package cmd

import (
	"io"

	"azureshift/cmd/azureshift-entry/command"
)

// entryCommand runs the same command as the program azureshift-entry.
func entryCommand(args []string, stdout, stderr io.Writer) error {
	return command.Execute(args, stdout, stderr)
}
