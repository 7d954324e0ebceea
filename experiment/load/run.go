package load

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Run simulates one pattern with one policy.
func Run(config Config, policyName PolicyName, pattern Pattern) Result {
	result := newSimulation(config, policyName).run(pattern)
	result.Pattern = pattern.Name
	return result
}

// _overloadFactors are the compared loads, as multiples of the capacity of all servers.
var _overloadFactors = []float64{1.2, 2, 4}

// RunAll simulates every pattern with every policy.
func RunAll(config Config) []Result {
	results := make([]Result, 0, (len(Patterns())+len(_overloadFactors))*len(PolicyNames()))
	for _, pattern := range Patterns() {
		for _, policyName := range PolicyNames() {
			results = append(results, Run(config, policyName, pattern))
		}
	}
	for _, factor := range _overloadFactors {
		for _, policyName := range PolicyNames() {
			result := Run(config, policyName, Overload(factor))
			result.Pattern = fmt.Sprintf("Overload %g", factor)
			results = append(results, result)
		}
	}
	return results
}

// Print writes results as a table.
func Print(output io.Writer, results []Result) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	lines := make([]string, 0, len(results)+1)
	lines = append(lines, "pattern\tpolicy\trequests\tin time\tlate\tfailed\tof ideal\tworst second\tworst domain"+
		"\tworst kind\timbalance\tretries\t")
	for index, result := range results {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d\t%.4f\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%d\t",
			result.Pattern, result.Policy, result.Requests, result.InTimeShare(), result.Late, result.Failed,
			shareOfIdeal(results[index:], result), result.WorstSecond, result.WorstZone, result.WorstKind, result.Imbalance,
			result.Retries))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return eris.Wrap(err, "write the comparison")
		}
	}
	return eris.Wrap(table.Flush(), "write the comparison")
}

// shareOfIdeal returns the result's share of requests in time divided by that of the ideal policy for the same
// pattern, which comes later in the results.
func shareOfIdeal(following []Result, result Result) float64 {
	for _, other := range following {
		if other.Policy == Ideal && other.Pattern == result.Pattern {
			return result.InTimeShare() / max(other.InTimeShare(), 1e-9)
		}
	}
	return 0
}
