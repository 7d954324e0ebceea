package steer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/packet"
	"azureshift/standin/budget"
)

// flood sends a packet of each of many flows. A cookie of zero makes it the opening one.
func flood(steering *Steering, flows int, cookie packet.Cookie) {
	for number := range flows {
		header := packet.Header{
			Flow:  packet.Flow{Client: packet.Endpoint{Port: 40001}, Service: _orders},
			Flags: packet.SYN, Sequence: uint32(number),
		}
		if cookie != 0 {
			header.Flags, header.Cookie, header.Length = packet.ACK, cookie, 100
		}
		header.Flow.Client.Address = [4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}
		steering.Decide(time.Second+time.Duration(number), header)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestFloodOfFlows guards against an instance that runs out of memory because clients open flows without end.
func TestFloodOfFlows(t *testing.T) {
	c := qt.New(t)
	const sent = 1_000_000
	for _, maxFlows := range []int{30_000, 48_000, 58_000, 76_000} {
		c.Run(fmt.Sprintf("with room for %d", maxFlows), func(c *qt.C) {
			steering := newSteering(tableOf(server(1, "a")))
			steering.config.MaxFlows = maxFlows
			before := heapInUse()
			flood(steering, sent, 1)
			taken := heapInUse() - before
			c.Assert(steering.FlowCount(), qt.Equals, maxFlows)
			c.Assert(steering.TakeUntracked(), qt.Equals, sent-maxFlows)
			c.Logf("%d bytes a flow", taken/uint64(maxFlows))
			c.Assert(taken < uint64(maxFlows*FlowSize), qt.IsTrue)
		})
	}
	c.Run("of opening packets", func(c *qt.C) {
		steering := newSteering(tableOf(server(1, "a")))
		steering.config.MaxFlows = 2
		flood(steering, sent, 0)
		c.Assert(steering.FlowCount(), qt.Equals, 2)
	})
	c.Run("does not end the flows that were there", func(c *qt.C) {
		steering := newSteering(tableOf(server(1, "a")))
		steering.config.MaxFlows = 1000
		flood(steering, 1, 1)
		flood(steering, sent, 1)
		request := packet.Header{
			Flow:  packet.Flow{Client: packet.Endpoint{Address: [4]byte{10}, Port: 40001}, Service: _orders},
			Flags: packet.ACK, Cookie: 1, Sequence: 100, Length: 100,
		}
		c.Assert(steering.Decide(2*time.Second, request).Action, qt.Equals, Forward)
		c.Assert(steering.flows[request.Flow].pending, qt.IsTrue)
	})
}

// TestFlowsOfManyDeadServers guards against a traffic thread that stands still because it looks through all flows for
// each server that a failure domain has lost.
func TestFlowsOfManyDeadServers(t *testing.T) {
	c := qt.New(t)
	const (
		servers = 16_000 / 3
		flows   = 15_000
	)
	measured := make([]*measuredServer, 0, servers)
	dead := make(map[packet.Cookie]Condition, servers)
	for number := range servers {
		measured = append(measured, server(number+1, "a"))
		dead[packet.Cookie(number+1)] = Dead
	}
	steering := newSteering(tableOf(measured...))
	for number := range flows {
		steering.Decide(time.Second, packet.Header{
			Flow: packet.Flow{
				Client:  packet.Endpoint{Address: [4]byte{10, 0, byte(number >> 8), byte(number)}, Port: 40001},
				Service: _orders,
			},
			Flags: packet.ACK, Cookie: packet.Cookie(number%servers + 1), Length: 100,
		})
	}
	var reset []packet.Header
	budget.AssertCheap(c, func() { reset = steering.ResetFlows(time.Second, dead) })
	c.Assert(reset, qt.HasLen, flows)
	c.Assert(steering.FlowCount(), qt.Equals, 0)
}
