package epoch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azureshift/core/epoch"
	"azureshift/core/id"
)

func TestDeathCostsOneProposal(t *testing.T) {
	c := qt.New(t)
	proposals := func(disabled epoch.Disabled) int {
		domain := newDomain(1, 17, disabled)
		domain.platform.swaps = 0
		domain.kill(domain.live[3])
		domain.run(2 * time.Second)
		c.Assert(domain.checkConverged(), qt.IsNil)
		return domain.platform.swaps
	}
	c.Assert(proposals(epoch.Disabled{TurnDelay: true}) > 1, qt.IsTrue)
	c.Assert(proposals(epoch.Disabled{}), qt.Equals, 1)
}

func TestNextMemberStepsInForASilentProposer(t *testing.T) {
	c := qt.New(t)
	domain := newDomain(2, 9, epoch.Disabled{})
	for _, member := range domain.live[:3] {
		domain.paused[member] = true
	}
	domain.kill(domain.live[8])
	domain.run(5 * time.Second)
	c.Assert(domain.platform.view.Members, qt.HasLen, 8)
}

func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	c := qt.New(t)
	proposals := func(disabled epoch.Disabled) int {
		domain := newDomain(3, 5, disabled)
		domain.platform.swaps, domain.platform.lossRate = 0, 1
		domain.kill(domain.live[0])
		domain.run(time.Second)
		domain.platform.lossRate = 0
		domain.run(10 * time.Second)
		c.Assert(domain.checkConverged(), qt.IsNil)
		return domain.platform.swaps
	}
	c.Assert(proposals(epoch.Disabled{ReadBack: true}) > 1, qt.IsTrue)
	c.Assert(proposals(epoch.Disabled{}), qt.Equals, 1)
}

func TestPausedProposerCannotOverwrite(t *testing.T) {
	c := qt.New(t)
	overwritten := func(ignoresExpected bool) bool {
		domain := newDomain(4, 5, epoch.Disabled{})
		domain.platform.ignoresExpected = ignoresExpected
		domain.holdCalls = true
		domain.kill(domain.live[0])
		domain.run(time.Second)
		c.Assert(domain.heldCalls, qt.HasLen, 1)
		domain.holdCalls = false
		domain.run(10 * time.Second)
		before := domain.platform.view
		domain.start(id.Member{Instance: "tirano-9", Incarnation: 1})
		domain.run(5 * time.Second)
		domain.heldCalls[0]()
		return domain.platform.view.Number <= before.Number
	}
	c.Assert(overwritten(true), qt.IsTrue)
	c.Assert(overwritten(false), qt.IsFalse)
}

func TestNewcomerThatKnowsNobodyReplacesNobody(t *testing.T) {
	c := qt.New(t)
	replaced := func(disabled epoch.Disabled) bool {
		domain := newDomain(5, 5, disabled)
		newcomer := id.Member{Instance: "tirano-9", Incarnation: 1}
		domain.states[newcomer] = epoch.New(epoch.Config{Self: newcomer, Domain: "morbegno", Disabled: disabled})
		domain.deliver(newcomer, epoch.ViewReceived{At: domain.now, View: domain.platform.view})
		for range 30 {
			domain.now = domain.now.Add(_step)
			domain.deliver(newcomer, epoch.LiveMembers{At: domain.now, Members: []id.Member{newcomer}})
		}
		domain.run(_step)
		return len(domain.platform.view.Members) == 1
	}
	c.Assert(replaced(epoch.Disabled{NonMemberDelay: true}), qt.IsTrue)
	c.Assert(replaced(epoch.Disabled{}), qt.IsFalse)
}

func TestRestartOfAWholeDomainIsProposedInFewViews(t *testing.T) {
	c := qt.New(t)
	proposals := func(disabled epoch.Disabled) int {
		domain := newDomain(6, 60, disabled)
		domain.platform.swaps = 0
		for _, member := range slices.Clone(domain.live) {
			domain.restart(member)
			domain.run(_step)
		}
		domain.run(10 * time.Second)
		c.Assert(domain.checkConverged(), qt.IsNil)
		return domain.platform.swaps
	}
	const seconds = 6
	c.Assert(proposals(epoch.Disabled{StabilityWait: true}) > 10*seconds, qt.IsTrue)
	c.Assert(proposals(epoch.Disabled{}) <= 2*seconds, qt.IsTrue)
}

func TestViewStaysWhileThePlatformIsDown(t *testing.T) {
	c := qt.New(t)
	domain := newDomain(7, 17, epoch.Disabled{})
	before := domain.platform.view
	domain.platform.down = true
	domain.platform.swaps, domain.platform.reads = 0, 0
	domain.kill(domain.live[0])
	domain.run(time.Minute)
	for _, state := range domain.states {
		c.Assert(state.View(), qt.DeepEquals, before)
	}
	c.Assert(domain.platform.reads <= 17*10, qt.IsTrue, qt.Commentf("%d reads", domain.platform.reads))
	domain.platform.down = false
	domain.run(time.Minute)
	c.Assert(domain.checkConverged(), qt.IsNil)
}

// TestAnyFaultsEndInOneView restarts, kills and pauses members while answers are lost and the platform
// fails. After a time without faults, all live members hold the same view.
func TestAnyFaultsEndInOneView(t *testing.T) {
	rapid.Check(t, func(run *rapid.T) {
		seed := rapid.Uint64().Draw(run, "seed")
		domain := newDomain(seed, 7, epoch.Disabled{})
		domain.platform.lossRate = 0.3
		for range rapid.IntRange(1, 10).Draw(run, "faults") {
			injectFault(run, domain)
			domain.run(time.Duration(rapid.IntRange(1, 40).Draw(run, "steps")) * _step)
		}
		domain.platform.down, domain.platform.lossRate = false, 0
		clear(domain.paused)
		domain.holdCalls = false
		for _, call := range domain.heldCalls {
			call()
		}
		domain.run(2 * time.Minute)
		if err := domain.checkConverged(); err != nil {
			run.Fatal(fmt.Errorf("seed %d: %w", seed, err))
		}
	})
}

func injectFault(run *rapid.T, domain *fakeDomain) {
	member := domain.live[rapid.IntRange(0, len(domain.live)-1).Draw(run, "victim")]
	switch rapid.IntRange(0, 4).Draw(run, "fault") {
	case 0:
		domain.restart(member)
	case 1:
		if len(domain.live) > 2 {
			domain.kill(member)
		}
	case 2:
		domain.paused[member] = !domain.paused[member]
	case 3:
		domain.platform.down = !domain.platform.down
	case 4:
		domain.holdCalls = !domain.holdCalls
	}
}
