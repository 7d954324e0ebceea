package steer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
)

const (
	// _growthDeviations and _fallDeviations are the numbers of standard deviations of a random count by which an
	// instance's recent requests must exceed or fall short of the expected ones to correct the sums. An instance sees a
	// few requests in a quarter of a second. The second is smaller, as flows must not be refused while servers have room.
	_growthDeviations = 1
	_fallDeviations   = 0.5
	// _attemptStep is the step between the numbers of successive attempts of a client, in fractions of 2^64: the golden
	// ratio.
	_attemptStep = 0x9E3779B97F4A7C15
)

// fleetForecast is the demand for the servers of a service by priority, in parts of what they can run.
type fleetForecast struct {
	table *Table
	at    time.Duration
	// open is the load by requests of each priority on flows that are open, which cannot be refused, and opening the load
	// by the first requests on new flows of each class, including refused ones.
	open    [_priorityLevels]float64
	opening [_classes]float64
	// queued is the ratio of requests in progress to the number that the servers can run at once.
	queued float64
	// age is the age of the sums; known says that there are sums that are not too old.
	age   time.Duration
	known bool
}

// forecastFleet returns the forecast for a pool by the sums of all instances, or one that is not known without fresh
// sums. It answers overload by any mix of priorities: the sums are the same at all instances, so all admit the same
// share.
func (steering *Steering) forecastFleet(now time.Duration, pool *Pool, demand *demand) *fleetForecast {
	cached := &demand.own.admission
	if cached.table == steering.table && now-cached.at < _forecastPeriod {
		return cached
	}
	*cached = fleetForecast{table: steering.table, at: now}
	sums := steering.table.Demand.fresh(now, pool.Service)
	totals := steering.table.totals(pool)
	if sums == nil || totals.capacity == 0 {
		return cached
	}
	cached.known, cached.age = true, now-sums.At
	cached.queued = totals.queued()
	work := demand.withoutHandshake(steering.table.TypicalServiceTime(pool))
	outside := outsideShare(sums, totals)
	perCount := work.Seconds() / ReportInterval.Seconds() / totals.capacity
	share := demand.own.share() * sums.domainShare()
	for class, counts := range sums.classes {
		open, opening := demand.own.recent[class].recent(now)
		load := perCount * sums.relativeWork(counts)
		cached.open[class/2] += load * open.correct(counts.open(), share) * (1 - outside)
		cached.opening[class] = load * opening.correct(counts.opening(), share)
	}
	return cached
}

// sumOutside sums the answers of the servers that take no new flows, for each service.
func (table *Table) sumOutside() {
	for _, server := range table.Servers {
		if pool, ok := table.Pools[server.Service]; ok && !server.inPool {
			table.reportedTotals[pool.typicalIndex].outside += table.Measure(server).Answers
		}
	}
}

// outsideShare returns the share of the requests on open flows that go to servers which take no new flows. It answers
// an evacuation, in which servers keep their flows: these take no part of what the others can run.
func outsideShare(sums *ServiceDemand, totals poolTotals) float64 {
	open := 0
	for _, counts := range sums.classes {
		open += counts.open()
	}
	return clamp(totals.outside / max(float64(open), 1))
}

// domainShare returns the part of all requests that the clients of the failure domain send.
func (serviceDemand *ServiceDemand) domainShare() float64 {
	return float64(serviceDemand.domainOffered) / float64(max(serviceDemand.Offered(), 1))
}

// open returns the number of requests on flows that were open before.
func (counts DemandCounts) open() int {
	return max(counts.Requests-counts.Opened, 0)
}

// opening returns the number of first requests on new flows and of refused flows.
func (counts DemandCounts) opening() int {
	return counts.Opened + counts.Refused
}

// relativeWork returns the ratio of the latency of a class to that of all. Where queues are long the ratio is closer to
// 1 than that of the work, as all wait alike.
func (serviceDemand *ServiceDemand) relativeWork(counts DemandCounts) float64 {
	var all DemandCounts
	for _, other := range serviceDemand.classes {
		all = all.Add(other)
	}
	if counts.Answers == 0 || counts.Latency == 0 || all.Latency == 0 {
		return 1
	}
	return float64(counts.Latency) / float64(all.Latency)
}

// offered returns the load by all requests of a priority.
func (fleetForecast *fleetForecast) offered(level int) float64 {
	single, longLived := classOf(route.Priority(level), true), classOf(route.Priority(level), false)
	return fleetForecast.open[level] + fleetForecast.opening[single] + fleetForecast.opening[longLived]
}

// total returns the load by all requests.
func (fleetForecast *fleetForecast) total() float64 {
	total := 0.0
	for level := range fleetForecast.open {
		total += fleetForecast.offered(level)
	}
	return total
}

// admittedShare returns the share of new flows of a class that the servers can run besides more urgent requests and the
// requests on open flows of the same priority, given the utilisation that is aimed at. Less urgent requests do not
// count, as urgent ones go first. Within a priority, flows that carry one request each go before long-lived ones, which
// bring further requests that cannot be refused.
func (fleetForecast *fleetForecast) admittedShare(class class, target float64) float64 {
	level := priorityLevel(class.priority())
	available := target - fleetForecast.open[level]
	for urgent := range level {
		available -= fleetForecast.offered(urgent)
	}
	if !class.single() {
		available -= fleetForecast.opening[classOf(class.priority(), true)]
	}
	opening := fleetForecast.opening[class]
	switch {
	case available <= 0:
		return 0
	case opening <= available:
		return 1
	}
	return available / opening
}

// shedByFleet returns the refusal of a new flow by the demand of all instances, with the share of such flows to refuse.
// It reports false if there are no fresh sums.
func (steering *Steering) shedByFleet(
	now time.Duration, configured *route.Route, pool *Pool, demand *demand, limit time.Duration, hasHeadroom bool,
) (Decision, bool) {
	forecast := steering.forecastFleet(now, pool, demand)
	if !forecast.known {
		return Decision{}, false
	}
	typical := steering.table.TypicalServiceTime(pool)
	setpoint := max(_queueSetpoint*float64(limit)/float64(typical), 1)
	target := utilisationTarget(forecast.queued, setpoint)
	class := demand.classOf(now, configured)
	decision := Decision{
		Action: Reset, Reason: Overloaded, LatencyLimit: limit, FleetDemand: true, DemandAge: forecast.age,
		SingleRequestShare:  demand.counts(now, configured).singleRequestShare(),
		ExpectedLatency:     expectedLatency(typical, forecast.queued),
		ExpectedUtilisation: forecast.total(),
		RefusedShare:        1 - forecast.admittedShare(class, target),
	}
	if !hasHeadroom {
		decision.ExpectedLatency = expectedLatency(typical, steering.summarize(pool).queued())
		byQueue := float64(decision.ExpectedLatency)/float64(limit) - _shedStart - _forecastTolerance
		decision.RefusedShare = max(decision.RefusedShare, clamp(byQueue/(_shedFull-_shedStart)))
	}
	demand.own.shares[class] = lastShare{share: 1 - decision.RefusedShare, decidedAt: now}
	return decision, true
}

// isRefused decides on a new flow by the share of such flows to refuse. By the demand of all instances, it answers
// clients that open flows again and again: the flows that are refused are spread evenly over the attempts of a client.
func isRefused(header packet.Header, hash uint64, decision Decision) bool {
	if !decision.FleetDemand {
		return hashFraction(hash, _shedSalt) < decision.RefusedShare
	}
	return attemptFraction(header) < decision.RefusedShare
}

// attemptFraction returns a number from 0 to 1 that depends on the client's address and port and on the route. Clients
// take one port after the other, so the numbers of a client's successive attempts are multiples of the golden ratio,
// which are spread evenly, whichever instances the attempts reach. The numbers of ports that are taken at random are
// spread as by a hash.
func attemptFraction(header packet.Header) float64 {
	number := clientHash(header) + uint64(header.Flow.Client.Port)*_attemptStep
	return float64(number) / (1 << 64)
}

// clientHash hashes the address of a client and the route.
func clientHash(header packet.Header) uint64 {
	var raw [10]byte
	copy(raw[0:], header.Flow.Client.Address[:])
	copy(raw[4:], header.Flow.Service.Address[:])
	binary.BigEndian.PutUint16(raw[8:], header.Flow.Service.Port)
	return xxhash.Sum64(raw[:])
}

// Admission is the demand for one service in one class with what is admitted of it.
type Admission struct {
	Service  id.Service
	Priority route.Priority
	// Single says that the flows carry one request each.
	Single bool
	// Offered is the number of requests per second that all clients wanted to send, and Age the age of this figure.
	Offered float64
	Age     time.Duration
	// AdmittedShare is the share of new flows that this instance admitted lately, from 0 to 1.
	AdmittedShare float64
}

// lastShare is the admitted share of new flows that was decided last.
type lastShare struct {
	share     float64
	decidedAt time.Duration
}

// _shareRetention is how long the share that was decided last is stated.
const _shareRetention = 2 * time.Second

// Admissions returns the demand of all instances with what is admitted of it, in no particular order. It returns none
// where decisions do not rest on fresh sums.
func (steering *Steering) Admissions(now time.Duration) []Admission {
	if !steering.table.Placement.FleetAdmission {
		return nil
	}
	var admissions []Admission
	for service := range steering.table.Demand.Services {
		sums := steering.table.Demand.fresh(now, service)
		if sums == nil {
			continue
		}
		for index, counts := range sums.classes {
			if counts == (DemandCounts{}) {
				continue
			}
			admission := Admission{
				Service: service, Priority: class(index).priority(), Single: class(index).single(), Age: now - sums.At,
				Offered: float64(counts.Offered()) / ReportInterval.Seconds(), AdmittedShare: 1,
			}
			if demand, ok := steering.demands[service]; ok {
				last := demand.own.shares[index]
				if last.decidedAt > 0 && now-last.decidedAt <= _shareRetention {
					admission.AdmittedShare = last.share
				}
			}
			admissions = append(admissions, admission)
		}
	}
	return admissions
}
