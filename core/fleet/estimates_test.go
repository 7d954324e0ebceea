package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/packet"
)

const (
	_testSlots = 3
	// _baseline is the service time of a server at normal speed.
	_baseline = 40 * time.Millisecond
)

// averagesOf returns averages that have received the loads one second apart.
func averagesOf(loads ...Load) *LoadEstimates {
	loadEstimates := &LoadEstimates{Slots: func(packet.Cookie) int { return _testSlots }}
	for second, load := range loads {
		loadEstimates.Update(time.Duration(second+1)*time.Second, []Load{load})
	}
	return loadEstimates
}

func testLoad(busy float32, latency time.Duration) Load {
	return Load{Cookie: 1, InProgress: busy, Latency: latency, Answers: 4}
}

func TestAverageLoads(t *testing.T) {
	c := qt.New(t)
	c.Run("smooths the number of requests in progress", func(c *qt.C) {
		loadEstimates := averagesOf(testLoad(2, _baseline), Load{Cookie: 1})
		smoothed := loadEstimates.Measure(2*time.Second, 1).SmoothedInProgress
		c.Assert(smoothed > 0 && smoothed < 1, qt.IsTrue, qt.Commentf("%g", smoothed))
		loadEstimates.Update(4*time.Second, []Load{{Cookie: 1}})
		smoothed = loadEstimates.Measure(4*time.Second, 1).SmoothedInProgress
		c.Assert(smoothed < 0.3, qt.IsTrue, qt.Commentf("%g", smoothed))
	})
	c.Run("derives requests in progress from answers", func(c *qt.C) {
		loadEstimates := averagesOf(Load{Cookie: 1, InProgress: 9, Latency: 50 * time.Millisecond, Answers: 20})
		c.Assert(loadEstimates.Measure(time.Second, 1).AnsweredInProgress, qt.Equals, 2.0)
	})
	c.Run("treats a server without recent loads as idle", func(c *qt.C) {
		loadEstimates := averagesOf(testLoad(2, _baseline))
		c.Assert(loadEstimates.Measure(time.Second+_loadTTL, 1).SmoothedInProgress, qt.Equals, 2.0)
		c.Assert(loadEstimates.Measure(time.Second+_loadTTL+1, 1).SmoothedInProgress, qt.Equals, 0.0)
	})
}

func TestAverageSpeeds(t *testing.T) {
	c := qt.New(t)
	c.Run("remembers the service time of a server without requests", func(c *qt.C) {
		loadEstimates := averagesOf(testLoad(2, 5*_baseline), Load{Cookie: 1})
		c.Assert(loadEstimates.Measure(2*time.Second, 1).ServiceTime, qt.Equals, 5*_baseline)
	})
	c.Run("forgets the service time at a different time on each instance",
		func(c *qt.C) {
			const instances = 20
			countExpired := func(after time.Duration) int {
				count := 0
				for seed := range uint64(instances) {
					loadEstimates := averagesOf(testLoad(2, 5*_baseline))
					loadEstimates.Seed = seed
					if loadEstimates.Measure(time.Second+after, 1).ServiceTime == 0 {
						count++
					}
				}
				return count
			}
			c.Assert(countExpired(_serviceTimeTTL), qt.Equals, 0)
			expired := countExpired(_serviceTimeTTL + _serviceTimeTTLSpread/2)
			c.Assert(expired > instances/4 && expired < instances*3/4, qt.IsTrue, qt.Commentf("%d", expired))
			c.Assert(countExpired(_serviceTimeTTL+_serviceTimeTTLSpread), qt.Equals, instances)
		})
	c.Run("smooths the service time", func(c *qt.C) {
		loadEstimates := averagesOf(testLoad(2, 3*_baseline), testLoad(2, _baseline))
		c.Assert(loadEstimates.Measure(2*time.Second, 1).ServiceTime, qt.Equals, 2*_baseline)
	})
	c.Run("excludes queueing at a saturated server", func(c *qt.C) {
		loadEstimates := averagesOf(testLoad(6, 2*_baseline))
		c.Assert(loadEstimates.Measure(time.Second, 1).ServiceTime, qt.Equals, _baseline)
	})
	c.Run("does not take rejections by a saturated server for speed", func(c *qt.C) {
		loadEstimates := averagesOf(testLoad(2, _baseline), testLoad(14, _baseline))
		c.Assert(loadEstimates.Measure(2*time.Second, 1).ServiceTime, qt.Equals, _baseline)
	})
	c.Run("does not take queueing at a busy server for slowness", func(c *qt.C) {
		loadEstimates := averagesOf(testLoad(1, _baseline), testLoad(2.5, _baseline*3/2), testLoad(2.5, _baseline*3/2))
		c.Assert(loadEstimates.Measure(3*time.Second, 1).ServiceTime, qt.Equals, _baseline)
		loadEstimates = averagesOf(testLoad(1, _baseline), testLoad(1, _baseline*3/2))
		c.Assert(loadEstimates.Measure(2*time.Second, 1).ServiceTime, qt.Equals, _baseline*5/4)
	})
	c.Run("detects that a busy server became faster", func(c *qt.C) {
		loadEstimates := averagesOf(testLoad(1, 2*_baseline), testLoad(2.5, _baseline))
		c.Assert(loadEstimates.Measure(2*time.Second, 1).ServiceTime, qt.Equals, _baseline*3/2)
	})
	c.Run("detects that a saturated server is slow", func(c *qt.C) {
		loadEstimates := averagesOf(testLoad(2, _baseline), testLoad(6, 10*_baseline))
		c.Assert(loadEstimates.Measure(2*time.Second, 1).ServiceTime, qt.Equals, 3*_baseline)
	})
}
