package steer

import (
	"math"
	"time"

	"azureshift/core/route"
)

const (
	// _priorityLevels is the number of distinct priorities; lower ones are counted with the last.
	_priorityLevels = 8
	// _demandTimeConstant is the time constant of the exponential decay of the counts, which spans a few reports.
	_demandTimeConstant = 2 * time.Second
	// _demandRetention is how long the demand of a service without servers and flows is kept.
	_demandRetention = time.Minute
	// _queueSetpoint is the part of the latency limit that requests on single-request flows should take, queueing
	// included. _queueGain is the gain of the controller that holds it: the part of the servers' capacity that is admitted
	// in addition while the queue is empty, and held back while it is twice as long as the setpoint.
	_queueSetpoint = 0.6
	_queueGain     = 0.5
)

// demand holds this instance's recent counts of the requests of one service, with exponential decay. Routers give all
// instances the same mix of flows, so the ratios hold for every instance.
type demand struct {
	// offered is the number of new flows by priority, including refused ones.
	offered [_priorityLevels]float64
	// opened is the number of flows that were opened, and answered the number of answers on all flows.
	opened    float64
	answered  float64
	updatedAt time.Duration
}

// decay reduces the weight of earlier counts by the time that has passed.
func (demand *demand) decay(now time.Duration) {
	if now <= demand.updatedAt {
		return
	}
	factor := math.Exp(-(now - demand.updatedAt).Seconds() / _demandTimeConstant.Seconds())
	for index := range demand.offered {
		demand.offered[index] *= factor
	}
	demand.opened *= factor
	demand.answered *= factor
	demand.updatedAt = now
}

// countOffered counts a new flow, whether it is then admitted or refused.
func (demand *demand) countOffered(now time.Duration, priority route.Priority) {
	demand.decay(now)
	demand.offered[priorityLevel(priority)]++
}

// countServed adds the counts of one server of the service since the last report.
func (demand *demand) countServed(now time.Duration, counters *counters) {
	demand.decay(now)
	demand.opened += float64(counters.opened)
	demand.answered += float64(counters.answers)
}

// singleRequestShare returns the share of requests that open a flow of their own: close to 1 where clients open a flow
// for each request, close to 0 where they reuse flows. It is 0 until the first answer.
func (demand *demand) singleRequestShare() float64 {
	if demand.answered == 0 {
		return 0
	}
	return clamp(demand.opened / demand.answered)
}

// priorityAdmissionShare returns the share of new flows of one priority to admit, given the share to admit of all new
// flows. Higher priorities are admitted first.
func (demand *demand) priorityAdmissionShare(priority route.Priority, admissionShare float64) float64 {
	level := priorityLevel(priority)
	total, moreUrgent := 0.0, 0.0
	for index, offered := range demand.offered {
		total += offered
		if index < level {
			moreUrgent += offered
		}
	}
	own := demand.offered[level]
	if own == 0 {
		return clamp(admissionShare)
	}
	return clamp((admissionShare*total - moreUrgent) / own)
}

// admissionShare returns the share of new flows that keeps the servers of a service fully used. A proportional
// controller admits a little more while their queues are shorter than the setpoint, and less while they are longer. It
// handles overload by flows that carry one request each: their number hardly changes from one report to the next, while
// queues fill and drain many times between two reports.
func (demand *demand) admissionShare(totals poolTotals, typical, limit time.Duration) float64 {
	singleRequestShare := demand.singleRequestShare()
	offered := totals.answers*singleRequestShare + totals.refused
	if offered <= 0 || totals.capacity <= 0 || typical <= 0 {
		return 1
	}
	setpoint := totals.capacity * max(_queueSetpoint*float64(limit)/float64(typical), 1)
	throughput := totals.capacity * float64(ReportInterval) / float64(typical)
	budget := throughput * (1 + _queueGain*(1-totals.inProgress/setpoint))
	onPersistentFlows := totals.answers * (1 - singleRequestShare)
	return (budget - onPersistentFlows) / offered
}

func priorityLevel(priority route.Priority) int {
	return min(max(int(priority), 0), _priorityLevels-1)
}
