package placement

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/flow"
	"azureshift/core/id"
)

// service is a service with its plan and those of its slots that have state.
type service struct {
	index   int
	name    id.Service
	targets []targetSignature
	plan    *plan
	slots   map[id.Slot]*slotState
	// dirty reports that the service's part of the snapshot is out of date.
	dirty bool
}

// slotState is the state of a slot whose flows are not all at its home or whose owner is changing. A slot without
// state has all its flows at its home.
type slotState struct {
	service   *service
	slot      id.Slot
	partition uint16
	home      flow.Target
	// previousHomes are ordered from the oldest to the latest.
	previousHomes []previousHome
	records       map[id.Flow]*record
	// homeVersion and homeChangedAt are the bundle version and the time of the last change of home.
	homeVersion   id.Version
	homeChangedAt time.Time

	// serving reports that this instance currently owns the slot and places its flows.
	serving bool
	// servingSince is when this instance became the owner of the slot, zero if together with its partition.
	servingSince time.Time
	// filtersBuilt reports that this instance built the filters of all previous homes from its own flow table, so that a
	// flow in neither the table nor the records is new.
	filtersBuilt bool
	// retained reports that this instance remains the owner after the slot moved to the partition of another owner, until
	// that requests the state. It owns the slot as part of retainedPartition.
	retained          bool
	retainedPartition partitionKey
	// source is the member that still owns the slot while this instance is to become the owner, as the owner of
	// sourcePartition.
	source          uint16
	sourcePartition partitionKey
	// sourceUnconfirmed reports that nothing was received from the slot's owner since the last change of home: if this
	// instance takes over, it must request the state from the previous owner.
	sourceUnconfirmed bool
	// handover is the handover of the slot to another instance that is under way, if any.
	handover *handover
	// building reports that filters were requested and not installed yet; fence is that of the request.
	building     bool
	fence        uint64
	heldArrivals []FlowArrived
	routeCode    uint16

	replication
}

// previousHome is a previous home of a slot and the filter of the flows that are assigned to it. Until the filter is
// built, matchAll makes it match every flow; meanwhile no flow is assigned to a later home.
type previousHome struct {
	target   flow.Target
	matchAll bool
	filter   Filter
}

// record is the exact record of the target of one flow.
type record struct {
	target flow.Target
	acked  bool
	// seen reports that this instance has placed the flow since it took over the slot.
	seen bool
}

// frozen reports whether flows without a record have to be held: filters are being built or the slot is being handed
// over.
func (slotState *slotState) frozen() bool {
	return slotState.building && !slotState.filtersBuilt || slotState.handover != nil
}

func (slotState *slotState) empty() bool {
	return len(slotState.previousHomes) == 0 && len(slotState.records) == 0
}

// placeableAtHome reports whether traffic threads may place the slot's flows at its home.
func (slotState *slotState) placeableAtHome() bool {
	return slotState.empty() && slotState.acked && !slotState.frozen() && !slotState.retained
}

// addHeld holds the arrival and returns true, or returns false if one of the same flow is held already.
func (slotState *slotState) addHeld(arrival FlowArrived) bool {
	same := func(held FlowArrived) bool { return held.Flow == arrival.Flow }
	if slices.ContainsFunc(slotState.heldArrivals, same) {
		return false
	}
	slotState.heldArrivals = append(slotState.heldArrivals, arrival)
	return true
}

// addPreviousHome appends a previous home without a filter, which matches every flow for now.
func (slotState *slotState) addPreviousHome(target flow.Target) {
	slotState.previousHomes = append(slotState.previousHomes, previousHome{target: target, matchAll: true})
	slotState.filtersBuilt = false
	slotState.building = false
}

// previousTargets returns the distinct targets of the previous homes, without the present home.
func (slotState *slotState) previousTargets() []flow.Target {
	var targets []flow.Target
	for _, previousHome := range slotState.previousHomes {
		if previousHome.target != slotState.home && !slices.Contains(targets, previousHome.target) {
			targets = append(targets, previousHome.target)
		}
	}
	return targets
}

// flows returns the flows with an exact record in ascending order.
func (slotState *slotState) flows() []id.Flow {
	return sortedKeys(slotState.records, cmp.Compare[id.Flow])
}

// ensureSlot returns the state of the slot, and creates it if there is none.
func (service *service) ensureSlot(slot id.Slot) *slotState {
	found, known := service.slots[slot]
	if !known {
		found = &slotState{
			service:   service,
			slot:      slot,
			partition: service.plan.partition(slot),
			home:      service.plan.homeOf(slot),
			records:   map[id.Flow]*record{},
			source:    _noMember,
		}
		found.destination = _noMember
		service.slots[slot] = found
	}
	return found
}

// orderedSlots returns the slots that have state, in ascending order.
func (service *service) orderedSlots() []*slotState {
	ordered := make([]*slotState, 0, len(service.slots))
	for _, slotState := range service.slots {
		ordered = append(ordered, slotState)
	}
	slices.SortFunc(ordered, func(left, right *slotState) int { return cmp.Compare(left.slot, right.slot) })
	return ordered
}

// forEachSlot calls visit for every slot that has state, by service and slot in ascending order.
func (state *State) forEachSlot(visit func(*slotState)) {
	for _, service := range state.services {
		if len(service.slots) == 0 {
			continue
		}
		for _, slotState := range service.orderedSlots() {
			visit(slotState)
		}
	}
}

// partitionOf returns the partition that the slot belongs to under the current bundle.
func (state *State) partitionOf(slotState *slotState) partitionKey {
	return partitionKey{domain: state.targets[slotState.home].domain, partition: slotState.partition}
}

// servedPartition returns the partition as part of which this instance owns the slot.
func (state *State) servedPartition(slotState *slotState) partitionKey {
	if slotState.retained {
		return slotState.retainedPartition
	}
	return state.partitionOf(slotState)
}

// allFlowsSeen reports whether this instance has owned the slot for the idle timeout, so that it has seen every live
// flow.
func (state *State) allFlowsSeen(slotState *slotState) bool {
	since := slotState.servingSince
	if since.IsZero() {
		since = state.servingSince[state.servedPartition(slotState)]
	}
	return slotState.serving && !state.now.Before(since.Add(state.config.IdleTimeout))
}

// refreshSlot recomputes whether this instance owns the slot and where the slot's state is replicated to.
func (state *State) refreshSlot(slotState *slotState) {
	key := state.partitionOf(slotState)
	if slotState.retained && state.owner(key) == _self {
		slotState.retained = false
	}
	serving := slotState.retained || slotState.source == _noMember && state.owner(key) == _self
	if serving && !slotState.serving && slotState.sourceUnconfirmed {
		slotState.sourceUnconfirmed = false
		state.awaitSlot(slotState, state.owner(slotState.sourcePartition))
		serving = slotState.source == _noMember
	}
	if serving != slotState.serving {
		slotState.serving = serving
		slotState.filtersBuilt = false
		slotState.building = false
		slotState.destination = _noMember
		slotState.acked = false
		slotState.revision++
		for _, record := range slotState.records {
			record.seen = false
		}
	}
	if serving && slotState.destination != state.destination(slotState) {
		state.restartReplication(slotState)
	}
	state.updateRouteCode(slotState)
	state.retryHeldArrivals(slotState)
}

// updateRouteCode recomputes how traffic threads handle the slot's flows.
func (state *State) updateRouteCode(slotState *slotState) {
	code := uint16(_routeDefault)
	switch {
	case slotState.serving && !slotState.placeableAtHome():
		code = _routeAsk
	case slotState.source != _noMember:
		code = _routeMemberBase + slotState.source
	}
	if code != slotState.routeCode {
		slotState.routeCode = code
		slotState.service.dirty = true
		state.changed.any = true
	}
}

// retryHeldArrivals handles the held arrivals of the slot again.
func (state *State) retryHeldArrivals(slotState *slotState) {
	arrivals := slotState.heldArrivals
	slotState.heldArrivals = nil
	for _, arrival := range arrivals {
		state.handleArrival(arrival)
	}
}

// dropSlot removes the state of a slot whose flows are all at its home again, or that does not concern this instance.
func (state *State) dropSlot(slotState *slotState) {
	if slotState.routeCode != _routeDefault {
		slotState.service.dirty = true
		state.changed.any = true
	}
	slotState.dropped = true
	delete(slotState.service.slots, slotState.slot)
}
