package steer

import (
	"slices"
	"time"

	"azureshift/core/id"
)

const (
	// _defaultServiceTime is the service time assumed while nothing is measured.
	_defaultServiceTime = 50 * time.Millisecond
	// _maxBaselineRatio is the ratio to the baseline up to which the median of the servers counts as typical. Servers with
	// long queues appear up to twice as slow as they are. If most servers are slower than that, the rest perform as usual
	// and must not be taken for servers that fail fast.
	_maxBaselineRatio = 2
	// _baselineTimeConstant is the time constant with which the baseline follows the median: a release with a longer
	// service time becomes the baseline within some minutes.
	_baselineTimeConstant = time.Minute
	// _initialQuantile is the quantile of the service times that becomes the first baseline. It is below the median, as an
	// instance may start while servers are slow.
	_initialQuantile = 0.4
)

// Baselines holds the baseline service time of each service. It is not safe for concurrent use.
type Baselines struct {
	baselines map[id.Service]*baseline
	spreads   map[id.Service]*speedSpread
	// latencies and sampled are reused for the servers of one service after the other.
	latencies []time.Duration
	sampled   []Habit
}

// baseline is the usual service time of one service, and when it was last updated.
type baseline struct {
	serviceTime time.Duration
	updatedAt   time.Duration
}

// update adds the current service times of the servers of a service, in any order, and returns the typical one: the
// median or, where most servers are slow, the baseline.
func (baselines *Baselines) update(now time.Duration, service id.Service, serviceTimes []time.Duration) time.Duration {
	found, ok := baselines.baselines[service]
	switch {
	case !ok && len(serviceTimes) == 0:
		return _defaultServiceTime
	case len(serviceTimes) == 0:
		return found.serviceTime
	}
	slices.Sort(serviceTimes)
	if !ok {
		found = &baseline{serviceTime: serviceTimes[int(_initialQuantile*float64(len(serviceTimes)))], updatedAt: now}
		if baselines.baselines == nil {
			baselines.baselines = make(map[id.Service]*baseline)
		}
		baselines.baselines[service] = found
	}
	return found.update(now, serviceTimes[len(serviceTimes)/2])
}

// update moves the baseline towards the median, at once where the median has halved, and returns the typical service
// time.
func (baseline *baseline) update(now, median time.Duration) time.Duration {
	weight := min((now-baseline.updatedAt).Seconds()/_baselineTimeConstant.Seconds(), 1)
	baseline.updatedAt = now
	bounded := min(median, _maxBaselineRatio*baseline.serviceTime)
	baseline.serviceTime += time.Duration(weight * float64(bounded-baseline.serviceTime))
	if median*_maxBaselineRatio < baseline.serviceTime {
		baseline.serviceTime = median
	}
	if median > _maxBaselineRatio*baseline.serviceTime {
		return baseline.serviceTime
	}
	return median
}
