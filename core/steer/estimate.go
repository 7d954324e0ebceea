package steer

import (
	"time"
)

const (
	// _newFlowLoad is the number of requests in progress that a new flow is expected to add. A client that reuses a flow
	// sends about one request of some 50 ms per second.
	_newFlowLoad = 0.1
	// _slowStartCapacity is the part of its usual speed that a server reaches during slow start.
	_slowStartCapacity = 0.5
	// _growthSmoothing is added to both sides of the growth ratio, since the growth of a few requests is mostly noise.
	// _maxGrowth bounds what one instance infers about all others.
	_growthSmoothing = 6
	_maxGrowth       = 8
	// _slowRatio is the ratio to the typical service time above which a server is avoided. Servers with long queues appear
	// up to twice as slow as they are.
	_slowRatio = 2
	// _fastFailureRatio is the part of the typical service time below which answers are taken for rejections: a server
	// that fails immediately appears idle and would attract ever more flows.
	_fastFailureRatio = 0.8
)

// smoothedInProgress estimates the number of requests in progress at a server from the smoothed reports of all
// instances and this instance's current counts. The latter matter in a burst, as reports are half a second old.
func (steering *Steering) smoothedInProgress(server *Server) float64 {
	return steering.estimateInProgress(server, steering.table.Measure(server).SmoothedInProgress)
}

// estimateInProgress estimates the number of requests in progress at a server from the reported number. It replaces
// this instance's part of it by the current count, and scales the part of the others by growthSinceReport.
func (steering *Steering) estimateInProgress(server *Server, reported float64) float64 {
	counters, ok := steering.counters[server.Cookie]
	if !ok {
		return reported
	}
	others := max(reported-counters.reportedInProgress, 0) * steering.growthSinceReport()
	return others + float64(counters.pending+counters.halfOpen)
}

// growthSinceReport returns the ratio of the requests that this instance has in progress to those that it last
// reported. The routers give all instances the same mix of flows, so the load of the others has grown alike; their next
// reports arrive too late for a burst.
func (steering *Steering) growthSinceReport() float64 {
	now := float64(steering.inProgress) + _growthSmoothing
	return min(max(now/(steering.reportedInProgress+_growthSmoothing), 1), _maxGrowth)
}

// cost ranks servers for a new flow, which stays on its server: the cost rises with the service time and with the
// requests in progress. A server that answers much faster than is typical is taken to reject requests, so its cost is
// raised. The other instances of the failure domain also place new flows that no report shows yet, so each flow that
// this instance opened recently is counted once per instance; between two reports this spreads its flows over the
// servers.
func (steering *Steering) cost(now time.Duration, pool *Pool, server *Server) float64 {
	serviceTime := float64(steering.table.serviceTime(pool, server))
	if typical := float64(steering.table.TypicalServiceTime(pool)); serviceTime < _fastFailureRatio*typical {
		serviceTime = typical * typical / max(serviceTime, 1)
	}
	inProgress := steering.smoothedInProgress(server)
	if counters, ok := steering.counters[server.Cookie]; ok {
		opened := counters.recentlyOpened.value(now, _openedTimeConstant)
		inProgress += opened * _newFlowLoad * float64(max(steering.table.LiveInstances, 1))
	}
	return serviceTime * (1 + inProgress/server.capacity())
}

// expectedLatency estimates how long a new request takes at a server, including the time that it waits in the queue.
func (steering *Steering) expectedLatency(pool *Pool, server *Server) time.Duration {
	serviceTime := max(steering.table.serviceTime(pool, server), steering.table.TypicalServiceTime(pool))
	rounds := (steering.smoothedInProgress(server) + 1) / server.capacity()
	return time.Duration(float64(serviceTime) * max(rounds, 1))
}

// poolTotals sums the measures of the servers of a pool; slow servers count only in answers.
type poolTotals struct {
	// capacity is the number of requests that the servers run at once, and inProgress the number that they run or queue.
	capacity   float64
	inProgress float64
	// answers is the number of answers in the latest reports, and answered the number of requests in progress that they
	// account for.
	answers  float64
	answered float64
	// outside is the number of answers in the latest reports by servers of the service that take no new flows.
	outside float64
}

// expectedLatency estimates how long a new request takes, given the ratio of requests in progress to the number
// that the servers run at once.
func expectedLatency(typical time.Duration, queued float64) time.Duration {
	return time.Duration(float64(typical) * max(queued, 1))
}

// queued returns the ratio of requests in progress to the number that the servers run at once.
func (poolTotals poolTotals) queued() float64 {
	if poolTotals.capacity == 0 {
		return 0
	}
	return poolTotals.inProgress / poolTotals.capacity
}

// sumMeasures returns the totals of a pool by the latest reports alone.
func (table *Table) sumMeasures(pool *Pool) poolTotals {
	var totals poolTotals
	for _, zone := range pool.Zones {
		for _, server := range zone.Servers {
			measure := table.Measure(server)
			totals.answers += measure.Answers
			if !table.slow(pool, server) {
				totals.inProgress += measure.LatestInProgress
				totals.capacity += server.capacity()
				totals.answered += measure.AnsweredInProgress
			}
		}
	}
	totals.capInProgress(1)
	return totals
}

// capInProgress caps the requests in progress by those that the answers account for, scaled by a growth since the
// reports. Whenever routers change where they send flows, requests stay counted as in progress at instances that never
// see their answers.
func (poolTotals *poolTotals) capInProgress(growth float64) {
	if poolTotals.answered > 0 {
		poolTotals.inProgress = min(poolTotals.inProgress, poolTotals.answered*growth)
	}
}

// totals returns the totals of a pool by the latest reports alone.
func (table *Table) totals(pool *Pool) poolTotals {
	return table.reportedTotals[pool.typicalIndex]
}

// summarize returns the totals of a pool with what this instance has seen since the latest reports. These need no
// smoothing, as their sum varies little.
func (steering *Steering) summarize(pool *Pool) poolTotals {
	totals := steering.table.totals(pool)
	totals.inProgress = 0
	for _, zone := range pool.Zones {
		for _, server := range zone.Servers {
			if !steering.table.slow(pool, server) {
				totals.inProgress += steering.estimateInProgress(server, steering.table.Measure(server).LatestInProgress)
			}
		}
	}
	totals.capInProgress(steering.growthSinceReport())
	return totals
}

// utilisation returns the ratio of requests in progress to capacity for a failure domain, without slow servers.
func (steering *Steering) utilisation(pool *Pool, zone *Zone) float64 {
	var inProgress, capacity float64
	for _, server := range zone.Servers {
		if !steering.table.slow(pool, server) {
			inProgress += steering.smoothedInProgress(server)
			capacity += server.capacity()
		}
	}
	if capacity == 0 {
		return 1
	}
	return inProgress / capacity
}
