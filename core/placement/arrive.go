package placement

import (
	"azureshift/core/flow"
	"azureshift/core/id"
)

// handleArrival places, forwards, holds or refuses a flow that the traffic threads could not decide.
func (state *State) handleArrival(arrival FlowArrived) {
	refuse := Refuse{Service: arrival.Service, Flow: arrival.Flow}
	if arrival.Service < 0 || arrival.Service >= len(state.services) {
		state.emit(refuse)
		return
	}
	service := state.services[arrival.Service]
	if service.plan == nil || len(service.plan.targets) == 0 {
		state.emit(refuse)
		return
	}
	slot := service.plan.slot(arrival.Flow)
	slotState := service.slots[slot]
	owner := state.slotOwner(service, slot, slotState)
	if owner != _self && arrival.Stale {
		state.holdArrival(service.ensureSlot(slot), arrival)
		return
	}
	if owner != _self && owner != _noMember && arrival.Hops < _maxHops {
		state.emit(Forward{Service: arrival.Service, Flow: arrival.Flow, Member: state.members[owner].Member})
		return
	}
	if slotState == nil || !state.placeByState(slotState, arrival) {
		state.placeNew(service, slot, arrival, false)
	}
}

// slotOwner returns the member that currently places the slot's flows.
func (state *State) slotOwner(service *service, slot id.Slot, slotState *slotState) uint16 {
	if slotState != nil && slotState.serving {
		return _self
	}
	if slotState != nil && slotState.source != _noMember {
		return slotState.source
	}
	domain := state.targets[service.plan.homeOf(slot)].domain
	return state.owner(partitionKey{domain: domain, partition: service.plan.partition(slot)})
}

// placeByState places the flow by the state of its slot: to the target of its exact record, or to a previous home whose
// filter matches. A flow that cannot be placed yet is held. It returns false if the flow is to be placed as new.
func (state *State) placeByState(slotState *slotState, arrival FlowArrived) bool {
	if existing, exists := slotState.records[arrival.Flow]; exists {
		if state.targets[existing.target].health != HealthDown || !state.cutAt().IsZero() {
			existing.seen = true
			state.placeRecorded(slotState, arrival, existing)
			return true
		}
		state.removeRecord(slotState, arrival.Flow)
	}
	if slotState.frozen() {
		state.holdArrival(slotState, arrival)
		return true
	}
	filterMatch := false
	for _, previousHome := range slotState.previousHomes {
		if !previousHome.matchAll && !previousHome.filter.Has(arrival.Flow) {
			continue
		}
		target := &state.targets[previousHome.target]
		opening := arrival.Hint == HintOpening && !target.active
		if slotState.filtersBuilt || opening || target.health == HealthDown {
			filterMatch = true
			break
		}
		state.place(slotState, arrival, previousHome.target, false)
		return true
	}
	if !slotState.serving && len(slotState.previousHomes) > 0 {
		state.count(CountOwnerUnreachable, 1)
		return true
	}
	if slotState.serving && !slotState.acked && !slotState.retained {
		state.holdArrival(slotState, arrival)
		return true
	}
	state.placeNew(slotState.service, slotState.slot, arrival, filterMatch)
	return true
}

// placeNew places a new flow: at its home target if that accepts it, otherwise on another target with an exact record.
// With filterMatch, the filter of a previous home matches the flow, which then needs an exact record even at home.
func (state *State) placeNew(service *service, slot id.Slot, arrival FlowArrived, filterMatch bool) {
	home := service.plan.homeOf(slot)
	target := home
	if !state.accepts(home, arrival.Flow) && !state.mayBeEstablished(service, slot, arrival) {
		var found bool
		target, found = state.pickAlternative(service.plan, home, arrival.Flow)
		if !found {
			state.placeAsLastResort(service, slot, arrival)
			return
		}
	}
	if target == home && !filterMatch {
		state.place(service.slots[slot], arrival, home, false)
		return
	}
	slotState := service.ensureSlot(slot)
	state.initOwnership(slotState)
	slotState.records[arrival.Flow] = &record{target: target, seen: true}
	state.targets[target].recordedFlows++
	state.count(CountRecorded, 1)
	if state.config.Disabled.RecordReplication {
		state.place(slotState, arrival, target, true)
		return
	}
	slotState.addedFlows = append(slotState.addedFlows, arrival.Flow)
	state.enqueue(slotState)
	state.updateRouteCode(slotState)
	state.placeRecorded(slotState, arrival, slotState.records[arrival.Flow])
}

// initOwnership sets the ownership of a slot that had no state so far from that of its partition.
func (state *State) initOwnership(slotState *slotState) {
	if slotState.destination == _noMember && !slotState.serving && slotState.empty() {
		slotState.serving = slotState.source == _noMember && state.owner(state.partitionOf(slotState)) == _self
		slotState.destination = state.destination(slotState)
		slotState.acked = true
	}
}

// mayBeEstablished reports whether the flow may already be established at its home target: this instance has owned the
// slot for less than the idle timeout, the datagram is not known to open a flow, and the home is not down.
func (state *State) mayBeEstablished(service *service, slot id.Slot, arrival FlowArrived) bool {
	home := service.plan.homeOf(slot)
	since := state.servingSince[partitionKey{domain: state.targets[home].domain, partition: service.plan.partition(slot)}]
	if slotState, known := service.slots[slot]; known && !slotState.servingSince.IsZero() {
		since = slotState.servingSince
	}
	recentOwner := state.now.Before(since.Add(state.config.IdleTimeout))
	return recentOwner && arrival.Hint != HintOpening && state.targets[home].health != HealthDown
}

// placeAsLastResort handles a new flow when no target accepts new work: it goes to its home if that is active and
// merely overloaded, and is refused otherwise.
func (state *State) placeAsLastResort(service *service, slot id.Slot, arrival FlowArrived) {
	home := service.plan.homeOf(slot)
	target := state.targets[home]
	if target.active && target.health == HealthOverloaded {
		state.place(service.slots[slot], arrival, home, false)
		return
	}
	state.emit(Refuse{Service: arrival.Service, Flow: arrival.Flow})
}

// pickAlternative picks a target other than home by the power of two choices: of the two cheapest targets for the flow
// that accept new work, the one with fewer recorded flows. Targets in slow start are used only if there are no others,
// and home only if there are none at all. It returns false if no target accepts new work.
func (state *State) pickAlternative(plan *plan, home flow.Target, hash id.Flow) (flow.Target, bool) {
	var normal []flow.Target
	var slowStarting []flow.Target
	for _, candidate := range plan.rankTargets(hash) {
		target := &state.targets[candidate]
		switch {
		case candidate == home || !target.acceptsNew():
			continue
		case state.inSlowStart(target):
			slowStarting = append(slowStarting, candidate)
		default:
			normal = append(normal, candidate)
		}
	}
	if len(normal) == 0 {
		normal = slowStarting
	}
	if len(normal) == 0 {
		return home, state.targets[home].acceptsNew()
	}
	if len(normal) > 1 && state.targets[normal[1]].recordedFlows < state.targets[normal[0]].recordedFlows {
		return normal[1], true
	}
	return normal[0], true
}

// placeRecorded places a flow with an exact record, and holds it until the runner-up has acknowledged the record.
func (state *State) placeRecorded(slotState *slotState, arrival FlowArrived, record *record) {
	if slotState.serving && !record.acked && slotState.destination != _noMember &&
		!state.config.Disabled.RecordReplication {
		state.holdArrival(slotState, arrival)
		return
	}
	state.place(slotState, arrival, record.target, true)
}

// holdArrival keeps the flow until its slot can be decided, and counts it once.
func (state *State) holdArrival(slotState *slotState, arrival FlowArrived) {
	if !arrival.held {
		arrival.held = true
		state.count(CountDeferred, 1)
	}
	slotState.addHeld(arrival)
}

func (state *State) place(slotState *slotState, arrival FlowArrived, target flow.Target, recorded bool) {
	state.checkInvariants(slotState, arrival, target)
	state.emit(Place{Service: arrival.Service, Flow: arrival.Flow, Target: target, HasRecord: recorded})
}

// removeEndedRecords removes the exact records of flows that have ended.
func (state *State) removeEndedRecords(flows []flow.Expired) {
	for _, expired := range flows {
		service := state.services[state.targets[expired.Target].service]
		if service.plan == nil {
			continue
		}
		slotState, known := service.slots[service.plan.slot(expired.Flow)]
		if known && slotState.serving && slotState.records[expired.Flow] != nil {
			state.removeRecord(slotState, expired.Flow)
			state.enqueue(slotState)
		}
	}
}

// removeRecord removes the flow's exact record, here and with the next update at the runner-up.
func (state *State) removeRecord(slotState *slotState, flow id.Flow) {
	state.targets[slotState.records[flow].target].recordedFlows--
	delete(slotState.records, flow)
	slotState.removedFlows = append(slotState.removedFlows, flow)
}
