package placement

import (
	"fmt"
	"io"
	"slices"
	"time"

	"azureshift/core/id"
	"azureshift/core/placement"
)

const (
	_header = "%-38s %-18s %8s %7s %7s %6s %6s %8s %8s %8s %6s %5s\n"
	_row    = "%-38s %-18s %8d %7d %7d %6.3f %6.3f %8.0f %8d %8d %6d %5d\n"
)

// Config configures a comparison of strategies.
type Config struct {
	Seed int64
	// Scale is the share of the workload's flows that are simulated.
	Scale float64
	// ControlLossRate is the share of control messages that are lost.
	ControlLossRate float64
	// Workload sets the domains and services; Valtellina if empty.
	Workload Workload
	// Scenarios are the scenarios to run; all if empty.
	Scenarios []Scenario
	// Strategies are the constructors of the strategies to compare; all if empty.
	Strategies []func() Strategy
	// Disabled disables mechanisms of core/placement.
	Disabled placement.Disabled
}

// Imbalance describes the distribution of the flows of a service over its targets.
type Imbalance struct {
	Service id.Service
	// Max and P99 are the largest and the 99th percentile load of a target relative to the mean.
	Max float64
	P99 float64
}

// Cost is the overhead of a strategy.
type Cost struct {
	// ControlBytes is the number of bytes that all instances sent to each other.
	ControlBytes int
	// PeakBytes is the largest number of bytes that one instance sent in one second.
	PeakBytes int
	// Entries is the number of flow table entries of all instances at the end.
	Entries int
	// Records is the number of flows placed off their home.
	Records int
	// Held is the number of flows whose first datagram had to wait for a control message.
	Held int
	// Violations is the number of violated internal invariants.
	Violations int
}

// Result is the outcome of one strategy in one scenario.
type Result struct {
	Scenario  string
	Strategy  string
	Planned   bool
	Flows     int
	Datagrams int
	// Broken counts flows that moved to another target while their target was alive and reachable.
	Broken int
	// Lost counts flows whose target failed or became unreachable.
	Lost       int
	Imbalances []Imbalance
	Cost       Cost
	Duration   time.Duration
}

// Report holds the results of one run.
type Report struct {
	Config  Config
	Results []Result
}

// Run simulates every scenario with every strategy.
func Run(config Config) Report {
	if config.Scale == 0 {
		config.Scale = 1
	}
	if config.Workload.Name == "" {
		config.Workload = Valtellina()
	}
	if len(config.Scenarios) == 0 {
		config.Scenarios = Scenarios()
	}
	if len(config.Strategies) == 0 {
		config.Strategies = Strategies(config.Disabled)
	}
	report := Report{Config: config}
	for _, scenario := range config.Scenarios {
		for _, create := range config.Strategies {
			strategy := create()
			result := Result{
				Scenario: scenario.Name, Strategy: strategy.Name(), Planned: scenario.Planned, Duration: scenario.Duration,
			}
			newSimulation(config, config.Workload, strategy, &result).run(scenario)
			report.Results = append(report.Results, result)
		}
	}
	return report
}

// Print writes the report as a table.
func (report Report) Print(writer io.Writer) error {
	config := report.Config
	_, err := fmt.Fprintf(writer, "placement: %s at scale %g, seed %d, %g of control messages lost\n"+_header,
		config.Workload.Name, config.Scale, config.Seed, config.ControlLossRate,
		"scenario", "strategy", "flows", "broken", "lost", "max", "p99", "B/s/inst", "peak B/s", "entries", "held", "viol")
	for _, result := range report.Results {
		if err != nil {
			return err
		}
		rate := float64(result.Cost.ControlBytes) / result.Duration.Seconds() / (3 * _instancesPerDomain)
		_, err = fmt.Fprintf(writer, _row,
			result.Scenario, result.Strategy, result.Flows, result.Broken, result.Lost,
			result.Imbalances[0].Max, result.Imbalances[0].P99, rate,
			result.Cost.PeakBytes, result.Cost.Entries, result.Cost.Held, result.Cost.Violations)
	}
	return err
}

func imbalanceOf(service id.Service, loads []int) Imbalance {
	slices.Sort(loads)
	total := 0
	for _, load := range loads {
		total += load
	}
	mean := float64(total) / float64(len(loads))
	high := loads[(len(loads)*99+99)/100-1]
	return Imbalance{Service: service, Max: float64(loads[len(loads)-1]) / mean, P99: float64(high) / mean}
}
