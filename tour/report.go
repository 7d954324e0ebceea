package tour

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/testbed"
)

// Report is what clients and backend servers observed in each step.
type Report struct {
	results   []stepResult
	attempts  []testbed.Attempt
	startedAt time.Time
	// Violations lists the violations of guarantees.
	Violations []string
}

// stepResult holds the times of one step. The next step starts at recoveredAt.
type stepResult struct {
	step                            Step
	startedAt, endedAt, recoveredAt time.Time
}

// includes reports whether the request of an attempt started during the step or the recovery time after it, and the
// attempt ended before the next step could affect it.
func (stepResult stepResult) includes(attempt testbed.Attempt) bool {
	return !attempt.StartedAt.Before(stepResult.startedAt) && attempt.EndedAt.Before(stepResult.recoveredAt)
}

// _outcomes are the outcomes of attempts in the order of the table columns.
var _outcomes = []testbed.Outcome{testbed.Served, testbed.Refused, testbed.Reset, testbed.Silent, testbed.Wrong}

// check verifies the guarantees against what clients and servers observed.
func (report *Report) check(deployment *testbed.Testbed) {
	report.checkSteps()
	for _, attempt := range report.attempts {
		if attempt.Outcome == testbed.Wrong {
			report.addViolation("%s got a wrong answer from %s", attempt.Request, attempt.Server)
		}
	}
	for request, servers := range deployment.Executions.All() {
		if testbed.KindOf(request) == testbed.Order && len(servers) > 1 {
			report.addViolation("%s ran %d times", request, len(servers))
		}
	}
	for _, server := range deployment.Targets() {
		if server.CorruptPackets() > 0 {
			report.addViolation("%s got %d packets that differ from what was sent", server.ID(), server.CorruptPackets())
		}
	}
	slices.Sort(report.Violations)
}

// checkSteps checks that no attempt failed in a lossless step.
func (report *Report) checkSteps() {
	for _, stepResult := range report.results {
		for _, attempt := range report.attempts {
			if stepResult.step.Lossless() && stepResult.includes(attempt) && attempt.Outcome != testbed.Served {
				report.addViolation("%s: %s %s, in a step in which every request must be served",
					stepResult.step, attempt.Request, attempt.Outcome)
			}
		}
	}
}

func (report *Report) addViolation(format string, values ...any) {
	report.Violations = append(report.Violations, fmt.Sprintf(format, values...))
}

// Print writes one line per step: the attempts by outcome, and the latency from the first attempt of a request to its
// answer. The violations follow.
func (report Report) Print(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := "step\t"
	for _, outcome := range _outcomes {
		line += string(outcome) + "\t"
	}
	lines := make([]string, 0, len(report.results)+1)
	lines = append(lines, line+"median\tp99\tmax\t")
	for _, stepResult := range report.results {
		lines = append(lines, report.line(stepResult))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return eris.Wrap(err, "write the report")
		}
	}
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "write the report")
	}
	for _, broken := range report.Violations {
		if _, err := fmt.Fprintln(output, "violation:", broken); err != nil {
			return eris.Wrap(err, "write the report")
		}
	}
	if len(report.Violations) > 0 {
		return nil
	}
	_, err := fmt.Fprintln(output, "no violations")
	return eris.Wrap(err, "write the report")
}

func (report Report) line(stepResult stepResult) string {
	counts := make(map[testbed.Outcome]int)
	for _, attempt := range report.attempts {
		if stepResult.includes(attempt) {
			counts[attempt.Outcome]++
		}
	}
	line := stepResult.step.String() + "\t"
	for _, outcome := range _outcomes {
		line += fmt.Sprintf("%d\t", counts[outcome])
	}
	latencies := report.latencies(stepResult)
	const half, ninetyNine, all = 0.5, 0.99, 1.0
	for _, fraction := range []float64{half, ninetyNine, all} {
		line += quantile(latencies, fraction).Round(time.Millisecond).String() + "\t"
	}
	return line
}

// latencies returns the latencies of the served requests of a step from their first attempt, in ascending order.
func (report Report) latencies(stepResult stepResult) []time.Duration {
	var latencies []time.Duration
	for _, attempt := range report.attempts {
		if attempt.Outcome == testbed.Served && stepResult.includes(attempt) {
			latencies = append(latencies, attempt.EndedAt.Sub(attempt.StartedAt))
		}
	}
	slices.Sort(latencies)
	return latencies
}

// quantile returns the value below which the given fraction of the sorted values lies.
func quantile(sorted []time.Duration, fraction float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}
