package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/fleet"
	"azureshift/core/steer"
	"azureshift/core/target"
)

// restoredCluster returns a cluster whose store was restored a moment ago: lost are all changes that change makes.
func restoredCluster(c *qt.C, change func(cluster *cluster)) *cluster {
	cluster := startCluster(c, 21, 3, 2)
	cluster.checkFor(8 * time.Second)
	copied := cluster.copyStore()
	change(cluster)
	cluster.runFor(2 * time.Second)
	cluster.store.resets = true
	cluster.setStoreDown(true)
	cluster.runFor(time.Second)
	cluster.restoreStore(copied)
	cluster.setStoreDown(false)
	return cluster
}

// assertConfigured asserts that a configuration is in force on all instances.
func assertConfigured(c *qt.C, cluster *cluster) {
	c.Helper()
	for _, node := range cluster.orderedNodes() {
		c.Assert(node.table.Version, qt.Equals, cluster.store.config.Version, qt.Commentf("%s", node.self.Name))
	}
}

// assertConditionFor runs the cluster and asserts that all instances always hold a server in a condition.
func assertConditionFor(
	c *qt.C, cluster *cluster, server *backend, condition steer.Condition, span time.Duration,
) {
	c.Helper()
	for end := cluster.now + span; cluster.now < end; {
		cluster.runFor(50 * time.Millisecond)
		for _, node := range cluster.orderedNodes() {
			held := node.table.Servers[target.CookieOf(server.Number)].Condition
			c.Assert(held, qt.Equals, condition, qt.Commentf("%s at %s", node.self.Name, cluster.now))
		}
	}
}

func TestStoreRestoredFromACopy(t *testing.T) {
	c := qt.New(t)
	c.Run("puts configurations in force whose revision was given out before", func(c *qt.C) {
		cluster := restoredCluster(c, func(cluster *cluster) {
			cluster.configure(5)
			cluster.configure(7)
		})
		cluster.checkFor(4 * time.Second)
		for range 3 {
			cluster.configure(cluster.store.config.Version + 2)
			cluster.checkFor(time.Second)
			assertConfigured(c, cluster)
		}
	})
	c.Run("never offers a flow to a server whose leaving was lost", func(c *qt.C) {
		var leaving *backend
		cluster := restoredCluster(c, func(cluster *cluster) {
			leaving = cluster.servers["i-00000001"]
			cluster.drainServer(leaving)
		})
		assertConditionFor(c, cluster, leaving, steer.Leaving, 3*time.Second)
	})
	c.Run("keeps offering flows to a server whose registration was lost", func(c *qt.C) {
		var joined *backend
		cluster := restoredCluster(c, func(cluster *cluster) { joined = cluster.addServer("a", 99) })
		assertConditionFor(c, cluster, joined, steer.Usable, 5*time.Second)
	})
	c.Run("does not take a dead server for alive because the copy has it", func(c *qt.C) {
		var dead *backend
		cluster := restoredCluster(c, func(cluster *cluster) {
			dead = cluster.servers["i-00000002"]
			dead.alive = false
			cluster.lapseRegistration(dead)
		})
		assertConditionFor(c, cluster, dead, steer.Dead, 5*time.Second)
	})
	c.Run("logs the restore once and no server that did not change", func(c *qt.C) {
		cluster := restoredCluster(c, func(*cluster) {})
		before := countNotes(cluster, NoteServer)
		cluster.runFor(3 * time.Second)
		c.Assert(countNotes(cluster, NoteServer), qt.Equals, before)
		c.Assert(countNotes(cluster, NoteStoreRestored), qt.Equals, len(cluster.nodes))
	})
}

// TestLeaseOfALostRegistration loses the registration of an instance, whose lease the store then grants to another one.
func TestLeaseOfALostRegistration(t *testing.T) {
	c := qt.New(t)
	var added *node
	cluster := restoredCluster(c, func(cluster *cluster) {
		added = cluster.addNode("a", 4, 61)
		cluster.runFor(time.Second)
	})
	kept := cluster.orderedNodes()[0]
	lease := kept.state.registration.grant.Lease
	c.Run("registers again", func(c *qt.C) {
		lost := added.state.registration.grant
		cluster.checkFor(4 * time.Second)
		granted := added.state.registration.grant
		c.Assert(granted.Era, qt.Equals, lost.Era+1)
		registered, ok := added.state.catalog.Lease(added.self.Name)
		c.Assert(ok, qt.IsTrue)
		c.Assert(registered, qt.Equals, granted.Lease)
	})
	c.Run("keeps a lease that the copy has", func(c *qt.C) {
		c.Assert(kept.state.registration.grant.Lease, qt.Equals, lease)
		c.Assert(kept.state.registration.grant.Era, qt.Equals, cluster.store.revision.Era())
		c.Assert(kept.state.registration.ended, qt.IsFalse)
	})
	c.Run("does not revoke a lost lease", func(c *qt.C) {
		added.state.registration.ended = true
		for _, effect := range added.state.Reduce(Stopping{At: cluster.now}) {
			_, unregisters := effect.(Unregister)
			c.Assert(unregisters, qt.IsFalse)
		}
	})
}

// countNotes returns how many notes of a kind all instances have logged.
func countNotes(cluster *cluster, kind NoteKind) int {
	count := 0
	for _, node := range cluster.nodes {
		for _, note := range node.notes {
			if note.Kind == kind {
				count++
			}
		}
	}
	return count
}

// updateTo returns an update that names a newer configuration than the receiver has, and that carries no changes.
func updateTo(receiver, sender *node) fleet.Update {
	revision := receiver.state.catalog.Revision()
	return fleet.Update{
		From: sender.self, Relay: true, Connected: true, Base: revision, Revision: revision,
		Config: receiver.state.catalog.Routes().Version + 2,
	}
}

// assertFetch asserts that an instance is asked for its state, and no other one.
func assertFetch(c *qt.C, effects []Effect, from *node) {
	c.Helper()
	var asked []string
	for _, effect := range effects {
		if fetch, ok := effect.(Fetch); ok {
			asked = append(asked, fetch.From.String())
		}
	}
	c.Assert(asked, qt.DeepEquals, []string{from.self.Address.String()})
}

// TestConfigThatTheStoreLacks reads a configuration from a store that was restored from a copy without it.
func TestConfigThatTheStoreLacks(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 22, 2, 1)
	cluster.checkFor(8 * time.Second)
	receiver, sender := cluster.orderedNodes()[0], cluster.orderedNodes()[1]
	older := cluster.store.config
	receiver.state.Reduce(MessageReceived{At: cluster.now, Message: updateTo(receiver, sender)})
	effects := receiver.state.Reduce(ConfigRead{At: cluster.now, Config: &older})
	assertFetch(c, effects, sender)
}

// TestConfigWhileTheStoreRejectsTheInstance asks the relay at once where the store is known not to answer.
func TestConfigWhileTheStoreRejectsTheInstance(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 23, 2, 1)
	cluster.checkFor(8 * time.Second)
	receiver, sender := cluster.orderedNodes()[0], cluster.orderedNodes()[1]
	receiver.state.Reduce(ReadFailed{At: cluster.now})
	effects := receiver.state.Reduce(MessageReceived{At: cluster.now, Message: updateTo(receiver, sender)})
	assertFetch(c, effects, sender)
}

// TestRenewalDuringARestore renews a lease before the instance learns of the restore, which has kept the lease.
func TestRenewalDuringARestore(t *testing.T) {
	c := qt.New(t)
	cluster := restoredCluster(c, func(*cluster) {})
	kept := cluster.orderedNodes()[0]
	grant := kept.state.registration.grant
	kept.state.registration.renewedAt = -time.Minute
	kept.state.Reduce(RegisterFailed{At: cluster.now})
	cluster.checkFor(4 * time.Second)
	c.Assert(kept.state.registration.grant.Lease, qt.Equals, grant.Lease)
	c.Assert(kept.state.registration.grant.Era, qt.Equals, grant.Era+1)
}
