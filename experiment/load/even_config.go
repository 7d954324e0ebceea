package load

import (
	"math"
	"time"

	"azureshift/core/id"
	"azureshift/core/route"
)

const (
	// _evenSpread is the standard deviation of the logarithm of service times without a tail.
	_evenSpread = 0.5
	// _evenServers is the number of servers of service A in each of the three failure domains.
	_evenServers = 40
	_evenDomains = 3
	// _evenUserRate is the number of requests per second of a user that keeps a flow.
	_evenUserRate = 0.5
)

// Tail is a part of the requests that take longer than the others.
type Tail struct {
	// Share is the part of the requests, and Factor multiplies their work.
	Share  float64
	Factor float64
}

// EvenDispatch returns service A of the dispatch deployment of docs/design/hard-load.md with a number of instances. Its
// servers are alike. Users keep flows for feeds and open a flow for each booking.
func EvenDispatch(instances int) Config {
	config := evenConfig(instances, 1138+325)
	config.Kinds = []Kind{
		{
			Name: "feed", UserRate: _evenUserRate, Share: 1138.0 / 1463, Class: route.Idempotent,
			MeanWork: 55 * time.Millisecond, Spread: _evenSpread,
			Objective: 500 * time.Millisecond, Timeout: 2500 * time.Millisecond, Priority: 2, Worth: 1,
		},
		{
			Name: "booking", Share: 325.0 / 1463, Class: route.NonIdempotent, FlowPerRequest: true,
			MeanWork: 72 * time.Millisecond, Spread: _evenSpread, Objective: 600 * time.Millisecond,
			Timeout: 3 * time.Second, Priority: 1, Worth: 2,
		},
	}
	config.CrossDomainDelay = _sameDomainDelay + 900*time.Microsecond
	return config
}

// EvenRegistry returns service A of the registry deployment with a number of instances. A third each of its servers
// runs at 0.6, 1.0 and 1.6 times the usual speed. Users keep flows for watches and tokens, and open a flow for each
// pull.
func EvenRegistry(instances int) Config {
	const watches, tokens, pulls = 1154 * 0.9, 330, 99
	config := evenConfig(instances, watches+tokens+pulls)
	tail := Tail{Share: 0.03, Factor: 7}
	config.Kinds = []Kind{
		{
			Name: "watch", UserRate: _evenUserRate, Share: watches / (watches + tokens + pulls), Class: route.Idempotent,
			MeanWork: 26 * time.Millisecond, Spread: _evenSpread, Objective: 400 * time.Millisecond,
			Timeout: 2500 * time.Millisecond, Priority: 2, Worth: 1, Tail: tail,
		},
		{
			Name: "token", UserRate: _evenUserRate, Share: tokens / (watches + tokens + pulls), Class: route.NonIdempotent,
			MeanWork: 33 * time.Millisecond, Spread: _evenSpread, Objective: 500 * time.Millisecond,
			Timeout: 3 * time.Second, Priority: 1, Worth: 2, Tail: tail,
		},
		{
			Name: "pull", Share: pulls / (watches + tokens + pulls), Class: route.Download, FlowPerRequest: true,
			MeanWork: 4200 * time.Microsecond, Spread: _evenSpread, Objective: 1200 * time.Millisecond,
			Timeout: 8 * time.Second, Priority: 2, Worth: 1,
		},
	}
	config.Speeds = []float64{0.6, 1.0, 1.6}
	config.CrossDomainDelay = _sameDomainDelay + 500*time.Microsecond
	return config
}

// evenConfig returns a deployment in three failure domains with a rate of requests per second, whose reports are half a
// second old and arrive 0.6 s late. Each user of a kind sends half a request a second.
func evenConfig(instances int, rate float64) Config {
	config := Config{
		Slots: 2, Queue: 8, ColdPeriod: 2 * time.Second, ColdFactor: 1.6, MaxRetries: 2, ClosesFlows: true,
		ExchangeInterval: 500 * time.Millisecond, ExchangeDelay: 600 * time.Millisecond,
		Warmup: 20 * time.Second, Duration: 60 * time.Second, Seed: 1,
	}
	for number, domain := range []id.Domain{"north", "east", "west"} {
		config.Zones = append(config.Zones, Zone{
			Domain: domain, Servers: _evenServers, Rate: rate / _evenDomains,
			Instances: (instances + _evenDomains - 1 - number) / _evenDomains,
		})
	}
	return config
}

// Scaled returns the deployment with a multiple of its servers and clients.
func (config Config) Scaled(factor int) Config {
	zones := make([]Zone, 0, len(config.Zones))
	for _, zone := range config.Zones {
		zone.Servers *= factor
		zone.Rate *= float64(factor)
		zones = append(zones, zone)
	}
	config.Zones = zones
	return config
}

// Wave returns the pattern of a rate that rises and falls by an amplitude, as part of the mean, with another phase in
// each failure domain.
func Wave(amplitude float64, period time.Duration) Pattern {
	return Pattern{Name: "Wave", Apply: func(simulation *simulation) {
		simulation.clock.Every(100*time.Millisecond, func() {
			if simulation.clock.Now() >= simulation.config.Warmup+simulation.config.Duration {
				return
			}
			for number, zone := range simulation.zones {
				part := simulation.clock.Now().Seconds()/period.Seconds() + float64(number)/float64(len(simulation.zones))
				zone.rate = simulation.config.Zones[number].Rate * (1 + amplitude*math.Sin(2*math.Pi*part))
			}
		})
	}}
}

// MovedClients returns the pattern of a share of the clients of the first failure domain that move to the second.
func MovedClients(share float64) Pattern {
	return Pattern{Name: "MovedClients", Apply: func(simulation *simulation) {
		simulation.afterWarmup(2*time.Second, func() {
			moved := simulation.config.Zones[0].Rate * share
			simulation.zones[0].rate -= moved
			simulation.zones[1].rate += moved
		})
	}}
}
