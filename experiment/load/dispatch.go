package load

import (
	"time"

	"azureshift/core/route"
)

// Dispatch returns service A of the deployment of dispatch in docs/design/hard-load.md: 137 instances and 120 servers
// in three failure domains. Service B, whose 30 servers are hardly used, is left out.
func Dispatch() Config {
	return Config{
		Zones: []Zone{
			{Domain: "dispatch-a", Instances: 46, Servers: 40, Rate: 488},
			{Domain: "dispatch-b", Instances: 46, Servers: 40, Rate: 488},
			{Domain: "dispatch-c", Instances: 45, Servers: 40, Rate: 487},
		},
		Kinds: []Kind{
			{
				Name: "feed", Share: 1138.0 / 1463, Class: route.Idempotent, MeanWork: 55 * time.Millisecond, Spread: _workSpread,
				Objective: 500 * time.Millisecond, Timeout: 2500 * time.Millisecond, Priority: 2, Worth: 1,
			},
			{
				Name: "booking", Share: 325.0 / 1463, Class: route.NonIdempotent, FlowPerRequest: true,
				MeanWork: 72 * time.Millisecond, Spread: _workSpread, Objective: 600 * time.Millisecond,
				Timeout: 3 * time.Second, Priority: 1, Worth: 2,
			},
		},
		Slots: 2, Queue: 8, ColdPeriod: 2 * time.Second, ColdFactor: 1.6, MaxRetries: 2,
		UserRate: _dispatchUserRate, DistinctClients: true,
		ExchangeInterval: 500 * time.Millisecond, ExchangeDelay: 600 * time.Millisecond, LoadsPerExchange: 45,
		Warmup: 6 * time.Second, Duration: 14 * time.Second, Seed: 1,
	}
}

// _dispatchUserRate is the number of requests per second of one client, which gives each server about 19 long-lived
// flows.
const _dispatchUserRate = 0.64

// _loadsBesideDemand is the number of loads in a message that carries the demand of two services as well.
const _loadsBesideDemand = 35
