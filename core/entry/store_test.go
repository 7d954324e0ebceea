package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/steer"
)

// TestUndetectedOutage simulates store outages that end before any call fails. Registrations lapse and return later; if
// they were taken for removals, no server would get new flows and all clients would be refused.
func TestUndetectedOutage(t *testing.T) {
	c := qt.New(t)
	// gracePeriod is how long a server without a registration gets new flows at least: the time counts from when the
	// registration was last known to exist, which is up to about 1.2 s before the removal is noticed.
	const gracePeriod = 1200 * time.Millisecond
	// reregistration is the longest time until registrations are back after the store's return.
	const reregistration = 2300 * time.Millisecond
	c.Run("keeps servers in use if all registrations lapse", func(c *qt.C) {
		cluster := startCluster(c, 31, 4, 4)
		cluster.checkFor(5 * time.Second)
		cluster.lapseAllRegistrations()
		cluster.checkAllUsable(reregistration)
		cluster.registerAllServers()
		cluster.checkAllUsable(5 * time.Second)
	})
	c.Run("keeps a server in use if its registration lapses while answers are late", func(c *qt.C) {
		cluster := startCluster(c, 33, 4, 4)
		cluster.checkFor(5 * time.Second)
		cluster.store.delay = 800 * time.Millisecond
		cluster.runFor(2 * time.Second)
		cluster.lapseRegistration(cluster.servers["i-00000003"])
		cluster.checkAllUsable(reregistration)
		cluster.registerAllServers()
		cluster.store.delay = 0
		cluster.checkAllUsable(5 * time.Second)
	})
	c.Run("keeps a server in use for a short time if only its registration lapses", func(c *qt.C) {
		cluster := startCluster(c, 34, 4, 4)
		cluster.checkFor(5 * time.Second)
		cluster.lapseRegistration(cluster.servers["i-00000003"])
		cluster.checkAllUsable(gracePeriod)
		cluster.registerAllServers()
		cluster.checkAllUsable(5 * time.Second)
	})
}

func (cluster *cluster) lapseAllRegistrations() {
	for _, server := range cluster.servers {
		cluster.lapseRegistration(server)
	}
}

func (cluster *cluster) registerAllServers() {
	for _, server := range cluster.servers {
		cluster.registerServer(server)
	}
}

// checkAllUsable checks every 100 ms that every server is usable at every instance.
func (cluster *cluster) checkAllUsable(span time.Duration) {
	const step = 100 * time.Millisecond
	for range span / step {
		cluster.runFor(step)
		for _, node := range cluster.nodes {
			for _, server := range node.table.Servers {
				cluster.c.Assert(server.Condition, qt.Equals, steer.Usable, qt.Commentf(
					"%s at %s of %s", server.ID, node.self.Name, cluster.now,
				))
			}
		}
	}
}

// TestRemovedRegistration checks that a live server whose registration is removed stops getting new flows within the
// drain limit.
func TestRemovedRegistration(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 32, 4, 4)
	cluster.checkFor(5 * time.Second)
	removed := cluster.servers["i-00000003"]
	cluster.endServer(removed)
	removed.alive = true
	cluster.checkFor(6 * time.Second)
}

func TestStoreOutage(t *testing.T) {
	c := qt.New(t)
	c.Run("leaves all instances ready and all servers in use", func(c *qt.C) {
		cluster := startCluster(c, 10, 4, 4)
		cluster.checkFor(5 * time.Second)
		cluster.setStoreDown(true)
		cluster.runFor(20 * time.Second)
		for _, node := range cluster.nodes {
			c.Assert(node.ready, qt.IsTrue)
			c.Assert(node.table.Pools["chiosco"].Zones, qt.HasLen, 3)
		}
		cluster.drainServer(cluster.servers["i-00000002"])
		cluster.setStoreDown(false)
		cluster.checkFor(20 * time.Second)
	})
	c.Run("costs few calls", func(c *qt.C) {
		cluster := startCluster(c, 11, 4, 4)
		cluster.checkFor(5 * time.Second)
		cluster.setStoreDown(true)
		cluster.runFor(3 * time.Second)
		before := cluster.store.calls
		cluster.runFor(20 * time.Second)
		// A call without an answer times out after a second, and the backoff after it is at least a second.
		c.Assert(cluster.store.calls-before <= 12*20/2, qt.IsTrue, qt.Commentf("%d calls", cluster.store.calls-before))
	})
	c.Run("does not keep a new instance from becoming ready", func(c *qt.C) {
		cluster := startCluster(c, 12, 4, 4)
		cluster.checkFor(5 * time.Second)
		cluster.setStoreDown(true)
		cluster.runFor(time.Second)
		added := cluster.addNode("a", 5, 61)
		cluster.runFor(2 * time.Second)
		c.Assert(added.ready, qt.IsTrue)
	})
}

func TestStoreRecovery(t *testing.T) {
	c := qt.New(t)
	c.Run("leads to one follower that stays", func(c *qt.C) {
		for seed := range uint64(20) {
			cluster := startCluster(c, 100+seed, 3, 2)
			cluster.store.resets = seed%2 == 0
			// Within the first second no instance has received a message from a relay yet.
			cluster.runFor(time.Duration(600+200*seed) * time.Millisecond)
			cluster.setStoreDown(true)
			cluster.runFor(time.Duration(300+50*seed) * time.Millisecond)
			cluster.setStoreDown(false)
			// The backoff after a failed call is at most two seconds.
			cluster.runFor(2500 * time.Millisecond)
			for range 20 {
				cluster.runFor(100 * time.Millisecond)
				c.Assert(countFollowers(cluster), qt.Equals, 1, qt.Commentf("seed %d", seed))
			}
		}
	})
	c.Run("keeps servers in use whose registrations lapsed", func(c *qt.C) {
		cluster := startCluster(c, 21, 3, 2)
		cluster.checkFor(5 * time.Second)
		cluster.setStoreDown(true)
		for _, server := range cluster.servers {
			cluster.lapseRegistration(server)
		}
		cluster.runFor(2 * time.Second)
		cluster.setStoreDown(false)
		for range 15 {
			cluster.runFor(100 * time.Millisecond)
			for _, node := range cluster.nodes {
				c.Assert(node.table.Pools["chiosco"], qt.IsNotNil, qt.Commentf("%s at %s", node.self.Name, cluster.now))
				c.Assert(node.table.Pools["chiosco"].Zones, qt.HasLen, 3)
			}
		}
		for _, server := range cluster.servers {
			cluster.registerServer(server)
		}
		cluster.checkFor(5 * time.Second)
	})
	c.Run("settles the state of all instances", func(c *qt.C) {
		cluster := startCluster(c, 13, 3, 2)
		cluster.checkFor(5 * time.Second)
		cluster.setStoreDown(true)
		cluster.runFor(6 * time.Second)
		for _, node := range cluster.nodes {
			c.Assert(node.table.AllRegistered, qt.IsFalse)
		}
		cluster.setStoreDown(false)
		cluster.checkFor(9 * time.Second)
		for _, node := range cluster.nodes {
			c.Assert(node.table.AllRegistered, qt.IsTrue, qt.Commentf("%s", node.self.Name))
		}
	})
}

// TestRollingStart checks instances that start one after the other, as in a rolling update. A new instance does not
// know whether a missing server has ended or lost its registration in an outage; this must not unsettle the others.
func TestRollingStart(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 35, 4, 4)
	cluster.checkFor(5 * time.Second)
	c.Run("leaves the other instances settled", func(c *qt.C) {
		for number := 5; number < 8; number++ {
			added := cluster.addNode("a", number, 61)
			for range 10 {
				cluster.runFor(100 * time.Millisecond)
				for _, node := range cluster.nodes {
					if node.reachableSince < time.Second {
						c.Assert(node.table.AllRegistered, qt.IsTrue, qt.Commentf("%s at %s", node.self.Name, cluster.now))
					}
				}
			}
			c.Assert(added.table.AllRegistered, qt.IsFalse)
		}
	})
	c.Run("settles the new instances after a time", func(c *qt.C) {
		cluster.checkFor(4 * time.Second)
		for _, node := range cluster.nodes {
			c.Assert(node.table.AllRegistered, qt.IsTrue, qt.Commentf("%s", node.self.Name))
		}
	})
}

func TestCompactedHistory(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 14, 4, 4)
	cluster.checkFor(5 * time.Second)
	// Pending long polls miss these changes, and the history is then compacted past them.
	cluster.store.waiters = nil
	cluster.drainServer(cluster.servers["i-00000003"])
	cluster.configure(20)
	cluster.store.compacted = cluster.store.revision
	cluster.store.history = nil
	cluster.checkFor(10 * time.Second)
}

// TestHistoryThatIsTooLarge guards against instances that ask for the same changes again and again because there are
// too many for one answer, while they take the store for lost.
func TestHistoryThatIsTooLarge(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		cluster := startCluster(c, 400+seed, 3, 4)
		cluster.checkFor(8 * time.Second)
		cluster.store.maxChanges = 8
		follower := cluster.follower()
		cluster.store.refused[follower.self.Name] = true
		for range 25 {
			cluster.configureLarge(cluster.store.config.Version + 1)
			cluster.runFor(60 * time.Millisecond)
		}
		cluster.drainServer(cluster.servers["i-00000003"])
		cluster.checkFor(4 * time.Second)
		clear(cluster.store.refused)
		cluster.checkFor(6 * time.Second)
		for _, node := range cluster.orderedNodes() {
			if node == follower {
				continue
			}
			for _, note := range node.notes {
				c.Assert(note.Kind, qt.Not(qt.Equals), NoteStoreLost, qt.Commentf("%s, seed %d", node.self.Name, seed))
			}
		}
	}
}

func TestLostRegistration(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 18, 3, 2)
	cluster.checkFor(5 * time.Second)
	revoked := cluster.orderedNodes()[0]
	cluster.write("instance/"+string(revoked.self.Name), leftEntry(revoked), nil)
	cluster.checkFor(3 * time.Second)
	_, registered := cluster.store.entries["instance/"+string(revoked.self.Name)]
	c.Assert(registered, qt.IsTrue)
}
