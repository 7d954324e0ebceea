package epoch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"azureshift/core/epoch"
	"azureshift/core/id"
)

const _step = 100 * time.Millisecond

// fakePlatform stores one view. It can be down, lose answers and swap without a comparison.
type fakePlatform struct {
	view            epoch.View
	down            bool
	ignoresExpected bool
	lossRate        float64
	swaps           int
	reads           int
	history         []epoch.View
}

func (platform *fakePlatform) swap(propose epoch.Propose) epoch.Result {
	platform.swaps++
	if propose.Expected != platform.view.Number && !platform.ignoresExpected {
		return epoch.NotApplied{Current: platform.view}
	}
	platform.view = propose.View
	platform.history = append(platform.history, propose.View)
	return epoch.Applied{}
}

// fakeDomain connects the states of instances to a platform and to each other in steps of virtual time.
type fakeDomain struct {
	now      time.Time
	rand     *rand.Rand
	platform *fakePlatform
	states   map[id.Member]*epoch.State
	live     []id.Member
	paused   map[id.Member]bool
	// calls are carried out in the next step. With holdCalls, calls to the platform go to heldCalls instead.
	calls       []func()
	heldCalls   []func()
	holdCalls   bool
	conflicts   int
	regressions int
	adopted     map[id.Member]id.Epoch
	disabled    epoch.Disabled
}

func newDomain(seed uint64, size int, disabled epoch.Disabled) *fakeDomain {
	domain := &fakeDomain{
		now: time.Unix(0, 0), rand: rand.New(rand.NewPCG(seed, seed)), platform: &fakePlatform{},
		states: map[id.Member]*epoch.State{}, paused: map[id.Member]bool{},
		adopted: map[id.Member]id.Epoch{}, disabled: disabled,
	}
	for number := range size {
		domain.start(id.Member{Instance: id.Instance(fmt.Sprintf("morbegno-%d", number)), Incarnation: 1})
	}
	domain.run(8 * time.Second)
	return domain
}

func (domain *fakeDomain) start(member id.Member) {
	config := epoch.Config{Self: member, Domain: "morbegno", Disabled: domain.disabled}
	domain.states[member] = epoch.New(config)
	domain.live = append(domain.live, member)
}

func (domain *fakeDomain) kill(member id.Member) {
	domain.live = slices.DeleteFunc(domain.live, func(live id.Member) bool { return live == member })
	delete(domain.states, member)
}

func (domain *fakeDomain) restart(member id.Member) {
	domain.kill(member)
	domain.start(id.Member{Instance: member.Instance, Incarnation: member.Incarnation + 1})
}

func (domain *fakeDomain) run(span time.Duration) {
	for range span / _step {
		domain.now = domain.now.Add(_step)
		calls := domain.calls
		domain.calls = nil
		for _, call := range calls {
			call()
		}
		for _, member := range slices.Clone(domain.live) {
			if !domain.paused[member] {
				domain.deliver(member, epoch.LiveMembers{At: domain.now, Members: domain.live})
			}
		}
	}
}

func (domain *fakeDomain) deliver(member id.Member, event epoch.Event) {
	state := domain.states[member]
	if state == nil {
		return
	}
	for _, effect := range state.Reduce(event) {
		switch effect := effect.(type) {
		case epoch.Propose:
			domain.call(func() { domain.propose(member, effect) })
		case epoch.Read:
			domain.call(func() { domain.read(member) })
		case epoch.Adopt:
			if effect.View.Number <= domain.adopted[member] {
				domain.regressions++
			}
			domain.adopted[member] = effect.View.Number
		case epoch.Publish:
			domain.calls = append(domain.calls, func() { domain.publish(effect.View) })
		case epoch.Conflict:
			domain.conflicts++
		}
	}
}

// call schedules a call to the platform for the next step, or holds it back.
func (domain *fakeDomain) call(call func()) {
	if domain.holdCalls {
		domain.heldCalls = append(domain.heldCalls, call)
		return
	}
	domain.calls = append(domain.calls, call)
}

func (domain *fakeDomain) propose(member id.Member, propose epoch.Propose) {
	answer := epoch.Swapped{At: domain.now, Proposed: propose.View, Result: epoch.OutcomeUnknown{}}
	if !domain.platform.down {
		answer.Result = domain.platform.swap(propose)
	}
	if domain.rand.Float64() < domain.platform.lossRate {
		answer.Result = epoch.OutcomeUnknown{}
	}
	domain.deliver(member, answer)
}

func (domain *fakeDomain) read(member id.Member) {
	domain.platform.reads++
	domain.deliver(member, epoch.ViewRead{At: domain.now, Found: !domain.platform.down, View: domain.platform.view})
}

// publish delivers a view to nine in ten of the instances with an older one; the rest miss it.
func (domain *fakeDomain) publish(view epoch.View) {
	for _, member := range slices.Clone(domain.live) {
		if !domain.paused[member] && domain.states[member].View().Number < view.Number && domain.rand.IntN(10) > 0 {
			domain.deliver(member, epoch.ViewReceived{At: domain.now, View: view})
		}
	}
}

// checkConverged returns an error unless all live members hold a view of exactly the live members and
// the numbers of views never skipped or went back.
func (domain *fakeDomain) checkConverged() error {
	if domain.conflicts > 0 || domain.regressions > 0 {
		return fmt.Errorf("%d conflicts, %d regressions", domain.conflicts, domain.regressions)
	}
	for index, view := range domain.platform.history {
		if view.Number != id.Epoch(index+1) {
			return fmt.Errorf("view %d is at position %d of the history", view.Number, index)
		}
	}
	for _, member := range domain.live {
		view := domain.states[member].View()
		if len(view.Members) != len(domain.live) {
			return fmt.Errorf("%v holds a view of %d members, but %d are live", member, len(view.Members), len(domain.live))
		}
		for _, other := range domain.live {
			if !view.Has(other) {
				return fmt.Errorf("%v holds a view without %v", member, other)
			}
		}
	}
	return nil
}
