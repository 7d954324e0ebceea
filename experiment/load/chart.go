package load

import (
	"path/filepath"

	"azureshift/chart"
)

// SaveCharts writes one chart per pattern into a folder: the share of requests answered in time, for each second in
// which they were sent.
func SaveCharts(folder string, results []Result) error {
	charts := make(map[string]*chart.Chart)
	for _, result := range results {
		if charts[result.Pattern] == nil {
			charts[result.Pattern] = &chart.Chart{
				Title: result.Pattern + ": share of requests answered in time, by second of sending", Unit: "share", Max: 1,
			}
		}
		line := chart.Line{Name: string(result.Policy)}
		for second := range len(result.bySecond) {
			if tally, ok := result.bySecond[second]; ok {
				line.Points = append(line.Points, chart.Point{Seconds: float64(second), Value: tally.inTimeShare()})
			}
		}
		charts[result.Pattern].Lines = append(charts[result.Pattern].Lines, line)
	}
	for pattern, drawing := range charts {
		if err := drawing.Save(filepath.Join(folder, pattern+".svg")); err != nil {
			return err
		}
	}
	return nil
}
