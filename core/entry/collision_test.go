package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/detector"
	"azureshift/core/id"
	"azureshift/core/steer"
	"azureshift/core/target"
)

// TestRegistrationWithANumberInUse guards against an odd registration that takes the number of a live server, so that
// the server gets no new flows and the packets of its open flows go elsewhere.
func TestRegistrationWithANumberInUse(t *testing.T) {
	c := qt.New(t)
	for name, change := range map[string]func(odd *target.Target){
		"of a service that is not configured": func(odd *target.Target) { odd.Service, odd.StartTime = "unknown", 1 },
		"without a start time":                func(odd *target.Target) { odd.StartTime = 0 },
		"of a server that started later":      func(odd *target.Target) { odd.StartTime += 5000 },
		"of a server that started earlier":    func(odd *target.Target) { odd.StartTime -= 5000 },
	} {
		for odd, lapses := range map[id.Target]bool{"a-00000001": false, "z-00000001": false, "b-00000001": true} {
			c.Run(name+": "+string(odd), func(c *qt.C) {
				cluster := startCluster(c, 500, 2, 2)
				cluster.checkFor(5 * time.Second)
				live := cluster.servers["i-00000001"]
				claimed := &backend{Target: live.Target, alive: true, changedAt: cluster.now}
				claimed.ID = odd
				change(&claimed.Target)
				cluster.servers[odd] = claimed
				cluster.registerServer(claimed)
				cluster.runFor(2 * time.Second)
				if lapses {
					cluster.lapseRegistration(live)
					cluster.runFor(time.Second)
					cluster.registerServer(live)
					cluster.runFor(time.Second)
				}
				for _, node := range cluster.orderedNodes() {
					server := node.table.Servers[target.CookieOf(live.Number)]
					c.Assert(server.ID, qt.Equals, live.ID, qt.Commentf("%s", node.self.Name))
					c.Assert(server.Condition, qt.Equals, steer.Usable)
				}
			})
		}
	}
}

// TestNumberOfADeadRegistration guards against an odd registration that keeps the number of a server which registered
// after it, although nothing answers at its address.
func TestNumberOfADeadRegistration(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 501, 1, 2)
	odd := &backend{Target: cluster.servers["i-00000001"].Target, alive: false, changedAt: cluster.now}
	odd.ID, odd.Number = "a-00000063", 0x63
	cluster.servers[odd.ID] = odd
	cluster.registerServer(odd)
	cluster.runFor(5 * time.Second)
	live := &backend{Target: odd.Target, alive: true, changedAt: cluster.now}
	live.ID = "i-00000063"
	cluster.servers[live.ID] = live
	cluster.registerServer(live)
	cluster.runFor(time.Second)
	for _, node := range cluster.orderedNodes() {
		cluster.execute(node, node.state.reduceProbe(cluster.now, odd.ID, detector.ProbeRefused))
		server := node.table.Servers[target.CookieOf(live.Number)]
		c.Assert(server.ID, qt.Equals, live.ID, qt.Commentf("%s", node.self.Name))
	}
}

// TestNumberOfALapsedRegistration guards against an instance that starts after the registration of a server has lapsed
// and come back, and takes an odd entry with the server's number for the first one.
func TestNumberOfALapsedRegistration(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 503, 2, 2)
	cluster.checkFor(5 * time.Second)
	live := cluster.servers["i-00000001"]
	odd := &backend{Target: live.Target, changedAt: cluster.now}
	odd.ID = "a-00000001"
	cluster.servers[odd.ID] = odd
	cluster.registerServer(odd)
	cluster.runFor(time.Second)
	cluster.lapseRegistration(live)
	cluster.runFor(time.Second)
	cluster.registerServer(live)
	cluster.runFor(time.Second)
	added := cluster.addNode("a", 3, 10)
	cluster.runFor(2 * time.Second)
	for _, node := range append(cluster.orderedNodes(), added) {
		server := node.table.Servers[target.CookieOf(live.Number)]
		c.Assert(server.ID, qt.Equals, live.ID, qt.Commentf("%s", node.self.Name))
	}
}

// _sameCookie is a number whose cookie is that of the number 1.
const _sameCookie = 1<<32 | 0x9E3779B8

// TestFlowsBesideADeadRegistration guards against an instance that resets the flows of a live server because another
// entry with its number, or one with the same cookie, was found dead.
func TestFlowsBesideADeadRegistration(t *testing.T) {
	c := qt.New(t)
	for name, number := range map[string]target.Number{"same number": 1, "same cookie": _sameCookie} {
		c.Run(name, func(c *qt.C) {
			c.Assert(target.CookieOf(number), qt.Equals, target.CookieOf(1))
			cluster := startCluster(c, 502, 1, 2)
			cluster.runFor(5 * time.Second)
			odd := &backend{Target: cluster.servers["i-00000001"].Target, changedAt: cluster.now}
			odd.ID, odd.Number, odd.StartTime = "z-1", number, odd.StartTime+1
			cluster.servers[odd.ID] = odd
			cluster.registerServer(odd)
			cluster.runFor(time.Second)
			for _, node := range cluster.orderedNodes() {
				cluster.execute(node, node.state.reduceProbe(cluster.now, odd.ID, detector.ProbeRefused))
				c.Assert(node.state.detector.Condition(odd.ID), qt.Equals, steer.Dead)
				c.Assert(node.resets, qt.HasLen, 0, qt.Commentf("%s", node.self.Name))
			}
		})
	}
}
