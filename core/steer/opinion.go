package steer

import (
	"cmp"
	"slices"
	"time"
)

// Opinion is what an instance believes of a backend server.
type Opinion struct {
	*Server
	Measure
	// Typical is the typical service time of the server's service, or zero if no server of it takes new flows.
	Typical time.Duration
	// Slow says that the server gets new flows only if no other server can take them.
	Slow bool
}

// Slowness returns the ratio of the server's service time to the typical one, or zero if it is unknown.
func (opinion Opinion) Slowness() float64 {
	if opinion.Typical == 0 {
		return 0
	}
	return float64(opinion.ServiceTime) / float64(opinion.Typical)
}

// Opinions returns what the instance believes of each server, in no particular order.
func (table *Table) Opinions() []Opinion {
	opinions := make([]Opinion, 0, len(table.Servers))
	for _, server := range table.Servers {
		opinion := Opinion{Server: server, Measure: table.Measure(server)}
		if pool, ok := table.Pools[server.Service]; ok {
			opinion.Typical = table.TypicalServiceTime(pool)
			opinion.Slow = table.slow(pool, server)
		}
		opinions = append(opinions, opinion)
	}
	return opinions
}

// SortBySlowness sorts opinions, the slowest server first.
func SortBySlowness(opinions []Opinion) {
	slices.SortFunc(opinions, func(left, right Opinion) int {
		return cmp.Or(cmp.Compare(right.Slowness(), left.Slowness()), cmp.Compare(left.ID, right.ID))
	})
}

// slow reports whether a server takes much longer than is typical. Such a server gets new flows only if no other server
// can take them.
func (table *Table) slow(pool *Pool, server *Server) bool {
	if table.evenness[pool.typicalIndex].enabled {
		return table.unusual(pool, server)
	}
	return table.serviceTime(pool, server) > _slowRatio*table.TypicalServiceTime(pool)
}

// serviceTime returns the measured service time of a server, or the typical one if it is unknown.
func (table *Table) serviceTime(pool *Pool, server *Server) time.Duration {
	if measured := table.Measure(server).ServiceTime; measured > 0 {
		return measured
	}
	return table.TypicalServiceTime(pool)
}
