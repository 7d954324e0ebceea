package steer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/core/packet"
)

// coldServer returns a server in slow start until the tenth second, of whose limit this instance has a share.
func coldServer(number int, domain id.Domain, share int) *measuredServer {
	cold := server(number, domain)
	cold.Warm, cold.ColdUntil, cold.SlowStartShare = false, 10*time.Second, share
	return cold
}

// limitedTable returns a table of the servers in which limits for servers in slow start are in force. Its routes have
// no objective, so that no flow is refused for other reasons.
func limitedTable(servers ...*measuredServer) *Table {
	table := tableOf(servers...)
	table.SharesUntil = time.Minute
	for _, configured := range table.Routes {
		configured.Objective = 0
	}
	table.LimitSlowStarts()
	return table
}

// open sends opening packets of new flows at regular intervals and returns the times at which each server got one, and
// the number of refused flows.
func open(c *qt.C, steering *Steering, from, until, interval time.Duration) (map[id.Target][]time.Duration, int) {
	opened, refused := make(map[id.Target][]time.Duration), 0
	port := uint16(1)
	for now := from; now < until; now += interval {
		port++
		decision := steering.Decide(now, syn(port, _orders, 0))
		if decision.Action == Forward {
			opened[decision.Server.ID] = append(opened[decision.Server.ID], now)
			continue
		}
		c.Assert(decision.Reason, qt.Equals, SlowStart)
		c.Assert(decision.Action, qt.Equals, Reset)
		refused++
	}
	return opened, refused
}

// assertWithinShare asserts that no second holds more flows than a share.
func assertWithinShare(c *qt.C, times []time.Duration, share int) {
	c.Helper()
	for index := share; index < len(times); index++ {
		c.Assert(times[index]-times[index-share] > time.Second, qt.IsTrue, qt.Commentf("%v", times))
	}
}

// TestServersInSlowStart guards against flows to servers in slow start beyond this instance's share of their limit.
func TestServersInSlowStart(t *testing.T) {
	c := qt.New(t)
	c.Run("get no more than the share", func(c *qt.C) {
		for share := 1; share <= 3; share++ {
			steering := newSteering(limitedTable(coldServer(1, "a", share), coldServer(2, "b", share)))
			opened, refused := open(c, steering, 0, 9*time.Second, 20*time.Millisecond)
			for _, name := range []id.Target{"i-00000001", "i-00000002"} {
				assertWithinShare(c, opened[name], share)
				c.Check(len(opened[name]) >= 7*share, qt.IsTrue, qt.Commentf("%v", opened[name]))
			}
			c.Check(refused > 0, qt.IsTrue)
		}
	})
	c.Run("get nothing without a share", func(c *qt.C) {
		steering := newSteering(limitedTable(coldServer(1, "a", 0), server(2, "a"), coldServer(3, "b", 0)))
		opened, refused := open(c, steering, 0, time.Second, 5*time.Millisecond)
		c.Assert(len(opened["i-00000002"]), qt.Equals, 200)
		c.Assert(refused, qt.Equals, 0)
	})
	c.Run("get nothing once the shares have ended", func(c *qt.C) {
		table := limitedTable(coldServer(1, "a", 5))
		table.SharesUntil = time.Second
		opened, _ := open(c, newSteering(table), 0, 9*time.Second, 20*time.Millisecond)
		times := opened["i-00000001"]
		c.Assert(times[len(times)-1] <= time.Second, qt.IsTrue, qt.Commentf("%v", times))
	})
	c.Run("keep their counts in a new table", func(c *qt.C) {
		steering := newSteering(limitedTable(coldServer(1, "a", 1)))
		c.Assert(steering.Decide(0, syn(1, _orders, 0)).Action, qt.Equals, Forward)
		steering.SetTable(limitedTable(coldServer(1, "a", 1), coldServer(2, "a", 0)))
		steering.Expire(500 * time.Millisecond)
		c.Assert(steering.Decide(time.Second, syn(2, _orders, 0)).Reason, qt.Equals, SlowStart)
	})
}

// TestFlowsBesideServersInSlowStart guards against flows that are refused, or sent to servers in slow start, although
// another server can take them.
func TestFlowsBesideServersInSlowStart(t *testing.T) {
	c := qt.New(t)
	c.Run("go there as usual once they are warm", func(c *qt.C) {
		steering := newSteering(limitedTable(coldServer(1, "a", 1)))
		_, refused := open(c, steering, 10*time.Second, 11*time.Second, 20*time.Millisecond)
		c.Assert(refused, qt.Equals, 0)
	})
	c.Run("go to another failure domain", func(c *qt.C) {
		steering := newSteering(limitedTable(coldServer(1, "a", 0), coldServer(2, "a", 1), server(3, "b")))
		opened, refused := open(c, steering, 0, 5*time.Second, 10*time.Millisecond)
		assertWithinShare(c, opened["i-00000002"], 1)
		c.Assert(len(opened["i-00000003"]) > 400, qt.IsTrue, qt.Commentf("%v", opened))
		c.Assert(refused, qt.Equals, 0)
	})
	c.Run("leave a busy server only within the share", func(c *qt.C) {
		busy := busyServer(2, "a", 9)
		steering := newSteering(limitedTable(coldServer(1, "a", 0), busy, coldServer(3, "b", 1)))
		for _, configured := range steering.table.Routes {
			configured.Objective = _objective
		}
		opened := make(map[id.Target][]time.Duration)
		for port := range uint16(400) {
			now := time.Duration(port) * 10 * time.Millisecond
			if decision := steering.Decide(now, syn(port, _feeds, 0)); decision.Action == Forward {
				opened[decision.Server.ID] = append(opened[decision.Server.ID], now)
			}
		}
		c.Assert(opened["i-00000001"], qt.HasLen, 0)
		c.Assert(len(opened["i-00000003"]) > 0, qt.IsTrue)
		assertWithinShare(c, opened["i-00000003"], 1)
	})
	c.Run("that are open go on", func(c *qt.C) {
		steering := newSteering(limitedTable(coldServer(1, "a", 0)))
		decision := steering.Decide(0, data(1, _orders, packet.Cookie(1), 1001, 1, 10))
		c.Assert(decision.Action, qt.Equals, Forward)
	})
	c.Run("go there as before if there is no limit", func(c *qt.C) {
		cold := server(1, "a")
		cold.Warm = false
		_, refused := open(c, newSteering(limitedTable(cold)), 0, time.Second, 10*time.Millisecond)
		c.Assert(refused, qt.Equals, 0)
	})
}

// TestCopiesToServersInSlowStart guards against copies of opening packets that are sent to a server in slow start
// without being counted.
func TestCopiesToServersInSlowStart(t *testing.T) {
	c := qt.New(t)
	c.Run("count as flows", func(c *qt.C) {
		steering := newSteering(limitedTable(coldServer(1, "a", 2)))
		c.Assert(steering.Decide(0, syn(1, _orders, 0)).Reason, qt.Equals, NewFlow)
		c.Assert(steering.Decide(time.Millisecond, syn(1, _orders, 0)).Reason, qt.Equals, RetransmittedOpening)
		c.Assert(steering.Decide(2*time.Millisecond, syn(2, _orders, 0)).Reason, qt.Equals, SlowStart)
	})
	c.Run("are dropped beyond the share, as the first packet may be answered", func(c *qt.C) {
		steering := newSteering(limitedTable(coldServer(1, "a", 1)))
		c.Assert(steering.Decide(0, syn(1, _orders, 0)).Action, qt.Equals, Forward)
		decision := steering.Decide(time.Millisecond, syn(1, _orders, 0))
		c.Assert(decision.Action, qt.Equals, Drop)
		c.Assert(decision.Reason, qt.Equals, SlowStart)
	})
	c.Run("at another instance count there", func(c *qt.C) {
		steering := newSteering(limitedTable(coldServer(1, "a", 1)))
		c.Assert(steering.Decide(0, syn(1, _orders, 1)).Action, qt.Equals, Forward)
		c.Assert(steering.Decide(200*time.Millisecond, syn(2, _orders, 2)).Reason, qt.Equals, SlowStart)
	})
	c.Run("go to a warm server", func(c *qt.C) {
		steering := newSteering(limitedTable(coldServer(1, "a", 1), server(2, "a")))
		for port := range uint16(50) {
			steering.Decide(0, syn(port, _orders, 0))
			decision := steering.Decide(200*time.Millisecond, syn(port, _orders, 1))
			c.Assert(decision.Action, qt.Equals, Forward)
		}
	})
}

// TestCandidatesAllocateNothing guards against allocation for each new flow while servers are in slow start.
func TestCandidatesAllocateNothing(t *testing.T) {
	c := qt.New(t)
	steering := newSteering(limitedTable(coldServer(1, "a", 1), server(2, "a"), coldServer(3, "b", 0), server(4, "b")))
	pool := steering.table.Pools["chiosco"]
	allocated := testing.AllocsPerRun(100, func() { steering.candidates(time.Second, pool) })
	c.Assert(allocated, qt.Equals, 0.0)
}
