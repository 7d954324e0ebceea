package steer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azureshift/core/id"
	"azureshift/core/route"
)

// DemandCounts are counts of requests of one service and priority in one report interval.
type DemandCounts struct {
	// Requests is the number of requests that were forwarded, and Opened the number of flows that were opened. The
	// difference is the number of requests on flows that were open before, which cannot be refused.
	Requests int
	Opened   int
	// Refused is the number of flows that were refused under overload.
	Refused int
	// Answers is the number of answers, and Latency their average time to the first byte.
	Answers int
	Latency time.Duration
}

// Add returns the sum of two counts. Latency is averaged, weighted by answers.
func (counts DemandCounts) Add(other DemandCounts) DemandCounts {
	answers := counts.Answers + other.Answers
	if answers > 0 {
		total := counts.Latency*time.Duration(counts.Answers) + other.Latency*time.Duration(other.Answers)
		counts.Latency = total / time.Duration(answers)
	}
	counts.Requests += other.Requests
	counts.Opened += other.Opened
	counts.Refused += other.Refused
	counts.Answers = answers
	return counts
}

// Offered returns the number of requests that clients wanted to send.
func (counts DemandCounts) Offered() int {
	return counts.Requests + counts.Refused
}

// Demand is what an instance counted of the requests of one service and priority since its last report.
type Demand struct {
	Service  id.Service
	Priority route.Priority
	// Single says that the requests are of kinds whose flows carry one request each.
	Single bool
	DemandCounts
}

// class identifies the requests of one priority, of flows that carry one request each or of long-lived ones.
type class int

// _classes is the number of classes.
const _classes = 2 * _priorityLevels

func classOf(priority route.Priority, single bool) class {
	class := class(2 * priorityLevel(priority))
	if single {
		class++
	}
	return class
}

func (class class) priority() route.Priority {
	return route.Priority(class / 2)
}

func (class class) single() bool {
	return class%2 == 1
}

// classOf returns the class of the requests of a route, by whether clients reuse flows of its kind.
func (demand *demand) classOf(now time.Duration, configured *route.Route) class {
	return classOf(configured.Priority, !demand.counts(now, configured).persistent())
}

// FleetDemand is the demand that all instances reported.
type FleetDemand struct {
	Services map[id.Service]*ServiceDemand
}

// ServiceDemand is the demand of all instances for one service, by class.
type ServiceDemand struct {
	// At is the time of the oldest of the counts.
	At      time.Duration
	classes [_classes]DemandCounts
	// domainOffered is the part of the offered requests that comes from clients of the instance's failure domain.
	domainOffered int
}

// Add adds counts of a service and a priority that were made at a time, and the number of offered requests among them
// that came from clients of the instance's failure domain.
func (fleetDemand *FleetDemand) Add(at time.Duration, demand Demand, domainOffered int) {
	if fleetDemand.Services == nil {
		fleetDemand.Services = make(map[id.Service]*ServiceDemand)
	}
	sums, ok := fleetDemand.Services[demand.Service]
	if !ok {
		sums = &ServiceDemand{At: at}
		fleetDemand.Services[demand.Service] = sums
	}
	class := classOf(demand.Priority, demand.Single)
	sums.classes[class] = sums.classes[class].Add(demand.DemandCounts)
	sums.domainOffered += domainOffered
	sums.At = min(sums.At, at)
}

// Counts returns the counts of a priority, of flows of both kinds.
func (serviceDemand *ServiceDemand) Counts(priority route.Priority) DemandCounts {
	return serviceDemand.classes[classOf(priority, false)].Add(serviceDemand.classes[classOf(priority, true)])
}

// Offered returns the number of requests that clients wanted to send in a report interval.
func (serviceDemand *ServiceDemand) Offered() int {
	offered := 0
	for class := range serviceDemand.classes {
		offered += serviceDemand.classes[class].Offered()
	}
	return offered
}

// ownDemand holds this instance's counts of the requests of one service, for its reports and for the comparison with
// the sums of all instances.
type ownDemand struct {
	interval [_classes]DemandCounts
	// reports is the number of reports in which the class is included although it may have no requests.
	reports [_classes]int
	recent  [_classes]recentDemand
	// ownRate and domainRate are moving averages of the requests per second that clients wanted to send through this
	// instance and through all instances of its failure domain.
	ownRate    float64
	domainRate float64
	// history holds the last reports, the newest last. The sums are older than the newest report, so they are compared
	// with the report of their time.
	history [_reportHistory]ownReport
	// admission is the last forecast of the load, and shares holds the admitted shares that were decided last.
	admission fleetForecast
	shares    [_classes]lastShare
}

// _reportHistory is the number of reports that are kept. They cover _maxDemandAge.
const _reportHistory = 6

// ownReport is the number of requests per second that clients wanted to send through this instance before a time.
type ownReport struct {
	at   time.Duration
	rate float64
}

// recentDemand holds counts of about the last _recentDemandPeriod.
type recentDemand struct{ requests, opened, refused decayingCount }

// _recentDemandPeriod is the time constant of the counts that are compared with the sums. Longer ones show a burst too
// late, and shorter ones hold too few requests.
const _recentDemandPeriod = 250 * time.Millisecond

// recent returns the recent counts of requests on open flows and of attempts to open one, scaled to a report interval.
func (recentDemand *recentDemand) recent(now time.Duration) (open, opening recentCount) {
	requests := recentDemand.requests.value(now, _recentDemandPeriod)
	opened := recentDemand.opened.value(now, _recentDemandPeriod)
	return recentCount(max(requests-opened, 0)), recentCount(opened + recentDemand.refused.value(now, _recentDemandPeriod))
}

// recentCount is a count of about the last _recentDemandPeriod.
type recentCount float64

// correct returns a count of the whole fleet, corrected for what this instance has counted since, as far as chance does
// not explain the difference. The share is this instance's part of all requests. It answers load that grows or falls
// faster than sums of all instances arrive, as at both ends of a burst. Clients of one failure domain are taken for
// those of all, so it overestimates load that has moved there until the next sums.
func (recentCount recentCount) correct(sum int, share float64) float64 {
	if share <= 0 {
		return float64(sum)
	}
	const intervals = float64(ReportInterval) / float64(_recentDemandPeriod)
	count := float64(recentCount)
	least := (count - _growthDeviations*math.Sqrt(count)) * intervals / share
	most := (count + _fallDeviations*math.Sqrt(count+1)) * intervals / share
	return min(max(float64(sum), least), most)
}

// addAnswer counts an answer.
func (counts *DemandCounts) addAnswer(latency time.Duration) {
	*counts = counts.Add(DemandCounts{Answers: 1, Latency: latency})
}

func (ownDemand *ownDemand) countRequest(now time.Duration, class class) {
	ownDemand.interval[class].Requests++
	ownDemand.recent[class].requests.increment(now, _recentDemandPeriod)
}

func (ownDemand *ownDemand) countOpened(now time.Duration, class class) {
	ownDemand.interval[class].Opened++
	ownDemand.recent[class].opened.increment(now, _recentDemandPeriod)
}

func (ownDemand *ownDemand) countRefused(now time.Duration, class class) {
	ownDemand.interval[class].Refused++
	ownDemand.recent[class].refused.increment(now, _recentDemandPeriod)
}

func (ownDemand *ownDemand) countAnswer(class class, latency time.Duration) {
	ownDemand.interval[class].addAnswer(latency)
}

// report ends a report interval. The sums are nil if they are unknown or too old.
func (ownDemand *ownDemand) report(now, interval time.Duration, sums *ServiceDemand) {
	offered := 0
	for class := range ownDemand.interval {
		offered += ownDemand.interval[class].Offered()
	}
	ownDemand.interval = [_classes]DemandCounts{}
	copy(ownDemand.history[:], ownDemand.history[1:])
	ownDemand.history[_reportHistory-1] = ownReport{at: now, rate: float64(offered) / interval.Seconds()}
	if sums == nil {
		return
	}
	weight := 1 - decayFactor(interval, _rateTimeConstant)
	ownDemand.ownRate += weight * (ownDemand.rateAt(sums.At) - ownDemand.ownRate)
	domain := float64(sums.domainOffered) / ReportInterval.Seconds()
	ownDemand.domainRate += weight * (domain - ownDemand.domainRate)
}

// rateAt returns the rate of the report closest to a time.
func (ownDemand *ownDemand) rateAt(at time.Duration) float64 {
	closest := ownDemand.history[0]
	for _, report := range ownDemand.history[1:] {
		if (report.at - at).Abs() <= (closest.at - at).Abs() {
			closest = report
		}
	}
	return closest.rate
}

// share returns the share of the requests of the failure domain that go through this instance, or zero if it is
// unknown.
func (ownDemand *ownDemand) share() float64 {
	if ownDemand.domainRate <= 0 {
		return 0
	}
	return min(ownDemand.ownRate/ownDemand.domainRate, 1)
}

// ReportDemand returns what this instance counted of each service and class since the last call, and resets the
// counters. Classes that have had no requests for some reports are left out.
func (steering *Steering) ReportDemand(now time.Duration) []Demand {
	interval := now - steering.demandReportedAt
	steering.demandReportedAt = now
	if interval <= 0 {
		return nil
	}
	var reported []Demand
	for service, demand := range steering.demands {
		for index, counts := range demand.own.interval {
			if counts != (DemandCounts{}) {
				demand.own.reports[index] = _reportHistory
			}
			if demand.own.reports[index] > 0 {
				demand.own.reports[index]--
				reported = append(reported, Demand{
					Service: service, Priority: class(index).priority(), Single: class(index).single(), DemandCounts: counts,
				})
			}
		}
		demand.own.report(now, interval, steering.table.Demand.fresh(now, service))
	}
	slices.SortStableFunc(reported, func(left, right Demand) int { return cmp.Compare(left.Service, right.Service) })
	return reported
}

// _maxDemandAge is the age up to which sums of the demand are used. It covers the way of counts up and down the tree of
// instances, at up to half a second for each level.
const _maxDemandAge = 2500 * time.Millisecond

// fresh returns the demand for a service, or nil if it is unknown or too old.
func (fleetDemand *FleetDemand) fresh(now time.Duration, service id.Service) *ServiceDemand {
	sums, ok := fleetDemand.Services[service]
	if !ok || now-sums.At > _maxDemandAge {
		return nil
	}
	return sums
}
