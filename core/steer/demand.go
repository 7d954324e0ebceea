package steer

import (
	"math"
	"time"

	"azureshift/core/route"
)

const (
	// _priorities is the number of priorities that are told apart; the last one stands for all beyond.
	_priorities = 8
	// _demandSpan is the time constant over which demand is counted: a few reports.
	_demandSpan = 2 * time.Second
	// _demandLife is how long a service is remembered that has neither servers nor flows.
	_demandLife = time.Minute
	// _queueGoal is the part of what is admitted that requests on flows of their own are meant to take, and _queueGain the
	// part of the servers' capacity that is admitted more if nothing waits, and less if twice as much waits as is meant.
	_queueGoal = 0.6
	_queueGain = 0.5
)

// demand is what this instance saw of the requests of one service lately. Routers give all instances the same mix, so
// that its shares hold for all of them.
type demand struct {
	// offered is the number of new flows by priority, refused ones included.
	offered [_priorities]float64
	// placed is the number of flows opened, and answered that of answers on all flows.
	placed   float64
	answered float64
	at       time.Duration
}

// age lets what was seen before count less.
func (demand *demand) age(now time.Duration) {
	if now <= demand.at {
		return
	}
	left := math.Exp(-(now - demand.at).Seconds() / _demandSpan.Seconds())
	for index := range demand.offered {
		demand.offered[index] *= left
	}
	demand.placed *= left
	demand.answered *= left
	demand.at = now
}

// offer counts a new flow.
func (demand *demand) offer(now time.Duration, priority route.Priority) {
	demand.age(now)
	demand.offered[levelOf(priority)]++
}

// count takes in what was seen of one server of the service since the last report.
func (demand *demand) count(now time.Duration, load *load) {
	demand.age(now)
	demand.placed += float64(load.placed)
	demand.answered += float64(load.answers)
}

// single returns the share of requests that open a flow: near 1 where clients open one for each request, near 0 where
// they keep flows. It is 0 as long as no answer was seen.
func (demand *demand) single() float64 {
	if demand.answered == 0 {
		return 0
	}
	return clamp(demand.placed / demand.answered)
}

// portion returns the share of new flows of a priority that is admitted if a share of all is, the most urgent ones
// first.
func (demand *demand) portion(priority route.Priority, admitted float64) float64 {
	level := levelOf(priority)
	total, moreUrgent := 0.0, 0.0
	for index, offered := range demand.offered {
		total += offered
		if index < level {
			moreUrgent += offered
		}
	}
	own := demand.offered[level]
	if own == 0 {
		return clamp(admitted)
	}
	return clamp((admitted*total - moreUrgent) / own)
}

// admit returns the share of new flows that gives the servers of a service as many requests as they can run, a few more
// while their queues are shorter than meant and fewer while they are longer. It answers overload by flows that carry
// one request each: their number hardly changes from one report to the next, while queues fill and empty many times
// between two reports.
func (demand *demand) admit(known summary, typical, limit time.Duration) float64 {
	single := demand.single()
	offered := known.answers*single + known.refused
	if offered <= 0 || known.capacity <= 0 || typical <= 0 {
		return 1
	}
	goal := known.capacity * max(_queueGoal*float64(limit)/float64(typical), 1)
	capacity := known.capacity * float64(ReportSpan) / float64(typical)
	wanted := capacity * (1 + _queueGain*(1-known.inProgress/goal))
	onKeptFlows := known.answers * (1 - single)
	return (wanted - onKeptFlows) / offered
}

func levelOf(priority route.Priority) int {
	return min(max(int(priority), 0), _priorities-1)
}
