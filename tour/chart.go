package tour

import (
	"time"

	"azureshift/chart"
	"azureshift/testbed"
)

// _bucket is the time that one point of the chart aggregates.
const _bucket = 250 * time.Millisecond

// Chart returns a chart of the slowest answer and the failed attempts over time, with a mark at the start of each step.
func (report Report) Chart() chart.Chart {
	drawn := chart.Chart{Title: "Tour: slowest answer and failed attempts, by start of request", Unit: "ms, attempts"}
	var slowest, failed []chart.Point
	for _, attempt := range report.attempts {
		bucket := int(attempt.StartedAt.Sub(report.startedAt) / _bucket)
		if bucket < 0 {
			continue
		}
		for len(slowest) <= bucket {
			seconds := (time.Duration(len(slowest)) * _bucket).Seconds()
			slowest = append(slowest, chart.Point{Seconds: seconds})
			failed = append(failed, chart.Point{Seconds: seconds})
		}
		if attempt.Outcome == testbed.Served {
			took := attempt.EndedAt.Sub(attempt.StartedAt)
			slowest[bucket].Value = max(slowest[bucket].Value, float64(took.Milliseconds()))
		} else {
			failed[bucket].Value++
		}
	}
	drawn.Lines = []chart.Line{{Name: "slowest answer, ms", Points: slowest}, {Name: "failed attempts", Points: failed}}
	for _, stepResult := range report.results {
		drawn.Marks = append(drawn.Marks, chart.Mark{
			Name: stepResult.step.String(), Seconds: stepResult.startedAt.Sub(report.startedAt).Seconds(),
		})
	}
	return drawn
}
