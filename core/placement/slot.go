package placement

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/flow"
	"azureshift/core/id"
)

// service is one service, its plan and those of its slots that have state.
type service struct {
	index   int
	name    id.Service
	targets []targetSignature
	plan    *plan
	slots   map[id.Slot]*slotState
	dirty   bool
}

// slotState is what is known of a slot whose flows do not all stand at its home. A slot without
// state is steady: each of its flows stands at home.
type slotState struct {
	service   *service
	slot      id.Slot
	partition uint16
	home      flow.Target
	// previousHomes are the previous homes, oldest first.
	previousHomes []previousHome
	records       map[id.Flow]*record
	// homeVersion and changed tell when the home changed last.
	homeVersion   id.Version
	homeChangedAt time.Time

	// serving says that this instance decides on the slot's flows.
	serving bool
	// servingSince is when it began to, if not with its partition.
	servingSince time.Time
	// filtersBuilt says that it knows all flows of the links: an unknown flow is new.
	filtersBuilt bool
	// retained says that it still decides, though another instance is to, until that asks.
	retained          bool
	retainedPartition partitionKey
	// source is the instance that still decides, if this one is to.
	source          uint16
	sourcePartition partitionKey
	// sourceUnconfirmed says that nothing was heard yet of who decides after the last change of home: an
	// instance that takes over has to ask who decided before.
	sourceUnconfirmed bool
	// handover is the transfer of the slot to another instance.
	handover     *handover
	building     bool
	fence        uint64
	heldArrivals []FlowArrived
	routeCode    uint16

	replication
}

// previousHome is a previous home. Its filter holds the flows that stand on it; all stands for a filter of
// every flow, while nothing can stand at a later home.
type previousHome struct {
	target   flow.Target
	matchAll bool
	filter   Filter
}

// record is the exact place of one flow.
type record struct {
	target flow.Target
	acked  bool
	// seen says that this instance placed a datagram of the flow or decided on it.
	seen bool
}

func (slotState *slotState) frozen() bool {
	return slotState.building && !slotState.filtersBuilt || slotState.handover != nil
}

func (slotState *slotState) empty() bool {
	return len(slotState.previousHomes) == 0 && len(slotState.records) == 0
}

// placeableAtHome says that traffic threads may place the slot's flows at home.
func (slotState *slotState) placeableAtHome() bool {
	return slotState.empty() && slotState.acked && !slotState.frozen() && !slotState.retained
}

func (slotState *slotState) addHeld(arrival FlowArrived) bool {
	same := func(waiting FlowArrived) bool { return waiting.Flow == arrival.Flow }
	if slices.ContainsFunc(slotState.heldArrivals, same) {
		return false
	}
	slotState.heldArrivals = append(slotState.heldArrivals, arrival)
	return true
}

// addPreviousHome appends a previous home of which no flow is known yet.
func (slotState *slotState) addPreviousHome(target flow.Target) {
	slotState.previousHomes = append(slotState.previousHomes, previousHome{target: target, matchAll: true})
	slotState.filtersBuilt = false
	slotState.building = false
}

// previousTargets returns the targets of the links, each once, without the home.
func (slotState *slotState) previousTargets() []flow.Target {
	var targets []flow.Target
	for _, previousHome := range slotState.previousHomes {
		if previousHome.target != slotState.home && !slices.Contains(targets, previousHome.target) {
			targets = append(targets, previousHome.target)
		}
	}
	return targets
}

func (slotState *slotState) flows() []id.Flow {
	return sortedKeys(slotState.records, cmp.Compare[id.Flow])
}

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

// orderedSlots returns the slots that have state, in order.
func (service *service) orderedSlots() []*slotState {
	ordered := make([]*slotState, 0, len(service.slots))
	for _, slotState := range service.slots {
		ordered = append(ordered, slotState)
	}
	slices.SortFunc(ordered, func(left, right *slotState) int { return cmp.Compare(left.slot, right.slot) })
	return ordered
}

// forEachSlot calls visit for every slot that has state, in order.
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

// partitionOf returns the partition that the slot belongs to under the bundle in force.
func (state *State) partitionOf(slotState *slotState) partitionKey {
	return partitionKey{domain: state.targets[slotState.home].domain, partition: slotState.partition}
}

// servedPartition returns the partition under which the slot is decided on here.
func (state *State) servedPartition(slotState *slotState) partitionKey {
	if slotState.retained {
		return slotState.retainedPartition
	}
	return state.partitionOf(slotState)
}

// allFlowsSeen says that every live flow of the slot has been seen here.
func (state *State) allFlowsSeen(slotState *slotState) bool {
	since := slotState.servingSince
	if since.IsZero() {
		since = state.servingSince[state.servedPartition(slotState)]
	}
	return slotState.serving && !state.now.Before(since.Add(state.config.IdleSpan))
}

// refreshSlot recalculates who decides on the slot and where its state goes.
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

// updateRouteCode recalculates what traffic threads read of the slot.
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

// retryHeldArrivals decides again on the flows that waited.
func (state *State) retryHeldArrivals(slotState *slotState) {
	waiting := slotState.heldArrivals
	slotState.heldArrivals = nil
	for _, arrival := range waiting {
		state.handleArrival(arrival)
	}
}

// dropSlot removes the state of a slot that is steady again or that is none of this instance's.
func (state *State) dropSlot(slotState *slotState) {
	if slotState.routeCode != _routeDefault {
		slotState.service.dirty = true
		state.changed.any = true
	}
	slotState.dropped = true
	delete(slotState.service.slots, slotState.slot)
}
