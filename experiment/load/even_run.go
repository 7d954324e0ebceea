package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// EvenResult is the result of one policy in a deployment with a number of instances.
type EvenResult struct {
	Deployment string
	Instances  int
	Result
}

// _evenInstances are the compared numbers of instances. The largest fleet gets twice the servers and clients, half the
// time and the best policies only, as a run of it takes half a minute.
var _evenInstances = []int{15, 137, 2029}

const _largeFleet = 1000

// RunEven compares the policies that were weighed for even load, on calm load and on a wave in each deployment.
func RunEven(seed uint64, largest int) []EvenResult {
	var results []EvenResult
	for _, instances := range _evenInstances {
		if instances > largest {
			continue
		}
		for _, run := range []struct {
			deployment string
			config     Config
			patterns   []Pattern
		}{
			{"dispatch", EvenDispatch(instances), []Pattern{calm(), Wave(0.15, 11*time.Second), burstOf(_evenBurst)}},
			{"registry", EvenRegistry(instances), []Pattern{calm(), Wave(0.55, 13*time.Second), burstOf(_evenBurst)}},
		} {
			config := run.config
			config.Seed = seed
			policyNames := EvenPolicyNames()
			if instances > _largeFleet {
				config = config.Scaled(2)
				config.Duration /= 2
				policyNames = []PolicyName{Steered, ExpectedWait, Even}
			}
			for _, pattern := range run.patterns {
				for _, policyName := range policyNames {
					config.Placement.EvenLoad = policyName != Steered
					results = append(results, EvenResult{
						Deployment: run.deployment, Instances: instances, Result: Run(config, policyName, pattern),
					})
				}
			}
		}
	}
	return results
}

// calm returns the pattern of a constant load without faults.
func calm() Pattern {
	return Pattern{Name: "Calm", Apply: func(*simulation) {}}
}

// _evenBurst is a burst of all kinds as docs/design/hard-load.md describes them, up to 2.6 times the usual rate.
const _evenBurst = 2.2

// burstOf returns the pattern of bursts of five seconds at a multiple of the usual rate, one in each ten seconds.
func burstOf(factor float64) Pattern {
	return Pattern{Name: "Burst", Apply: func(simulation *simulation) {
		const period, span = 10 * time.Second, 5 * time.Second
		for start := time.Duration(0); start+span <= simulation.config.Duration; start += period {
			simulation.afterWarmup(start, func() { simulation.scaleRates(factor) })
			simulation.afterWarmup(start+span, func() { simulation.scaleRates(1) })
		}
	}}
}

// PrintEven writes results as a table.
func PrintEven(output io.Writer, results []EvenResult) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	lines := make([]string, 0, len(results)+1)
	lines = append(lines, "deployment\tinstances\tpattern\tpolicy\tbusiest\tin 2 s\tp99 ms\tat full\tcross-domain"+
		"\tin time\t")
	for _, result := range results {
		evenness := result.Evenness
		lines = append(lines, fmt.Sprintf("%s\t%d\t%s\t%s\t%.2f\t%.2f\t%d\t%d\t%.3f\t%.4f\t",
			result.Deployment, result.Instances, result.Pattern, result.Policy, evenness.Busiest, evenness.BusiestWindow,
			evenness.Latency.Milliseconds(), evenness.ArrivalsAtFull, evenness.CrossDomain, result.InTimeShare()))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return eris.Wrap(err, "write the comparison")
		}
	}
	return eris.Wrap(table.Flush(), "write the comparison")
}
