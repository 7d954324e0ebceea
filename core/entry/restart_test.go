package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/packet"
	"azureshift/core/steer"
	"azureshift/core/target"
)

// TestRestartFromALaggingPeer restarts an instance that the store rejects. The instance learns of the state from
// another one that has lost the store as well, and does not know that a server leaves and that another has joined.
func TestRestartFromALaggingPeer(t *testing.T) {
	c := qt.New(t)
	const lag = 8 * time.Second
	cluster := startCluster(c, 15, 3, 2)
	cluster.checkFor(10 * time.Second)
	restarted, peer := cluster.orderedNodes()[1], cluster.orderedNodes()[0]
	leaving := cluster.servers["i-00000001"]
	view := peer.state.View(cluster.now, StateID{})
	view.Age = lag
	cluster.store.refused[restarted.self.Name] = true
	cluster.drainServer(leaving)
	joined := cluster.addServer("a", 99)
	cluster.runFor(2 * time.Second)
	cluster.start(restarted)
	cluster.reduce(restarted, Fetched{At: cluster.now, From: peer.self.Address, View: view})
	c.Run("knows how old the state is", func(c *qt.C) {
		c.Assert(restarted.state.age() >= lag, qt.IsTrue)
		c.Assert(cluster.now-restarted.table.ConfirmedAt >= lag, qt.IsTrue)
	})
	c.Run("resets no flow of a server that it does not know", func(c *qt.C) {
		steering := steer.New(steer.Config{})
		steering.SetTable(restarted.table)
		decision := steering.Decide(cluster.now, packet.Header{Cookie: target.CookieOf(joined.Number), Length: 100})
		c.Assert(decision.Action.String(), qt.Equals, steer.Drop.String())
	})
	cluster.runFor(2 * time.Second)
	used := func() steer.Condition { return restarted.table.Servers[target.CookieOf(leaving.Number)].Condition }
	c.Run("learns what it lacks from others", func(c *qt.C) {
		c.Assert(used().String(), qt.Equals, steer.Leaving.String())
		c.Assert(restarted.state.age() < _drainLimit, qt.IsTrue)
	})
	c.Run("never goes back to what the peer knew", func(c *qt.C) {
		cluster.reduce(restarted, Fetched{At: cluster.now, From: peer.self.Address, View: view})
		cluster.runFor(time.Second)
		c.Assert(used().String(), qt.Equals, steer.Leaving.String())
	})
}
