package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/steer"
)

// habitOf returns what reports of a time say of a server that answers at a rate per second. Three percent of the
// requests take seven times as long.
func habitOf(span, work time.Duration, rate float64) steer.Habit {
	random := rand.New(rand.NewPCG(5, 5))
	var learnt habit
	for now := time.Duration(0); now < span; now += steer.ReportInterval {
		answers := int(rate * steer.ReportInterval.Seconds())
		sum := time.Duration(0)
		for range answers {
			latency := time.Duration(float64(work) * (0.5 + random.Float64()))
			if random.Float64() < 0.03 {
				latency *= 7
			}
			sum += latency
		}
		learnt.update(now, Load{Answers: answers, Latency: sum / time.Duration(answers), InProgress: 1}, 2)
	}
	return learnt.Habit
}

func TestHabit(t *testing.T) {
	c := qt.New(t)
	c.Run("tells speeds apart in spite of a tail", func(c *qt.C) {
		slow, fast := habitOf(20*time.Second, 50*time.Millisecond, 8), habitOf(20*time.Second, 20*time.Millisecond, 20)
		ratio := float64(slow.UsualLatency) / float64(fast.UsualLatency)
		c.Assert(ratio > 2.1 && ratio < 2.9, qt.IsTrue, qt.Commentf("ratio %.2f of 2.5", ratio))
		c.Assert(slow.AnswerRate > 6 && slow.AnswerRate <= 8, qt.IsTrue, qt.Commentf("%.1f answers/s", slow.AnswerRate))
	})
	c.Run("one long request among a few does not count as slow", func(c *qt.C) {
		var learnt habit
		for range 20 {
			learnt.update(0, Load{Answers: 5, Latency: 40 * time.Millisecond}, 2)
		}
		learnt.update(0, Load{Answers: 1, Latency: 4 * time.Second}, 2)
		c.Assert(learnt.UsualLatency < 42*time.Millisecond, qt.IsTrue, qt.Commentf("%v", learnt.UsualLatency))
	})
	c.Run("begins anew with geometric means", func(c *qt.C) {
		var learnt habit
		learnt.update(0, Load{Answers: 90, Latency: 60 * time.Millisecond}, 2)
		learnt.update(0, Load{Answers: 5, Latency: 60 * time.Millisecond, UsualLatency: 40 * time.Millisecond}, 2)
		learnt.update(0, Load{Answers: 5, Latency: 60 * time.Millisecond}, 2)
		c.Assert(learnt.UsualLatency, qt.Equals, 40*time.Millisecond)
		c.Assert(learnt.SampledAnswers, qt.Equals, 5)
	})
	c.Run("requests that waited do not count", func(c *qt.C) {
		var learnt habit
		learnt.update(0, Load{Answers: 5, Latency: 40 * time.Millisecond, InProgress: 1}, 2)
		learnt.update(0, Load{Answers: 50, Latency: 400 * time.Millisecond, InProgress: 9}, 2)
		c.Assert(learnt.UsualLatency, qt.Equals, 40*time.Millisecond)
	})
}
