package steer

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// latencies returns sorted latencies: counts of servers by latency in milliseconds, the fastest first.
func latencies(counts ...[2]int) []time.Duration {
	var sorted []time.Duration
	for _, count := range counts {
		for range count[0] {
			sorted = append(sorted, time.Duration(count[1])*time.Millisecond)
		}
	}
	return sorted
}

// unequalAfter updates a spread twice a second for a time and returns its last decision.
func unequalAfter(spread *speedSpread, from, span time.Duration, sorted []time.Duration) bool {
	unequal := spread.unequal
	for now := from; now <= from+span; now += ReportInterval {
		unequal = spread.update(now, sorted)
	}
	return unequal
}

func TestSpeedSpread(t *testing.T) {
	c := qt.New(t)
	thirds := latencies([2]int{40, 25}, [2]int{40, 40}, [2]int{40, 67})
	c.Run("unequal only after ten seconds", func(c *qt.C) {
		c.Assert(unequalAfter(&speedSpread{}, 0, 9*time.Second, thirds), qt.IsFalse)
		c.Assert(unequalAfter(&speedSpread{}, 0, 10*time.Second, thirds), qt.IsTrue)
	})
	c.Run("alike up to a third", func(c *qt.C) {
		alike := latencies([2]int{40, 30}, [2]int{40, 35}, [2]int{40, 40})
		c.Assert(unequalAfter(&speedSpread{}, 0, time.Minute, alike), qt.IsFalse)
	})
	c.Run("a sixth of the servers may be slow", func(c *qt.C) {
		slow := latencies([2]int{100, 40}, [2]int{20, 200})
		c.Assert(unequalAfter(&speedSpread{}, 0, time.Minute, slow), qt.IsFalse)
	})
	c.Run("half of the servers slow for some seconds", func(c *qt.C) {
		spread := &speedSpread{}
		half := latencies([2]int{60, 40}, [2]int{60, 200})
		c.Assert(unequalAfter(spread, 0, 8*time.Second, half), qt.IsFalse)
		c.Assert(unequalAfter(spread, 9*time.Second, 8*time.Second, latencies([2]int{120, 40})), qt.IsFalse)
		c.Assert(unequalAfter(spread, 18*time.Second, 8*time.Second, half), qt.IsFalse)
	})
	c.Run("alike again only after half a minute", func(c *qt.C) {
		alike := latencies([2]int{120, 40})
		c.Assert(unequalAfter(&speedSpread{unequal: true}, 0, 29*time.Second, alike), qt.IsTrue)
		c.Assert(unequalAfter(&speedSpread{unequal: true}, 0, 30*time.Second, alike), qt.IsFalse)
	})
	c.Run("keeps its decision without latencies", func(c *qt.C) {
		c.Assert(unequalAfter(&speedSpread{unequal: true}, 0, time.Minute, nil), qt.IsTrue)
	})
}

// learntHabits returns what answers say of servers of some true latencies in turn, each measured by a number of
// answers.
func learntHabits(servers, answers int, trueLatencies ...time.Duration) []Habit {
	random := rand.New(rand.NewPCG(3, 3))
	made := make([]Habit, 0, servers)
	for number := range servers {
		noise := 1 + 0.5*random.NormFloat64()/float64(answers)
		made = append(made, Habit{
			UsualLatency:   time.Duration(noise * float64(trueLatencies[number%len(trueLatencies)])),
			SampledAnswers: answers,
		})
	}
	return made
}

// TestSpeedVariance guards against taking chance for different speeds, which would make an even service uneven.
func TestSpeedVariance(t *testing.T) {
	c := qt.New(t)
	c.Run("none where servers are alike", func(c *qt.C) {
		_, variance := speedVariance(learntHabits(120, 20, 40*time.Millisecond))
		c.Assert(variance, qt.Equals, 0.0)
	})
	c.Run("found where they differ", func(c *qt.C) {
		mean, variance := speedVariance(learntHabits(120, 20, 25*time.Millisecond, 40*time.Millisecond, 67*time.Millisecond))
		c.Assert(variance > 0.1, qt.IsTrue, qt.Commentf("%.3f", variance))
		c.Assert(mean > 35*time.Millisecond && mean < 45*time.Millisecond, qt.IsTrue, qt.Commentf("%v", mean))
	})
	c.Run("nothing known", func(c *qt.C) {
		mean, variance := speedVariance(nil)
		c.Assert(mean, qt.Equals, time.Duration(0))
		c.Assert(variance, qt.Equals, 0.0)
	})
}
