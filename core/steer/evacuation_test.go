package steer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
)

// evacuatedServer returns a usable server in an evacuated failure domain.
func evacuatedServer(number int, domain id.Domain) *measuredServer {
	evacuated := server(number, domain)
	evacuated.Evacuated = true
	return evacuated
}

// TestEvacuatedServers guards against a flow that opens on an evacuated server, by its first packet or a copy of it.
func TestEvacuatedServers(t *testing.T) {
	c := qt.New(t)
	c.Run("get no new flows", func(c *qt.C) {
		for port := range uint16(50) {
			steering := newSteering(tableOf(evacuatedServer(1, "a"), server(2, "b"), evacuatedServer(3, "a")))
			for transmissions := range uint32(3) {
				now := time.Duration(transmissions) * 200 * time.Millisecond
				decision := steering.Decide(now, syn(port, _feeds, transmissions))
				c.Assert(decision.Action, qt.Equals, Forward)
				c.Assert(decision.Server.Cookie, qt.Equals, packet.Cookie(2))
			}
		}
	})
	c.Run("get no copy of a packet that opened a flow there before", func(c *qt.C) {
		for port := range uint16(50) {
			steering := newSteering(tableOf(server(1, "a"), server(2, "b")))
			steering.Decide(0, syn(port, _feeds, 0))
			steering.SetTable(tableOf(evacuatedServer(1, "a"), server(2, "b")))
			decision := steering.Decide(time.Millisecond, syn(port, _feeds, 1))
			c.Assert(decision.Server.Cookie, qt.Equals, packet.Cookie(2))
		}
	})
	c.Run("keep their flows", func(c *qt.C) {
		steering := newSteering(tableOf(evacuatedServer(1, "a"), server(2, "b")))
		assertDecision(c, steering.Decide(0, data(1, _feeds, 1, 1001, 500, 100)), Forward, Established)
	})
}

// TestEvacuatedService guards against clients that wait for an answer although the operator's request rules one out.
func TestEvacuatedService(t *testing.T) {
	c := qt.New(t)
	c.Run("refuses new flows at once", func(c *qt.C) {
		table := tableOf(evacuatedServer(1, "a"), evacuatedServer(2, "b"))
		assertDecision(c, newSteering(table).Decide(0, syn(1, _feeds, 0)), Reset, Evacuated)
		table.AllRegistered = false
		assertDecision(c, newSteering(table).Decide(0, syn(1, _feeds, 0)), Reset, Evacuated)
	})
	c.Run("refuses a copy of a packet that opened a flow before", func(c *qt.C) {
		steering := newSteering(tableOf(server(1, "a")))
		steering.Decide(0, syn(1, _feeds, 0))
		steering.SetTable(tableOf(evacuatedServer(1, "a")))
		assertDecision(c, steering.Decide(time.Millisecond, syn(1, _feeds, 1)), Reset, Evacuated)
	})
	c.Run("leaves the flows to other services of the route", func(c *qt.C) {
		table := tableOf(evacuatedServer(1, "a"), server(2, "b"))
		table.Servers[2].Service = "stampa"
		table.Pools = nil
		table.AddToPool(table.Servers[1])
		table.AddToPool(table.Servers[2])
		table.Routes[_feeds].Shares = []route.Share{{Service: "chiosco", Weight: 9}, {Service: "stampa", Weight: 1}}
		decision := newSteering(table.WithMeasures(0, &Baselines{}, func(*Server) Measure { return Measure{} })).
			Decide(0, syn(1, _feeds, 0))
		assertDecision(c, decision, Forward, NewFlow)
		c.Assert(decision.Server.Cookie, qt.Equals, packet.Cookie(2))
	})
	c.Run("is not blamed for servers that are missing", func(c *qt.C) {
		leaving := evacuatedServer(1, "a")
		leaving.Condition = Leaving
		assertDecision(c, newSteering(tableOf(leaving)).Decide(0, syn(1, _feeds, 0)), Reset, NoServer)
	})
}
