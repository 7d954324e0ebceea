package soak

import (
	"fmt"
	"io"
	"time"

	"azureshift/testbed"
)

const (
	// _undisturbed is the time for which a server must have been left alone for its flows to be safe.
	_undisturbed = 4 * time.Second
	// _drainLimit is the time within which a server that leaves must get no new flows.
	_drainLimit = 3 * time.Second
)

var _domains = []string{"morbegno", "tirano", "chiavenna"}

// Report is what a soak found.
type Report struct {
	Seed uint64
	// Logs is the file with the logs of all instances, if it was kept.
	Logs   string
	Faults []string
	// Counts is the number of tries of requests by their outcome.
	Counts map[testbed.Outcome]int
	// Broken lists promises that did not hold.
	Broken []string
}

// Print writes the report.
func (report Report) Print(output io.Writer) {
	// The report goes to a terminal or a file; a failure there has no other place to be told.
	_, _ = fmt.Fprintf(output, "seed %d: %d faults, tries %v, %d broken promises\n", report.Seed, len(report.Faults),
		report.Counts, len(report.Broken))
	for _, broken := range report.Broken {
		_, _ = fmt.Fprintln(output, "  ", broken)
	}
	if report.Logs != "" {
		_, _ = fmt.Fprintln(output, "   logs:", report.Logs)
	}
}

func (report *Report) count(events []testbed.Event) {
	report.Counts = make(map[testbed.Outcome]int)
	for _, event := range events {
		report.Counts[event.Outcome]++
	}
}

func (report *Report) breach(format string, values ...any) {
	report.Broken = append(report.Broken, fmt.Sprintf(format, values...))
}

// judge checks every promise against what clients and servers saw.
func (soak *soak) judge(report *Report, events []testbed.Event, healed time.Time) {
	soak.facts.mu.Lock()
	defer soak.facts.mu.Unlock()
	for _, event := range events {
		soak.judgeAnswer(report, event)
		soak.judgeReset(report, event)
		soak.judgeDrain(report, event)
		if event.Begun.After(healed.Add(_settle)) && event.Outcome != testbed.Served {
			report.breach("%s: %s %s after everything had been calm for %s", stamp(event.At), event.Request, event.Outcome,
				event.Begun.Sub(healed).Round(time.Millisecond))
		}
	}
	for request, servers := range soak.bed.Requests.All() {
		if testbed.KindOf(request) == testbed.Order && len(servers) > 1 {
			report.breach("%s ran %d times, at %v", request, len(servers), servers)
		}
	}
	for _, server := range soak.bed.Targets() {
		if server.Forged() > 0 {
			report.breach("%s got %d packets that differ from what was sent", server.ID(), server.Forged())
		}
	}
}

// judgeAnswer checks that an answer is whole, a client's own and of the right service.
func (soak *soak) judgeAnswer(report *Report, event testbed.Event) {
	if event.Outcome == testbed.Wrong {
		report.breach("%s: %s got a wrong answer from %s", stamp(event.At), event.Request, event.Server)
	}
	service := soak.bed.ServiceOf(event.Server)
	if service == "" {
		return
	}
	if (event.Kind == testbed.Download) != (service == "stampa") {
		report.breach("%s: %s reached %s of %s", stamp(event.At), event.Request, event.Server, service)
	}
}

// judgeReset checks that no instance resets a flow of a server that is left alone.
func (soak *soak) judgeReset(report *Report, event testbed.Event) {
	if !event.BySystem || event.Server == "" {
		return
	}
	if calm(soak.facts.servers[event.Server], event.At.Add(-_undisturbed), event.At) {
		report.breach("%s: an instance reset a flow of %s, which was left alone", stamp(event.At), event.Server)
	}
}

// judgeDrain checks that a server which leaves gets no new flows, where store and instances were calm.
func (soak *soak) judgeDrain(report *Report, event testbed.Event) {
	drained, ok := soak.facts.drained[event.Server]
	if !ok || event.Opened.Before(drained.Add(_drainLimit)) {
		return
	}
	if calm(soak.facts.store, drained.Add(-_undisturbed), event.Opened) &&
		calm(soak.facts.instances, drained.Add(-_undisturbed), event.Opened) {
		report.breach("%s: a flow was opened to %s, which had been leaving for %s", stamp(event.Opened), event.Server,
			event.Opened.Sub(drained).Round(time.Millisecond))
	}
}

func stamp(at time.Time) string {
	return at.Format("15:04:05.000")
}
