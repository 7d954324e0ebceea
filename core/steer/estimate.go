package steer

import (
	"time"
)

const (
	// _flowLoad is the number of requests in progress that a new flow adds. A client that keeps a flow sends about one
	// request of some 50 ms a second.
	_flowLoad = 0.1
	// _coldCapacity is the part of its usual speed that a server has during its slow start.
	_coldCapacity = 0.5
	// _growthDamping is the number of requests that damps the growth of few requests, which is mostly chance, and
	// _growthMost bounds what one instance concludes for all.
	_growthDamping = 6
	_growthMost    = 8
	// _slow is how many times longer than typical a server takes that is avoided; crowded servers seem up to twice as slow
	// as they are.
	_slow = 2
	// _suspiciousSpeed is the part of the typical time below which answers are taken for rejections: a server that
	// fails at once seems idle and would draw ever more flows.
	_suspiciousSpeed = 0.8
)

// use is the number of requests in progress at a server: what others reported, and what this instance sees now. In a
// burst the latter counts, as reports are half a second old.
func (steering *Steering) use(server *Server) float64 {
	return steering.withOwn(server, steering.table.Measure(server).Busy)
}

// withOwn returns the number of requests in progress at a server, given what was reported of it.
func (steering *Steering) withOwn(server *Server, reported float64) float64 {
	load, ok := steering.loads[server.Cookie]
	if !ok {
		return reported
	}
	others := max(reported-load.reported, 0) * steering.growth()
	return others + float64(load.waiting+load.opening)
}

// growth is how many times more this instance has in progress than it last reported. The routers give all instances the
// same mix of flows, so the others have grown alike; their next reports come too late for a burst.
func (steering *Steering) growth() float64 {
	now := float64(steering.inProgress) + _growthDamping
	return min(max(now/(steering.reportedAll+_growthDamping), 1), _growthMost)
}

// cost orders servers for a new flow, which stays on its server: the slower a server is and the more it has in
// progress, the worse. One that answers much faster than is typical rejects requests. The other instances of the
// failure domain place new flows as this one does, which no report shows yet; what an instance placed itself is
// known at once, and so it goes round the servers between two reports.
func (steering *Steering) cost(now time.Duration, pool *Pool, server *Server) float64 {
	service := float64(steering.serviceTime(pool, server))
	if typical := float64(steering.table.Typical(pool)); service < _suspiciousSpeed*typical {
		service = typical * typical / max(service, 1)
	}
	use := steering.use(server)
	if load, ok := steering.loads[server.Cookie]; ok {
		use += load.placedLately(now) * _flowLoad * float64(max(steering.table.Instances, 1))
	}
	return service * (1 + use/server.capacity())
}

// expected estimates how long a new request takes at a server, with the wait for its turn.
func (steering *Steering) expected(pool *Pool, server *Server) time.Duration {
	service := max(steering.serviceTime(pool, server), steering.table.Typical(pool))
	turns := (steering.use(server) + 1) / server.capacity()
	return time.Duration(float64(service) * max(turns, 1))
}

// summary is what is known of the usual servers of a service together.
type summary struct {
	// capacity is the number of requests that they run at once, and inProgress the number that they run or hold.
	capacity   float64
	inProgress float64
	// answers and refused are the numbers of answers and of refused flows in the last report of all servers.
	answers float64
	refused float64
}

// expected estimates how long a new request takes if the servers share what is in progress.
func (summary summary) expected(typical time.Duration) time.Duration {
	if summary.capacity == 0 {
		return 0
	}
	return time.Duration(float64(typical) * max(summary.inProgress/summary.capacity, 1))
}

// summarize sums up what is known of the servers of a service. The sum of the latest reports varies little, so that it
// need not be smoothed. Whenever routers change where they send flows, requests stay in progress at instances that
// never see their answers; so no more counts than the answered requests show, and as much more as this instance has in
// progress since.
func (steering *Steering) summarize(pool *Pool) summary {
	var known summary
	var answered float64
	for _, zone := range pool.Zones {
		for _, server := range zone.Servers {
			measure := steering.table.Measure(server)
			known.answers += measure.Answers
			known.refused += measure.Refused
			if !steering.slow(pool, server) {
				known.inProgress += steering.withOwn(server, measure.Latest)
				answered += measure.Answered
				known.capacity += server.capacity()
			}
		}
	}
	if answered > 0 {
		known.inProgress = min(known.inProgress, answered*steering.growth())
	}
	return known
}

// utilisation returns the part of what the usual servers of a failure domain can run that is in progress there.
func (steering *Steering) utilisation(pool *Pool, zone *Zone) float64 {
	var used, capacity float64
	for _, server := range zone.Servers {
		if !steering.slow(pool, server) {
			used += steering.use(server)
			capacity += server.capacity()
		}
	}
	if capacity == 0 {
		return 1
	}
	return used / capacity
}

// slow reports whether a server takes much longer than is typical. It gets new flows only if no other server can take
// them.
func (steering *Steering) slow(pool *Pool, server *Server) bool {
	return steering.serviceTime(pool, server) > _slow*steering.table.Typical(pool)
}

// serviceTime returns how long a server runs a request, as far as is known.
func (steering *Steering) serviceTime(pool *Pool, server *Server) time.Duration {
	if service := steering.table.Measure(server).ServiceTime; service > 0 {
		return service
	}
	return steering.table.Typical(pool)
}
