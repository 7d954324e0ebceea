package load

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// _coldFlows is the limit of new flows to a cold server on the dispatch deployment.
const _coldFlows = 5

// shareOfWorth returns the share of the worth that was answered in time.
func shareOfWorth(result Result) float64 {
	return result.Worth / result.Owed
}

// worstWindow returns the least share of requests in time of any two seconds.
func worstWindow(result Result) float64 {
	least := 1.0
	for second, first := range result.bySecond {
		if next, ok := result.bySecond[second+1]; ok {
			both := tally{requests: first.requests + next.requests, inTime: first.inTime + next.inTime}
			least = min(least, both.inTimeShare())
		}
	}
	return least
}

// TestColdServersAtFullLoad replays 137 instances and 150 servers that are cold all at once, or those of one failure
// domain. It guards against flows beyond the limit, and prints what the limit costs.
func TestColdServersAtFullLoad(t *testing.T) {
	c := qt.New(t)
	patterns := []Pattern{
		{Name: "AllRestart", Apply: restartServers(1)},
		{Name: "HalfRestart", Apply: restartServers(0.5)},
		{Name: "Reopened", Apply: reopen},
	}
	for _, pattern := range patterns {
		c.Run(pattern.Name, func(c *qt.C) {
			for _, scale := range []float64{1, 2} {
				config := DispatchWithUploads()
				for index := range config.Zones {
					config.Zones[index].Rate *= scale
				}
				free := Run(config, Steered, pattern)
				config.SlowStartFlows = _coldFlows
				limited := Run(config, Steered, pattern)
				c.Logf("load %g, no limit: worth %.3f, worst two seconds %.3f, %d flows in a second", scale,
					shareOfWorth(free), worstWindow(free), free.MostColdFlows)
				c.Logf("load %g, limit %d: worth %.3f, worst two seconds %.3f, %d flows in a second, %d refused", scale,
					_coldFlows, shareOfWorth(limited), worstWindow(limited), limited.MostColdFlows, limited.RefusedSlowStart)
				c.Check(limited.MostColdFlows <= _coldFlows, qt.IsTrue)
				c.Check(limited.MostColdFlows > 0, qt.IsTrue)
				c.Check(limited.RefusedLate, qt.Equals, 0)
			}
		})
	}
}

// TestMostInASecond checks the measure of the test above.
func TestMostInASecond(t *testing.T) {
	c := qt.New(t)
	c.Assert(mostInASecond(nil), qt.Equals, 0)
	c.Assert(mostInASecond([]time.Duration{0, 1, time.Second - 1, time.Second}), qt.Equals, 3)
}
