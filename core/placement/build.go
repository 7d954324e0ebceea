package placement

import (
	"slices"
)

const (
	// _reviewsPerRebuild is the number of reviews after which filters are rebuilt, to find unused previous homes.
	_reviewsPerRebuild = 10
	// _keptIdleTimeouts is how many idle timeouts after the last change of home the state of a foreign slot is kept.
	_keptIdleTimeouts = 2
)

// maintainSlots requests the filters that can be built by now and purges outdated records.
func (state *State) maintainSlots() {
	state.maintainedAt = state.now
	state.forEachSlot(func(slotState *slotState) {
		if !slotState.serving {
			return
		}
		if !slotState.retained && slotState.handover == nil {
			state.buildFilters(slotState)
		}
		state.purgeUnseenRecords(slotState)
	})
}

// buildFilters requests filters of the flows at the slot's previous homes, once this instance has seen all of the
// slot's live flows, and reports whether a build is under way. Until the filters are installed no new flow is placed,
// except during a rebuild.
func (state *State) buildFilters(slotState *slotState) bool {
	previous := slotState.previousTargets()
	if slotState.building {
		return true
	}
	if slotState.filtersBuilt || len(slotState.previousHomes) == 0 || !state.allFlowsSeen(slotState) {
		return false
	}
	slotState.building = true
	slotState.fence = state.fence + 1
	state.updateRouteCode(slotState)
	state.slotQueries = append(state.slotQueries, SlotQuery{
		Service:       slotState.service.index,
		Slot:          slotState.slot,
		SlotBits:      slotState.service.plan.bits,
		Home:          slotState.home,
		PreviousHomes: previous,
	})
	return true
}

// installFilters replaces the slots' previous homes by the built filters and replicates them to the runner-up. Results
// of an outdated build are ignored; those of a rebuild only prune previous homes.
func (state *State) installFilters(built FiltersBuilt) {
	for _, slot := range built.Slots {
		slotState, known := state.services[slot.Service].slots[slot.Slot]
		if !known || !slotState.building || slotState.fence != built.Fence {
			continue
		}
		slotState.building = false
		if slotState.filtersBuilt {
			state.prunePreviousHomes(slotState, slot)
			continue
		}
		slotState.filtersBuilt = true
		slotState.previousHomes = nil
		for _, filter := range slot.Filters {
			if filter.Count > 0 {
				slotState.previousHomes = append(slotState.previousHomes, previousHomeOf(filter))
			}
		}
		for _, collision := range slot.Collisions {
			if _, exists := slotState.records[collision.Flow]; !exists {
				slotState.records[collision.Flow] = &record{target: collision.Target, seen: true}
			}
		}
		state.restartReplication(slotState)
		state.updateRouteCode(slotState)
	}
}

func previousHomeOf(built BuiltFilter) previousHome {
	return previousHome{target: built.Target, filter: built.Filter}
}

// prunePreviousHomes drops the previous homes that no flow is assigned to any more.
func (state *State) prunePreviousHomes(slotState *slotState, built BuiltSlot) {
	before := len(slotState.previousHomes)
	slotState.previousHomes = slices.DeleteFunc(slotState.previousHomes, func(previousHome previousHome) bool {
		return !slices.ContainsFunc(built.Filters, func(built BuiltFilter) bool {
			return built.Target == previousHome.target && built.Count > 0
		})
	})
	if len(slotState.previousHomes) < before {
		state.restartReplication(slotState)
		state.updateRouteCode(slotState)
	}
}

// purgeUnseenRecords drops the records of flows that have not been seen since this instance took over the slot, once
// the idle timeout has passed.
func (state *State) purgeUnseenRecords(slotState *slotState) {
	if !state.allFlowsSeen(slotState) || slotState.handover != nil {
		return
	}
	for _, flow := range slotState.flows() {
		if !slotState.records[flow].seen {
			state.removeRecord(slotState, flow)
			state.enqueue(slotState)
		}
	}
}

// reviewSlots periodically rebuilds filters, to find previous homes without flows, and drops the state of slots of
// which this instance is neither owner nor runner-up any more.
func (state *State) reviewSlots() {
	state.reviewCount++
	state.forEachSlot(func(slotState *slotState) {
		if slotState.serving {
			if slotState.filtersBuilt && state.reviewCount%_reviewsPerRebuild == 0 && len(slotState.previousHomes) > 0 {
				slotState.filtersBuilt = false
				state.buildFilters(slotState)
				slotState.filtersBuilt = true
			}
			return
		}
		key := state.partitionOf(slotState)
		pair := state.domains[key.domain].pairs[key.partition]
		expired := state.now.Sub(slotState.homeChangedAt) > _keptIdleTimeouts*state.config.IdleTimeout
		if expired && pair.owner != _self && pair.runnerUp != _self && slotState.source == _noMember {
			state.dropSlot(slotState)
		}
	})
}
