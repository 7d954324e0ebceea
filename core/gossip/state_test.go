package gossip_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azureshift/core/gossip"
)

const (
	_instances        = 2000
	_domains          = 9
	_convergenceLimit = 6 * time.Second
	_seed             = 31
)

// TestValueReachesEveryMemberInTime covers a value that fits into a datagram and one that has to be fetched.
func TestValueReachesEveryMemberInTime(t *testing.T) {
	fleet := newFleet(_seed, _instances, _domains, gossip.Disabled{})
	fleet.lossRate = 0.05
	for _, length := range []int{300, 100_000} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			c := qt.New(t)
			key := gossip.Key(fmt.Sprint("value of ", length))
			fleet.sentBytes = 0
			fleet.set(7, gossip.Value{Key: key, Version: 3, Data: make([]byte, length)})
			elapsed := time.Duration(0)
			for fleet.countHolding(key, 3) < _instances && elapsed < _convergenceLimit {
				fleet.run(_step)
				elapsed += _step
			}
			c.Logf("seed %d: %d of %d instances after %v, %d B per instance, %d fetches",
				_seed, fleet.countHolding(key, 3), _instances, elapsed, fleet.sentBytes/_instances, fleet.fetches)
			c.Assert(fleet.countHolding(key, 3), qt.Equals, _instances)
			c.Assert(fleet.longestMessage <= gossip.MaxMessage, qt.IsTrue)
		})
	}
}

func TestPushAloneMissesMembers(t *testing.T) {
	c := qt.New(t)
	reached := func(disabled gossip.Disabled) int {
		fleet := newFleet(_seed, 500, _domains, disabled)
		fleet.lossRate = 0.05
		fleet.set(0, gossip.Value{Key: "head", Version: 1})
		fleet.run(_convergenceLimit)
		return fleet.countHolding("head", 1)
	}
	c.Assert(reached(gossip.Disabled{AntiEntropy: true}) < 500, qt.IsTrue)
	c.Assert(reached(gossip.Disabled{}), qt.Equals, 500)
}

func TestCutSidesConvergeOnTheHighestAfterHealing(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(_seed, 180, _domains, gossip.Disabled{})
	fleet.lossRate = 0.05
	isolated := func(number int) bool { return number%_domains < 3 }
	fleet.isCut = func(from, to int) bool { return isolated(from) != isolated(to) }
	fleet.set(0, gossip.Value{Key: "head", Version: 4, Data: []byte("older")})
	fleet.set(5, gossip.Value{Key: "head", Version: 5, Data: []byte("newer")})
	fleet.run(_convergenceLimit)
	c.Assert(fleet.countHolding("head", 4), qt.Equals, 60)
	c.Assert(fleet.countHolding("head", 5), qt.Equals, 120)
	fleet.isCut = nil
	fleet.run(_convergenceLimit)
	c.Assert(fleet.countHolding("head", 5), qt.Equals, 180)
}

func TestQuietFleetSendsNothing(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(_seed, 50, 3, gossip.Disabled{})
	for key := range 40 {
		fleet.set(key, gossip.Value{Key: gossip.Key(fmt.Sprint("key-", key)), Version: 1})
	}
	fleet.run(_convergenceLimit)
	fleet.sentBytes = 0
	fleet.run(_convergenceLimit)
	c.Assert(fleet.sentBytes, qt.Equals, 0)
}

// TestVersionsOnlyRise sets random versions at random members under loss of messages. After a time
// without either, all members hold the highest version of each key.
func TestVersionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(run *rapid.T) {
		seed := rapid.Uint64().Draw(run, "seed")
		fleet := newFleet(seed, 12, 3, gossip.Disabled{})
		fleet.lossRate = 0.2
		highest := map[gossip.Key]uint64{}
		for range rapid.IntRange(1, 80).Draw(run, "sets") {
			key := gossip.Key(fmt.Sprint("long-key-of-a-value-", rapid.IntRange(0, 60).Draw(run, "key")))
			version := rapid.Uint64Range(1, 9).Draw(run, "version")
			length := rapid.SampledFrom([]int{0, 900, 5000}).Draw(run, "length")
			highest[key] = max(highest[key], version)
			fleet.set(rapid.IntRange(0, 11).Draw(run, "member"),
				gossip.Value{Key: key, Version: version, Data: make([]byte, length)})
			fleet.run(_step)
		}
		fleet.lossRate = 0
		fleet.run(2 * _convergenceLimit)
		for key, version := range highest {
			if fleet.countHolding(key, version) != 12 {
				run.Fatalf("seed %d: %d of 12 hold %s in version %d", seed, fleet.countHolding(key, version), key, version)
			}
		}
		if fleet.longestMessage > gossip.MaxMessage {
			run.Fatalf("seed %d: message of %d bytes exceeds the maximum", seed, fleet.longestMessage)
		}
	})
}
