package detector

import (
	"math"
	"slices"
	"time"

	"azureshift/core/id"
)

const (
	// _slowRatio is the ratio of the average latency of a server's answers to the usual one from which on the server is
	// slow. Below _usualRatio it is no longer slow.
	_slowRatio  = 3
	_usualRatio = 1.5
	// _minSlowAnswers is the least number of recent answers on which a judgement is based.
	_minSlowAnswers = 5
	// _latencyTimeConstant is the time constant with which earlier answers lose weight.
	_latencyTimeConstant = 1500 * time.Millisecond
	// _peerQuantile is the quantile of the servers of a service whose latency counts as usual while it is above the
	// service's typical one. Queues of all servers grow alike under load.
	_peerQuantile = 0.4
)

// Answers is a number of answers of a server since the last report, with their average latency.
type Answers struct {
	Server  id.Target
	Service id.Service
	Count   int
	Latency time.Duration
}

// SlownessChange says that a server has become slow or is no longer slow.
type SlownessChange struct {
	Server  id.Target
	Service id.Service
	Slow    bool
	// Latency is the average latency of the server's recent answers, of which there are about Answers, and Usual the
	// usual latency of its service.
	Latency time.Duration
	Usual   time.Duration
	Answers int
	// Since is the time since the first answer that contradicts the judgement before.
	Since time.Duration
}

// Slowness finds servers that answer much later than the others of their service. It handles servers that turn slow
// without stopping: probes find them alive. It is not safe for concurrent use.
type Slowness struct {
	servers map[id.Target]*recentLatency
}

// recentLatency is the latency of a server's recent answers, with exponential decay as of updatedAt.
type recentLatency struct {
	service   id.Service
	count     float64
	sum       float64
	updatedAt time.Duration
	slow      bool
	// contradictedAt is when the first answer arrived that contradicts slow, or zero.
	contradictedAt time.Duration
}

// Update adds the answers of servers in a report interval and returns the servers that have become slow or usual.
// typical returns the typical latency of a service.
func (slowness *Slowness) Update(
	now time.Duration, reported []Answers, typical func(service id.Service) time.Duration,
) []SlownessChange {
	if slowness.servers == nil {
		slowness.servers = make(map[id.Target]*recentLatency)
	}
	for _, answers := range reported {
		recent, ok := slowness.servers[answers.Server]
		if !ok {
			recent = &recentLatency{service: answers.Service, updatedAt: now}
			slowness.servers[answers.Server] = recent
		}
		recent.add(now, answers, typical(answers.Service))
	}
	usual := slowness.usualLatencies(now, typical)
	var changes []SlownessChange
	for _, answers := range reported {
		recent := slowness.servers[answers.Server]
		if change, ok := recent.judge(now, usual[recent.service]); ok {
			change.Server = answers.Server
			changes = append(changes, change)
		}
	}
	return changes
}

// usualLatencies returns the usual latency of each service: the typical one or, if it is greater, that of its servers
// below the quantile.
func (slowness *Slowness) usualLatencies(
	now time.Duration, typical func(service id.Service) time.Duration,
) map[id.Service]time.Duration {
	latencies := make(map[id.Service][]time.Duration)
	for _, recent := range slowness.servers {
		if recent.count*recent.decay(now) >= 1 {
			latencies[recent.service] = append(latencies[recent.service], recent.latency())
		}
	}
	usual := make(map[id.Service]time.Duration, len(latencies))
	for service, all := range latencies {
		slices.Sort(all)
		usual[service] = max(typical(service), all[int(_peerQuantile*float64(len(all)))])
	}
	return usual
}

func (recent *recentLatency) add(now time.Duration, answers Answers, typical time.Duration) {
	factor := recent.decay(now)
	recent.count, recent.sum = recent.count*factor, recent.sum*factor
	recent.count += float64(answers.Count)
	recent.sum += float64(answers.Count) * float64(answers.Latency)
	recent.updatedAt = now
	if answers.Count == 0 {
		return
	}
	late := float64(answers.Latency) >= _usualRatio*float64(typical)
	switch {
	case late == recent.slow:
		recent.contradictedAt = 0
	case recent.contradictedAt == 0:
		recent.contradictedAt = now
	}
}

// decay returns the weight at now of what was counted up to updatedAt.
func (recent *recentLatency) decay(now time.Duration) float64 {
	return math.Exp(-(now - recent.updatedAt).Seconds() / _latencyTimeConstant.Seconds())
}

func (recent *recentLatency) latency() time.Duration {
	return time.Duration(recent.sum / recent.count)
}

func (recent *recentLatency) judge(now, usual time.Duration) (SlownessChange, bool) {
	if usual <= 0 || recent.count < _minSlowAnswers {
		return SlownessChange{}, false
	}
	ratio := float64(recent.latency()) / float64(usual)
	if recent.slow && ratio >= _usualRatio || !recent.slow && ratio < _slowRatio {
		return SlownessChange{}, false
	}
	recent.slow = !recent.slow
	change := SlownessChange{
		Service: recent.service, Slow: recent.slow, Latency: recent.latency(), Usual: usual,
		Answers: int(math.Round(recent.count)),
	}
	if recent.contradictedAt > 0 {
		change.Since = now - recent.contradictedAt
	}
	recent.contradictedAt = 0
	return change, true
}

// Retain removes the servers for which known returns false.
func (slowness *Slowness) Retain(known func(server id.Target) bool) {
	for server := range slowness.servers {
		if !known(server) {
			delete(slowness.servers, server)
		}
	}
}
