package operator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

const _columnGap = 2

// Print writes the status as human-readable tables.
func Print(out io.Writer, status Status) error {
	table := tabwriter.NewWriter(out, 0, 0, _columnGap, ' ', 0)
	printSummary(table, status)
	printEpochs(table, status.Epochs)
	printTargets(table, status.Targets)
	printCounts(table, "DROPS", status.Drops)
	printCounts(table, "VIOLATIONS", status.Violations)
	return eris.Wrap(table.Flush(), "print status")
}

func printSummary(table io.Writer, status Status) {
	writeRow(table, "INSTANCE", "DOMAIN", "REGION", "INCARNATION", "BUNDLE", "FLOWS", "EXCEPTIONS")
	writeRow(table, status.Instance, status.Domain, status.Region, status.Incarnation, status.BundleVersion, status.Flows,
		status.Exceptions)
	members := status.Members
	writeRow(table)
	writeRow(table, "MEMBERS", "ALIVE", "SUSPECT", "DEAD", "LEAVING")
	writeRow(table, "", members.Alive, members.Suspect, members.Dead, members.Leaving)
	requests := status.Requests
	writeRow(table)
	writeRow(table, "REQUESTS", "QUEUED", "DISPATCHED", "ANSWERED", "NOT RUN", "UNKNOWN")
	writeRow(table, "", requests.Queued, requests.Dispatched, requests.Answered, requests.NotRun, requests.Unknown)
}

func printEpochs(table io.Writer, epochs []Epoch) {
	if len(epochs) == 0 {
		return
	}
	writeRow(table)
	writeRow(table, "EPOCHS", "NUMBER", "MEMBERS")
	for _, epoch := range epochs {
		writeRow(table, epoch.Domain, epoch.Number, epoch.Members)
	}
}

func printTargets(table io.Writer, targets []Target) {
	if len(targets) == 0 {
		return
	}
	writeRow(table)
	writeRow(table, "TARGETS", "SERVICE", "STATE", "IN FLIGHT", "SLOTS", "FLOWS")
	for _, target := range targets {
		writeRow(table, target.Name, target.Service, target.State, target.InFlight, target.Slots, target.Flows)
	}
}

func printCounts(table io.Writer, title string, counts map[string]uint64) {
	if len(counts) == 0 {
		return
	}
	writeRow(table)
	writeRow(table, title, "COUNT")
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		writeRow(table, name, counts[name])
	}
}

// writeRow writes one tab-separated line. Write errors are reported by the table's Flush.
func writeRow(table io.Writer, cells ...any) {
	for index, cell := range cells {
		if index > 0 {
			_, _ = fmt.Fprint(table, "\t")
		}
		_, _ = fmt.Fprint(table, cell)
	}
	_, _ = fmt.Fprintln(table)
}
