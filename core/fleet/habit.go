package fleet

import (
	"math"
	"time"

	"azureshift/core/steer"
)

const (
	// _habitAnswers is the number of answers over which a server's usual latency is averaged. With a tail of a few
	// percent of long requests, the average of so many varies by about 3 %.
	_habitAnswers = 300
	// _habitMaxRatio bounds a sample by a multiple of the average, so that one long request among a few does not count as
	// a slow server.
	_habitMaxRatio = 2
	// _habitBoundedFrom is the number of answers from which on samples are bounded.
	_habitBoundedFrom = 10
	// _rateTimeConstant is the time constant of the average rate of answers.
	_rateTimeConstant = 10 * time.Second
)

// habit averages the answers of a server over some hundreds of them.
type habit struct {
	steer.Habit
	updatedAt time.Duration
	// geometric says that the latency is averaged from geometric means.
	geometric bool
}

// update adds a load. Answers of a server with more requests than slots are left out, as they waited in its queue.
func (habit *habit) update(now time.Duration, load Load, slots int) {
	elapsed := now - habit.updatedAt
	if habit.updatedAt > 0 && elapsed > 0 {
		rate := float64(load.Answers) / steer.ReportInterval.Seconds()
		habit.AnswerRate += (1 - math.Exp(-elapsed.Seconds()/_rateTimeConstant.Seconds())) * (rate - habit.AnswerRate)
	}
	habit.updatedAt = now
	if load.Answers <= 0 || float64(load.InProgress) > float64(slots) {
		return
	}
	sample := load.Latency
	if load.UsualLatency > 0 {
		sample = load.UsualLatency
		if !habit.geometric {
			// The other averages differ from these by a factor.
			habit.geometric, habit.SampledAnswers = true, 0
		}
	} else if habit.geometric {
		return
	}
	if habit.SampledAnswers >= _habitBoundedFrom {
		sample = min(sample, _habitMaxRatio*habit.UsualLatency)
	}
	habit.SampledAnswers = min(habit.SampledAnswers+load.Answers, _habitAnswers)
	weight := min(float64(load.Answers)/float64(habit.SampledAnswers), 1)
	habit.UsualLatency += time.Duration(weight * float64(sample-habit.UsualLatency))
}
