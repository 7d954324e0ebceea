// Package steer decides for each packet of a client which backend server it goes to, and measures the servers by the
// packets. It uses no clock and no sockets. Its state belongs to one thread.
package steer

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/target"
)

// Condition is the state that a failure detector assigns to a backend server.
type Condition uint8

const (
	// Usable servers take new flows.
	Usable Condition = iota + 1
	// Leaving servers keep their flows and take no new ones.
	Leaving
	// Suspect servers left something unanswered and take no new flows until a probe succeeds.
	Suspect
	// Unreachable servers do not answer this instance. They take no new flows, and requests to them are refused.
	Unreachable
	// Dead servers have stopped; their flows are reset.
	Dead
)

// String returns the condition as it is written in logs.
func (condition Condition) String() string {
	switch condition {
	case Usable:
		return "Usable"
	case Leaving:
		return "Leaving"
	case Suspect:
		return "Suspect"
	case Unreachable:
		return "Unreachable"
	case Dead:
		return "Dead"
	}
	return "Unknown"
}

// Server is a backend server with what is needed to forward packets to it.
type Server struct {
	target.Target
	Cookie    packet.Cookie
	Condition Condition
	// Hash is combined with a flow's hash to rank the server for that flow.
	Hash uint64
	// Warm says that the server has completed its slow start.
	Warm bool
	// Evacuated says that the server's failure domain is evacuated: the server keeps its flows and gets no new ones.
	Evacuated bool
	// ColdUntil is when the limit on new flows to a server in slow start ends; zero if there is none. Until then this
	// instance sends it at most SlowStartShare new flows in any second.
	ColdUntil      time.Duration
	SlowStartShare int

	// inPool says that the server takes new flows.
	inPool bool
	// measureIndex is the server's index in the table's measures.
	measureIndex int
}

// capacity is the number of requests that the server runs at once, reduced during slow start.
func (server *Server) capacity() float64 {
	capacity := float64(server.Slots)
	if !server.Warm {
		capacity *= _slowStartCapacity
	}
	return capacity
}

// Measure is what the reports of all instances say of a server.
type Measure struct {
	// SmoothedInProgress is the number of requests in progress, smoothed over one to two seconds, and LatestInProgress the
	// same number in the latest reports.
	SmoothedInProgress float64
	LatestInProgress   float64
	// AnsweredInProgress is the number of requests in progress that the recent answers and their latencies account for.
	AnsweredInProgress float64
	// ServiceTime is how long the server runs a request, without queueing; zero if unknown. MeasuredAt is when it was last
	// measured.
	ServiceTime time.Duration
	MeasuredAt  time.Duration
	// Answers is the number of answers in the latest reports.
	Answers float64
	// Held is the number of long-lived flows that clients use on the server, through all instances, if HeldKnown.
	Held      float64
	HeldKnown bool
	// Habit is what the answers of some minutes say of the server.
	Habit
}

// Pool holds the backend servers of a service that take new flows.
type Pool struct {
	Service id.Service
	// Zones groups the servers by failure domain, the instance's own first.
	Zones []Zone

	// typicalIndex is the index of the pool's typical service time in the table.
	typicalIndex int
	// coldUntil is the latest ColdUntil of the servers, and open the pool without servers in slow start that get no flows
	// from this instance; nil if there are none in slow start.
	coldUntil time.Duration
	open      *Pool
}

// Zone holds the backend servers of one service in one failure domain.
type Zone struct {
	Domain  id.Domain
	Servers []*Server

	// unlimited is the number of servers that are not in slow start; they come first. It is set in Pool.open.
	unlimited int
}

// Placement chooses among ways to admit and place new flows.
type Placement struct {
	// FleetAdmission bases the refusal of new flows on the demand that all instances report.
	FleetAdmission bool
	// EvenLoad compares servers by the load that their flows are expected to bring.
	EvenLoad bool
	// EvenLoadIfUnequal does so for services whose servers have differed in speed for long.
	EvenLoadIfUnequal bool
}

// Table is an immutable snapshot of the configuration and the servers. The measures, which change often, are replaced
// by WithMeasures, which shares everything else with the old table.
type Table struct {
	Version route.Version
	Routes  map[packet.Endpoint]*route.Route
	Pools   map[id.Service]*Pool
	Servers map[packet.Cookie]*Server
	// IdleTimeout is how long a flow may be idle before it is removed.
	IdleTimeout time.Duration
	// ConfirmedAt is when configuration and servers were last known to be up to date, on the clock that Decide is called
	// with.
	ConfirmedAt time.Duration
	// AllRegistered says that every live backend server has had time to register, so that a missing one is known to have
	// left.
	AllRegistered bool
	// LiveInstances is the number of live instances in this instance's failure domain, including itself.
	LiveInstances int
	Placement     Placement
	// SharesUntil is until when this instance may use its shares of the limits of servers in slow start.
	SharesUntil time.Duration
	// Evacuated is the number of evacuated failure domains, including those without servers.
	Evacuated int

	// evacuatedServices holds the services with servers that get no new flows only because they are evacuated.
	evacuatedServices map[id.Service]bool
	// Demand is the demand that all instances reported.
	Demand FleetDemand

	measures []Measure
	// typicalServiceTimes holds the typical service time of each pool, and reportedTotals the totals of its measures.
	typicalServiceTimes []time.Duration
	reportedTotals      []poolTotals
	// evenness says for each pool whether and how its load is evened out.
	evenness []poolEvenness
}

// Add adds a server under its cookie; packets of its flows are forwarded to it.
func (table *Table) Add(server *Server) {
	if table.Servers == nil {
		table.Servers = make(map[packet.Cookie]*Server)
	}
	server.measureIndex = len(table.measures)
	table.measures = append(table.measures, Measure{})
	table.Servers[server.Cookie] = server
}

// AddToPool makes an added server available to new flows, unless it is evacuated.
func (table *Table) AddToPool(server *Server) {
	if server.Evacuated {
		table.noteEvacuated(server.Service)
		return
	}
	server.inPool = true
	if table.Pools == nil {
		table.Pools = make(map[id.Service]*Pool)
	}
	pool, ok := table.Pools[server.Service]
	if !ok {
		pool = &Pool{Service: server.Service, typicalIndex: len(table.typicalServiceTimes)}
		table.typicalServiceTimes = append(table.typicalServiceTimes, _defaultServiceTime)
		table.reportedTotals = append(table.reportedTotals, poolTotals{})
		table.evenness = append(table.evenness, poolEvenness{})
		table.Pools[server.Service] = pool
	}
	for index := range pool.Zones {
		if pool.Zones[index].Domain == server.Domain {
			pool.Zones[index].Servers = append(pool.Zones[index].Servers, server)
			return
		}
	}
	pool.Zones = append(pool.Zones, Zone{Domain: server.Domain, Servers: []*Server{server}})
}

// PreferDomain sorts the failure domains of every pool by name, with the given one first.
func (table *Table) PreferDomain(own id.Domain) {
	for _, pool := range table.Pools {
		slices.SortFunc(pool.Zones, func(left, right Zone) int {
			if (left.Domain == own) != (right.Domain == own) {
				if left.Domain == own {
					return -1
				}
				return 1
			}
			return cmp.Compare(left.Domain, right.Domain)
		})
	}
}

// WithMeasures returns a copy of the table with new measures, and with typical service times updated from them.
func (table *Table) WithMeasures(now time.Duration, baselines *Baselines, measure func(server *Server) Measure) *Table {
	updated := *table
	updated.measures = make([]Measure, len(table.measures))
	for _, server := range table.Servers {
		updated.measures[server.measureIndex] = measure(server)
	}
	updated.typicalServiceTimes = make([]time.Duration, len(table.typicalServiceTimes))
	updated.reportedTotals = make([]poolTotals, len(table.reportedTotals))
	updated.evenness = make([]poolEvenness, len(table.evenness))
	var serviceTimes []time.Duration
	for _, pool := range table.Pools {
		serviceTimes = serviceTimes[:0]
		for _, zone := range pool.Zones {
			for _, server := range zone.Servers {
				if serviceTime := updated.measures[server.measureIndex].ServiceTime; serviceTime > 0 {
					serviceTimes = append(serviceTimes, serviceTime)
				}
			}
		}
		updated.typicalServiceTimes[pool.typicalIndex] = baselines.update(now, pool.Service, serviceTimes)
		updated.evenness[pool.typicalIndex] = updated.evaluate(now, baselines, pool)
		updated.reportedTotals[pool.typicalIndex] = updated.sumMeasures(pool)
	}
	updated.sumOutside()
	return &updated
}

// Measure returns the measures of a server of the table.
func (table *Table) Measure(server *Server) Measure {
	return table.measures[server.measureIndex]
}

// TypicalServiceTime returns the typical service time of a pool of the table.
func (table *Table) TypicalServiceTime(pool *Pool) time.Duration {
	return table.typicalServiceTimes[pool.typicalIndex]
}
