package steer

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/packet"
)

// ReportInterval is the interval between two reports of an instance.
const ReportInterval = 500 * time.Millisecond

// Observation is what an instance measured of one backend server since its last report.
type Observation struct {
	Cookie packet.Cookie
	// InProgress is the average number of requests in progress through this instance.
	InProgress float64
	// FlowsOpened is the number of flows opened.
	FlowsOpened int
	// Refused is the number of flows that were refused under overload and would have gone to the server.
	Refused int
	// Held is the number of long-lived flows that clients use. It is counted where the load of the service is evened out.
	Held int
	// UsualLatency is the geometric mean of the latencies of answers on long-lived flows, or of all where there are no
	// such flows. It is measured where the load of the service is evened out.
	UsualLatency time.Duration
	// Answers is the number of answers that began, and Latency their average time to the first byte.
	Answers int
	Latency time.Duration
	// SinceAnswer is the time since the server last answered, and Retransmissions the number of retransmissions since
	// then.
	SinceAnswer     time.Duration
	Retransmissions int
}

// Report returns what was measured of each backend server since the last report, and resets the counters.
func (steering *Steering) Report(now time.Duration) []Observation {
	interval := now - steering.reportedAt
	steering.reportedAt = now
	if interval <= 0 {
		return nil
	}
	steering.reportedInProgress = 0
	observations := make([]Observation, 0, len(steering.counters))
	for cookie, counters := range steering.counters {
		counters.accumulate(now)
		observation := Observation{
			Cookie:          cookie,
			InProgress:      float64(counters.pendingTime) / float64(interval),
			FlowsOpened:     counters.opened,
			Refused:         counters.refused,
			Answers:         counters.answers,
			SinceAnswer:     now - counters.answeredAt,
			Retransmissions: counters.retransmissions,
		}
		counters.reportedInProgress = observation.InProgress
		steering.reportedInProgress += observation.InProgress
		if counters.answers > 0 {
			observation.Latency = counters.latencySum / time.Duration(counters.answers)
		}
		if steering.isEvened(cookie) {
			observation.Held, observation.UsualLatency = counters.held, counters.usualLatency()
		}
		counters.logarithms, counters.logarithmCount = 0, 0
		_, isKnown := steering.table.Servers[cookie]
		counters.pendingTime, counters.opened, counters.refused, counters.answers, counters.latencySum = 0, 0, 0, 0, 0
		if !isKnown && counters.pending == 0 && counters.halfOpen == 0 {
			delete(steering.counters, cookie)
			continue
		}
		observations = append(observations, observation)
	}
	for service, demand := range steering.demands {
		total := 0.0
		if pool, ok := steering.table.Pools[service]; ok {
			demand.decay(now)
			total = steering.table.totals(pool).answers / ReportInterval.Seconds()
		}
		demand.report(interval, total, steering.table.LiveInstances)
		if now-demand.updatedAt > _demandRetention {
			delete(steering.demands, service)
		}
	}
	slices.SortFunc(observations, func(left, right Observation) int { return cmp.Compare(left.Cookie, right.Cookie) })
	return observations
}

// FlowCount returns the number of tracked flows.
func (steering *Steering) FlowCount() int {
	return len(steering.flows)
}
