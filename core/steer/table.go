// Package steer decides for each packet of a client which backend server it goes to, and notes what the packets show
// of the servers. It belongs to one thread and has no clock and no sockets.
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

// Condition is what is believed of a backend server.
type Condition uint8

const (
	// Usable servers take new flows.
	Usable Condition = iota + 1
	// Leaving servers keep their flows and take no new ones.
	Leaving
	// Suspect servers have left something unanswered and take no new flows until a probe succeeds.
	Suspect
	// Unreachable servers do not answer this instance. They take no new flows, and requests to them are refused.
	Unreachable
	// Dead servers have ended; their flows are reset.
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

// Server is a backend server as the traffic thread sees it.
type Server struct {
	target.Target
	Cookie    packet.Cookie
	Condition Condition
	// Hash ranks the server for a flow, mixed with the flow's own hash.
	Hash uint64
	// Warm says that the server has passed its slow start.
	Warm bool

	// index is the server's place in the table's measures.
	index int
}

// capacity is the number of requests that the server runs at once at its usual speed.
func (server *Server) capacity() float64 {
	capacity := float64(server.Slots)
	if !server.Warm {
		capacity *= _coldCapacity
	}
	return capacity
}

// Measure is what all instances together saw of a server, as far as they told.
type Measure struct {
	// Busy is the number of requests in progress, smoothed over a second or two, and Latest the one heard last.
	Busy   float64
	Latest float64
	// Answered is the number in progress by the requests that were answered lately and how long that took.
	Answered float64
	// ServiceTime is how long the server runs a request, without the wait for its turn; zero if unknown.
	ServiceTime time.Duration
	// Answers and Refused are the numbers of answers, and of flows refused under overload, in the last report.
	Answers float64
	Refused float64
}

// Pool holds the backend servers of a service that take new flows.
type Pool struct {
	Service id.Service
	// Zones groups the servers by failure domain, the instance's own first.
	Zones []Zone

	// index is the pool's place in the table's typical times.
	index int
}

// Zone holds the backend servers of one service in one failure domain.
type Zone struct {
	Domain  id.Domain
	Servers []*Server
}

// Table is everything that the traffic thread needs to know of the system. It is not changed once it is published; what
// changes often, and takes effect by Measured, is kept apart from what changes seldom.
type Table struct {
	Version route.Version
	Routes  map[packet.Endpoint]*route.Route
	Pools   map[id.Service]*Pool
	Servers map[packet.Cookie]*Server
	// Idle is how long a flow may be idle before it is forgotten.
	Idle time.Duration
	// Confirmed is when configuration and servers were last known to be the newest, on the clock that Packet is
	// called with.
	Confirmed time.Duration
	// Settled says that every backend server that lives has had the time to register, so that one that is missing
	// is gone.
	Settled bool
	// Instances is the number of live instances of this one's failure domain, with itself.
	Instances int

	measures []Measure
	// typical is how long a server of each pool runs a request.
	typical []time.Duration
}

// Add makes a server known under its cookie.
func (table *Table) Add(server *Server) {
	if table.Servers == nil {
		table.Servers = make(map[packet.Cookie]*Server)
	}
	server.index = len(table.measures)
	table.measures = append(table.measures, Measure{})
	table.Servers[server.Cookie] = server
}

// Offer lets a server that was added take new flows.
func (table *Table) Offer(server *Server) {
	if table.Pools == nil {
		table.Pools = make(map[id.Service]*Pool)
	}
	pool, ok := table.Pools[server.Service]
	if !ok {
		pool = &Pool{Service: server.Service, index: len(table.typical)}
		table.typical = append(table.typical, _defaultService)
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

// Prefer puts a failure domain before the others, which are sorted by name.
func (table *Table) Prefer(own id.Domain) {
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

// Measured returns a table of the same servers with other measures, and what is typical by them now.
func (table *Table) Measured(now time.Duration, typicals *Typicals, measure func(server *Server) Measure) *Table {
	renewed := *table
	renewed.measures = make([]Measure, len(table.measures))
	for _, server := range table.Servers {
		renewed.measures[server.index] = measure(server)
	}
	renewed.typical = make([]time.Duration, len(table.typical))
	var known []time.Duration
	for _, pool := range table.Pools {
		known = known[:0]
		for _, zone := range pool.Zones {
			for _, server := range zone.Servers {
				if service := renewed.measures[server.index].ServiceTime; service > 0 {
					known = append(known, service)
				}
			}
		}
		renewed.typical[pool.index] = typicals.learn(now, pool.Service, known)
	}
	return &renewed
}

// Measure returns what was measured of a server of the table.
func (table *Table) Measure(server *Server) Measure {
	return table.measures[server.index]
}

// Typical returns how long a server of a pool of the table usually runs a request.
func (table *Table) Typical(pool *Pool) time.Duration {
	return table.typical[pool.index]
}
