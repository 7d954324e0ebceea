package steer

import (
	"time"

	"azureshift/core/route"
)

const (
	// _latencyShare is the part of the route's objective that a request of the highest priority may be expected to take.
	// Each lower priority gives up _latencyShareStep of it, down to _minLatencyShare. A request beyond it would be late
	// and delay others.
	_latencyShare     = 0.9
	_latencyShareStep = 0.1
	_minLatencyShare  = 0.5
	// _shedStart and _shedFull are the expected latencies, as parts of the latency limit, between which the refused share
	// of new flows grows from none to all. Switching between none and all would fill and drain the servers in turn, as an
	// instance's measurements are half a second old. _forecastTolerance is added to both where the load is forecast.
	_shedStart         = 0.6
	_shedFull          = 1.1
	_forecastTolerance = 0.4
)

// latencyLimit returns how long a request of a route may be expected to take, or zero if the route has no objective.
// Under sustained overload the limit keeps the admitted requests in time, those of higher priority longest. The other
// flows are refused before they open, so that their clients know that nothing has run. Where servers usually take long,
// or their service time is unknown, the limit is high enough that an idle server always has headroom: a service that
// refused everything would never measure that it need not.
func latencyLimit(configured *route.Route, typical time.Duration) time.Duration {
	if configured.Objective == 0 {
		return 0
	}
	share := max(_latencyShare-_latencyShareStep*float64(configured.Priority), _minLatencyShare)
	return max(time.Duration(float64(configured.Objective)*share), time.Duration(float64(typical)/_headroomShare))
}

// shedDecision returns the refusal of a new flow, with the share of such flows to refuse, by the forecast of the
// load. If the chosen server has no headroom, the length of the queues counts too: it shows load that the forecast
// misses, such as that of servers that have all turned slow, and load at an instance that has seen too few requests
// for a forecast. The hash of a flow decides whether it is refused; each attempt to open a flow has another hash.
func (steering *Steering) shedDecision(
	now time.Duration, configured *route.Route, pool *Pool, demand *demand, limit time.Duration, hasHeadroom bool,
) Decision {
	if steering.table.Placement.FleetAdmission {
		if decision, ok := steering.shedByFleet(now, configured, pool, demand, limit, hasHeadroom); ok {
			return decision
		}
	}
	typical := steering.table.TypicalServiceTime(pool)
	forecast := steering.forecastLoad(now, pool, demand)
	queued := forecast.queued
	if !hasHeadroom {
		queued = steering.summarize(pool).queued()
	}
	singleShare := demand.counts(now, configured).singleRequestShare()
	setpoint := max(_queueSetpoint*float64(limit)/float64(typical), 1)
	decision := Decision{
		Action: Reset, Reason: Overloaded, LatencyLimit: limit, SingleRequestShare: singleShare,
		ExpectedLatency:     expectedLatency(typical, queued),
		ExpectedUtilisation: forecast.total,
		RefusedShare:        forecast.refusedShare(configured, singleShare, setpoint),
	}
	if !hasHeadroom {
		start := _shedStart
		if forecast.known {
			start += _forecastTolerance
		}
		byQueue := (float64(decision.ExpectedLatency)/float64(limit) - start) / (_shedFull - _shedStart)
		decision.RefusedShare = max(decision.RefusedShare, clamp(byQueue))
	}
	return decision
}
