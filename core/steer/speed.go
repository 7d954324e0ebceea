package steer

import (
	"math"
	"time"
)

const (
	// _minSpeed and _maxSpeed bound the learnt speed of a server, as a multiple of that of the median. A server that seems
	// faster is likely to reject requests.
	_minSpeed = 0.1
	_maxSpeed = 2.5
	// _unusualRatio is the ratio of the recent service time of a server to its usual one from which on it is avoided: a
	// half second with one long request among three stays below it.
	_unusualRatio = 3
	// _rejectingRatio is the ratio below which a server is taken to reject requests.
	_rejectingRatio = 0.4
)

// speed returns the speed of a server as a multiple of the usual one, given the part of the latencies that is the
// network's. What chance may explain is left out of the ratio: with few answers, and where the servers are alike, the
// speed is close to 1 (empirical Bayes estimate). It answers servers of several speeds in one service, of which short
// averages tell little where a few requests take much longer than the others.
func (table *Table) speed(pool *Pool, server *Server, network time.Duration) float64 {
	evenness, habit := table.evenness[pool.typicalIndex], table.Measure(server).Habit
	if evenness.variance == 0 || habit.UsualLatency <= 0 {
		return 1
	}
	work := func(latency time.Duration) float64 {
		return float64(max(latency-network, time.Duration(_minWorkShare*float64(latency)), 1))
	}
	certainty := evenness.variance / (evenness.variance + habit.chance())
	speed := math.Pow(work(evenness.usualLatency)/work(habit.UsualLatency), certainty)
	return min(max(speed, _minSpeed), _maxSpeed)
}

// unusual reports whether a server has lately been much slower than it usually is, or so much faster that it is taken
// to reject requests. Where all servers have become slow, each is compared with as much more as is typical now.
func (table *Table) unusual(pool *Pool, server *Server) bool {
	measure, typical := table.Measure(server), table.TypicalServiceTime(pool)
	if measure.ServiceTime == 0 {
		return false
	}
	usual := float64(max(typical, 1))
	if measure.known() {
		growth := float64(typical) / float64(max(table.evenness[pool.typicalIndex].usualLatency, 1))
		usual = float64(measure.UsualLatency) * max(growth, 1)
	}
	ratio := float64(measure.ServiceTime) / usual
	return ratio > _unusualRatio || ratio < _rejectingRatio
}

// recordUsual adds a latency to the geometric mean of the latencies.
func (counters *counters) recordUsual(latency time.Duration) {
	counters.logarithms += math.Log(float64(max(latency, 1)))
	counters.logarithmCount++
}

// usualLatency returns the geometric mean of the latencies since the last report, or zero if there are none. Requests
// that take much longer than the others hardly change it.
func (counters *counters) usualLatency() time.Duration {
	if counters.logarithmCount == 0 {
		return 0
	}
	return time.Duration(math.Exp(counters.logarithms / float64(counters.logarithmCount)))
}
