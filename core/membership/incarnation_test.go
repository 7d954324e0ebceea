package membership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azureshift/core/id"
	"azureshift/core/membership"
	experiment "azureshift/experiment/membership"
)

func TestRestartReplacesTheOldLife(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(c, 21, 12, 3, membership.Disabled{})
	fleet.Run(2 * time.Second)
	old := fleet.Nodes[0]
	old.Killed = true
	restarted := fleet.Add(0, 2, old.Record.Domain, membership.Disabled{})
	fleet.Apply(restarted, membership.PeerList{At: fleet.Now, Peers: []membership.Peer{
		{Instance: fleet.Nodes[5].Record.Member.Instance, Address: fleet.Nodes[5].Record.Address},
	}})
	fleet.Run(5 * time.Second)
	c.Assert(fleet.up[restarted.Record.Member], qt.Equals, 11)
	c.Assert(fleet.down, qt.DeepEquals, map[id.Member]int{old.Record.Member: 11})
	fleet.assertAgreement()
}

func TestLateNewsRevivesNobody(t *testing.T) {
	c := qt.New(t)
	revivals := func(disabled membership.Disabled) int {
		fleet := newFleet(c, 22, 6, 1, disabled)
		fleet.Run(2 * time.Second)
		dead := fleet.Nodes[0]
		dead.Killed = true
		fleet.Run(5 * time.Second)
		late := membership.Message{Kind: membership.Gossip, Sender: fleet.Nodes[1].Record}
		late.Records = []membership.Record{dead.Record}
		fleet.Apply(fleet.Nodes[2], membership.MessageReceived{At: fleet.Now, From: late.Sender.Address, Message: late})
		fleet.Run(5 * time.Second)
		return len(fleet.up)
	}
	c.Assert(revivals(membership.Disabled{Tombstones: true}) > 0, qt.IsTrue)
	c.Assert(revivals(membership.Disabled{}), qt.Equals, 0)
}

func TestTombstonesAreBounded(t *testing.T) {
	c := qt.New(t)
	state := membership.New(membership.Config{Self: id.Member{Instance: "a", Incarnation: 1}, MaxTombstones: 10})
	at := time.Unix(0, 0)
	for number := range 1000 {
		record := membership.Record{Status: membership.Dead}
		record.Member = id.Member{Instance: id.Instance(rune('b' + number)), Incarnation: 1}
		at = at.Add(time.Minute)
		message := membership.Message{Kind: membership.Gossip, Sender: record}
		state.Reduce(membership.MessageReceived{At: at, Message: message})
		c.Assert(state.Check(), qt.IsNil)
	}
}

func TestPlannedStopIsAnnouncedAndAcknowledged(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(c, 23, 12, 3, membership.Disabled{})
	fleet.LossRate = 0.05
	fleet.Run(2 * time.Second)
	leaving := fleet.Nodes[0]
	fleet.Apply(leaving, membership.Leave{At: fleet.Now})
	fleet.Run(time.Second)
	c.Assert(fleet.announced, qt.Equals, 1)
	fleet.Run(time.Second)
	c.Assert(fleet.departing, qt.Equals, 11)
	c.Assert(fleet.down, qt.HasLen, 0)
	c.Assert(fleet.Nodes[3].State.Live(), qt.Not(qt.Contains), leaving.Record.Member)
	fleet.Apply(leaving, membership.Exit{At: fleet.Now})
	fleet.Run(time.Second)
	c.Assert(fleet.announced, qt.Equals, 2)
	leaving.Killed = true
	fleet.Run(time.Second)
	c.Assert(fleet.down, qt.DeepEquals, map[id.Member]int{leaving.Record.Member: 11})
	c.Assert(fleet.suspected, qt.Equals, 0)
	fleet.assertAgreement()
}

// TestAnyFaultsEndInAgreement injects random kills, pauses, network partitions and restarts, and then checks that the
// member lists converge.
func TestAnyFaultsEndInAgreement(t *testing.T) {
	rapid.Check(t, func(run *rapid.T) {
		seed := rapid.Uint64().Draw(run, "seed")
		fleet := observe(experiment.NewFleet(seed, 12, 3, membership.Disabled{}))
		fleet.LossRate, fleet.DuplicateRate = 0.05, 0.05
		for range rapid.IntRange(1, 6).Draw(run, "faults") {
			fleet.injectFault(run)
			fleet.Run(time.Duration(rapid.IntRange(100, 6000).Draw(run, "wait")) * time.Millisecond)
		}
		fleet.Blocked, fleet.LossRate = nil, 0
		fleet.Run(20 * time.Second)
		if err := fleet.checkAgreement(); err != nil {
			run.Fatal(err)
		}
	})
}

func (fleet *fleet) injectFault(run *rapid.T) {
	number := rapid.IntRange(0, 11).Draw(run, "victim")
	node := fleet.Nodes[number]
	switch rapid.IntRange(0, 4).Draw(run, "fault") {
	case 0:
		node.Killed = true
	case 1:
		fleet.Pause(node)
		fleet.Run(time.Duration(rapid.IntRange(1, 8).Draw(run, "pause")) * time.Second)
		fleet.Resume(node)
	case 2:
		fleet.cutDomain(node.Record.Domain)
	case 3:
		fleet.cutLink(node, fleet.Nodes[(number+3)%12])
	case 4:
		node.Killed = true
		incarnation := node.Record.Member.Incarnation + 1
		fleet.Nodes[number] = fleet.Add(number, incarnation, node.Record.Domain, membership.Disabled{})
		fleet.Nodes = fleet.Nodes[:12]
		fleet.Apply(fleet.Nodes[number], membership.PeerList{At: fleet.Now, Peers: fleet.peers()})
	}
}

func (fleet *fleet) peers() []membership.Peer {
	peers := make([]membership.Peer, 0, len(fleet.Nodes))
	for _, node := range fleet.Nodes {
		peers = append(peers, membership.Peer{Instance: node.Record.Member.Instance, Address: node.Record.Address})
	}
	return peers
}

func TestRestartOfAWholeDomainFitsDatagrams(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(c, 24, 90, 3, membership.Disabled{})
	fleet.LossRate, fleet.MeasureBytes = 0.05, true
	fleet.Run(2 * time.Second)
	before := fleet.Nodes
	fleet.Nodes = nil
	for number, node := range before {
		if node.Record.Domain != "domain-0" {
			fleet.Nodes = append(fleet.Nodes, node)
			continue
		}
		node.Killed = true
		restarted := fleet.Add(number, 2, node.Record.Domain, membership.Disabled{})
		fleet.Apply(restarted, membership.PeerList{At: fleet.Now, Peers: fleet.peers()})
	}
	fleet.Run(10 * time.Second)
	fleet.assertAgreement()
	c.Assert(fleet.LongestMessage <= membership.MaxMessage, qt.IsTrue, qt.Commentf("%d bytes", fleet.LongestMessage))
}

func TestContactCarriesTheTimeOfTheProbe(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(c, 25, 6, 1, membership.Disabled{})
	fleet.MaxDelay = 400 * time.Millisecond
	answers := 0
	fleet.OnEffect = func(_ *experiment.Node, effect membership.Effect) {
		heartbeat, isContact := effect.(membership.Heartbeat)
		if isContact && !heartbeat.ProbeSentAt.IsZero() {
			answers++
			c.Assert(heartbeat.ProbeSentAt.Before(fleet.Now), qt.IsTrue)
		}
	}
	fleet.Run(5 * time.Second)
	c.Assert(answers > 0, qt.IsTrue)
}
