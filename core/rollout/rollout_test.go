package rollout_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
	"azureshift/core/id"
	"azureshift/core/rollout"
)

const (
	_seeds           = 20
	_convergenceTime = 5 * time.Second // the requirement is convergence "within seconds" after the faults end
)

func TestFollowersConvergeUnderFaults(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(_seeds) {
		c.Run(fmt.Sprintf("seed %d", seed), func(c *qt.C) {
			network := newNetwork(c, seed, 3, 15, rollout.Disabled{})
			last := network.rollUnderFaults()
			c.Assert(network.violations, qt.HasLen, 0)
			c.Assert(network.countBehind(uint64(last.Version)), qt.Equals, 0)
		})
	}
}

// rollUnderFaults rolls ten versions under faults, heals the network and waits for convergence. A version can be rolled
// before the previous one has reached every node.
func (network *network) rollUnderFaults() bundle.Head {
	heads := []bundle.Head{network.roll(sampleBundle(1, 6, 2))}
	for version := id.Version(2); version <= 10; version++ {
		network.injectFaults(heads)
		heads = append(heads, network.roll(sampleBundle(version, 4+int(version%4), 2)))
		for range 3 {
			network.injectFaults(heads)
		}
	}
	network.heal()
	network.run(_convergenceTime)
	return heads[len(heads)-1]
}

func TestEachProtectionIsNeeded(t *testing.T) {
	c := qt.New(t)
	for name, disabled := range map[string]rollout.Disabled{
		"order":        {Ordering: true},
		"completeness": {Completeness: true},
		"verification": {Verification: true},
		"retry":        {Retry: true},
	} {
		c.Run(name, func(c *qt.C) {
			failed := false
			for seed := uint64(0); seed < _seeds && !failed; seed++ {
				network := newNetwork(c, seed, 3, 15, disabled)
				last := network.rollUnderFaults()
				failed = len(network.violations) > 0 || network.countBehind(uint64(last.Version)) > 0
			}
			c.Assert(failed, qt.IsTrue)
		})
	}
}

func TestDomainWithoutPlatformFetchesFromPeers(t *testing.T) {
	c := qt.New(t)
	network := newNetwork(c, 1, 3, 15, rollout.Disabled{})
	network.platformCut["domain-1"], network.platformCut["domain-2"] = true, true
	network.roll(sampleBundle(1, 6, 2))
	network.run(_convergenceTime)
	c.Assert(network.countBehind(1), qt.Equals, 0)
	network.platformCut["domain-0"] = true
	network.replaceFollower(network.nodes[4])
	network.run(_convergenceTime)
	c.Assert(network.countBehind(1), qt.Equals, 0, qt.Commentf("a new instance gets the bundle from its peers"))
}

func TestLoneInstanceWithoutPlatformAppliesNothing(t *testing.T) {
	c := qt.New(t)
	network := newNetwork(c, 1, 1, 1, rollout.Disabled{})
	network.platformCut["domain-0"] = true
	network.roll(sampleBundle(1, 2, 1))
	network.run(time.Minute)
	c.Assert(network.nodes[0].version, qt.Equals, id.Version(0))
	c.Assert(network.platformCalls <= 70, qt.IsTrue, qt.Commentf("%d calls in a minute", network.platformCalls))
	network.heal()
	network.run(_convergenceTime)
	c.Assert(network.countBehind(1), qt.Equals, 0)
}

func TestInvalidBundleIsRefusedWhole(t *testing.T) {
	c := qt.New(t)
	invalid := sampleBundle(2, 6, 2)
	invalid.Services[3].Targets[1].Address = invalid.Services[2].Targets[0].Address
	assertRefused := func(disabled rollout.Disabled, refusals, violations int) {
		network := newNetwork(c, 1, 1, 5, disabled)
		network.roll(sampleBundle(1, 6, 2))
		network.run(_convergenceTime)
		network.roll(invalid)
		network.run(_convergenceTime)
		c.Assert(network.refusals > 0, qt.Equals, refusals > 0)
		c.Assert(len(network.violations) > 0, qt.Equals, violations > 0)
		network.roll(sampleBundle(3, 6, 2))
		network.run(_convergenceTime)
		c.Assert(network.countBehind(3), qt.Equals, 0)
	}
	assertRefused(rollout.Disabled{}, 1, 0)
	assertRefused(rollout.Disabled{Validation: true}, 0, 1)
}

func TestSecondHeadOfAVersionIsRefused(t *testing.T) {
	c := qt.New(t)
	network := newNetwork(c, 1, 1, 3, rollout.Disabled{})
	first := network.roll(sampleBundle(1, 2, 1))
	network.run(_convergenceTime)
	node := network.nodes[0]
	second := network.roll(sampleBundle(1, 2, 2))
	effects := node.state.Reduce(rollout.HeadReceived{At: network.now, Head: second, From: rollout.Platform})
	c.Assert(effects, qt.HasLen, 1)
	var conflict *rollout.ConflictError
	c.Assert(errors.As(effects[0].(rollout.HeadRefused).Err, &conflict), qt.IsTrue)
	c.Assert(node.state.Head().Digest(), qt.Equals, first.Digest())
	again := node.state.Reduce(rollout.HeadReceived{At: network.now, Head: second, From: rollout.Platform})
	c.Assert(again, qt.HasLen, 0)
}

func TestPlatformCallsDoNotScaleWithMembers(t *testing.T) {
	c := qt.New(t)
	few, many := countPlatformCalls(c, 9, rollout.Disabled{}), countPlatformCalls(c, 90, rollout.Disabled{})
	c.Assert(many <= 2*few, qt.IsTrue, qt.Commentf("%d calls, but %d with ten times the members", few, many))
	all := countPlatformCalls(c, 90, rollout.Disabled{Election: true})
	c.Assert(all > 5*many, qt.IsTrue, qt.Commentf("%d calls if every member watches", all))
}

// TestFirstBundleTakesFewCalls guards against one platform call for each part: a watcher without a bundle must read
// many parts in one call. 6 watchers, 2 in each of 3 failure domains, may make 5 calls each.
func TestFirstBundleTakesFewCalls(t *testing.T) {
	c := qt.New(t)
	network := newNetwork(c, 1, 3, 30, rollout.Disabled{})
	network.roll(sampleBundle(1, 300, 2))
	network.run(_convergenceTime)
	c.Assert(network.countBehind(1), qt.Equals, 0)
	c.Assert(network.platformCalls <= 6*5, qt.IsTrue, qt.Commentf("%d calls", network.platformCalls))
}

// countPlatformCalls returns the number of calls to the platform for five rolls.
func countPlatformCalls(c *qt.C, members int, disabled rollout.Disabled) int {
	network := newNetwork(c, 1, 3, members, disabled)
	for version := id.Version(1); version <= 5; version++ {
		network.roll(sampleBundle(version, 6, 2))
		network.run(_convergenceTime)
		c.Assert(network.countBehind(uint64(version)), qt.Equals, 0)
	}
	return network.platformCalls
}

func TestOnlyChangedPartsAreFetched(t *testing.T) {
	c := qt.New(t)
	c.Assert(countPartFetches(c, rollout.Disabled{}), qt.Equals, 15)
	c.Assert(countPartFetches(c, rollout.Disabled{Reuse: true}) >= 15*50, qt.IsTrue)
}

// countPartFetches returns the number of part fetches for the change of one service among fifty.
func countPartFetches(c *qt.C, disabled rollout.Disabled) int {
	network := newNetwork(c, 1, 3, 15, disabled)
	network.roll(sampleBundle(1, 50, 2))
	network.run(_convergenceTime)
	before := network.partFetches
	network.roll(sampleBundle(2, 50, 2))
	network.run(_convergenceTime)
	c.Assert(network.countBehind(2), qt.Equals, 0)
	return network.partFetches - before
}

func BenchmarkDissemination(b *testing.B) {
	for _, members := range []int{16, 500, 2000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for b.Loop() {
				measureDissemination(qt.New(b), b, members)
			}
		})
	}
}

// measureDissemination measures the roll of a change of one service among 1,300. It reports virtual time, calls to the
// platform and bytes between members.
func measureDissemination(c *qt.C, b *testing.B, members int) {
	network := newNetwork(c, 1, 9, members, rollout.Disabled{})
	network.skipChecks = true
	network.roll(sampleBundle(1, 1300, 12))
	network.run(30 * time.Second)
	c.Assert(network.countBehind(1), qt.Equals, 0)
	b.ReportMetric(float64(network.platformCalls), "calls/first")
	calls, bytesSent := network.platformCalls, network.bytesSent
	for _, node := range network.nodes {
		node.bytesServed = 0
	}
	network.roll(sampleBundle(2, 1300, 12))
	network.run(10 * time.Second)
	c.Assert(network.countBehind(2), qt.Equals, 0)
	slices.Sort(network.applyDelays)
	busiest := 0
	for _, node := range network.nodes {
		busiest = max(busiest, node.bytesServed)
	}
	b.ReportMetric(float64(network.applyDelays[members/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(network.applyDelays[members-1].Microseconds())/1000, "max-ms")
	b.ReportMetric(float64(network.platformCalls-calls), "calls/roll")
	b.ReportMetric(float64(network.bytesSent-bytesSent)/float64(members), "B/member")
	b.ReportMetric(float64(busiest), "B/busiest")
	b.ReportMetric(0, "ns/op")
}
