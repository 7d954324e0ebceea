package placement

import (
	"fmt"

	"azureshift/core/flow"
	"azureshift/core/id"
)

// Rule is an invariant of placement.
type Rule uint8

const (
	// RuleService says that a flow stands on a target of its own service.
	RuleService Rule = iota + 1
	// RuleRecorded says that a recorded flow stays while its target lives.
	RuleRecorded
	// RuleDraining says that a target that takes no new work gets no flow known to be new.
	RuleDraining
	// RuleReplicated says that a flow stands off its home only if the runner-up can tell so.
	RuleReplicated
)

// Violation is a placement that breaks an invariant.
type Violation struct {
	Rule    Rule
	Service id.Service
	Flow    id.Flow
	Target  id.Target
}

// Error says which rule was broken and what to do.
func (violation Violation) Error() string {
	return fmt.Sprintf("placing flow %x of service %q on target %q broke rule %d: report it with the log of the instance",
		uint64(violation.Flow), violation.Service, violation.Target, violation.Rule)
}

// checkInvariants reports a placement that breaks an invariant.
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

// matchesPreviousHome says that whoever takes over would send the flow to the target by a previous home.
func (slotState *slotState) matchesPreviousHome(target flow.Target, hash id.Flow) bool {
	for _, previousHome := range slotState.previousHomes {
		if previousHome.target == target && (previousHome.matchAll || previousHome.filter.Has(hash)) {
			return true
		}
	}
	return false
}
