package requests

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/core/id"
)

// Row is the result of one service under one policy and load.
type Row struct {
	Service id.Service
	Policy  Policy
	// Load is the offered load as a share of the capacity of the slots.
	Load    float64
	Offered int
	// Answered counts answers within the deadline, NotRun counts refusals, and Unknown counts late answers and
	// unknown outcomes.
	Answered int
	NotRun   int
	Unknown  int
	// Goodput is Answered as a share of the capacity of the slots.
	Goodput float64
	// WaitP50 and WaitP99 are percentiles of the time from the arrival at the first instance to the start at
	// the target, including network hops.
	WaitP50 time.Duration
	WaitP99 time.Duration
	// Imbalance is the load of the most loaded target divided by the mean load, over windows of one second;
	// InstantImbalance is the same ratio for single samples.
	Imbalance        float64
	InstantImbalance float64
	// RefusalsPerRequest is the number of refusals by targets per request.
	RefusalsPerRequest float64
	// MessagesPerRequest is the number of messages between entry instances per request.
	MessagesPerRequest float64
	Violations         int
}

// Report holds the results of a comparison.
type Report struct {
	Config Config
	Rows   []Row
}

// Find returns the row of a service under a policy and load.
func (report Report) Find(service id.Service, policy Policy, load float64) (Row, bool) {
	for _, row := range report.Rows {
		if row.Service == service && row.Policy == policy && row.Load == load {
			return row, true
		}
	}
	return Row{}, false
}

// Print writes the report as a table.
func (report Report) Print(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table,
		"service\tpolicy\tload\toffered\tgoodput\twait p50\twait p99\t"+
			"max/mean 1 s\tmax/mean now\tnot run\tunknown\trefusals\tmessages")
	for _, row := range report.Rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.0f %%\t%d\t%.3f\t%.1f ms\t%.1f ms\t%.3f\t%.3f\t%d\t%d\t%.2f\t%.2f\n",
			row.Service, row.Policy, row.Load*100, row.Offered, row.Goodput,
			milliseconds(row.WaitP50), milliseconds(row.WaitP99), row.Imbalance, row.InstantImbalance,
			row.NotRun, row.Unknown, row.RefusalsPerRequest, row.MessagesPerRequest)
	}
	return eris.Wrap(table.Flush(), "write the comparison of policies; check the output destination")
}

func milliseconds(span time.Duration) float64 {
	return float64(span) / float64(time.Millisecond)
}
