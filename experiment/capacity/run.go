// Package capacity measures the processing time and memory of the control state of one instance at several fleet sizes
// and fits lines to them, to extrapolate to sizes that are not in use yet and compare them with a budget.
package capacity

import (
	"time"
)

// Size is the size of a fleet: its instances (members), failure domains, services and targets.
type Size struct {
	Members  int
	Domains  int
	Services int
	Targets  int
}

// Config selects the sizes to measure.
type Config struct {
	// Target is the size for which the fitted lines are evaluated.
	Target Size
	// Members lists the numbers of members to measure with the services of Target, and Services the numbers of services
	// to measure with the members of Target. The number of targets per service is always that of Target.
	Members  []int
	Services []int
	// Repetitions is how often each figure is measured; the report has the median.
	Repetitions int
}

// DefaultConfig returns sizes up to the growth that the requirements state. A run takes minutes.
func DefaultConfig() Config {
	return Config{
		Target:      Size{Members: 2000, Domains: 9, Services: 1300, Targets: 16000},
		Members:     []int{16, 125, 500, 2000},
		Services:    []int{10, 100, 1300},
		Repetitions: 3,
	}
}

// Report is the result of Run.
type Report struct {
	Config       Config
	Measurements []Measurement
	Listings     []Listing
	ByMembers    []FittedLine
	ByServices   []FittedLine
}

// FittedLine is the line fitted to one quantity over the number of members or services.
type FittedLine struct {
	Name string
	Unit string
	Line Line
	// AtTarget is the value of the line at the target size.
	AtTarget float64
}

type quantity struct {
	name  string
	unit  string
	value func(Measurement) float64
}

func milliseconds(span time.Duration) float64 {
	return float64(span) / float64(time.Millisecond)
}

func quantities() []quantity {
	return []quantity{
		{"idle second", "ms", func(measurement Measurement) float64 { return milliseconds(measurement.IdleSecond) }},
		{"summary", "ms", func(measurement Measurement) float64 { return milliseconds(measurement.Summary) }},
		{"member down", "ms", func(measurement Measurement) float64 { return milliseconds(measurement.Down) }},
		{"member up", "ms", func(measurement Measurement) float64 { return milliseconds(measurement.Up) }},
		{"member readmitted", "ms", func(measurement Measurement) float64 { return milliseconds(measurement.Readmit) }},
		{"view", "ms", func(measurement Measurement) float64 { return milliseconds(measurement.View) }},
		{"bundle", "ms", func(measurement Measurement) float64 { return milliseconds(measurement.Bundle) }},
		{"domain cut", "ms", func(measurement Measurement) float64 { return milliseconds(measurement.Cut) }},
		{"cut per member", "ms", cutPerMember},
		{"start", "ms", func(measurement Measurement) float64 { return milliseconds(measurement.Start) }},
		{"place a datagram", "ns", func(measurement Measurement) float64 { return float64(measurement.Lookup) }},
		{"find a request's owner", "ns", func(measurement Measurement) float64 { return float64(measurement.Owner) }},
		{"heap", "MB", func(measurement Measurement) float64 { return measurement.Heap / 1e6 }},
	}
}

// cutPerMember returns the time to process a cut of a failure domain, divided by the members of that domain.
func cutPerMember(measurement Measurement) float64 {
	return milliseconds(measurement.Cut) * float64(measurement.Size.Domains) / float64(measurement.Size.Members)
}

// Run measures each size and fits lines over the numbers of members and of services.
func Run(config Config) (Report, error) {
	report := Report{Config: config}
	measuredSizes := make(map[Size]Measurement)
	measureOnce := func(size Size) (Measurement, error) {
		if measurement, ok := measuredSizes[size]; ok {
			return measurement, nil
		}
		measurement, err := measure(size, config.Repetitions)
		measuredSizes[size] = measurement
		report.Measurements = append(report.Measurements, measurement)
		return measurement, err
	}
	var byMembers, byServices []Measurement
	for _, members := range config.Members {
		listing, err := measureListing(members, config.Target.Domains, config.Repetitions)
		if err != nil {
			return report, err
		}
		report.Listings = append(report.Listings, listing)
		size := config.Target
		size.Members = members
		measurement, err := measureOnce(size)
		if err != nil {
			return report, err
		}
		byMembers = append(byMembers, measurement)
	}
	for _, services := range config.Services {
		size := config.Target
		size.Services, size.Targets = services, services*config.Target.Targets/config.Target.Services
		measurement, err := measureOnce(size)
		if err != nil {
			return report, err
		}
		byServices = append(byServices, measurement)
	}
	target := config.Target
	report.ByMembers = fitAll(byMembers, float64(target.Members), func(size Size) int { return size.Members })
	report.ByMembers = append(report.ByMembers, fitListings(report.Listings, float64(target.Members))...)
	report.ByServices = fitAll(byServices, float64(target.Services), func(size Size) int { return size.Services })
	return report, nil
}

func fitAll(measurements []Measurement, target float64, axis func(Size) int) []FittedLine {
	fits := make([]FittedLine, 0, len(quantities()))
	for _, quantity := range quantities() {
		points := make([]Point, 0, len(measurements))
		for _, measurement := range measurements {
			points = append(points, Point{Size: float64(axis(measurement.Size)), Value: quantity.value(measurement)})
		}
		fits = append(fits, fitLine(quantity.name, quantity.unit, points, target))
	}
	return fits
}

// fitListings fits lines to the costs of the platform's list and of a view.
func fitListings(listings []Listing, target float64) []FittedLine {
	line := func(name, unit string, value func(Listing) float64) FittedLine {
		points := make([]Point, 0, len(listings))
		for _, listing := range listings {
			points = append(points, Point{Size: float64(listing.Members), Value: value(listing)})
		}
		return fitLine(name, unit, points, target)
	}
	return []FittedLine{
		line("platform's list", "B", func(listing Listing) float64 { return float64(listing.ListBytes) }),
		line("platform's list", "ms", func(listing Listing) float64 { return milliseconds(listing.ListTime) }),
		line("a view", "B", func(listing Listing) float64 { return float64(listing.ViewBytes) }),
	}
}

func fitLine(name, unit string, points []Point, target float64) FittedLine {
	line := Fit(points)
	return FittedLine{Name: name, Unit: unit, Line: line, AtTarget: line.At(target)}
}
