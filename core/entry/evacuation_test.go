package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/catalog"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/steer"
	"azureshift/core/store"
)

func evacuationKey(domain id.Domain) string {
	return "evacuate/" + string(domain)
}

// evacuate writes the operator's request that no new flow be sent to the servers of a failure domain.
func (cluster *cluster) evacuate(domain id.Domain) {
	if cluster.store.evacuatedAt == nil {
		cluster.store.evacuatedAt = make(map[id.Domain]time.Duration)
	}
	cluster.store.evacuatedAt[domain] = cluster.now
	cluster.write(evacuationKey(domain), catalog.Entry{Evacuated: domain}, nil)
}

// reopen withdraws that request.
func (cluster *cluster) reopen(domain id.Domain) {
	delete(cluster.store.evacuatedAt, domain)
	cluster.store.reopenedAt = cluster.now
	cluster.write(evacuationKey(domain), catalog.Entry{Reopened: domain}, nil)
}

// toggleEvacuation evacuates a random failure domain, or withdraws that, and may lose the instance that reads it.
// Several failure domains may be evacuated, and all of them.
func (cluster *cluster) toggleEvacuation() {
	domain := []id.Domain{"a", "b", "c"}[cluster.random.IntN(3)]
	if _, evacuated := cluster.store.evacuatedAt[domain]; evacuated {
		cluster.reopen(domain)
	} else {
		cluster.evacuate(domain)
	}
	if cluster.random.IntN(2) == 0 {
		cluster.loseFollowers()
	}
}

// restoreEvacuations starts the limits of the evacuations that a restored store has.
func (cluster *cluster) restoreEvacuations() {
	clear(cluster.store.evacuatedAt)
	for _, entry := range cluster.store.entries {
		if entry.Evacuated != "" {
			cluster.store.evacuatedAt[entry.Evacuated] = cluster.now
		}
	}
	cluster.store.reopenedAt = cluster.now
}

// checkEvacuation checks that a server in a pool is not in a failure domain that was evacuated longer ago than the
// limit.
func (cluster *cluster) checkEvacuation(node *node, server *steer.Server) {
	cluster.c.Helper()
	evacuatedAt, evacuated := cluster.store.evacuatedAt[server.Domain]
	late := evacuated && cluster.evacuationLimit > 0 && cluster.now-evacuatedAt > cluster.evacuationLimit
	cluster.c.Assert(late, qt.IsFalse, qt.Commentf("%s offers flows to %s of evacuated %s at %s",
		node.self.Name, server.ID, server.Domain, cluster.now))
}

// checkReopened checks that an instance does not hold back servers long after the last withdrawal.
func (cluster *cluster) checkReopened(node *node) {
	cluster.c.Helper()
	if cluster.now-cluster.store.reopenedAt <= _drainLimit {
		return
	}
	for _, server := range node.table.Servers {
		_, evacuated := cluster.store.evacuatedAt[server.Domain]
		cluster.c.Assert(server.Evacuated && !evacuated, qt.IsFalse, qt.Commentf("%s holds back %s at %s",
			node.self.Name, server.ID, cluster.now))
	}
}

// offeredDomains returns the failure domains to whose servers an instance offers new flows.
func offeredDomains(node *node) map[id.Domain]int {
	offered := make(map[id.Domain]int)
	for _, pool := range node.table.Pools {
		for _, zone := range pool.Zones {
			offered[zone.Domain] += len(zone.Servers)
		}
	}
	return offered
}

func assertOffered(c *qt.C, cluster *cluster, expected map[id.Domain]int) {
	c.Helper()
	for _, node := range cluster.orderedNodes() {
		if node.alive {
			c.Assert(offeredDomains(node), qt.DeepEquals, expected, qt.Commentf("%s at %s", node.self.Name, cluster.now))
		}
	}
}

// follower returns the instance that follows the store.
func follower(c *qt.C, cluster *cluster) *node {
	c.Helper()
	for _, node := range cluster.orderedNodes() {
		if node.alive && node.state.reading.active {
			return node
		}
	}
	c.Fatal("no follower")
	return nil
}

// startedCluster returns a cluster with four servers in each of three failure domains whose instances are informed.
func startedCluster(c *qt.C) *cluster {
	c.Helper()
	cluster := startCluster(c, 40, 4, 4)
	cluster.checkFor(5 * time.Second)
	return cluster
}

// TestEvacuation guards against instances that offer flows to servers of an evacuated failure domain, forget the flows
// of these servers, or never use them again.
func TestEvacuation(t *testing.T) {
	c := qt.New(t)
	all := map[id.Domain]int{"a": 4, "b": 4, "c": 4}
	c.Run("is in force everywhere within a second, as is its withdrawal", func(c *qt.C) {
		cluster := startedCluster(c)
		cluster.evacuate("b")
		cluster.runFor(time.Second)
		assertOffered(c, cluster, map[id.Domain]int{"a": 4, "c": 4})
		for _, node := range cluster.orderedNodes() {
			c.Assert(node.table.Servers, qt.HasLen, len(cluster.servers))
			c.Assert(node.table.Evacuated, qt.Equals, 1)
		}
		cluster.reopen("b")
		cluster.runFor(time.Second)
		assertOffered(c, cluster, all)
		c.Assert(countNotes(cluster, NoteEvacuated), qt.Equals, len(cluster.nodes))
		c.Assert(countNotes(cluster, NoteReopened), qt.Equals, len(cluster.nodes))
	})
	c.Run("of several failure domains", func(c *qt.C) {
		cluster := startedCluster(c)
		for _, domain := range []id.Domain{"c", "a", "b"} {
			cluster.evacuate(domain)
		}
		cluster.runFor(time.Second)
		assertOffered(c, cluster, map[id.Domain]int{})
		cluster.reopen("a")
		cluster.runFor(time.Second)
		assertOffered(c, cluster, map[id.Domain]int{"a": 4})
	})
}

// TestEvacuationAndChanges guards against an evacuation that covers only the servers and instances of the time of the
// request.
func TestEvacuationAndChanges(t *testing.T) {
	c := qt.New(t)
	all := map[id.Domain]int{"a": 4, "b": 4, "c": 4}
	c.Run("covers servers that register later", func(c *qt.C) {
		cluster := startedCluster(c)
		cluster.evacuate("d")
		cluster.runFor(time.Second)
		assertOffered(c, cluster, all)
		cluster.addServer("d", 99)
		cluster.runFor(time.Second)
		assertOffered(c, cluster, all)
		c.Assert(cluster.orderedNodes()[0].table.Servers[99].Evacuated, qt.IsTrue)
	})
	c.Run("reaches an instance that starts later", func(c *qt.C) {
		cluster := startedCluster(c)
		cluster.evacuate("b")
		cluster.runFor(time.Second)
		added := cluster.addNode("a", 5, 61)
		cluster.runFor(time.Second)
		c.Assert(offeredDomains(added), qt.DeepEquals, map[id.Domain]int{"a": 4, "c": 4})
		c.Assert(added.notes[0].Kind, qt.Equals, NoteEvacuated)
	})
	c.Run("does not end for suspect servers that no others replace", func(c *qt.C) {
		cluster := startedCluster(c)
		cluster.evacuate("b")
		cluster.runFor(time.Second)
		observer := cluster.orderedNodes()[0]
		cluster.saturated[observer.self.Name] = true
		for range 6 {
			cluster.reportTraffic(observer, true)
			cluster.runFor(500 * time.Millisecond)
		}
		c.Assert(countConditions(observer)[steer.Usable], qt.Equals, 0)
		c.Assert(offeredDomains(observer), qt.DeepEquals, map[id.Domain]int{"a": 4, "c": 4})
	})
}

// TestEvacuationDisabled shows the promise broken without the mechanism: settings without the bound.
func TestEvacuationDisabled(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(c, 41)
	cluster.evacuationLimit = 0
	cluster.configure(3)
	node := cluster.addNode("a", 1, 61)
	cluster.addServer("a", 1)
	cluster.runFor(3 * time.Second)
	cluster.evacuate("a")
	cluster.runFor(3 * time.Second)
	c.Run("has no effect on flows", func(c *qt.C) {
		c.Assert(offeredDomains(node), qt.DeepEquals, map[id.Domain]int{"a": 1})
		c.Assert(node.table.Evacuated, qt.Equals, 0)
		c.Assert(node.notes[len(node.notes)-1].Cause, qt.Equals, _causeNotBounded)
	})
	c.Run("ends with a change of the settings", func(c *qt.C) {
		limits := node.state.config.Limits
		limits.Evacuation = _evacuationLimit
		cluster.reduce(node, LimitsChanged{At: cluster.now, Limits: limits})
		c.Assert(offeredDomains(node), qt.DeepEquals, map[id.Domain]int{})
	})
}

// TestEvacuationBound guards against an instance that learns of an evacuation too late, as other limits are looser.
func TestEvacuationBound(t *testing.T) {
	c := qt.New(t)
	for _, bound := range []time.Duration{time.Second, _drainLimit} {
		for _, readFirst := range []time.Duration{0, 2 * _storeDelay} {
			c.Run("with "+bound.String()+" and a follower lost after "+readFirst.String(), func(c *qt.C) {
				cluster := newCluster(c, 42)
				cluster.evacuationLimit = bound
				cluster.populate(4, 4)
				cluster.checkFor(5 * time.Second)
				lost := follower(c, cluster)
				// Nothing that the follower sends in its last moments arrives.
				cluster.loss = 1
				cluster.evacuate("b")
				cluster.runFor(readFirst)
				c.Assert(lost.state.catalog.Evacuated("b"), qt.Equals, readFirst > 0)
				cluster.kill(lost)
				cluster.runFor(20 * time.Millisecond)
				cluster.loss = 0
				cluster.checkFor(2 * bound)
				assertOffered(c, cluster, map[id.Domain]int{"a": 4, "c": 4})
			})
		}
	}
}

// TestEvacuationAtACutInstance withdraws a request, or makes one, while a failure domain is cut off from the store.
func TestEvacuationAtACutInstance(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 43, 4, 4)
	cluster.checkFor(5 * time.Second)
	cluster.evacuate("a")
	cluster.checkFor(time.Second)
	cluster.togglePartition()
	cluster.reopen("a")
	cluster.evacuate("c")
	cluster.checkFor(6 * time.Second)
	c.Run("keeps what is known there in force", func(c *qt.C) {
		for _, node := range cluster.orderedNodes() {
			expected := map[id.Domain]int{"a": 4, "b": 4}
			if node.self.Domain == "b" {
				expected = map[id.Domain]int{"b": 4, "c": 4}
			}
			c.Assert(offeredDomains(node), qt.DeepEquals, expected, qt.Commentf("%s", node.self.Name))
		}
	})
	cluster.togglePartition()
	cluster.checkFor(6 * time.Second)
	c.Run("is learned after the cut", func(c *qt.C) {
		assertOffered(c, cluster, map[id.Domain]int{"a": 4, "b": 4})
	})
}

// TestEvacuationInARestoredStore guards against an instance whose evacuations differ from those of the restored store.
func TestEvacuationInARestoredStore(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 44, 3, 2)
	cluster.evacuate("a")
	cluster.checkFor(8 * time.Second)
	copied := cluster.copyStore()
	cluster.reopen("a")
	cluster.evacuate("b")
	cluster.runFor(2 * time.Second)
	assertOffered(c, cluster, map[id.Domain]int{"a": 2, "c": 2})
	cluster.restoreStore(copied)
	cluster.checkFor(4 * time.Second)
	assertOffered(c, cluster, map[id.Domain]int{"b": 2, "c": 2})
	for _, node := range cluster.orderedNodes() {
		_, reopened := node.state.catalog.Reopened("b")
		c.Assert(reopened, qt.IsTrue)
		c.Assert(node.table.Servers[packet.Cookie(1)].Evacuated, qt.IsTrue)
	}
}

// TestManyEvacuationsAtStart guards against an instance that writes a line of the log for each of any number of keys
// before it serves.
func TestManyEvacuationsAtStart(t *testing.T) {
	c := qt.New(t)
	const count = 20_000
	listed := Listed{At: 1, Revision: count}
	for number := range count {
		listed.Entries = append(listed.Entries, catalog.Entry{
			Revision: store.Revision(number + 1), Evacuated: id.Domain(fmt.Sprintf("%0200d", number)),
		})
	}
	state := New(Config{
		Limits: Limits{Drain: _drainLimit, Convergence: _drainLimit, Evacuation: _evacuationLimit},
		Random: func() float64 { return 0 },
	})
	state.Start(0)
	noted, evacuated := 0, 0
	for _, effect := range state.Reduce(listed) {
		switch effect := effect.(type) {
		case Note:
			if effect.Kind == NoteEvacuated {
				noted++
			}
		case Publish:
			evacuated = effect.Table.Evacuated
		}
	}
	c.Assert(noted, qt.Equals, _maxFirstEvacuations)
	c.Assert(evacuated, qt.Equals, count)
}
