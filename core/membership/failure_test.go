package membership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/core/membership"
)

const _detectionLimit = 3 * time.Second

func TestDeathIsKnownInTime(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(5) {
		fleet := newFleet(c, seed, 30, 3, membership.Disabled{})
		fleet.LossRate = 0.05
		fleet.Run(2 * time.Second)
		dead := fleet.Nodes[seed]
		dead.Killed = true
		killed := fleet.Now
		fleet.Run(2 * _detectionLimit)
		c.Assert(fleet.down, qt.DeepEquals, map[id.Member]int{dead.Record.Member: 29})
		c.Assert(fleet.lastDown.Sub(killed) <= _detectionLimit, qt.IsTrue, qt.Commentf("seed %d", seed))
		fleet.assertAgreement()
	}
}

func TestRelaysPreventSuspicionOverABrokenLink(t *testing.T) {
	c := qt.New(t)
	suspicions := func(disabled membership.Disabled) int {
		fleet := newFleet(c, 3, 6, 1, disabled)
		fleet.cutLink(fleet.Nodes[0], fleet.Nodes[1])
		fleet.Run(time.Minute)
		return fleet.suspected
	}
	c.Assert(suspicions(membership.Disabled{Relays: true}) > 0, qt.IsTrue)
	c.Assert(suspicions(membership.Disabled{}), qt.Equals, 0)
}

func TestRefutationPreventsFalseDeaths(t *testing.T) {
	c := qt.New(t)
	deaths := func(disabled membership.Disabled) int {
		fleet := newFleet(c, 4, 6, 1, disabled)
		fleet.cutLink(fleet.Nodes[0], fleet.Nodes[1])
		fleet.Run(time.Minute)
		return len(fleet.down)
	}
	c.Assert(deaths(membership.Disabled{Relays: true, Refutation: true}) > 0, qt.IsTrue)
	c.Assert(deaths(membership.Disabled{Relays: true}), qt.Equals, 0)
}

func TestPausedInstanceDropsItsOwnSuspicions(t *testing.T) {
	c := qt.New(t)
	deaths := func(disabled membership.Disabled) int {
		fleet := newFleet(c, 5, 6, 1, disabled)
		fleet.Run(2 * time.Second)
		observer, victim := fleet.Nodes[0], fleet.Nodes[1].Record
		victim.Status = membership.Suspect
		gossip := membership.Message{Kind: membership.Gossip, Sender: fleet.Nodes[2].Record}
		gossip.Records = []membership.Record{victim}
		fleet.Apply(observer, membership.MessageReceived{At: fleet.Now, From: gossip.Sender.Address, Message: gossip})
		gossip.Records = nil
		later := fleet.Now.Add(time.Millisecond)
		fleet.Apply(observer, membership.MessageReceived{At: later, From: gossip.Sender.Address, Message: gossip})
		fleet.Pause(observer)
		fleet.Run(5 * time.Second)
		fleet.resetCounts()
		fleet.Resume(observer)
		fleet.Run(5 * time.Second)
		return fleet.downBy[observer]
	}
	c.Assert(deaths(membership.Disabled{PauseCheck: true}) > 0, qt.IsTrue)
	c.Assert(deaths(membership.Disabled{}), qt.Equals, 0)
}

func TestPausedInstanceRejoinsInTheSameIncarnation(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(c, 6, 12, 3, membership.Disabled{})
	fleet.Run(2 * time.Second)
	paused := fleet.Nodes[4]
	fleet.Pause(paused)
	fleet.Run(10 * time.Second)
	c.Assert(fleet.down, qt.DeepEquals, map[id.Member]int{paused.Record.Member: 11})
	fleet.Resume(paused)
	fleet.Run(5 * time.Second)
	c.Assert(fleet.up, qt.DeepEquals, map[id.Member]int{paused.Record.Member: 11})
	c.Assert(fleet.down, qt.HasLen, 1)
	fleet.assertAgreement()
}

func TestIsolatedInstanceWithholdsDeaths(t *testing.T) {
	c := qt.New(t)
	deaths := func(disabled membership.Disabled) int {
		fleet := newFleet(c, 7, 12, 3, disabled)
		fleet.Run(2 * time.Second)
		alone := fleet.Nodes[0]
		for _, node := range fleet.Nodes[1:] {
			node.Killed = true
		}
		fleet.Run(8 * time.Second)
		return fleet.downBy[alone]
	}
	c.Assert(deaths(membership.Disabled{Isolation: true}) > 0, qt.IsTrue)
	c.Assert(deaths(membership.Disabled{}), qt.Equals, 0)
}

func TestCutDomainLosesNoLife(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(c, 8, 15, 3, membership.Disabled{})
	fleet.LossRate = 0.05
	fleet.Run(5 * time.Second)
	c.Assert(fleet.cut, qt.HasLen, 0)
	fleet.cutDomain("domain-0")
	fleet.Run(5 * time.Second)
	c.Assert(fleet.cut, qt.DeepEquals, map[id.Domain]int{"domain-0": 10, "domain-1": 5, "domain-2": 5})
	dead := fleet.Nodes[3]
	dead.Killed = true
	fleet.Run(time.Minute)
	c.Assert(fleet.down, qt.DeepEquals, map[id.Member]int{dead.Record.Member: 4})
	fleet.Blocked = nil
	fleet.Run(8 * time.Second)
	c.Assert(fleet.healed, qt.DeepEquals, map[id.Domain]int{"domain-0": 10, "domain-1": 4, "domain-2": 4})
	c.Assert(fleet.down, qt.DeepEquals, map[id.Member]int{dead.Record.Member: 14})
	c.Assert(fleet.up, qt.HasLen, 0)
	fleet.assertAgreement()
}
