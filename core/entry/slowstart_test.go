package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/catalog"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/steer"
)

const (
	_coldFlows     = 5
	_coldPeriod    = 15 * time.Second
	_arrivalPeriod = 10 * time.Millisecond
	// _copies is the number of times that an opening packet arrives, which a network may duplicate.
	_copies = 2
)

// arrivals holds the new flows of all instances to each server while it was in slow start.
type arrivals struct {
	cluster  *cluster
	port     uint16
	byServer map[id.Target][]time.Duration
	refused  int
	// steerings are the traffic threads; a restarted instance has a new one.
	steerings map[*node]*traffic
}

type traffic struct {
	*steer.Steering
	generation int
}

// startTraffic makes every live instance open flows as fast as clients under full load do, or faster.
func startTraffic(cluster *cluster) *arrivals {
	arrivals := &arrivals{
		cluster: cluster, byServer: make(map[id.Target][]time.Duration), steerings: make(map[*node]*traffic),
	}
	arrivals.schedule()
	return arrivals
}

func (arrivals *arrivals) schedule() {
	arrivals.cluster.after(_arrivalPeriod, func() {
		for _, node := range arrivals.cluster.orderedNodes() {
			if node.alive && node.table != nil {
				arrivals.open(node)
			}
		}
		arrivals.schedule()
	})
}

// open opens a flow at an instance and sends an early copy of its opening packet.
func (arrivals *arrivals) open(node *node) {
	running, ok := arrivals.steerings[node]
	if !ok || running.generation != node.generation {
		running = &traffic{Steering: steer.New(steer.Config{MaxFlows: 100}), generation: node.generation}
		arrivals.steerings[node] = running
	}
	running.SetTable(node.table)
	arrivals.port++
	header := packet.Header{
		Flow: packet.Flow{
			Client:  packet.Endpoint{Address: [4]byte{100, 64, 0, 1}, Port: arrivals.port},
			Service: packet.Endpoint{Port: 443},
		},
		Flags: packet.SYN, Sequence: uint32(arrivals.port),
	}
	for range _copies {
		decision := running.Decide(arrivals.cluster.now, header)
		if decision.Reason == steer.SlowStart && decision.Action == steer.Reset {
			arrivals.refused++
		}
		if decision.Action == steer.Forward {
			arrivals.arrive(decision.Server.ID)
		}
	}
	running.Expire(arrivals.cluster.now)
}

func (arrivals *arrivals) arrive(name id.Target) {
	server := arrivals.cluster.servers[name]
	if arrivals.cluster.now < server.startedAt+_coldPeriod && server.SlowStartLeft > 0 {
		arrivals.byServer[name] = append(arrivals.byServer[name], arrivals.cluster.now)
	}
}

// assertLimit asserts that no server in slow start got more flows than the limit in any second, and that they got any.
func (arrivals *arrivals) assertLimit(c *qt.C) {
	c.Helper()
	total := 0
	for name, times := range arrivals.byServer {
		total += len(times)
		for index := _coldFlows; index < len(times); index++ {
			c.Assert(times[index]-times[index-_coldFlows] > time.Second, qt.IsTrue, qt.Commentf(
				"%s got %d flows from %v to %v", name, _coldFlows+1, times[index-_coldFlows], times[index]))
		}
	}
	c.Assert(total > 0, qt.IsTrue)
}

// startColdCluster returns a cluster in which new servers are in slow start and new flows to them are limited.
func startColdCluster(c *qt.C, seed uint64) *cluster {
	cluster := startCluster(c, seed, 0, 2)
	cluster.slowStart, cluster.slowStartLeft = SlowStartLimit{Overshoot: 1.5, Slack: _coldFlows}, _coldPeriod
	for _, domain := range []id.Domain{"a", "b", "c"} {
		for number := range 5 {
			cluster.addNode(domain, number+1, 61)
		}
	}
	return cluster
}

// addColdServers starts a number of servers.
func (cluster *cluster) addColdServers(first, count int) {
	for index := range count {
		cluster.addServer([]id.Domain{"a", "b", "c"}[index%3], first+index)
	}
}

// TestSlowStartLimit guards against instances that together send servers in slow start more than the limit.
func TestSlowStartLimit(t *testing.T) {
	c := qt.New(t)
	c.Run("without faults", func(c *qt.C) {
		cluster := startColdCluster(c, 1)
		cluster.checkFor(12 * time.Second)
		arrivals := startTraffic(cluster)
		cluster.addColdServers(50, 9)
		cluster.checkFor(_coldPeriod)
		arrivals.assertLimit(c)
		c.Assert(arrivals.byServer, qt.HasLen, 9)
		c.Assert(arrivals.refused, qt.Equals, 0, qt.Commentf("beside warm servers"))
	})
	c.Run("with cold servers alone", func(c *qt.C) {
		cluster := startColdCluster(c, 2)
		cluster.checkFor(12 * time.Second)
		for _, server := range cluster.orderedServers() {
			cluster.drainServer(server)
		}
		cluster.addColdServers(50, 9)
		cluster.checkFor(_drainLimit)
		arrivals := startTraffic(cluster)
		cluster.checkFor(5 * time.Second)
		arrivals.assertLimit(c)
		c.Assert(arrivals.refused > 0, qt.IsTrue)
	})
	c.Run("not where the bounds are absent", func(c *qt.C) {
		cluster := startColdCluster(c, 3)
		cluster.slowStart = SlowStartLimit{}
		for _, node := range cluster.orderedNodes() {
			cluster.start(node)
		}
		cluster.checkFor(12 * time.Second)
		cluster.addColdServers(50, 9)
		cluster.checkFor(time.Second)
		for _, node := range cluster.orderedNodes() {
			c.Assert(node.table.CountCold(cluster.now), qt.Equals, 0)
		}
	})
}

// TestSharesAfterAGap guards against shares that an instance still uses after its knowledge was too old, or after a
// suspension, by a table from before.
func TestSharesAfterAGap(t *testing.T) {
	c := qt.New(t)
	hasShares := func(cluster *cluster, node *node) bool {
		shares := 0
		for _, server := range node.table.Servers {
			shares += server.SlowStartShare
		}
		return shares > 0 && cluster.now <= node.table.SharesUntil
	}
	start := func(c *qt.C) (*cluster, *node) {
		cluster := startColdCluster(c, 5)
		cluster.checkFor(12 * time.Second)
		cluster.addColdServers(50, 9)
		cluster.checkFor(time.Second)
		for _, node := range cluster.orderedNodes() {
			if hasShares(cluster, node) {
				return cluster, node
			}
		}
		c.Fatal("no instance has a share")
		return nil, nil
	}
	c.Run("end at once after a long suspension", func(c *qt.C) {
		cluster, node := start(c)
		cluster.reduce(node, Resumed{At: cluster.now, Suspended: _drainLimit})
		c.Assert(hasShares(cluster, node), qt.IsFalse)
	})
	c.Run("end earlier after a short suspension", func(c *qt.C) {
		cluster, node := start(c)
		const suspended = 500 * time.Millisecond
		for range 2 {
			until := node.table.SharesUntil
			cluster.reduce(node, Resumed{At: cluster.now, Suspended: suspended})
			c.Assert(node.table.SharesUntil <= until-suspended, qt.IsTrue,
				qt.Commentf("%v, %v before", node.table.SharesUntil, until))
		}
	})
	c.Run("are not used at the first confirmations after a gap", func(c *qt.C) {
		cluster, node := start(c)
		at := cluster.now + _drainLimit + time.Second
		for range 3 {
			cluster.now = at
			node.state.confirm(at)
			cluster.reduce(node, Tick{At: at})
			c.Assert(hasShares(cluster, node), qt.IsFalse, qt.Commentf("%v", at))
			at += time.Second
		}
	})
}

// TestSlowStartLimitInForce guards against a limit of settings that state one bound only: without the slack, and for a
// service without a rate, no instance would send any flow to a cold server.
func TestSlowStartLimitInForce(t *testing.T) {
	c := qt.New(t)
	for limit, expected := range map[SlowStartLimit]bool{
		{}: false, {Overshoot: 1.5}: false, {Slack: 5}: false, {Overshoot: 1.5, Slack: 5}: true,
	} {
		c.Check(limit.inForce(), qt.Equals, expected, qt.Commentf("%+v", limit))
	}
}

// reopenDomain evacuates a failure domain of a cluster of warm servers for a while, and withdraws that.
func reopenDomain(c *qt.C, seed uint64, slowStart, evacuationLimit time.Duration) *cluster {
	c.Helper()
	cluster := startColdCluster(c, seed)
	cluster.slowStartLeft = 0
	for _, node := range cluster.orderedNodes() {
		node.state.config.Limits.Evacuation = evacuationLimit
	}
	cluster.write("", catalog.Entry{}, &route.Config{
		Version: 4, IdleTimeout: 15 * time.Second, Routes: cluster.store.config.Routes,
		Services: []route.Service{{Name: "chiosco", SlowStart: slowStart}},
	})
	cluster.checkFor(12 * time.Second)
	c.Assert(cluster.orderedNodes()[0].table.CountCold(cluster.now), qt.Equals, 0)
	cluster.evacuate("b")
	cluster.checkFor(time.Second)
	cluster.reopen("b")
	cluster.checkFor(time.Second)
	return cluster
}

// TestReopenedDomain guards against flows without limit to servers of a failure domain whose evacuation was withdrawn,
// and whose registrations do not show their slow start yet.
func TestReopenedDomain(t *testing.T) {
	c := qt.New(t)
	const slowStart = 2 * time.Second
	c.Run("is in slow start for a while", func(c *qt.C) {
		cluster := reopenDomain(c, 4, slowStart, _evacuationLimit)
		node := cluster.orderedNodes()[0]
		reopenedAt, _ := node.state.catalog.Reopened("b")
		c.Assert(node.table.CountCold(cluster.now), qt.Equals, 2)
		for _, server := range node.table.Servers {
			if server.Domain == "b" {
				c.Assert(server.Warm, qt.IsFalse)
				c.Assert(server.ColdUntil, qt.Equals, reopenedAt+slowStart+_heartbeatInterval+_slowStartMargin)
			}
		}
		cluster.checkFor(slowStart + _heartbeatInterval + _slowStartMargin)
		c.Assert(node.table.CountCold(cluster.now), qt.Equals, 0)
		for _, server := range node.table.Servers {
			c.Assert(server.Warm, qt.IsTrue)
		}
	})
	c.Run("is in slow start for an instance that starts without the store", func(c *qt.C) {
		cluster := reopenDomain(c, 4, slowStart, _evacuationLimit)
		cluster.store.refused["c-9"] = true
		started := cluster.addNode("c", 9, 61)
		cluster.runFor(time.Second)
		c.Assert(started.table.CountCold(cluster.now), qt.Equals, 2)
	})
	c.Run("is not in slow start if the request had no effect", func(c *qt.C) {
		cluster := reopenDomain(c, 4, slowStart, 0)
		for _, node := range cluster.orderedNodes() {
			c.Assert(node.table.CountCold(cluster.now), qt.Equals, 0)
		}
	})
}

// changeInstances ends the registration of an instance, which goes on without it, is killed or restarts, or starts one
// that was killed.
func (cluster *cluster) changeInstances() {
	nodes := cluster.orderedNodes()
	changed := nodes[cluster.random.IntN(len(nodes))]
	if !changed.alive {
		cluster.start(changed)
		return
	}
	cluster.write("instance/"+string(changed.self.Name), leftEntry(changed), nil)
	switch cluster.random.IntN(3) {
	case 0:
		cluster.kill(changed)
	case 1:
		cluster.start(changed)
	}
}

// TestSlowStartLimitWithFaults replays random faults of instances, links and the store while new servers start.
func TestSlowStartLimitWithFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			cluster := startColdCluster(c, seed)
			cluster.loss = 0.01
			cluster.checkFor(12 * time.Second)
			arrivals := startTraffic(cluster)
			lastServer := 100
			copied := cluster.copyStore()
			for range 60 {
				lastServer++
				cluster.addServer([]id.Domain{"a", "b", "c"}[cluster.random.IntN(3)], lastServer)
				cluster.applyRandomEvent(&lastServer, &copied)
				cluster.changeInstances()
				cluster.checkFor(time.Duration(cluster.random.IntN(1500)) * time.Millisecond)
			}
			arrivals.assertLimit(c)
		})
	}
}
