package steer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTypicalServiceTime(t *testing.T) {
	c := qt.New(t)
	const usual, slow = 40 * time.Millisecond, 400 * time.Millisecond
	serviceTimes := func(fastCount, slowCount int) []time.Duration {
		times := make([]time.Duration, 0, fastCount+slowCount)
		for range slowCount {
			times = append(times, slow)
		}
		for range fastCount {
			times = append(times, usual)
		}
		return times
	}
	c.Run("is a default while nothing is measured", func(c *qt.C) {
		var baselines Baselines
		c.Assert(baselines.update(0, "chiosco", nil), qt.Equals, _defaultServiceTime)
	})
	c.Run("does not follow servers that become slow, even most of them", func(c *qt.C) {
		var baselines Baselines
		baselines.update(0, "chiosco", serviceTimes(14, 0))
		for second := range 20 {
			typical := baselines.update(time.Duration(second)*time.Second, "chiosco", serviceTimes(4, 10))
			c.Assert(typical < usual*3/2, qt.IsTrue, qt.Commentf("%s after %d s", typical, second))
		}
	})
	c.Run("is that of the fast servers if the first measurement includes slow ones", func(c *qt.C) {
		var baselines Baselines
		c.Assert(baselines.update(0, "chiosco", serviceTimes(6, 8)), qt.Equals, usual)
	})
	c.Run("follows a slower release within minutes", func(c *qt.C) {
		var baselines Baselines
		baselines.update(0, "chiosco", serviceTimes(14, 0))
		for second := range 400 {
			baselines.update(time.Duration(second)*time.Second, "chiosco", serviceTimes(0, 14))
		}
		c.Assert(baselines.update(400*time.Second, "chiosco", serviceTimes(0, 14)), qt.Equals, slow)
	})
	c.Run("follows a faster release immediately", func(c *qt.C) {
		var baselines Baselines
		baselines.update(0, "chiosco", serviceTimes(0, 14))
		c.Assert(baselines.update(time.Second, "chiosco", serviceTimes(14, 0)), qt.Equals, usual)
	})
	c.Run("is separate for each service", func(c *qt.C) {
		var baselines Baselines
		baselines.update(0, "chiosco", serviceTimes(14, 0))
		c.Assert(baselines.update(0, "stampa", serviceTimes(0, 14)), qt.Equals, slow)
	})
}
