package core

import (
	"slices"

	"azureshift/core/epoch"
	"azureshift/core/health"
	"azureshift/core/id"
	"azureshift/core/membership"
)

// Summary is the control state as shown to operators.
type Summary struct {
	Version id.Version
	// Member is set if this incarnation is in the current view of its failure domain.
	Member  bool
	Alive   int
	Suspect int
	Dead    int
	Leaving int
	// Exceptions counts the flows that are placed away from their home target, each by a record of its own. Queued
	// counts the requests that wait in queues.
	Exceptions int
	Queued     int
	Views      []epoch.View
	Targets    []TargetSummary
}

// TargetSummary is a target as shown to operators.
type TargetSummary struct {
	Service id.Service
	Name    id.Target
	// State is Active, Draining or Down.
	State string
	Slots int
}

const _stateDown = "Down"

// Summary returns the control state as shown to operators.
func (state *State) Summary() Summary {
	summary := Summary{Version: state.bundle.Version, Dead: len(state.down)}
	summary.Exceptions = state.flows.Exceptions()
	summary.Queued = state.requests.Queued()
	summary.Member = state.views[state.config.Domain].Has(state.config.Self)
	for _, record := range state.members.Members() {
		switch record.Status {
		case membership.Alive:
			summary.Alive++
		case membership.Suspect:
			summary.Suspect++
		case membership.Leaving:
			summary.Leaving++
		default:
			summary.Dead++
		}
	}
	for _, view := range state.views {
		summary.Views = append(summary.Views, view)
	}
	slices.SortFunc(summary.Views, func(left, right epoch.View) int { return compareDomains(left.Domain, right.Domain) })
	for _, service := range state.bundle.Services {
		for _, target := range service.Targets {
			listed := TargetSummary{Service: service.Name, Name: target.Name, State: string(target.Mode), Slots: target.Slots}
			healthTarget := health.Target{Service: service.Name, Name: target.Name}
			if state.targets.Condition(healthTarget) == health.ConditionDown {
				listed.State = _stateDown
			}
			summary.Targets = append(summary.Targets, listed)
		}
	}
	return summary
}
