package entry

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/catalog"
	"azureshift/core/fleet"
	"azureshift/core/id"
	"azureshift/core/route"
)

// follower returns the instance that follows the store.
func (cluster *cluster) follower() *node {
	for _, node := range cluster.orderedNodes() {
		if node.alive && node.state.reading.active {
			return node
		}
	}
	cluster.c.Fatal("no instance follows the store")
	return nil
}

// assertConfiguredBy runs the cluster until a time and asserts that all live instances have the newest configuration.
func assertConfiguredBy(c *qt.C, cluster *cluster, at time.Duration) {
	c.Helper()
	cluster.runFor(at - cluster.now)
	for _, node := range cluster.orderedNodes() {
		if node.alive {
			c.Assert(node.table.Version, qt.Equals, cluster.store.config.Version, qt.Commentf("%s", node.self.Name))
		}
	}
}

// TestConfigurationWhoseHolderLeaves guards against an accepted configuration that never comes into force: the revision
// of the instances has passed it, their reads of the store got no answer, and the one instance that had it has left.
func TestConfigurationWhoseHolderLeaves(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		cluster := startCluster(c, 300+seed, 2, 4)
		cluster.checkFor(8 * time.Second)
		follower := cluster.follower()
		cluster.silenceConfigReads(follower)
		cluster.configureLarge(20)
		limit := cluster.now + _drainLimit
		cluster.runFor(500 * time.Millisecond)
		cluster.kill(follower)
		assertConfiguredBy(c, cluster, limit)
		cluster.checkFor(4 * time.Second)
	}
}

// assertRoutes asserts that the instances that understand all routes have those of the store in force.
func assertRoutes(c *qt.C, cluster *cluster) {
	c.Helper()
	for _, node := range cluster.orderedNodes() {
		if !node.isEarlierVersion {
			c.Assert(node.state.catalog.Routes(), qt.DeepEquals, cluster.store.config, qt.Commentf("%s", node.self.Name))
		}
	}
}

// TestConfigurationThatSomeUnderstand guards against instances that serve routes as an instance of an earlier version
// does, which does not understand them, because they have learned the configuration from it.
func TestConfigurationThatSomeUnderstand(t *testing.T) {
	c := qt.New(t)
	startMixed := func(c *qt.C, seed uint64, understanding ...id.Instance) *cluster {
		cluster := startCluster(c, seed, 2, 4)
		cluster.checkFor(8 * time.Second)
		for _, node := range cluster.orderedNodes() {
			node.isEarlierVersion = !slices.Contains(understanding, node.self.Name)
		}
		cluster.configureRoute(20, 2*time.Second)
		cluster.checkFor(_drainLimit)
		return cluster
	}
	c.Run("and others do not", func(c *qt.C) {
		for seed := range uint64(4) {
			cluster := startMixed(c, 320+seed, "a-2", "c-2")
			assertRoutes(c, cluster)
			cluster.configureRoute(21, 4*time.Second)
			cluster.checkFor(_drainLimit)
			assertRoutes(c, cluster)
		}
	})
	c.Run("and is learned at a start without the store", func(c *qt.C) {
		cluster := startMixed(c, 330)
		cluster.store.refused["c-3"] = true
		started := cluster.addNode("c", 3, 61)
		cluster.runFor(3 * time.Second)
		c.Assert(started.state.catalog.Routes().Incomplete, qt.IsTrue)
		asked := started.state.fetching.askedAt
		cluster.runFor(3 * time.Second)
		c.Assert(started.state.fetching.askedAt, qt.Equals, asked, qt.Commentf("asks an instance that has no more"))
		cluster.store.refused["c-3"] = false
		cluster.runFor(_drainLimit)
		assertRoutes(c, cluster)
	})
}

// TestConfigurationBehindALostMessage guards against an instance that counts itself up to date because the one from
// which it has the revision lacks the configuration as well.
func TestConfigurationBehindALostMessage(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 311, 2, 4)
	cluster.checkFor(8 * time.Second)
	node := cluster.follower()
	for _, other := range cluster.orderedNodes() {
		if other != node && other.self.Domain != node.self.Domain {
			node = other
			break
		}
	}
	state := node.state
	update := fleet.Update{
		From: catalog.Instance{Name: "x-1", Domain: "x", Address: node.self.Address}, Base: state.catalog.Revision(),
		Revision: state.catalog.Revision() + 1, Config: state.catalog.Routes().Version, Missing: 20,
	}
	before := state.reading.confirmedAt
	effects := state.Reduce(MessageReceived{At: cluster.now + 1, Message: update})
	c.Run("reads it from the store", func(c *qt.C) {
		c.Assert(countReads(effects), qt.Equals, 1)
	})
	c.Run("names it to others", func(c *qt.C) {
		c.Assert(state.updateFor(fleet.Receiver{}).Missing, qt.Equals, route.Version(20))
		c.Assert(state.View(cluster.now, StateID{}).Missing, qt.Equals, route.Version(20))
	})
	c.Run("does not count its state as the newest", func(c *qt.C) {
		followed := Followed{
			At: cluster.now + 2, RequestedAt: cluster.now + 1, After: update.Revision, Revision: update.Revision,
		}
		state.Reduce(followed)
		c.Assert(state.reading.confirmedAt, qt.Equals, before)
	})
	c.Run("asks again after a failure", func(c *qt.C) {
		state.Reduce(ConfigRead{At: cluster.now + 3})
		c.Assert(countReads(state.Reduce(Tick{At: cluster.now + _maxBackoff})), qt.Equals, 1)
	})
	c.Run("forgets it if the store and the holder have an older one", func(c *qt.C) {
		older := state.catalog.Routes()
		state.Reduce(ConfigRead{At: cluster.now + _maxBackoff + 1, Config: &older})
		c.Assert(state.missingConfig(), qt.Equals, route.Version(0))
	})
}

// TestConfigurationThatTheStoreSendsSlowly guards against a read of a configuration that uses up the convergence limit
// although another instance has the configuration.
func TestConfigurationThatTheStoreSendsSlowly(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 320, 2, 1)
	cluster.checkFor(8 * time.Second)
	receiver, sender := cluster.orderedNodes()[0], cluster.orderedNodes()[1]
	effects := receiver.state.Reduce(MessageReceived{At: cluster.now, Message: updateTo(receiver, sender)})
	c.Assert(countReads(effects), qt.Equals, 1)
	effects = receiver.state.Reduce(Tick{At: cluster.now + _drainLimit/10})
	assertNoFetch(c, effects)
	effects = receiver.state.Reduce(Tick{At: cluster.now + _drainLimit/4})
	assertFetch(c, effects, sender)
	c.Assert(countReads(effects), qt.Equals, 0)
}

// TestConfigurationNamedDuringARead guards against an instance that forgets a configuration because the answer to a
// read from before its time has an older one.
func TestConfigurationNamedDuringARead(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 321, 2, 1)
	cluster.checkFor(8 * time.Second)
	receiver, sender := cluster.orderedNodes()[0], cluster.orderedNodes()[1]
	update := updateTo(receiver, sender)
	receiver.state.Reduce(MessageReceived{At: cluster.now, Message: update})
	older := receiver.state.catalog.Routes()
	older.Version = update.Config
	update.Config++
	receiver.state.Reduce(MessageReceived{At: cluster.now, Message: update})
	receiver.state.Reduce(ConfigRead{At: cluster.now, Config: &older})
	receiver.state.Reduce(FetchFailed{At: cluster.now, From: sender.self.Address})
	c.Assert(receiver.state.missingConfig(), qt.Equals, update.Config)
	effects := receiver.state.Reduce(Tick{At: cluster.now + _maxBackoff})
	c.Assert(countReads(effects), qt.Equals, 1)
	receiver.state.Reduce(ConfigRead{At: cluster.now + _maxBackoff, Config: &older})
	receiver.state.Reduce(FetchFailed{At: cluster.now + _maxBackoff, From: sender.self.Address})
	c.Assert(receiver.state.missingConfig(), qt.Equals, route.Version(0))
}

func assertNoFetch(c *qt.C, effects []Effect) {
	c.Helper()
	for _, effect := range effects {
		_, fetches := effect.(Fetch)
		c.Assert(fetches, qt.IsFalse)
	}
}

// TestReadLimits checks that no call can use up the strictest limit alone, whatever the settings are.
func TestReadLimits(t *testing.T) {
	c := qt.New(t)
	for _, limit := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
		c.Run(limit.String(), func(c *qt.C) {
			state := New(Config{
				Limits: Limits{Drain: 2 * limit, Convergence: limit, MaxFlowLife: time.Minute, MinLease: time.Second},
				Random: func() float64 { return 0 },
			})
			list := state.Start(0)[0].(List)
			state.followStore()
			state.fetch(Address{})
			effects := state.takeEffects()
			follow, fetch := effects[0].(Follow), effects[1].(Fetch)
			read := state.readLimits()
			c.Assert(follow.Limits, qt.Equals, read)
			c.Assert(read.OpenSilence+read.NewSilence < limit, qt.IsTrue)
			c.Assert(read.Total < limit, qt.IsTrue)
			c.Assert(portion(limit, _configReadFraction)+fetch.Timeout < limit, qt.IsTrue)
			c.Assert(list.Limits.OpenSilence+list.Limits.NewSilence < limit, qt.IsTrue)
			c.Assert(fetch.Timeout < limit/2, qt.IsTrue)
		})
	}
}

func countReads(effects []Effect) int {
	count := 0
	for _, effect := range effects {
		if _, ok := effect.(ReadConfig); ok {
			count++
		}
	}
	return count
}
