package steer

import (
	"time"

	"azureshift/core/route"
)

const (
	// _utilisationTarget is the expected utilisation of the servers of a service up to which new flows are admitted. It is
	// above 1, as busy servers appear slower than they are.
	_utilisationTarget = 1.12
	// _queueSetpoint is the part of the latency limit that requests take while queues are at the setpoint. _idleGain is
	// the utilisation that is admitted in addition while queues are empty, and _drainGain the part that is held back while
	// they are twice as long as the setpoint. At most _maxDrain is held back.
	_queueSetpoint = 0.6
	_idleGain      = 0.1
	_drainGain     = 0.3
	_maxDrain      = 0.3
	// _persistentBand is the width of the range of expected utilisation below the target in which the refused share of new
	// persistent flows grows from none to all.
	_persistentBand = 0.1
	// _lessUrgentWeight is the part of the load on less urgent persistent flows that counts where a flow is admitted.
	// These flows cannot be closed, but servers that are full reject their requests, which ends them.
	_lessUrgentWeight = 0.6
	// _maxMeasuredUtilisation bounds the utilisation computed from answers: servers that reject requests answer more of
	// them than they run.
	_maxMeasuredUtilisation = 1.05
	// _minCounted is the least number of recent requests from which the mix of requests is estimated.
	_minCounted = 4
	// _forecastPeriod is how long a forecast is used for further flows.
	_forecastPeriod = 50 * time.Millisecond
)

// forecast is the load that the servers of a service are about to get, in parts of what they can run.
type forecast struct {
	table *Table
	at    time.Duration
	// known says that this instance has seen enough requests for a forecast.
	known bool
	// total is the load by requests that were forwarded, and persistent the part of it on persistent flows of each
	// priority.
	total      float64
	persistent [_priorityLevels]float64
	// single is the load by flows of each priority that carry one request each, including refused ones, and refused the
	// load by the refused flows of each priority.
	single  [_priorityLevels]float64
	refused [_priorityLevels]float64
	// queued is the ratio of requests in progress to the number that the servers can run at once.
	queued float64
}

// forecastLoad returns the forecast for a pool. It answers a load that grows faster than reports spread, and one that
// stays above what the servers can run. The rate of answers through all instances is the basis. It is up to two seconds
// old, so it is scaled by the growth of this instance's own requests since, and the requests that are to come on new
// persistent flows are added. Decisions on the length of queues would lag behind these and let them fill and drain by
// turns.
func (steering *Steering) forecastLoad(now time.Duration, pool *Pool, demand *demand) *forecast {
	cached := &demand.forecast
	if cached.table == steering.table && now-cached.at < _forecastPeriod {
		return cached
	}
	*cached = forecast{table: steering.table, at: now}
	totals := steering.table.totals(pool)
	cached.queued = totals.queued()
	demand.decay(now)
	counted := demand.recentlyCounted()
	if totals.capacity == 0 || counted < _minCounted {
		return cached
	}
	cached.known = true
	rate := totals.answers / ReportInterval.Seconds()
	share := demand.ownShare(steering.table.LiveInstances)
	work := demand.withoutHandshake(steering.table.TypicalServiceTime(pool))
	loadPerRate := work.Seconds() / totals.capacity
	cached.total = min(rate*loadPerRate, _maxMeasuredUtilisation) * demand.growth(now, rate, share)
	perRequest := cached.total / counted
	for level := range demand.byLevel {
		for kind := range demand.byLevel[level] {
			counts := &demand.byLevel[level][kind]
			single := counts.singleRequestShare()
			cached.persistent[level] += counts.requested * (1 - single) * perRequest
			cached.single[level] += (counts.requested + counts.refused) * single * perRequest
			cached.refused[level] += counts.refused * perRequest
		}
	}
	if share > 0 && demand.activeFlows > 0 {
		cached.addUnmeasured(demand.unmeasured.value(now, _unmeasuredTimeConstant), demand, loadPerRate/share)
	}
	return cached
}

// recentlyCounted returns the number of recent requests.
func (demand *demand) recentlyCounted() float64 {
	counted := 0.0
	for level := range demand.byLevel {
		for kind := range demand.byLevel[level] {
			counted += demand.byLevel[level][kind].requested
		}
	}
	return counted
}

// addUnmeasured adds the load by new persistent flows. Flows for one request each are expected to grow alike, as new
// flows mean new clients.
func (forecast *forecast) addUnmeasured(flows float64, demand *demand, loadPerOwnRate float64) {
	growth := flows / float64(demand.activeFlows)
	added := growth * demand.rates.persistent * loadPerOwnRate
	total := 0.0
	for level := range forecast.persistent {
		total += forecast.persistent[level]
	}
	for level := range forecast.persistent {
		if total > 0 {
			forecast.persistent[level] *= 1 + added/total
		}
		forecast.single[level] *= 1 + growth
	}
}

// target returns the utilisation up to which flows are admitted, given the setpoint of the queues.
func (forecast *forecast) target(setpoint float64) float64 {
	return utilisationTarget(forecast.queued, setpoint)
}

// utilisationTarget returns the utilisation up to which flows are admitted, given the ratio of requests in progress to
// the number that the servers run at once, and the setpoint of this ratio.
func utilisationTarget(queued, setpoint float64) float64 {
	deviation := 1 - queued/setpoint
	if deviation > 0 {
		return _utilisationTarget + _idleGain*deviation
	}
	return _utilisationTarget + max(_drainGain*deviation, -_maxDrain)
}

// refusedShare returns the share of the new flows of a route to refuse, given the setpoint of the queues. Of flows that
// carry one request each, as many are admitted as the servers can run besides the requests on persistent flows and
// the more urgent ones. A persistent flow brings further requests that cannot be refused, so it is admitted only
// while all others of its priority are.
func (forecast *forecast) refusedShare(configured *route.Route, singleShare, setpoint float64) float64 {
	level := priorityLevel(configured.Priority)
	available := forecast.target(setpoint)
	for other := range forecast.persistent {
		if other > level {
			available -= _lessUrgentWeight * forecast.persistent[other]
			continue
		}
		available -= forecast.persistent[other]
		if other < level {
			available -= max(forecast.single[other], forecast.refused[other])
		}
	}
	refusedSingle := 0.0
	if own := forecast.single[level]; own > 0 {
		refusedSingle = 1 - available/own
	}
	refusedPersistent := 1 - (available-forecast.single[level])/_persistentBand
	return singleShare*clamp(refusedSingle) + (1-singleShare)*clamp(refusedPersistent)
}
