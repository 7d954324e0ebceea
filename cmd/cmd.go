// Package cmd implements the subcommands of azureshift.
package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"azureshift/cli"
)

const _usage = `usage: azureshift COMMAND [flags]

commands:
  entry      run one entry instance that uses the users' platform
  tour       run a deployment with an embedded platform through planned maintenance and faults, and report
  serve      run one entry instance of the CoAP deployment
  demo       run complete CoAP deployments on embedded stand-ins, and report
  bundle     validate, sign off, roll, show and compare bundles
  status     show the status of running entry instances
  experiment compare placement strategies for flows and requests, or measure the membership protocol
  soak       run instances as processes under random faults and check what clients observe
  standin    run one stand-in: platform, fabric, backend or caller
  version    show the version of this program

"azureshift COMMAND -h" shows the flags. README.md has a walkthrough.
`

// Run runs the command given by args and returns its exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		_, _ = fmt.Fprint(stderr, _usage)
		return cli.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return cli.ExitStatus(dispatch(ctx, args, stdout, stderr), stderr)
}

func dispatch(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	switch args[0] {
	case "entry":
		return entryCommand(args[1:], stdout, stderr)
	case "soak":
		return runSoak(args[1:], stdout, stderr)
	case "tour":
		return runTour(args[1:], stdout, stderr)
	case "serve":
		return serve(ctx, args[1:], stderr)
	case "demo":
		return runDemo(ctx, args[1:], stdout, stderr)
	case "standin":
		return standin(ctx, args[1:], stdout, stderr)
	case "bundle":
		return bundleCommand(ctx, args[1:], stdout, stderr)
	case "status":
		return showStatus(ctx, args[1:], stdout, stderr)
	case "version":
		return showVersion(args[1:], stdout, stderr)
	case "experiment":
		return runExperiment(args[1:], stdout, stderr)
	case "-h", "-help", "--help", "help":
		_, _ = fmt.Fprint(stderr, _usage)
		return flag.ErrHelp
	default:
		const commands = "serve, entry, tour, demo, bundle, status, experiment, soak, standin or version"
		return cli.Usagef("unknown command %q; use %s", args[0], commands)
	}
}
