// Package requests compares policies that assign requests to the slots of targets, in virtual time: the shards
// of core/request and two baselines.
package requests

import (
	"time"

	"azureshift/core/id"
)

// Policy is a way to assign requests to targets.
type Policy string

const (
	// Sharded is core/request unchanged.
	Sharded Policy = "sharded"
	// NoIntent is core/request without the intent at the runner-up.
	NoIntent Policy = "no intent"
	// Independent lets each instance decide on its own: of two random targets it takes the one with the lower sum
	// of reported load and own requests in flight.
	Independent Policy = "alone"
)

// Service sets the number of targets of a service and the slots of each.
type Service struct {
	Name    id.Service
	Targets int
	Slots   int
}

// Config configures a comparison of policies.
type Config struct {
	Seed      int64
	Duration  time.Duration
	WarmUp    time.Duration
	Services  []Service
	Policies  []Policy
	Loads     []float64
	Domains   []id.Domain
	Instances int
	// MeanServiceTime is the mean of the exponentially distributed service time of a request.
	MeanServiceTime time.Duration
	// RequestTimeout is the time from the arrival of a request to its deadline.
	RequestTimeout time.Duration
	// Backlog is the number of requests that a target queues beyond its slots before it refuses.
	Backlog int
	// LocalHop and CrossDomainHop are the delays of one network hop within a failure domain and between two.
	LocalHop       time.Duration
	CrossDomainHop time.Duration
	// ReportInterval is the time between the load reports of a target; ReportLag is the delay until they are visible.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// SlowTargetFactor multiplies the service time of the first target of each service; 0 and 1 leave it unchanged.
	SlowTargetFactor float64
	// MisreportingTarget makes the last target of each service always report zero load.
	MisreportingTarget bool
	// WithoutLending disables the lending of slots between the shards of a service.
	WithoutLending bool
}

// DefaultConfig returns a configuration with the services at today's sizes.
func DefaultConfig() Config {
	return Config{
		Seed:     1,
		Duration: 30 * time.Second,
		WarmUp:   5 * time.Second,
		Services: []Service{
			{Name: "chiosco", Targets: 14, Slots: 3},
			{Name: "stampa", Targets: 4, Slots: 3},
			{Name: "tesoreria-live", Targets: 14, Slots: 2},
			{Name: "estados-pool", Targets: 4, Slots: 2},
		},
		Policies:        []Policy{Sharded, NoIntent, Independent},
		Loads:           []float64{0.9, 1, 2},
		Domains:         []id.Domain{"morbegno", "tirano", "chiavenna"},
		Instances:       15,
		MeanServiceTime: 50 * time.Millisecond,
		RequestTimeout:  2 * time.Second,
		LocalHop:        100 * time.Microsecond,
		CrossDomainHop:  1500 * time.Microsecond,
		ReportInterval:  time.Second,
		ReportLag:       500 * time.Millisecond,
	}
}
