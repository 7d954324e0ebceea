package fleet

import (
	"math"
	"time"

	"azureshift/core/packet"
	"azureshift/core/steer"
)

const (
	// _serviceLife is how long the speed of a server is remembered that gets no requests: a slow server that is avoided
	// must not seem unknown, but is tried again later. Instances forget it one after the other within _serviceSpread, as
	// all their flows at once would fill a server that is still slow.
	_serviceLife   = 5 * time.Second
	_serviceSpread = 10 * time.Second
	// _serviceWeight is the weight of the newest value in the average.
	_serviceWeight = 0.5
	// _crowdedPart is the part of its slots beyond which requests wait at a server now and then, and _crowdedSlower how
	// many times slower it then seems than it is.
	_crowdedPart   = 0.6
	_crowdedSlower = 2
	// _smoothing is the time constant of the moving average of the requests in progress. Each value is an average over
	// half a second that holds a few requests and is as old; to follow it at once makes all instances choose the servers
	// that were idle by chance.
	_smoothing = 1400 * time.Millisecond
	// _loadLife is how long a load counts. Servers without requests are not told of.
	_loadLife = 3 * time.Second
)

// Averages remembers what was heard of the loads of servers. It is not safe for concurrent use.
type Averages struct {
	// Slots returns how many requests a server runs at once.
	Slots func(cookie packet.Cookie) int
	// Seed differs between instances.
	Seed uint64

	known map[packet.Cookie]average
}

type average struct {
	// latest is the number of requests in progress as it was heard last, at heard, and smoothed its moving average.
	latest   float64
	smoothed float64
	heard    time.Duration
	// answered is the number in progress by the requests that were answered and how long that took.
	answered float64
	// answers and refused are the numbers of answers and of refused flows, as they were heard last.
	answers float64
	refused float64
	// service is how long the server runs a request, without the wait for its turn, last known at learnt.
	service time.Duration
	learnt  time.Duration
}

// Hear takes in loads of servers.
func (averages *Averages) Hear(now time.Duration, loads []Load) {
	if averages.known == nil {
		averages.known = make(map[packet.Cookie]average)
	}
	for _, load := range loads {
		known, ok := averages.known[load.Cookie]
		known.latest = float64(load.Busy)
		weight := 1.0
		if ok {
			weight = 1 - math.Exp(-(now-known.heard).Seconds()/_smoothing.Seconds())
		}
		known.smoothed += weight * (known.latest - known.smoothed)
		known.heard = now
		known.answered = float64(load.Answers) * float64(load.Latency) / float64(steer.ReportSpan)
		known.answers, known.refused = float64(load.Answers), float64(load.Refused)
		known.learn(now, load, averages.Slots(load.Cookie))
		averages.known[load.Cookie] = known
	}
}

// learn estimates the time that a request runs from the latency of answers. Under an overload a server rejects requests
// at once, which looks like speed and is left out; so is the wait for a turn, which looks like a slower server.
// at once, which looks like speed and is left out.
func (average *average) learn(now time.Duration, load Load, slots int) {
	if load.Answers == 0 {
		return
	}
	service := load.Latency
	full := average.latest > float64(slots)
	if full {
		service = time.Duration(float64(load.Latency) * float64(slots) / average.latest)
	}
	crowded := average.latest > _crowdedPart*float64(slots)
	fresh := average.service > 0 && now-average.learnt <= _serviceLife
	switch {
	case full && fresh && service < average.service:
	case crowded && fresh && service > average.service && service < _crowdedSlower*average.service:
	case fresh:
		average.service = time.Duration(_serviceWeight*float64(service) + (1-_serviceWeight)*float64(average.service))
	default:
		average.service = service
	}
	average.learnt = now
}

// Measure returns what was heard of a server lately.
func (averages *Averages) Measure(now time.Duration, cookie packet.Cookie) steer.Measure {
	known := averages.known[cookie]
	var measure steer.Measure
	if now-known.heard <= _loadLife {
		measure.Busy, measure.Latest, measure.Answered = known.smoothed, known.latest, known.answered
		measure.Answers, measure.Refused = known.answers, known.refused
	}
	if now-known.learnt <= averages.serviceLife(cookie) {
		measure.ServiceTime = known.service
	}
	return measure
}

// serviceLife returns how long this instance remembers the speed of a server.
func (averages *Averages) serviceLife(cookie packet.Cookie) time.Duration {
	// The multiplier is 2^64 divided by the golden ratio, which spreads neighbouring numbers.
	const multiplier = 0x9E3779B97F4A7C15
	hash := (averages.Seed ^ uint64(cookie)*multiplier) * multiplier
	return _serviceLife + time.Duration(hash>>1)%_serviceSpread
}

// Forget drops servers that are not among those known.
func (averages *Averages) Forget(known func(cookie packet.Cookie) bool) {
	for cookie := range averages.known {
		if !known(cookie) {
			delete(averages.known, cookie)
		}
	}
}
