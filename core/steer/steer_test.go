package steer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/target"
)

var (
	_feeds    = packet.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: 443}
	_orders   = packet.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: 8080}
	_unrouted = packet.Endpoint{Address: [4]byte{198, 18, 0, 9}, Port: 1}
)

// measuredServer is a server with its measures.
type measuredServer struct {
	Server
	Measure
}

// server returns a usable server whose cookie is its number.
func server(number int, domain id.Domain) *measuredServer {
	name := fmt.Sprintf("i-%08x", number)
	return &measuredServer{Server: Server{
		Target: target.Target{
			ID: id.Target(name), Number: target.Number(number), Service: "chiosco", Domain: domain, Slots: 3,
			Address: netip.MustParseAddrPort("192.0.2.1:80"), State: target.StateReady,
		},
		Cookie: packet.Cookie(number), Condition: Usable, Hash: uint64(number) * 0x9E3779B97F4A7C15, Warm: true,
	}}
}

// tableOf returns a table with routes of feeds and orders to the servers. The failure domain of the first server is the
// instance's own.
func tableOf(servers ...*measuredServer) *Table {
	table := &Table{
		Version: 1,
		Routes: map[packet.Endpoint]*route.Route{
			_feeds: {
				Endpoint: _feeds, Kind: route.Idempotent, Timeout: time.Second, Objective: _objective, Priority: 2,
				Shares: _chioscoShares,
			},
			_orders: {
				Endpoint: _orders, Kind: route.NonIdempotent, Timeout: time.Second, Objective: _objective, Priority: 1,
				Shares: _chioscoShares,
			},
		},
		IdleTimeout:   15 * time.Second,
		AllRegistered: true,
	}
	measures := make(map[*Server]Measure)
	for _, measured := range servers {
		table.Add(&measured.Server)
		measures[&measured.Server] = measured.Measure
		if measured.Condition == Usable {
			table.AddToPool(&measured.Server)
		}
	}
	return table.WithMeasures(0, &Baselines{}, func(server *Server) Measure { return measures[server] })
}

const _objective = 200 * time.Millisecond

var _chioscoShares = []route.Share{{Service: "chiosco", Weight: 1}}

func newSteering(table *Table) *Steering {
	steering := New(Config{})
	steering.SetTable(table)
	return steering
}

// syn returns an opening packet of a client's flow; transmissions is the number of earlier ones.
func syn(port uint16, to packet.Endpoint, transmissions uint32) packet.Header {
	return packet.Header{Flow: flowOf(port, to), Flags: packet.SYN, Sequence: 1000, Acknowledged: transmissions}
}

func flowOf(port uint16, to packet.Endpoint) packet.Flow {
	return packet.Flow{Client: packet.Endpoint{Address: [4]byte{100, 64, 0, 7}, Port: port}, Service: to}
}

// data returns a packet with length bytes from sequence on, on the flow of syn.
func data(port uint16, to packet.Endpoint, cookie packet.Cookie, sequence, acked uint32, length int) packet.Header {
	return packet.Header{
		Flow: flowOf(port, to), Flags: packet.ACK, Cookie: cookie, Sequence: sequence, Acknowledged: acked,
		Length: length,
	}
}

func assertDecision(c *qt.C, decision Decision, action Action, reason Reason) {
	c.Helper()
	c.Assert(decision.Action.String(), qt.Equals, action.String())
	c.Assert(decision.Reason.String(), qt.Equals, reason.String())
}

func TestOpeningPacket(t *testing.T) {
	c := qt.New(t)
	c.Run("goes to the same server at every instance", func(c *qt.C) {
		for port := range uint16(50) {
			first := newSteering(tableOf(server(1, "a"), server(2, "a"), server(3, "a")))
			second := newSteering(tableOf(server(3, "a"), server(1, "a"), server(2, "a")))
			left := first.Decide(0, syn(port, _feeds, 0))
			right := second.Decide(0, syn(port, _feeds, 0))
			c.Assert(left.Server.ID, qt.Equals, right.Server.ID)
		}
	})
	c.Run("is dropped while no configuration is known", func(c *qt.C) {
		assertDecision(c, New(Config{}).Decide(0, syn(1, _feeds, 0)), Drop, NoConfig)
	})
	c.Run("is refused without a route", func(c *qt.C) {
		assertDecision(c, newSteering(tableOf(server(1, "a"))).Decide(0, syn(1, _unrouted, 0)), Reset, NoRoute)
	})
	c.Run("is dropped without a route if a newer configuration may have one", func(c *qt.C) {
		steering := newSteering(tableOf(server(1, "a")))
		assertDecision(c, steering.Decide(_maxTableAge+1, syn(1, _unrouted, 0)), Drop, Stale)
	})
	c.Run("is refused without a server", func(c *qt.C) {
		assertDecision(c, newSteering(tableOf()).Decide(0, syn(1, _feeds, 0)), Reset, NoServer)
	})
	c.Run("is dropped without a server while servers may still register", func(c *qt.C) {
		table := tableOf()
		table.AllRegistered = false
		assertDecision(c, newSteering(table).Decide(0, syn(1, _feeds, 0)), Drop, NoServer)
	})
	c.Run("goes to another service of the route if one has no server", func(c *qt.C) {
		table := tableOf(server(1, "a"))
		table.Routes[_feeds].Shares = []route.Share{{Service: "stampa", Weight: 99}, {Service: "chiosco", Weight: 1}}
		for port := range uint16(20) {
			assertDecision(c, newSteering(table).Decide(0, syn(port, _feeds, 0)), Forward, NewFlow)
		}
	})
}

func TestRetransmittedOpeningPacket(t *testing.T) {
	c := qt.New(t)
	c.Run("goes to the same server while its answer may be on the way", func(c *qt.C) {
		steering := newSteering(tableOf(server(1, "a"), server(2, "a"), server(3, "a"), server(4, "a")))
		first := steering.Decide(0, syn(1, _feeds, 0))
		// Both packets were queued at a busy instance.
		second := steering.Decide(time.Millisecond, syn(1, _feeds, 1))
		assertDecision(c, second, Forward, RetransmittedOpening)
		c.Assert(second.Server.ID, qt.Equals, first.Server.ID)
	})
	c.Run("goes to another server if the first one does not answer", func(c *qt.C) {
		for port := range uint16(50) {
			steering := newSteering(tableOf(server(1, "a"), server(2, "a"), server(3, "a"), server(4, "a")))
			first := steering.Decide(0, syn(port, _feeds, 0))
			second := steering.Decide(200*time.Millisecond, syn(port, _feeds, 1))
			assertDecision(c, second, Forward, NextServer)
			c.Assert(second.Server.ID, qt.Not(qt.Equals), first.Server.ID)
			c.Assert(second.StallDetected, qt.IsTrue)
		}
	})
	c.Run("goes to another server even if it reaches another instance", func(c *qt.C) {
		for port := range uint16(50) {
			servers := []*measuredServer{server(1, "a"), server(2, "a"), server(3, "a"), server(4, "a")}
			first := newSteering(tableOf(servers...)).Decide(0, syn(port, _feeds, 0))
			second := newSteering(tableOf(servers...)).Decide(0, syn(port, _feeds, 1))
			c.Assert(second.Server.ID, qt.Not(qt.Equals), first.Server.ID)
		}
	})
}

func TestEstablishedFlow(t *testing.T) {
	c := qt.New(t)
	c.Run("follows its cookie although other servers are preferred", func(c *qt.C) {
		leaving := server(1, "a")
		leaving.Condition = Leaving
		steering := newSteering(tableOf(leaving, server(2, "a")))
		decision := steering.Decide(0, data(1, _feeds, 1, 1001, 500, 100))
		assertDecision(c, decision, Forward, Established)
		c.Assert(decision.Server.ID, qt.Equals, leaving.ID)
	})
	c.Run("without a cookie is dropped", func(c *qt.C) {
		assertDecision(c, newSteering(tableOf(server(1, "a"))).Decide(0, data(1, _feeds, 0, 1001, 500, 0)), Drop, NoCookie)
	})
	c.Run("of an unknown server is reset only if every live server is known", func(c *qt.C) {
		unknown := data(1, _feeds, 9, 1001, 500, 10)
		settled, unsettled := tableOf(server(1, "a")), tableOf(server(1, "a"))
		settled.ConfirmedAt, unsettled.ConfirmedAt, unsettled.AllRegistered = 2, 2, false
		steering := newSteering(tableOf(server(1, "a")))
		assertDecision(c, steering.Decide(1, unknown), Drop, UnknownServer)
		steering.SetTable(unsettled)
		assertDecision(c, steering.Decide(3, unknown), Drop, UnknownServer)
		steering.SetTable(settled)
		assertDecision(c, steering.Decide(3, unknown), Reset, ServerGone)
		assertDecision(c, steering.Decide(_maxTableAge+2, unknown), Drop, UnknownServer)
	})
	c.Run("of a dead server is reset", func(c *qt.C) {
		dead := server(1, "a")
		dead.Condition = Dead
		assertDecision(c, newSteering(tableOf(dead)).Decide(0, data(1, _orders, 1, 1001, 500, 10)), Reset, ServerDead)
	})
}

// TestServerThatRegisteredAfterTheTable sends packets of a flow that another instance has just opened to a new server.
func TestServerThatRegisteredAfterTheTable(t *testing.T) {
	c := qt.New(t)
	steering := newSteering(tableOf(server(1, "a")))
	for _, now := range []time.Duration{time.Second, 1200 * time.Millisecond, 2 * time.Second} {
		assertDecision(c, steering.Decide(now, data(1, _feeds, 9, 1001, 500, 10)), Drop, UnknownServer)
	}
	c.Run("is used once it is known", func(c *qt.C) {
		steering.SetTable(tableOf(server(1, "a"), server(9, "a")))
		decision := steering.Decide(2100*time.Millisecond, data(1, _feeds, 9, 1001, 500, 10))
		c.Assert(decision.Action, qt.Equals, Forward)
	})
}

func TestUnreachableServer(t *testing.T) {
	c := qt.New(t)
	unreachable := func() *Table {
		cutOff := server(1, "a")
		cutOff.Condition = Unreachable
		return tableOf(cutOff)
	}
	c.Run("gets no new request", func(c *qt.C) {
		steering := newSteering(unreachable())
		assertDecision(c, steering.Decide(0, data(1, _orders, 1, 1001, 500, 10)), Reset, ServerUnreachable)
	})
	c.Run("keeps a pending request that is not idempotent", func(c *qt.C) {
		steering := newSteering(tableOf(server(1, "a")))
		steering.Decide(0, data(1, _orders, 1, 1001, 500, 10))
		steering.SetTable(unreachable())
		repeated := steering.Decide(200*time.Millisecond, data(1, _orders, 1, 1001, 500, 10))
		assertDecision(c, repeated, Forward, Established)
	})
	c.Run("loses a pending request that the client can retry", func(c *qt.C) {
		steering := newSteering(tableOf(server(1, "a")))
		steering.Decide(0, data(1, _feeds, 1, 1001, 500, 10))
		steering.SetTable(unreachable())
		repeated := steering.Decide(200*time.Millisecond, data(1, _feeds, 1, 1001, 500, 10))
		assertDecision(c, repeated, Reset, ServerUnreachable)
	})
}

func TestObservation(t *testing.T) {
	c := qt.New(t)
	const (
		request = 100
		answer  = 40 * time.Millisecond
	)
	c.Run("an acknowledgement that advances is an answer", func(c *qt.C) {
		steering := newSteering(tableOf(server(1, "a")))
		steering.Decide(0, data(1, _feeds, 1, 1001, 500, request))
		decision := steering.Decide(answer, data(1, _feeds, 1, 1101, 700, 0))
		c.Assert(decision.Latency, qt.Equals, answer)
		c.Assert(decision.Kind, qt.Equals, route.Idempotent)
		observations := steering.Report(100 * time.Millisecond)
		c.Assert(observations, qt.HasLen, 1)
		c.Assert(observations[0].Answers, qt.Equals, 1)
		c.Assert(observations[0].Latency, qt.Equals, answer)
		c.Assert(observations[0].InProgress, qt.Equals, 0.4)
		c.Assert(observations[0].Retransmissions, qt.Equals, 0)
	})
	c.Run("reordered packets are not retransmissions", func(c *qt.C) {
		steering := newSteering(tableOf(server(1, "a")))
		steering.Decide(0, data(1, _orders, 1, 2201, 500, 50))
		late := steering.Decide(time.Millisecond, data(1, _orders, 1, 1001, 500, 1200))
		c.Assert(late.StallDetected, qt.IsFalse)
	})
	c.Run("the first retransmission marks a stall, an answer clears it", func(c *qt.C) {
		steering := newSteering(tableOf(server(1, "a")))
		steering.Decide(0, data(1, _feeds, 1, 1001, 500, request))
		repeated := steering.Decide(200*time.Millisecond, data(1, _feeds, 1, 1001, 500, request))
		c.Assert(repeated.StallDetected, qt.IsTrue)
		again := steering.Decide(600*time.Millisecond, data(1, _feeds, 1, 1001, 500, request))
		c.Assert(again.StallDetected, qt.IsFalse)
		c.Assert(steering.Report(700 * time.Millisecond)[0].Retransmissions, qt.Equals, 2)
		steering.Decide(800*time.Millisecond, data(1, _feeds, 1, 1101, 700, 0))
		c.Assert(steering.Report(900 * time.Millisecond)[0].Retransmissions, qt.Equals, 0)
	})
	c.Run("a request that its client gave up is not pending", func(c *qt.C) {
		steering := newSteering(tableOf(server(1, "a")))
		steering.Decide(0, data(1, _feeds, 1, 1001, 500, request))
		steering.Expire(1100 * time.Millisecond)
		steering.Report(1100 * time.Millisecond)
		c.Assert(steering.Report(2 * time.Second)[0].InProgress, qt.Equals, 0.0)
	})
	c.Run("an idle flow is removed", func(c *qt.C) {
		steering := newSteering(tableOf(server(1, "a")))
		steering.Decide(0, data(1, _feeds, 1, 1001, 500, request))
		steering.Expire(15*time.Second + 1)
		c.Assert(steering.FlowCount(), qt.Equals, 0)
	})
}

func TestSequenceNumbersWrap(t *testing.T) {
	c := qt.New(t)
	steering := newSteering(tableOf(server(1, "a")))
	steering.Decide(0, data(1, _feeds, 1, 0xFFFFFFF0, 0xFFFFFFF0, 100))
	steering.Decide(10*time.Millisecond, data(1, _feeds, 1, 84, 90, 0))
	c.Assert(steering.Report(100 * time.Millisecond)[0].Answers, qt.Equals, 1)
}

func TestResetFlows(t *testing.T) {
	c := qt.New(t)
	// A request of a feed and one of an order are pending, one feed is idle and another one is half-open.
	newSteeringWithFlows := func() *Steering {
		steering := newSteering(tableOf(server(1, "a")))
		steering.Decide(0, data(1, _feeds, 1, 1001, 500, 10))
		steering.Decide(0, data(2, _orders, 1, 1001, 500, 10))
		steering.Decide(0, data(3, _feeds, 1, 1001, 500, 0))
		steering.Decide(0, syn(4, _feeds, 0))
		return steering
	}
	ports := func(headers []packet.Header) []uint16 {
		found := make([]uint16, 0, len(headers))
		for _, header := range headers {
			found = append(found, header.Flow.Client.Port)
			c.Check(header.Acknowledged, qt.Equals, uint32(500))
		}
		slices.Sort(found)
		return found
	}
	c.Run("resets every flow of a dead server, including idle ones", func(c *qt.C) {
		headers := newSteeringWithFlows().ResetFlows(time.Second, map[packet.Cookie]Condition{1: Dead})
		c.Assert(ports(headers), qt.DeepEquals, []uint16{1, 2, 3})
	})
	c.Run("resets only flows of an unreachable server with a retryable request", func(c *qt.C) {
		headers := newSteeringWithFlows().ResetFlows(time.Second, map[packet.Cookie]Condition{1: Unreachable})
		c.Assert(ports(headers), qt.DeepEquals, []uint16{1})
	})
	c.Run("keeps flows of other servers", func(c *qt.C) {
		c.Assert(newSteeringWithFlows().ResetFlows(time.Second, map[packet.Cookie]Condition{2: Dead}), qt.HasLen, 0)
	})
}
