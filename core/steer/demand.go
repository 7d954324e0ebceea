package steer

import (
	"time"

	"azureshift/core/route"
)

const (
	// _priorityLevels is the number of distinct priorities; lower ones are counted with the last. _kinds is the number of
	// kinds of requests, including the unknown one.
	_priorityLevels = 8
	_kinds          = int(route.Upload) + 1
	// _demandTimeConstant is the time constant of the exponential decay of the counts, which spans a few reports, and
	// _habitTimeConstant that of the counts that tell whether clients reuse flows.
	_demandTimeConstant = 2 * time.Second
	_habitTimeConstant  = 20 * time.Second
	// _demandRetention is how long the demand of a service without servers and flows is kept.
	_demandRetention = time.Minute
	// _rateTimeConstant is the time constant of the averages that relate this instance's requests to those of all.
	_rateTimeConstant = 6 * time.Second
	// _recentTimeConstant is the time constant of the current rate of requests.
	_recentTimeConstant = 250 * time.Millisecond
	// _unmeasuredTimeConstant is the time until the reports of all instances show the requests on a new flow.
	_unmeasuredTimeConstant = 3 * time.Second
	// _activePeriod is the time since its last packet for which a flow counts as one that its client uses.
	_activePeriod = 5 * time.Second
	// _minReusedShare is the share of requests that reuse a flow from which on all flows of a kind count as persistent.
	_minReusedShare = 0.5
	// _recentSmoothing is added to both sides of the ratio of current to expected requests, as the ratio of a few requests
	// is mostly noise. _minRecentGrowth and _maxRecentGrowth bound what one instance infers about all others.
	_recentSmoothing = 3
	_minRecentGrowth = 0.7
	_maxRecentGrowth = 4
	// _handshakeWeight is the weight of the newest handshake in the average.
	_handshakeWeight = 1.0 / 16
	// _minWorkShare is the least part of the latency of an answer that counts as work of the server.
	_minWorkShare = 0.25
)

// demand holds this instance's recent counts of the requests of one service. Routers give all instances of a failure
// domain the same mix of flows, so the ratios hold for every instance.
type demand struct {
	byLevel   [_priorityLevels][_kinds]demandCounts
	updatedAt time.Duration
	// recent is the number of requests in the last _recentTimeConstant.
	recent decayingCount
	// sinceReport is the number of requests since the last report, and onPersistent the number of those on persistent
	// flows.
	sinceReport  float64
	onPersistent float64
	rates        demandRates
	// activeFlows is the number of persistent flows in use.
	activeFlows int
	// unmeasured is the number of persistent flows that are too new for the reports to show their requests.
	unmeasured decayingCount
	// handshake is the average time from an opening packet to the client's next packet.
	handshake time.Duration
	// forecast is the last forecast of the load.
	forecast forecast
	// own is what this instance reports to others.
	own  ownDemand
	even evenState
}

// demandCounts are counts of new flows and of requests, with exponential decay.
type demandCounts struct {
	// requested is the number of requests that were forwarded, and refused the number of new flows that were refused.
	requested float64
	refused   float64
	// opened is the number of flows that were opened, and answered the number of answers. They decay more slowly.
	opened   float64
	answered float64
	habits
}

// demandRates are moving averages of rates per second.
type demandRates struct {
	// own is the rate of requests through this instance, persistent the part of it on persistent flows, and total the rate
	// of answers through all instances.
	own, persistent, total float64
	// instances is the number of live instances in the failure domain.
	instances float64
}

// decay reduces the weight of earlier counts by the time that has passed.
func (demand *demand) decay(now time.Duration) {
	if now <= demand.updatedAt {
		return
	}
	elapsed := now - demand.updatedAt
	recent, habit := decayFactor(elapsed, _demandTimeConstant), decayFactor(elapsed, _habitTimeConstant)
	for level := range demand.byLevel {
		for kind := range demand.byLevel[level] {
			counts := &demand.byLevel[level][kind]
			counts.requested *= recent
			counts.refused *= recent
			counts.opened *= habit
			counts.answered *= habit
			counts.closed *= habit
		}
	}
	demand.updatedAt = now
}

// counts returns the counts of the requests of a route, and of others of its kind and priority.
func (demand *demand) counts(now time.Duration, configured *route.Route) *demandCounts {
	demand.decay(now)
	kind := min(max(int(configured.Kind), 0), _kinds-1)
	return &demand.byLevel[priorityLevel(configured.Priority)][kind]
}

// singleRequestShare returns the share of requests on flows that carry one request each: 1 where clients open a
// flow for each request, 0 where they reuse flows. It is 0 until the first answer.
func (counts *demandCounts) singleRequestShare() float64 {
	if counts.answered == 0 {
		return 0
	}
	return clamp((counts.opened/counts.answered - _minReusedShare) / (1 - _minReusedShare))
}

// persistent reports whether clients reuse flows.
func (counts *demandCounts) persistent() bool {
	return counts.singleRequestShare() < _minReusedShare
}

// countOpened counts a flow that was opened, and reports whether it is expected to be long-lived.
func (demand *demand) countOpened(now time.Duration, configured *route.Route) bool {
	counts := demand.counts(now, configured)
	counts.opened++
	if counts.persistent() {
		demand.unmeasured.increment(now, _unmeasuredTimeConstant)
	}
	counts.noteOpened(now)
	return counts.longLived(now)
}

// countRequest counts a request, on a new flow or on an open one.
func (demand *demand) countRequest(now time.Duration, configured *route.Route) {
	counts := demand.counts(now, configured)
	counts.requested++
	demand.own.countRequest(now, classOf(configured.Priority, !counts.persistent()))
	demand.sinceReport++
	if counts.persistent() {
		demand.onPersistent++
	}
	demand.recent.increment(now, _recentTimeConstant)
}

// withoutHandshake returns the part of the latency of an answer in which the server runs the request.
func (demand *demand) withoutHandshake(latency time.Duration) time.Duration {
	return max(latency-demand.handshake, time.Duration(_minWorkShare*float64(latency)))
}

// countHandshake records the time from an opening packet to the client's next packet.
func (demand *demand) countHandshake(taken time.Duration) {
	if demand.handshake == 0 {
		demand.handshake = taken
		return
	}
	demand.handshake += time.Duration(_handshakeWeight * float64(taken-demand.handshake))
}

// report ends a report interval, in which all instances together got answers at a rate per second.
func (demand *demand) report(interval time.Duration, total float64, instances int) {
	weight := 1 - decayFactor(interval, _rateTimeConstant)
	average := func(average *float64, value float64) { *average += weight * (value - *average) }
	average(&demand.rates.own, demand.sinceReport/interval.Seconds())
	average(&demand.rates.persistent, demand.onPersistent/interval.Seconds())
	average(&demand.rates.total, total)
	if demand.rates.instances == 0 {
		demand.rates.instances = float64(instances)
	}
	average(&demand.rates.instances, float64(instances))
	demand.sinceReport, demand.onPersistent = 0, 0
}

// ownShare returns the share of all requests that go through this instance, or zero if it is unknown. The averages lag
// behind the number of instances, so the share is adjusted to it.
func (demand *demand) ownShare(instances int) float64 {
	rates := demand.rates
	if rates.total <= 0 || rates.own <= 0 || instances <= 0 {
		return 0
	}
	return min(rates.own/rates.total*rates.instances/float64(instances), 1)
}

// growth returns the ratio of the current rate of requests to the total rate that the reports of all instances show,
// which are up to two seconds old.
func (demand *demand) growth(now time.Duration, total, ownShare float64) float64 {
	if ownShare == 0 {
		return 1
	}
	expected := total * ownShare * _recentTimeConstant.Seconds()
	growth := (demand.recent.value(now, _recentTimeConstant) + _recentSmoothing) / (expected + _recentSmoothing)
	return min(max(growth, _minRecentGrowth), _maxRecentGrowth)
}

func priorityLevel(priority route.Priority) int {
	return min(max(int(priority), 0), _priorityLevels-1)
}
