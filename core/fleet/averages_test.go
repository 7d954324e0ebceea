package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/packet"
)

const (
	_testSlots = 3
	// _usual is how long requests of the tests run on a server that is as usual.
	_usual = 40 * time.Millisecond
)

// averagesOf returns averages that heard one load a second.
func averagesOf(loads ...Load) *Averages {
	averages := &Averages{Slots: func(packet.Cookie) int { return _testSlots }}
	for second, load := range loads {
		averages.Hear(time.Duration(second+1)*time.Second, []Load{load})
	}
	return averages
}

func loadOf(busy float32, latency time.Duration) Load {
	return Load{Cookie: 1, Busy: busy, Latency: latency, Answers: 4}
}

func TestAverageLoads(t *testing.T) {
	c := qt.New(t)
	c.Run("smooth the number of requests in progress", func(c *qt.C) {
		averages := averagesOf(loadOf(2, _usual), Load{Cookie: 1})
		smoothed := averages.Measure(2*time.Second, 1).Busy
		c.Assert(smoothed > 0 && smoothed < 1, qt.IsTrue, qt.Commentf("%g", smoothed))
		averages.Hear(4*time.Second, []Load{{Cookie: 1}})
		smoothed = averages.Measure(4*time.Second, 1).Busy
		c.Assert(smoothed < 0.3, qt.IsTrue, qt.Commentf("%g", smoothed))
	})
	c.Run("count by answers what was in progress", func(c *qt.C) {
		averages := averagesOf(Load{Cookie: 1, Busy: 9, Latency: 50 * time.Millisecond, Answers: 20})
		c.Assert(averages.Measure(time.Second, 1).Answered, qt.Equals, 2.0)
	})
	c.Run("take a server that nobody tells of for idle after a time", func(c *qt.C) {
		averages := averagesOf(loadOf(2, _usual))
		c.Assert(averages.Measure(time.Second+_loadLife, 1).Busy, qt.Equals, 2.0)
		c.Assert(averages.Measure(time.Second+_loadLife+1, 1).Busy, qt.Equals, 0.0)
	})
}

func TestAverageSpeeds(t *testing.T) {
	c := qt.New(t)
	c.Run("remember the speed of a server that gets no requests", func(c *qt.C) {
		averages := averagesOf(loadOf(2, 5*_usual), Load{Cookie: 1})
		c.Assert(averages.Measure(2*time.Second, 1).ServiceTime, qt.Equals, 5*_usual)
	})
	c.Run("forget the speed after a time, so that the server is tried again, at instances one after the other",
		func(c *qt.C) {
			const instances = 20
			forgetful := func(after time.Duration) int {
				count := 0
				for seed := range uint64(instances) {
					averages := averagesOf(loadOf(2, 5*_usual))
					averages.Seed = seed
					if averages.Measure(time.Second+after, 1).ServiceTime == 0 {
						count++
					}
				}
				return count
			}
			c.Assert(forgetful(_serviceLife), qt.Equals, 0)
			some := forgetful(_serviceLife + _serviceSpread/2)
			c.Assert(some > instances/4 && some < instances*3/4, qt.IsTrue, qt.Commentf("%d", some))
			c.Assert(forgetful(_serviceLife+_serviceSpread), qt.Equals, instances)
		})
	c.Run("smooth the time that a request runs", func(c *qt.C) {
		averages := averagesOf(loadOf(2, 3*_usual), loadOf(2, _usual))
		c.Assert(averages.Measure(2*time.Second, 1).ServiceTime, qt.Equals, 2*_usual)
	})
	c.Run("leave out the wait for a turn", func(c *qt.C) {
		averages := averagesOf(loadOf(6, 2*_usual))
		c.Assert(averages.Measure(time.Second, 1).ServiceTime, qt.Equals, _usual)
	})
	c.Run("do not take rejections of a crowded server for speed", func(c *qt.C) {
		averages := averagesOf(loadOf(2, _usual), loadOf(14, _usual))
		c.Assert(averages.Measure(2*time.Second, 1).ServiceTime, qt.Equals, _usual)
	})
	c.Run("do not take the wait for a turn at a busy server for slowness", func(c *qt.C) {
		averages := averagesOf(loadOf(1, _usual), loadOf(2.5, _usual*3/2), loadOf(2.5, _usual*3/2))
		c.Assert(averages.Measure(3*time.Second, 1).ServiceTime, qt.Equals, _usual)
		averages = averagesOf(loadOf(1, _usual), loadOf(1, _usual*3/2))
		c.Assert(averages.Measure(2*time.Second, 1).ServiceTime, qt.Equals, _usual*5/4)
	})
	c.Run("notice that a busy server is faster", func(c *qt.C) {
		averages := averagesOf(loadOf(1, 2*_usual), loadOf(2.5, _usual))
		c.Assert(averages.Measure(2*time.Second, 1).ServiceTime, qt.Equals, _usual*3/2)
	})
	c.Run("notice that a crowded server is slow", func(c *qt.C) {
		averages := averagesOf(loadOf(2, _usual), loadOf(6, 10*_usual))
		c.Assert(averages.Measure(2*time.Second, 1).ServiceTime, qt.Equals, 3*_usual)
	})
}
