package placement

import (
	"fmt"

	"azureshift/core/flow"
	"azureshift/core/id"
)

// Invariant is an invariant of placement.
type Invariant uint8

const (
	// InvariantService requires that a flow is placed on a target of its own service.
	InvariantService Invariant = iota + 1
	// InvariantRecordedTarget requires that a flow with an exact record stays on its target unless that is down.
	InvariantRecordedTarget
	// InvariantDraining requires that a target that accepts no new work gets no flow known to be new.
	InvariantDraining
	// InvariantReplicated requires that a flow is placed off its home only if the runner-up has the state to find it
	// there.
	InvariantReplicated
)

// Violation is a placement that violates an invariant.
type Violation struct {
	Invariant Invariant
	Service   id.Service
	Flow      id.Flow
	Target    id.Target
}

// Error names the violated rule and the placement, and asks to report the fault.
func (violation Violation) Error() string {
	return fmt.Sprintf("placing flow %x of service %q on target %q broke rule %d: report it with the log of the instance",
		uint64(violation.Flow), violation.Service, violation.Target, violation.Invariant)
}

// checkInvariants reports each invariant that the placement violates.
func (state *State) checkInvariants(slotState *slotState, arrival FlowArrived, index flow.Target) {
	target := &state.targets[index]
	report := func(invariant Invariant) {
		state.emit(InvariantViolated{Violation: Violation{
			Invariant: invariant, Service: state.services[arrival.Service].name, Flow: arrival.Flow, Target: target.Name,
		}})
	}
	if target.service != arrival.Service {
		report(InvariantService)
	}
	if slotState == nil || !slotState.serving {
		return
	}
	existing, recorded := slotState.records[arrival.Flow]
	if recorded && existing.target != index && state.targets[existing.target].health != HealthDown {
		report(InvariantRecordedTarget)
	}
	if !target.active && !recorded && slotState.filtersBuilt {
		report(InvariantDraining)
	}
	replicated := slotState.destination == _noMember || recorded && existing.acked
	if index != slotState.home && !replicated && !slotState.matchesPreviousHome(index, arrival.Flow) {
		report(InvariantReplicated)
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
