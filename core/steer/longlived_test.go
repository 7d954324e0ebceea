package steer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/packet"
)

// serveOnce opens a flow and sends one request on it, which the server answers; the client closes the flow if asked to.
func serveOnce(steering *Steering, now time.Duration, port uint16, to packet.Endpoint, closes bool) {
	opened := steering.Decide(now, syn(port, to, 0))
	if opened.Action != Forward {
		return
	}
	cookie := opened.Server.Cookie
	steering.Decide(now, data(port, to, cookie, 1, 1, 100))
	steering.Decide(now+50*time.Millisecond, data(port, to, cookie, 101, 101, 0))
	if closes {
		end := data(port, to, cookie, 101, 101, 0)
		end.Flags |= packet.FIN
		steering.Decide(now+60*time.Millisecond, end)
		steering.Decide(now+70*time.Millisecond, data(port, to, cookie, 102, 102, 0))
	}
}

// heldAfter returns the number of long-lived flows on the only server after flows with one request each.
func heldAfter(c *qt.C, flows int, closes bool) int {
	c.Helper()
	steering := newSteering(evenTable(server(1, "near")))
	for port := range flows {
		serveOnce(steering, time.Duration(port)*time.Millisecond, uint16(port+1), _feeds, closes)
	}
	steering.Expire(time.Second)
	observations := steering.Report(time.Second)
	c.Assert(observations, qt.HasLen, 1)
	return observations[0].Held
}

// TestFlowsAtTheStart guards against long-lived flows that do not count in the first seconds, when each has carried one
// request, and against flows that count after their client has closed them.
func TestFlowsAtTheStart(t *testing.T) {
	c := qt.New(t)
	c.Run("counts flows that clients keep open", func(c *qt.C) {
		c.Assert(heldAfter(c, 10, false), qt.Equals, 10)
	})
	c.Run("does not count closed flows", func(c *qt.C) {
		c.Assert(heldAfter(c, 10, true), qt.Equals, 0)
	})
}

func TestLongLived(t *testing.T) {
	c := qt.New(t)
	c.Run("by closed flows at first", func(c *qt.C) {
		counts := demandCounts{opened: 10, answered: 10}
		counts.noteOpened(0)
		c.Assert(counts.longLived(time.Second), qt.IsTrue)
		counts.closed = 9
		c.Assert(counts.longLived(time.Second), qt.IsFalse)
	})
	c.Run("by answers for each flow later", func(c *qt.C) {
		counts := demandCounts{opened: 10, answered: 10}
		counts.noteOpened(0)
		c.Assert(counts.longLived(_habitKnown+1), qt.IsFalse)
		counts.answered = 40
		c.Assert(counts.longLived(_habitKnown+1), qt.IsTrue)
	})
}

func TestSinglePerLongLived(t *testing.T) {
	c := qt.New(t)
	demand := &demand{}
	c.Assert(demand.singlePerLongLived(0), qt.Equals, 0.0)
	demand.byLevel[2][1] = demandCounts{opened: 10, answered: 80}
	demand.byLevel[1][2] = demandCounts{opened: 20, answered: 20, habits: habits{seenSince: 1}}
	demand.byLevel[2][1].seenSince = 1
	demand.updatedAt = _habitKnown + 1
	assertShare(c, demand.singlePerLongLived(_habitKnown+1), 0.25)
}
