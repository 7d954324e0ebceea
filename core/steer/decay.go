package steer

import (
	"math"
	"time"
)

// decayingCount is a count with exponential decay, as of updatedAt.
type decayingCount struct {
	count     float64
	updatedAt time.Duration
}

// value returns the count decayed to now: about the number of increments in the last time constant.
func (decayingCount decayingCount) value(now, timeConstant time.Duration) float64 {
	return decayingCount.count * decayFactor(now-decayingCount.updatedAt, timeConstant)
}

func (decayingCount *decayingCount) increment(now, timeConstant time.Duration) {
	decayingCount.count = decayingCount.value(now, timeConstant) + 1
	decayingCount.updatedAt = now
}

// decayFactor returns what is left of one after the elapsed time.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}
