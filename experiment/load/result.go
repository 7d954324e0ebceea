package load

import (
	"time"
)

// Result holds the outcome of the requests of one run.
type Result struct {
	Policy  PolicyName
	Pattern string
	// Requests counts all requests, and InTime, Late and Failed their outcomes.
	Requests int
	InTime   int
	// Worth is the sum of Kind.Worth over the requests in time, and Owed the sum over all requests.
	Worth  float64
	Owed   float64
	Late   int
	Failed int
	// Retries counts the retries by clients.
	Retries int
	// RefusedLate counts failed requests that reached no server and took longer to fail than a quarter of their
	// objective.
	RefusedLate int
	// RefusedSlowStart counts attempts to open a flow that were refused as all servers that could take it were cold.
	RefusedSlowStart int
	// MostColdFlows is the largest number of flows that any server got in a second while it was cold.
	MostColdFlows int
	// WorstSecond, WorstZone and WorstKind are the smallest shares answered in time of any second, failure domain and
	// kind.
	WorstSecond float64
	WorstZone   float64
	WorstKind   float64
	// Imbalance is the busy time of the busiest server divided by the mean of all servers.
	Imbalance float64
	Evenness  Evenness

	values   values
	bySecond map[int]*tally
	byZone   map[int]*tally
	byKind   map[string]*tally
}

// _refusalDivisor divides a request's objective to give the time within which it is to be refused if it cannot be
// served.
const _refusalDivisor = 4

type tally struct{ requests, inTime int }

func (tally *tally) inTimeShare() float64 {
	if tally.requests == 0 {
		return 1
	}
	return float64(tally.inTime) / float64(tally.requests)
}

// InTimeShare returns the share of the requests that were answered in time.
func (result Result) InTimeShare() float64 {
	return (&tally{requests: result.Requests, inTime: result.InTime}).inTimeShare()
}

// AnsweredShare returns the share of the requests that were answered, in time or late.
func (result Result) AnsweredShare() float64 {
	if result.Requests == 0 {
		return 1
	}
	return float64(result.InTime+result.Late) / float64(result.Requests)
}

// talliesOf returns the tallies in which a request counts, or nil if it started before the measurement.
func (result *Result) talliesOf(simulation *simulation, request *request) []*tally {
	after := request.started - simulation.config.Warmup
	if after < 0 {
		return nil
	}
	if result.bySecond == nil {
		result.bySecond, result.byZone = make(map[int]*tally), make(map[int]*tally)
		result.byKind = make(map[string]*tally)
	}
	return []*tally{
		tallyFor(result.bySecond, int(after/time.Second)), tallyFor(result.byZone, request.zone),
		tallyFor(result.byKind, request.kind.Name),
	}
}

func tallyFor[K comparable](tallies map[K]*tally, key K) *tally {
	if tallies[key] == nil {
		tallies[key] = &tally{}
	}
	return tallies[key]
}

func (result *Result) recordStart(simulation *simulation, request *request) {
	for _, tally := range result.talliesOf(simulation, request) {
		tally.requests++
	}
}

func (result *Result) recordEnd(simulation *simulation, request *request, answered bool) {
	result.values.recordEnd(simulation, request, answered)
	tallies := result.talliesOf(simulation, request)
	if tallies == nil {
		return
	}
	result.Requests++
	result.Owed += request.kind.worth()
	latency := simulation.clock.Now() - request.started
	if answered {
		simulation.evenness.recordLatency(latency)
	}
	switch {
	case !answered:
		result.Failed++
		if !request.reachedServer && latency > request.kind.Objective/_refusalDivisor {
			result.RefusedLate++
		}
	case latency > request.kind.Objective:
		result.Late++
	default:
		result.InTime++
		result.Worth += request.kind.worth()
		for _, tally := range tallies {
			tally.inTime++
		}
	}
}

func (result *Result) summarize(simulation *simulation) {
	result.Policy = simulation.policyName
	result.WorstSecond, result.WorstZone = worstShare(result.bySecond), worstShare(result.byZone)
	result.WorstKind = worstShare(result.byKind)
	result.Evenness = simulation.evenness.summarize(simulation.servers)
	var total, busiest time.Duration
	for _, server := range simulation.servers {
		total += server.busyTime
		busiest = max(busiest, server.busyTime)
		result.MostColdFlows = max(result.MostColdFlows, mostInASecond(server.placedCold))
	}
	if total > 0 {
		result.Imbalance = float64(busiest) * float64(len(simulation.servers)) / float64(total)
	}
}

func worstShare[K comparable](tallies map[K]*tally) float64 {
	least := 1.0
	for _, tally := range tallies {
		least = min(least, tally.inTimeShare())
	}
	return least
}
