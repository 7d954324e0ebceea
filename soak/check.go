package soak

import (
	"fmt"
	"io"
	"time"

	"azureshift/core/id"
	"azureshift/testbed"
)

const (
	// _quietPeriod is the time without a fault on a server after which no instance may reset its flows.
	_quietPeriod = 4 * time.Second
	// _drainLimit is the time after the start of a drain from which on a server must get no new flows.
	_drainLimit = 3 * time.Second
)

var _domains = []id.Domain{"morbegno", "tirano", "chiavenna"}

// Report is the result of a soak.
type Report struct {
	Seed uint64
	// Logs is the path of the file with the logs of all instances; empty if the file was removed.
	Logs string
	// Faults lists the injected faults in order, and errors of instances that failed to restart.
	Faults []string
	// Counts is the number of request attempts by outcome.
	Counts map[testbed.Outcome]int
	// Violations lists the violations of guarantees.
	Violations []string
}

// Print writes the report.
func (report Report) Print(output io.Writer) {
	// Write errors are ignored: there is no other output to report them to.
	_, _ = fmt.Fprintf(output, "seed %d: %d faults, attempts %v, %d violations\n", report.Seed, len(report.Faults),
		report.Counts, len(report.Violations))
	for _, broken := range report.Violations {
		_, _ = fmt.Fprintln(output, "  ", broken)
	}
	if report.Logs != "" {
		_, _ = fmt.Fprintln(output, "   logs:", report.Logs)
	}
}

func (report *Report) count(attempts []testbed.Attempt) {
	report.Counts = make(map[testbed.Outcome]int)
	for _, attempt := range attempts {
		report.Counts[attempt.Outcome]++
	}
}

func (report *Report) addViolation(format string, values ...any) {
	report.Violations = append(report.Violations, fmt.Sprintf(format, values...))
}

// check verifies every guarantee against what clients and servers observed.
func (soak *soak) check(report *Report, attempts []testbed.Attempt, faultsEnded time.Time) {
	soak.faultLog.mu.Lock()
	defer soak.faultLog.mu.Unlock()
	for _, attempt := range attempts {
		soak.checkAnswer(report, attempt)
		soak.checkReset(report, attempt)
		soak.checkDrain(report, attempt)
		soak.checkEvacuation(report, attempt)
		if attempt.StartedAt.After(faultsEnded.Add(_recoveryLimit)) && attempt.Outcome != testbed.Served {
			report.addViolation("%s: %s %s, %s after the last fault ended", formatTime(attempt.EndedAt),
				attempt.Request, attempt.Outcome, attempt.StartedAt.Sub(faultsEnded).Round(time.Millisecond))
		}
	}
	for request, servers := range soak.deployment.Executions.All() {
		if testbed.KindOf(request) == testbed.Order && len(servers) > 1 {
			report.addViolation("%s ran %d times, at %v", request, len(servers), servers)
		}
	}
	for _, server := range soak.deployment.Targets() {
		if server.CorruptPackets() > 0 {
			report.addViolation("%s got %d packets that differ from what was sent", server.ID(), server.CorruptPackets())
		}
	}
}

// checkAnswer checks that an answer is complete, belongs to its request and comes from the right service.
func (soak *soak) checkAnswer(report *Report, attempt testbed.Attempt) {
	if attempt.Outcome == testbed.Wrong {
		report.addViolation("%s: %s got a wrong answer from %s", formatTime(attempt.EndedAt), attempt.Request, attempt.Server)
	}
	service := soak.deployment.ServiceOf(attempt.Server)
	if service == "" {
		return
	}
	if (attempt.Kind == testbed.Download) != (service == "stampa") {
		report.addViolation("%s: %s reached %s of %s", formatTime(attempt.EndedAt), attempt.Request, attempt.Server, service)
	}
}

// checkReset checks that no instance resets a flow of a server without a recent fault.
func (soak *soak) checkReset(report *Report, attempt testbed.Attempt) {
	if !attempt.ResetByInstance || attempt.Server == "" {
		return
	}
	if undisturbed(soak.faultLog.servers[attempt.Server], attempt.EndedAt.Add(-_quietPeriod), attempt.EndedAt) {
		report.addViolation("%s: an instance reset a flow of %s, which had no recent fault",
			formatTime(attempt.EndedAt), attempt.Server)
	}
}

// checkDrain checks that a draining server gets no new flows, unless the store or an instance was disturbed.
func (soak *soak) checkDrain(report *Report, attempt testbed.Attempt) {
	drainedAt, ok := soak.faultLog.drainedAt[attempt.Server]
	if !ok || attempt.FlowOpenedAt.Before(drainedAt.Add(_drainLimit)) {
		return
	}
	if undisturbed(soak.faultLog.store, drainedAt.Add(-_quietPeriod), attempt.FlowOpenedAt) &&
		undisturbed(soak.faultLog.instances, drainedAt.Add(-_quietPeriod), attempt.FlowOpenedAt) {
		report.addViolation("%s: a flow was opened to %s, which had been draining for %s",
			formatTime(attempt.FlowOpenedAt), attempt.Server, attempt.FlowOpenedAt.Sub(drainedAt).Round(time.Millisecond))
	}
}

func formatTime(at time.Time) string {
	return at.Format("15:04:05.000")
}
