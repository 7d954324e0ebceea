package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"azureshift/core/id"
)

const (
	_median        = 50
	_ninetyNinth   = 99
	_hundred       = 100
	_imbalanceUnit = "max/mean"
)

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Services   []ServiceReport
	Violations []Violation
	// SlowestRoll is the longest time from the roll of a bundle until it was in force on every instance.
	SlowestRoll time.Duration
}

// Violation is a guarantee that did not hold, with the number of times it was violated.
type Violation struct {
	Service id.Service
	Name    string
	Count   int
}

// ServiceReport is the result of a run for one service.
type ServiceReport struct {
	Customer id.Customer
	Service  id.Service
	Feeds    int
	// Broken counts moves of feeds off targets that were alive and reachable, Moved those off lost targets.
	Broken int
	Moved  int
	// MovedByCut counts moves during a partition, when both sides keep serving the flows they can reach.
	MovedByCut int
	Frozen     int
	Imbalance  float64
	Outcomes   map[string]int
	// RunTwice counts repeated runs of orders, FalseNotRun orders that ran although they were reported as not run.
	RunTwice    int
	FalseNotRun int
	// CrossedAnswers counts answers to another request, CorruptExports exports with wrong or missing bytes.
	CrossedAnswers int
	CorruptExports int
	// Misrouted counts datagrams that reached a target of another service.
	Misrouted int
	// OverSlots sums the peak number of concurrent requests beyond the slots over all targets. Refused counts
	// refusals by targets.
	OverSlots int
	Refused   int
	Latencies []LatencyReport
}

// LatencyReport holds latency percentiles of one request class.
type LatencyReport struct {
	Class  string
	Count  int
	Median time.Duration
	P99    time.Duration
	Max    time.Duration
}

// Print writes the report as text.
func (report Report) Print(writer io.Writer) {
	_, _ = fmt.Fprintf(writer, "\nreport (seed %d)\n", report.Seed)
	for _, service := range report.Services {
		service.print(writer)
	}
	if report.SlowestRoll > 0 {
		inForce := report.SlowestRoll.Round(time.Millisecond)
		_, _ = fmt.Fprintf(writer, "a rolled bundle was in force everywhere after %s\n", inForce)
	}
	for _, violation := range report.Violations {
		_, _ = fmt.Fprintf(writer, "BROKEN PROMISE: %s: %s (%d)\n", violation.Service, violation.Name, violation.Count)
	}
	if len(report.Violations) == 0 {
		_, _ = fmt.Fprintln(writer, "all promises kept")
	}
}

func (service ServiceReport) print(writer io.Writer) {
	_, _ = fmt.Fprintf(writer, "%s / %s\n", service.Customer, service.Service)
	_, _ = fmt.Fprintf(writer, "  feeds %d: broken %d, moved off lost targets %d, moved by a cut %d, frozen %d\n",
		service.Feeds, service.Broken, service.Moved, service.MovedByCut, service.Frozen)
	_, _ = fmt.Fprintf(writer, "  imbalance of feeds %.3f %s\n", service.Imbalance, _imbalanceUnit)
	for _, outcome := range slices.Sorted(maps.Keys(service.Outcomes)) {
		_, _ = fmt.Fprintf(writer, "  %s: %d\n", outcome, service.Outcomes[outcome])
	}
	_, _ = fmt.Fprintf(writer, "  run twice %d, false not run %d, crossed %d, torn %d, wrong service %d\n",
		service.RunTwice, service.FalseNotRun, service.CrossedAnswers, service.CorruptExports, service.Misrouted)
	_, _ = fmt.Fprintf(writer, "  over slots %d, refused by targets %d\n", service.OverSlots, service.Refused)
	for _, latency := range service.Latencies {
		_, _ = fmt.Fprintf(writer, "  %s latency of %d: median %s, p99 %s, max %s\n", latency.Class, latency.Count,
			latency.Median.Round(time.Millisecond), latency.P99.Round(time.Millisecond), latency.Max.Round(time.Millisecond))
	}
}

func (service ServiceReport) violations() []Violation {
	checks := []Violation{
		{Name: "an established feed survives", Count: service.Broken},
		{Name: "a feed does not freeze", Count: service.Frozen},
		{Name: "an order runs at most once", Count: service.RunTwice},
		{Name: "what was refused as not run did not run", Count: service.FalseNotRun},
		{Name: "a caller gets the answer to its own request", Count: service.CrossedAnswers},
		{Name: "a caller gets the whole answer", Count: service.CorruptExports},
		{Name: "a datagram reaches its own service", Count: service.Misrouted},
	}
	var violated []Violation
	for _, violation := range checks {
		if violation.Count > 0 {
			violation.Service = service.Service
			violated = append(violated, violation)
		}
	}
	return violated
}

func summarise(class string, latencies []time.Duration) LatencyReport {
	sorted := slices.Sorted(slices.Values(latencies))
	return LatencyReport{
		Class:  class,
		Count:  len(sorted),
		Median: percentile(sorted, _median),
		P99:    percentile(sorted, _ninetyNinth),
		Max:    sorted[len(sorted)-1],
	}
}

func percentile(sorted []time.Duration, percent int) time.Duration {
	return sorted[(len(sorted)-1)*percent/_hundred]
}

// imbalance returns the largest number of feeds on one target divided by the mean.
func imbalance(record *serviceRecord) float64 {
	counts := make(map[id.Target]int)
	for _, feed := range record.feeds {
		counts[feed.target]++
	}
	if len(record.feeds) == 0 || len(record.targets) == 0 {
		return 1
	}
	mean := float64(len(record.feeds)) / float64(len(record.targets))
	return float64(slices.Max(slices.Collect(maps.Values(counts)))) / mean
}
