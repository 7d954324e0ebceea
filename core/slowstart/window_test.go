package slowstart_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/slowstart"
)

func TestSplit(t *testing.T) {
	c := qt.New(t)
	c.Run("keeps one share in reserve", func(c *qt.C) {
		for flows := 2; flows < 1000; flows++ {
			split := slowstart.SplitOf(flows)
			c.Check((split.Owners+1)*split.Share <= flows, qt.IsTrue, qt.Commentf("%d flows: %+v", flows, split))
			c.Check(2*split.Owners*split.Share >= flows, qt.IsTrue, qt.Commentf("%d flows: %+v", flows, split))
		}
	})
	c.Run("gives a limit of one flow to one instance", func(c *qt.C) {
		c.Assert(slowstart.SplitOf(1), qt.Equals, slowstart.Split{Owners: 1, Share: 1})
	})
	c.Run("gives no limit to anyone", func(c *qt.C) {
		c.Assert(slowstart.SplitOf(0), qt.Equals, slowstart.Split{})
		c.Assert(slowstart.SplitOf(-1), qt.Equals, slowstart.Split{})
	})
}

func TestFlows(t *testing.T) {
	c := qt.New(t)
	c.Assert(slowstart.Flows(0, 1.5, 5), qt.Equals, 5)
	c.Assert(slowstart.Flows(10, 1.5, 5.9), qt.Equals, 20)
	c.Assert(slowstart.Flows(1, 0.5, 0), qt.Equals, 0)
}

// assertSliding asserts that no second holds more flows than the limit. The times are in ascending order.
func assertSliding(c *qt.C, times []time.Duration, limit int) {
	c.Helper()
	for index := limit; index < len(times); index++ {
		between := times[index] - times[index-limit]
		c.Assert(between > time.Second, qt.IsTrue,
			qt.Commentf("%d flows from %v to %v, the limit is %d", limit+1, times[index-limit], times[index], limit))
	}
}

// TestWindow guards against limits counted in fixed seconds, which admit twice the limit around a boundary, and against
// flows that are forgotten when the share changes.
func TestWindow(t *testing.T) {
	c := qt.New(t)
	c.Run("admits no more than a share in any second", func(c *qt.C) {
		random := rand.New(rand.NewPCG(1, 1))
		for share := 1; share < 8; share++ {
			var window slowstart.Window
			var admitted []time.Duration
			for now := time.Duration(0); now < time.Minute; now += time.Duration(random.IntN(int(300 * time.Millisecond))) {
				if window.Allows(now, share) {
					window.Add(now, share)
					admitted = append(admitted, now)
				}
			}
			assertSliding(c, admitted, share)
			least := int(time.Minute/(slowstart.Period+300*time.Millisecond)) * share
			c.Check(len(admitted) >= least, qt.IsTrue, qt.Commentf("share %d: %d admitted", share, len(admitted)))
		}
	})
	c.Run("admits no more than the greatest of changing shares", func(c *qt.C) {
		const greatest = 7
		random := rand.New(rand.NewPCG(2, 2))
		var window slowstart.Window
		var admitted []time.Duration
		for now := time.Duration(0); now < 5*time.Minute; now += time.Duration(random.IntN(int(80 * time.Millisecond))) {
			share := random.IntN(greatest + 1)
			if window.Allows(now, share) {
				window.Add(now, share)
				admitted = append(admitted, now)
			}
		}
		assertSliding(c, admitted, greatest)
	})
	c.Run("is empty once the last flow is out of the period", func(c *qt.C) {
		var window slowstart.Window
		c.Assert(window.IsEmpty(0), qt.IsTrue)
		window.Add(time.Second, 2)
		c.Assert(window.IsEmpty(time.Second+slowstart.Period), qt.IsFalse)
		c.Assert(window.IsEmpty(time.Second+slowstart.Period+1), qt.IsTrue)
	})
	c.Run("admits nothing without a share", func(c *qt.C) {
		var window slowstart.Window
		c.Assert(window.Allows(0, 0), qt.IsFalse)
	})
}
