package steer

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/packet"
)

// ReportSpan is the time over which instances count before they report what they saw.
const ReportSpan = 500 * time.Millisecond

// Observation is what an instance saw of one backend server since its last report.
type Observation struct {
	Cookie packet.Cookie
	// Busy is the average number of requests in progress through this instance.
	Busy float64
	// Placed is the number of flows opened.
	Placed int
	// Refused is the number of flows that were refused under overload and would have gone to the server.
	Refused int
	// Answers is the number of answers that began, and Latency their average time to the first byte.
	Answers int
	Latency time.Duration
	// Quiet is the time since the server last answered anything, and Stalls the number of repetitions since then.
	Quiet  time.Duration
	Stalls int
}

// Report returns what was seen of each backend server since the last report, and begins a new one.
func (steering *Steering) Report(now time.Duration) []Observation {
	span := now - steering.reported
	steering.reported = now
	if span <= 0 {
		return nil
	}
	steering.reportedAll = 0
	observations := make([]Observation, 0, len(steering.loads))
	for cookie, load := range steering.loads {
		load.account(now)
		observation := Observation{
			Cookie:  cookie,
			Busy:    float64(load.busy) / float64(span),
			Placed:  load.placed,
			Refused: load.refused,
			Answers: load.answers,
			Quiet:   now - load.progressed,
			Stalls:  load.stalls,
		}
		load.reported = observation.Busy
		steering.reportedAll += observation.Busy
		if load.answers > 0 {
			observation.Latency = load.latency / time.Duration(load.answers)
		}
		server, isKnown := steering.table.Servers[cookie]
		if isKnown {
			steering.demandOf(server.Service).count(now, load)
		}
		load.busy, load.placed, load.refused, load.answers, load.latency = 0, 0, 0, 0, 0
		if !isKnown && load.waiting == 0 && load.opening == 0 {
			delete(steering.loads, cookie)
			continue
		}
		observations = append(observations, observation)
	}
	for service, demand := range steering.demands {
		if now-demand.at > _demandLife {
			delete(steering.demands, service)
		}
	}
	slices.SortFunc(observations, func(left, right Observation) int { return cmp.Compare(left.Cookie, right.Cookie) })
	return observations
}

// Flows returns the number of flows that are known.
func (steering *Steering) Flows() int {
	return len(steering.flows)
}
