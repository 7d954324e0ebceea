package cmd

import (
	"flag"
	"fmt"
	"io"

	"azureshift/cli"
	"azureshift/experiment/load"
	"azureshift/experiment/membership"
	"azureshift/experiment/placement"
	"azureshift/experiment/requests"
)

const _experimentUsage = `usage: azureshift experiment NAME [flags]

experiments, all simulated in virtual time:
  placement    broken flows and load balance of strategies under planned changes and faults
  requests     waiting time, goodput and imbalance of policies for targets with few slots
  membership   control traffic and failure detection by fleet size
  load         requests answered in time under load patterns, faults and overload, by placement strategy
  even         load of the busiest server by fleet size and placement strategy, on the deployments with high load

"azureshift experiment NAME -h" shows the flags.
`

const _placementScale = 0.1

func runExperiment(args []string, stdout, stderr io.Writer) error {
	if len(args) == 0 {
		return cli.Usagef("experiment: name one of placement, requests, membership, load and even")
	}
	switch args[0] {
	case "placement":
		return experimentPlacement(args[1:], stdout, stderr)
	case "requests":
		return experimentRequests(args[1:], stdout, stderr)
	case "membership":
		return experimentMembership(args[1:], stdout, stderr)
	case "load":
		return experimentLoad(args[1:], stdout, stderr)
	case "even":
		return experimentEven(args[1:], stdout, stderr)
	case "-h", "-help", "--help", "help":
		_, _ = fmt.Fprint(stderr, _experimentUsage)
		return flag.ErrHelp
	default:
		return cli.Usagef("unknown experiment %q; use placement, requests, membership, load or even", args[0])
	}
}

func experimentPlacement(args []string, stdout, stderr io.Writer) error {
	flags := cli.NewFlags("experiment placement", "[flags]", stderr)
	config := placement.Config{}
	flags.Int64Var(&config.Seed, "seed", 1, "seed of all random choices")
	flags.Float64Var(&config.Scale, "scale", _placementScale, "fraction of the flows to simulate, above 0 and up to 1")
	flags.Float64Var(&config.ControlLossRate, "drop", 0, "fraction of control messages that are lost, from 0 to below 1")
	customer := flags.String("customer", "Valtellina", "customer whose deployment size to use: Valtellina or Anahuac")
	if err := cli.ParseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	if config.Scale <= 0 || config.Scale > 1 {
		return cli.Usagef("experiment placement: -scale %g must be above 0 and at most 1", config.Scale)
	}
	if config.ControlLossRate < 0 || config.ControlLossRate >= 1 {
		return cli.Usagef("experiment placement: -drop %g must be at least 0 and below 1", config.ControlLossRate)
	}
	switch *customer {
	case "Valtellina":
		config.Workload = placement.Valtellina()
	case "Anahuac":
		config.Workload = placement.Anahuac()
	default:
		return cli.Usagef("experiment placement: unknown customer %q; use Valtellina or Anahuac", *customer)
	}
	return placement.Run(config).Print(stdout)
}

func experimentRequests(args []string, stdout, stderr io.Writer) error {
	flags := cli.NewFlags("experiment requests", "[flags]", stderr)
	config := requests.DefaultConfig()
	flags.Int64Var(&config.Seed, "seed", config.Seed, "seed of all random choices")
	flags.DurationVar(&config.Duration, "span", config.Duration, "length of the measurement in virtual time")
	flags.IntVar(&config.Backlog, "backlog", config.Backlog, "requests that a target queues beyond its slots")
	if err := cli.ParseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	if config.Duration <= 0 || config.Backlog < 0 {
		return cli.Usagef("experiment requests: -span must be above 0 and -backlog at least 0")
	}
	return requests.Run(config).Print(stdout)
}

func experimentMembership(args []string, stdout, stderr io.Writer) error {
	flags := cli.NewFlags("experiment membership", "[flags]", stderr)
	config := membership.DefaultConfig()
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "seed of all random choices")
	largest := flags.Int("largest", config.Sizes[1], "size of the largest fleet to measure; 2000 takes minutes")
	if err := cli.ParseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	sizes := config.Sizes
	config.Sizes = nil
	for _, size := range sizes {
		if size <= *largest {
			config.Sizes = append(config.Sizes, size)
		}
	}
	if len(config.Sizes) == 0 {
		return cli.Usagef("experiment membership: -largest %d is below the smallest fleet size, %d", *largest, sizes[0])
	}
	membership.Run(config).Print(stdout)
	return nil
}

func experimentLoad(args []string, stdout, stderr io.Writer) error {
	flags := cli.NewFlags("experiment load", "[flags]", stderr)
	config := load.Valtellina()
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "seed of all random choices")
	flags.DurationVar(&config.Duration, "span", config.Duration, "length of the measurement in virtual time")
	flags.DurationVar(&config.ExchangeInterval, "tell", config.ExchangeInterval,
		"interval at which instances receive the combined measurements")
	flags.IntVar(&config.LoadsPerExchange, "window", config.LoadsPerExchange,
		"number of servers whose loads are sent at a time; 0 means all")
	charts := flags.String("charts", "", "directory for a chart of each load pattern")
	if err := cli.ParseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	if config.Duration <= 0 || config.ExchangeInterval <= 0 || config.LoadsPerExchange < 0 {
		return cli.Usagef("experiment load: -span and -tell must be above 0 and -window at least 0")
	}
	results := load.RunAll(config)
	if *charts != "" {
		if err := load.SaveCharts(*charts, results); err != nil {
			return err
		}
	}
	return load.Print(stdout, results)
}

func experimentEven(args []string, stdout, stderr io.Writer) error {
	flags := cli.NewFlags("experiment even", "[flags]", stderr)
	seed := flags.Uint64("seed", 1, "seed of all random choices")
	largest := flags.Int("largest", _evenLargest, "size of the largest fleet to measure; 2029 takes minutes")
	if err := cli.ParseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	if *largest < 1 {
		return cli.Usagef("experiment even: -largest must be above 0")
	}
	return load.PrintEven(stdout, load.RunEven(*seed, *largest))
}

// _evenLargest is the size of the larger of the deployments with high load.
const _evenLargest = 137
