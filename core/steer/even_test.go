package steer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
)

func TestFillLevel(t *testing.T) {
	c := qt.New(t)
	level := func(c *qt.C, amount, want float64, loads, capacities []float64) {
		c.Helper()
		assertShare(c, FillLevel(loads, capacities, amount), want)
	}
	c.Run("adds to the empty servers first", func(c *qt.C) {
		level(c, 3, 3, []float64{0, 9, 9}, []float64{1, 1, 1})
	})
	c.Run("raises all once they are level", func(c *qt.C) {
		level(c, 9, 6, []float64{2, 3, 4}, []float64{1, 1, 1})
	})
	c.Run("follows the speeds", func(c *qt.C) {
		level(c, 32, 10, []float64{0, 0, 0}, []float64{0.6, 1, 1.6})
	})
	c.Run("gives nothing without capacity", func(c *qt.C) {
		level(c, 3, 0, []float64{1, 1}, []float64{0, 0})
	})
}

func TestExpectedWait(t *testing.T) {
	c := qt.New(t)
	c.Assert(ExpectedWait(time.Second, 0, 2), qt.Equals, time.Duration(0))
	c.Run("one slot waits as an M/M/1 queue", func(c *qt.C) {
		c.Assert(ExpectedWait(time.Second, 0.5, 1), qt.Equals, time.Second)
	})
	c.Run("more slots wait less", func(c *qt.C) {
		c.Assert(ExpectedWait(time.Second, 0.5, 4) < ExpectedWait(time.Second, 0.5, 2), qt.IsTrue)
	})
	c.Run("is finite at full use", func(c *qt.C) {
		c.Assert(ExpectedWait(time.Second, 3, 2) < time.Minute, qt.IsTrue)
	})
}

func TestAwayShare(t *testing.T) {
	c := qt.New(t)
	const work, cost = 50 * time.Millisecond, 2 * time.Millisecond
	zone := func(utilisation float64) ZoneLoad { return ZoneLoad{Utilisation: utilisation, Slots: 80, Servers: 40} }
	c.Run("none leave while nobody waits", func(c *qt.C) {
		c.Assert(AwayShare(zone(0.1), zone(0), work, cost), qt.Equals, 0.0)
	})
	c.Run("none leave for a little difference", func(c *qt.C) {
		c.Assert(AwayShare(zone(0.36), zone(0.34), work, cost), qt.Equals, 0.0)
	})
	c.Run("about the part that evens out the wait leaves", func(c *qt.C) {
		share := AwayShare(zone(0.9), zone(0.3), work, cost)
		c.Assert(share > 0.25 && share < 1.0/3, qt.IsTrue, qt.Commentf("%.3f", share))
	})
	c.Run("none come back to a busier one", func(c *qt.C) {
		c.Assert(AwayShare(zone(0.3), zone(0.9), work, cost), qt.Equals, 0.0)
	})
	c.Run("all leave if there are no servers", func(c *qt.C) {
		c.Assert(AwayShare(ZoneLoad{}, zone(0.3), work, cost) > 0.99, qt.IsTrue)
	})
}

// evenTable returns a table of servers of one failure domain on which load is evened out.
func evenTable(servers ...*measuredServer) *Table {
	table := tableOf(servers...)
	table.Placement.EvenLoad, table.LiveInstances = true, 1
	measures := make(map[*Server]Measure)
	for _, measured := range servers {
		measures[&measured.Server] = measured.Measure
	}
	return table.WithMeasures(0, &Baselines{}, func(server *Server) Measure { return measures[server] })
}

// openedOn returns the number of flows that an instance opens on each server.
func openedOn(table *Table, flows int) map[id.Target]int {
	_, byServer := openFlows(newSteering(table), flows)
	return byServer
}

func TestPlacementByHeldFlows(t *testing.T) {
	c := qt.New(t)
	c.Run("fills up servers with fewer flows", func(c *qt.C) {
		few, many := server(1, "near"), server(2, "near")
		few.Held, many.Held = 10, 40
		few.HeldKnown, many.HeldKnown = true, true
		opened := openedOn(evenTable(few, many), 30)
		c.Assert(opened[few.ID] >= 25, qt.IsTrue, qt.Commentf("%v", opened))
	})
	c.Run("spreads what all instances open at once", func(c *qt.C) {
		few, many := server(1, "near"), server(2, "near")
		few.Held, many.Held = 10, 40
		few.HeldKnown, many.HeldKnown = true, true
		table := evenTable(few, many)
		table.LiveInstances = 1000
		opened := openedOn(table, 400)
		c.Assert(opened[many.ID] > 150, qt.IsTrue, qt.Commentf("%v", opened))
	})
	c.Run("takes an unknown number for the average", func(c *qt.C) {
		servers := []*measuredServer{server(1, "near"), server(2, "near"), server(3, "near")}
		for _, server := range servers[:2] {
			server.Held, server.HeldKnown = 40, true
		}
		for _, opened := range openedOn(evenTable(servers...), 60) {
			c.Assert(opened, qt.Satisfies, between(15, 25))
		}
	})
	c.Run("follows the speeds", func(c *qt.C) {
		slow, usual, fast := server(1, "near"), server(2, "near"), server(3, "near")
		for server, latency := range map[*measuredServer]time.Duration{
			slow: 67 * time.Millisecond, usual: 40 * time.Millisecond, fast: 25 * time.Millisecond,
		} {
			server.Habit = Habit{UsualLatency: latency, SampledAnswers: 300}
		}
		opened := openedOn(evenTable(slow, usual, fast), 320)
		c.Assert(opened[slow.ID], qt.Satisfies, between(45, 75))
		c.Assert(opened[usual.ID], qt.Satisfies, between(85, 115))
		c.Assert(opened[fast.ID], qt.Satisfies, between(145, 175))
	})
}

// TestAvoidedServers guards against new flows on servers that do not answer as usual.
func TestAvoidedServers(t *testing.T) {
	c := qt.New(t)
	c.Run("avoids a server that has just become slow", func(c *qt.C) {
		slow, usual, other := server(1, "near"), server(2, "near"), server(3, "near")
		for _, server := range []*measuredServer{slow, usual, other} {
			server.Habit = Habit{UsualLatency: 40 * time.Millisecond, SampledAnswers: 300}
			server.ServiceTime = 40 * time.Millisecond
		}
		slow.ServiceTime = 200 * time.Millisecond
		c.Assert(openedOn(evenTable(slow, usual, other), 60)[slow.ID], qt.Equals, 0)
	})
	c.Run("avoids no server where all have become slow", func(c *qt.C) {
		servers := []*measuredServer{server(1, "near"), server(2, "near"), server(3, "near")}
		for _, server := range servers {
			server.Habit = Habit{UsualLatency: 40 * time.Millisecond, SampledAnswers: 300}
			server.ServiceTime = 200 * time.Millisecond
		}
		for _, opened := range openedOn(evenTable(servers...), 60) {
			c.Assert(opened, qt.Satisfies, between(15, 25))
		}
	})
	c.Run("avoids a server that rejects requests at once", func(c *qt.C) {
		rejecting, usual, other := server(1, "near"), server(2, "near"), server(3, "near")
		for _, server := range []*measuredServer{rejecting, usual, other} {
			server.Habit = Habit{UsualLatency: 40 * time.Millisecond, SampledAnswers: 300}
			server.ServiceTime = 40 * time.Millisecond
		}
		rejecting.ServiceTime = 2 * time.Millisecond
		c.Assert(openedOn(evenTable(rejecting, usual, other), 60)[rejecting.ID], qt.Equals, 0)
	})
}

// TestUnequalServers guards against unequal servers that get equal shares where the setting asks to find them, and
// against any change where it does not.
func TestUnequalServers(t *testing.T) {
	c := qt.New(t)
	placement := Placement{EvenLoadIfUnequal: true}
	opened := func(latencies ...time.Duration) (byServer map[id.Target]int, even bool) {
		servers := make([]*measuredServer, 0, 9)
		for number := range cap(servers) {
			servers = append(servers, server(number+1, "near"))
		}
		table, baselines := tableOf(servers...), &Baselines{}
		table.LiveInstances, table.Placement = 1, placement
		for now := time.Duration(0); now <= _unevenFor; now += ReportInterval {
			table = table.WithMeasures(now, baselines, func(server *Server) Measure {
				latency := latencies[int(server.Number)%len(latencies)]
				return Measure{ServiceTime: latency, Habit: Habit{UsualLatency: latency, SampledAnswers: 300}}
			})
		}
		return openedOn(table, 300), table.Evenness()[0].Even
	}
	c.Run("three speeds", func(c *qt.C) {
		byServer, even := opened(40*time.Millisecond, 25*time.Millisecond, 67*time.Millisecond)
		c.Assert(even, qt.IsTrue)
		c.Assert(byServer["i-00000001"] > 2*byServer["i-00000002"], qt.IsTrue, qt.Commentf("%v", byServer))
	})
	c.Run("alike", func(c *qt.C) {
		_, even := opened(40*time.Millisecond, 42*time.Millisecond, 44*time.Millisecond)
		c.Assert(even, qt.IsFalse)
	})
	c.Run("three speeds without the setting", func(c *qt.C) {
		placement = Placement{}
		_, even := opened(40*time.Millisecond, 25*time.Millisecond, 67*time.Millisecond)
		c.Assert(even, qt.IsFalse)
	})
}

// between returns a predicate for the numbers of a range.
func between(low, high int) func(number int) bool {
	return func(number int) bool { return low <= number && number <= high }
}

// TestRetransmissionWithEvenLoad guards against a retransmission that goes to the server that did not answer before.
func TestRetransmissionWithEvenLoad(t *testing.T) {
	c := qt.New(t)
	table := evenTable(server(1, "near"), server(2, "near"), server(3, "near"))
	for port := range uint16(200) {
		steering := newSteering(table)
		first := steering.Decide(0, syn(port+1, _feeds, 0))
		second := steering.Decide(200*time.Millisecond, syn(port+1, _feeds, 1))
		c.Assert(second.Server.ID, qt.Not(qt.Equals), first.Server.ID)
	}
}

// TestHeldFlows guards against counting a flow at two instances for long: one whose packets now go to another instance
// no longer counts here.
func TestHeldFlows(t *testing.T) {
	c := qt.New(t)
	held := func(table *Table, now time.Duration) int {
		steering := newSteering(table)
		decision := steering.Decide(0, syn(1, _feeds, 0))
		steering.Decide(0, data(1, _feeds, decision.Server.Cookie, 1, 1, 100))
		steering.Expire(now)
		observations := steering.Report(now)
		c.Assert(observations, qt.HasLen, 1)
		return observations[0].Held
	}
	c.Run("counts while the client uses the flow", func(c *qt.C) {
		c.Assert(held(evenTable(server(1, "near")), time.Second), qt.Equals, 1)
	})
	c.Run("does not count afterwards", func(c *qt.C) {
		c.Assert(held(evenTable(server(1, "near")), _heldPeriod+time.Second), qt.Equals, 0)
	})
	c.Run("is not reported where load is not evened out", func(c *qt.C) {
		c.Assert(held(tableOf(server(1, "near")), time.Second), qt.Equals, 0)
	})
}

// BenchmarkNewFlow places new flows, one each ten milliseconds, on the servers of one failure domain.
func BenchmarkNewFlow(b *testing.B) {
	for _, count := range []int{40, 5_333} {
		for name, build := range map[string]func(servers ...*measuredServer) *Table{"even": evenTable, "usual": tableOf} {
			b.Run(fmt.Sprintf("%s/%d", name, count), func(b *testing.B) {
				servers := make([]*measuredServer, 0, count)
				for number := range count {
					servers = append(servers, server(number+1, "near"))
					servers[number].Held, servers[number].HeldKnown = float64(number%7), true
				}
				steering, now := newSteering(build(servers...)), time.Duration(0)
				b.ReportAllocs()
				for b.Loop() {
					now += 10 * time.Millisecond
					steering.Decide(now, syn(uint16(now/(10*time.Millisecond)), _feeds, 0))
				}
			})
		}
	}
}
