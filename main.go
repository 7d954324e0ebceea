// Command azureshift is a load balancer for datagram services and their backend servers.
package main

import (
	"os"

	"azureshift/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
