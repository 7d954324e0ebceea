package entry

import (
	"github.com/uber-go/tally/v4"

	"azureshift/core/id"
	"azureshift/core/steer"
)

// evennessGauges show how evenly the servers of each service are used.
type evennessGauges struct {
	scope     tally.Scope
	byService map[id.Service]evennessGauge
}

// evennessGauge shows the load of the busiest server over its share by speed, and whether load is evened out.
type evennessGauge struct {
	busiest tally.Gauge
	even    tally.Gauge
}

// update sets the gauges by a table. The number of services is bounded, as each gauge is kept for good; further
// services have none.
func (gauges *evennessGauges) update(table *steer.Table) {
	shown := make(map[id.Service]bool)
	for _, service := range table.Evenness() {
		gauge, ok := gauges.byService[service.Service]
		if !ok {
			if len(gauges.byService) >= _maxServices {
				continue
			}
			tagged := gauges.scope.Tagged(map[string]string{"Service": string(service.Service)})
			gauge = evennessGauge{busiest: tagged.Gauge("busiest_server_ratio"), even: tagged.Gauge("even_load")}
			gauges.byService[service.Service] = gauge
		}
		shown[service.Service] = true
		gauge.busiest.Update(service.Busiest)
		even := 0.0
		if service.Even {
			even = 1
		}
		gauge.even.Update(even)
	}
	for service, gauge := range gauges.byService {
		if !shown[service] {
			gauge.busiest.Update(0)
			gauge.even.Update(0)
		}
	}
}
