package steer

import (
	"azureshift/core/id"
)

// ServiceEvenness says how evenly the servers of a service that take new flows are used.
type ServiceEvenness struct {
	Service id.Service
	// Even says that new flows are placed by the load that flows bring.
	Even bool
	// Busiest is the greatest ratio of the answers of a server to its share by speed, over about ten seconds; 1 is even.
	// It is zero without answers.
	Busiest float64
}

// Evenness returns how evenly the servers of each service are used, in no particular order.
func (table *Table) Evenness() []ServiceEvenness {
	services := make([]ServiceEvenness, 0, len(table.Pools))
	for _, pool := range table.Pools {
		services = append(services, ServiceEvenness{
			Service: pool.Service, Even: table.evenness[pool.typicalIndex].enabled, Busiest: table.busiest(pool),
		})
	}
	return services
}

// busiest returns the greatest ratio of the answers of a server of a pool to its share by speed.
func (table *Table) busiest(pool *Pool) float64 {
	answers, capacities, greatest := 0.0, 0.0, 0.0
	for _, zone := range pool.Zones {
		for _, server := range zone.Servers {
			rate := table.Measure(server).AnswerRate
			capacity := server.capacity() * table.speed(pool, server, 0)
			answers += rate
			capacities += capacity
			greatest = max(greatest, rate/max(capacity, _minSpeed))
		}
	}
	if answers == 0 {
		return 0
	}
	return greatest * capacities / answers
}
