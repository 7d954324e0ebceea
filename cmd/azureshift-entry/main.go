// Command azureshift-entry runs one entry instance in front of the platform.
package main

import (
	"os"

	"azureshift/cmd/azureshift-entry/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
