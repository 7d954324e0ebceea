package placement

import (
	"fmt"

	"azureshift/core/flow"
	"azureshift/core/id"
)

// Rule is an invariant of placement.
type Rule uint8

const (
	// RuleService requires that a flow is placed on a target of its own service.
	RuleService Rule = iota + 1
	// RuleRecorded requires that a flow with an exact record stays on its target unless that is down.
	RuleRecorded
	// RuleDraining requires that a target that accepts no new work gets no flow known to be new.
	RuleDraining
	// RuleReplicated requires that a flow is placed off its home only if the runner-up has the state to find it there.
	RuleReplicated
)

// Violation is a placement that violates an invariant.
type Violation struct {
	Rule    Rule
	Service id.Service
	Flow    id.Flow
	Target  id.Target
}

// Error names the violated rule and the placement, and asks to report the fault.
func (violation Violation) Error() string {
	return fmt.Sprintf("placing flow %x of service %q on target %q broke rule %d: report it with the log of the instance",
		uint64(violation.Flow), violation.Service, violation.Target, violation.Rule)
}

// checkInvariants reports each invariant that the placement violates.
func (state *State) checkInvariants(slotState *slotState, arrival FlowArrived, index flow.Target) {
	target := &state.targets[index]
	report := func(rule Rule) {
		state.emit(Violated{Violation: Violation{
			Rule: rule, Service: state.services[arrival.Service].name, Flow: arrival.Flow, Target: target.Name,
		}})
	}
	if target.service != arrival.Service {
		report(RuleService)
	}
	if slotState == nil || !slotState.serving {
		return
	}
	existing, recorded := slotState.records[arrival.Flow]
	if recorded && existing.target != index && state.targets[existing.target].health != HealthDown {
		report(RuleRecorded)
	}
	if !target.active && !recorded && slotState.filtersBuilt {
		report(RuleDraining)
	}
	replicated := slotState.destination == _noMember || recorded && existing.acked
	if index != slotState.home && !replicated && !slotState.matchesPreviousHome(index, arrival.Flow) {
		report(RuleReplicated)
	}
}

// matchesPreviousHome reports whether an instance that takes over the slot would find the flow at the target by the
// filter of a previous home.
func (slotState *slotState) matchesPreviousHome(target flow.Target, hash id.Flow) bool {
	for _, previousHome := range slotState.previousHomes {
		if previousHome.target == target && (previousHome.matchAll || previousHome.filter.Has(hash)) {
			return true
		}
	}
	return false
}
