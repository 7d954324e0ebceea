package steer

import (
	"math"
	"slices"
	"time"

	"azureshift/core/id"
)

const (
	// _unevenRatio is the ratio of the 80th to the 20th percentile of the usual latencies of a service's servers from
	// which on its servers count as unequal, after _unevenFor. They count as alike again below _alikeRatio, after
	// _alikeFor. Fewer than a fifth of the servers that are slow for a while do not move the percentiles.
	_unevenRatio = 4.0 / 3
	_alikeRatio  = 1.2
	_unevenFor   = 10 * time.Second
	_alikeFor    = 30 * time.Second
	// _minSampledAnswers is the number of answers from which on the usual latency of a server counts. The average of fewer
	// varies so much that servers that are alike would seem unequal.
	_minSampledAnswers = 60
	// _minSampledShare is the least share of the servers whose usual latency must be known to compare them.
	_minSampledShare = 0.5
	_lowPercentile   = 0.2
	_highPercentile  = 0.8
	// _answerVariance is the variance of the logarithm of the latency of one answer: that of a log-normal distribution of
	// spread 0.5 with 3 % of requests that take 7 times as long.
	_answerVariance = 0.36
)

// Habit is what a few hundred answers say of a server.
type Habit struct {
	// UsualLatency is the average latency of the last few hundred answers that did not wait in the server's queue, and
	// SampledAnswers their number, up to a limit.
	UsualLatency   time.Duration
	SampledAnswers int
	// AnswerRate is the number of answers per second, averaged over about ten seconds.
	AnswerRate float64
}

// known reports whether the usual latency rests on enough answers.
func (habit Habit) known() bool {
	return habit.SampledAnswers >= _minSampledAnswers
}

// poolEvenness says whether and how the load of a pool is evened out.
type poolEvenness struct {
	// enabled says that new flows are placed by the load that flows bring.
	enabled bool
	// usualLatency is the geometric mean of the servers' usual latencies, and variance that of their logarithms without
	// the part that chance explains. Both are zero if no latency is known.
	usualLatency time.Duration
	variance     float64
}

// speedSpread decides whether the servers of a service differ in speed for long.
type speedSpread struct {
	unequal bool
	// since is when the percentiles were last such that the decision stands.
	since time.Duration
}

// update adds the sorted usual latencies of the servers, and reports whether the servers differ in speed. It answers
// servers of several generations or machine types in one service, and does not answer load, releases and faults, which
// pass or concern few servers.
func (spread *speedSpread) update(now time.Duration, sorted []time.Duration) bool {
	if len(sorted) == 0 {
		spread.since = now
		return spread.unequal
	}
	low := sorted[int(_lowPercentile*float64(len(sorted)-1))]
	high := sorted[int(_highPercentile*float64(len(sorted)-1))]
	ratio := float64(high) / float64(max(low, 1))
	holds, required := ratio <= _unevenRatio, _unevenFor
	if spread.unequal {
		holds, required = ratio >= _alikeRatio, _alikeFor
	}
	switch {
	case holds:
		spread.since = now
	case now-spread.since >= required:
		spread.unequal, spread.since = !spread.unequal, now
	}
	return spread.unequal
}

// spreadOf returns the spread of a service's speeds, and creates it if there is none.
func (baselines *Baselines) spreadOf(now time.Duration, service id.Service) *speedSpread {
	found, ok := baselines.spreads[service]
	if !ok {
		found = &speedSpread{since: now}
		if baselines.spreads == nil {
			baselines.spreads = make(map[id.Service]*speedSpread)
		}
		baselines.spreads[service] = found
	}
	return found
}

// evaluate returns how the load of a pool is evened out, by the measures of the table.
func (table *Table) evaluate(now time.Duration, baselines *Baselines, pool *Pool) poolEvenness {
	latencies, sampled, servers := baselines.latencies[:0], baselines.sampled[:0], 0
	for _, zone := range pool.Zones {
		servers += len(zone.Servers)
		for _, server := range zone.Servers {
			habit := table.Measure(server).Habit
			if habit.SampledAnswers > 0 && habit.UsualLatency > 0 {
				sampled = append(sampled, habit)
			}
			if habit.known() {
				latencies = append(latencies, habit.UsualLatency)
			}
		}
	}
	baselines.latencies, baselines.sampled = latencies, sampled
	if float64(len(latencies)) < _minSampledShare*float64(servers) {
		latencies = nil
	}
	slices.Sort(latencies)
	unequal := baselines.spreadOf(now, pool.Service).update(now, latencies)
	evenness := poolEvenness{enabled: table.Placement.EvenLoad || unequal && table.Placement.EvenLoadIfUnequal}
	evenness.usualLatency, evenness.variance = speedVariance(sampled)
	return evenness
}

// speedVariance returns the geometric mean of the servers' usual latencies, and the variance of their logarithms beyond
// the one that servers which are alike would show by chance.
func speedVariance(habits []Habit) (mean time.Duration, variance float64) {
	if len(habits) == 0 {
		return 0, 0
	}
	sum, squares, chance := 0.0, 0.0, 0.0
	for _, habit := range habits {
		logarithm := math.Log(float64(habit.UsualLatency))
		sum += logarithm
		squares += logarithm * logarithm
		chance += habit.chance()
	}
	count := float64(len(habits))
	average := sum / count
	return time.Duration(math.Exp(average)), max(squares/count-average*average-chance/count, 0)
}

// chance returns the variance of the logarithm of the usual latency that is due to chance.
func (habit Habit) chance() float64 {
	return _answerVariance / float64(max(habit.SampledAnswers, 1))
}
