package fleet

import (
	"math"
	"time"

	"azureshift/core/packet"
	"azureshift/core/steer"
)

const (
	// _serviceTimeTTL is how long the service time of a server without requests is remembered: a slow server that is
	// avoided must not count as unknown, yet has to be tried again later. Instances forget it at different times within
	// _serviceTimeTTLSpread, as flows from all of them at once would overload a server that is still slow.
	_serviceTimeTTL       = 5 * time.Second
	_serviceTimeTTLSpread = 10 * time.Second
	// _newestWeight is the weight of the newest value in the average.
	_newestWeight = 0.5
	// _queueingUtilization is the utilization of its slots above which a server queues some requests, and
	// _maxQueueingFactor the factor by which this may inflate its latency: up to it, slower answers are taken for
	// queueing.
	_queueingUtilization = 0.6
	_maxQueueingFactor   = 2
	// _busyTimeConstant is the time constant of the moving average of the requests in progress. Each value averages a
	// few requests over half a second and is about half a second old; without smoothing, all instances would choose the
	// servers that were idle by chance.
	_busyTimeConstant = 1400 * time.Millisecond
	// _loadTTL is how long a load counts. Servers without requests are not reported.
	_loadTTL = 3 * time.Second
	// _heldTTL is how long a number of held flows counts, which changes slowly. With thousands of servers a load arrives
	// every few seconds only.
	_heldTTL = 10 * time.Second
)

// LoadEstimates estimates the load and speed of backend servers from the loads that instances report. It is not safe
// for concurrent use.
type LoadEstimates struct {
	// Slots returns how many requests a server runs concurrently.
	Slots func(cookie packet.Cookie) int
	// Seed differs between instances, so that they forget a service time at different times.
	Seed uint64

	byCookie map[packet.Cookie]estimate
}

// estimate is what is known of the load and speed of one server.
type estimate struct {
	// latestBusy is the last reported number of requests in progress, received at loadAt, and smoothedBusy its moving
	// average.
	latestBusy   float64
	smoothedBusy float64
	loadAt       time.Duration
	// answeredBusy is the number of requests in progress according to the rate and latency of answers (Little's law).
	answeredBusy float64
	// answers is the last reported number of answers.
	answers float64
	// serviceTime is how long the server runs a request, without the time in its queue, last updated at serviceTimeAt.
	serviceTime   time.Duration
	serviceTimeAt time.Duration
	// held is the last reported number of long-lived flows in use.
	held  float64
	habit habit
}

// Update updates the estimates with reported loads.
func (loadEstimates *LoadEstimates) Update(now time.Duration, loads []Load) {
	if loadEstimates.byCookie == nil {
		loadEstimates.byCookie = make(map[packet.Cookie]estimate)
	}
	for _, load := range loads {
		average, ok := loadEstimates.byCookie[load.Cookie]
		average.latestBusy = float64(load.InProgress)
		weight := 1.0
		if ok {
			weight = 1 - math.Exp(-(now-average.loadAt).Seconds()/_busyTimeConstant.Seconds())
		}
		average.smoothedBusy += weight * (average.latestBusy - average.smoothedBusy)
		average.loadAt = now
		average.answeredBusy = float64(load.Answers) * float64(load.Latency) / float64(steer.ReportInterval)
		average.answers = float64(load.Answers)
		average.updateServiceTime(now, load, loadEstimates.Slots(load.Cookie))
		average.held = float64(load.Held)
		average.habit.update(now, load, loadEstimates.Slots(load.Cookie))
		loadEstimates.byCookie[load.Cookie] = average
	}
}

// updateServiceTime estimates the service time from the latency of answers. Above the number of slots it scales the
// latency down to exclude queueing. It ignores lower values of a saturated server, which rejects requests at once and
// so seems fast, and slightly higher values of a busy server, which seems slow because requests wait in its queue.
func (estimate *estimate) updateServiceTime(now time.Duration, load Load, slots int) {
	if load.Answers == 0 {
		return
	}
	sample := load.Latency
	saturated := estimate.latestBusy > float64(slots)
	if saturated {
		sample = time.Duration(float64(load.Latency) * float64(slots) / estimate.latestBusy)
	}
	queueing := estimate.latestBusy > _queueingUtilization*float64(slots)
	fresh := estimate.serviceTime > 0 && now-estimate.serviceTimeAt <= _serviceTimeTTL
	switch {
	case saturated && fresh && sample < estimate.serviceTime:
	case queueing && fresh && sample > estimate.serviceTime && sample < _maxQueueingFactor*estimate.serviceTime:
	case fresh:
		estimate.serviceTime = time.Duration(_newestWeight*float64(sample) + (1-_newestWeight)*float64(estimate.serviceTime))
	default:
		estimate.serviceTime = sample
	}
	estimate.serviceTimeAt = now
}

// Measure returns the estimate for a server, without values that are too old.
func (loadEstimates *LoadEstimates) Measure(now time.Duration, cookie packet.Cookie) steer.Measure {
	average := loadEstimates.byCookie[cookie]
	var measure steer.Measure
	if now-average.loadAt <= _loadTTL {
		measure.SmoothedInProgress, measure.LatestInProgress, measure.AnsweredInProgress =
			average.smoothedBusy, average.latestBusy, average.answeredBusy
		measure.Answers = average.answers
	}
	if now-average.serviceTimeAt <= loadEstimates.serviceTimeTTL(cookie) {
		measure.ServiceTime, measure.MeasuredAt = average.serviceTime, average.serviceTimeAt
	}
	if average.loadAt > 0 && now-average.loadAt <= _heldTTL {
		measure.Held, measure.HeldKnown = average.held, true
	}
	measure.Habit = average.habit.Habit
	if now-average.loadAt > _loadTTL {
		measure.AnswerRate = 0
	}
	return measure
}

// serviceTimeTTL returns how long this instance remembers the service time of a server.
func (loadEstimates *LoadEstimates) serviceTimeTTL(cookie packet.Cookie) time.Duration {
	// The multiplier is 2^64 divided by the golden ratio, which spreads neighbouring numbers (Fibonacci hashing).
	const multiplier = 0x9E3779B97F4A7C15
	hash := (loadEstimates.Seed ^ uint64(cookie)*multiplier) * multiplier
	return _serviceTimeTTL + time.Duration(hash>>1)%_serviceTimeTTLSpread
}

// Retain removes the servers for which known returns false.
func (loadEstimates *LoadEstimates) Retain(known func(cookie packet.Cookie) bool) {
	for cookie := range loadEstimates.byCookie {
		if !known(cookie) {
			delete(loadEstimates.byCookie, cookie)
		}
	}
}
