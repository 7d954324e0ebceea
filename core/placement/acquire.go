package placement

import "slices"

// handover is the transfer of state to the instance that asked for it.
type handover struct {
	scope
	to           uint16
	sequence     uint64
	slotStates   []*slotState
	pendingSlots int
}

// receiveAcquire starts to hand over what is asked for. An instance that has another bundle, or
// that waits for the same state itself, does not answer: the request is repeated.
func (state *State) receiveAcquire(from uint16, acquire Acquire) {
	handover := &handover{to: from, sequence: acquire.Sequence}
	if acquire.Version != state.version || state.hasHandover(from, acquire.Sequence) || !state.resolveScope(handover, acquire) {
		return
	}
	state.requestMissing(handover)
	if state.awaitsState(handover) {
		return
	}
	state.forEachSlot(func(slotState *slotState) {
		if handover.covers(state.partitionOf(slotState), slotState) {
			handover.slotStates = append(handover.slotStates, slotState)
		}
	})
	state.handovers = append(state.handovers, handover)
	handover.pendingSlots = len(handover.slotStates)
	for _, slotState := range handover.slotStates {
		if slotState.handover != nil {
			state.cancelHandover(slotState.handover)
		}
		slotState.handover = handover
		if !state.buildFilters(slotState) {
			state.restartReplication(slotState)
		}
		state.updateRouteCode(slotState)
	}
	state.completeHandover(handover)
}

func (state *State) resolveScope(handover *handover, acquire Acquire) bool {
	if acquire.Service == "" {
		handover.domain = state.domainIndex(acquire.Domain)
		copy(handover.partitions[:], acquire.Partitions)
		return true
	}
	index, known := state.serviceByName[acquire.Service]
	if !known || state.services[index].plan == nil {
		return false
	}
	handover.service, handover.slots = state.services[index], acquire.Slots
	return true
}

// requestMissing asks for the slots of which this instance should have the state but has not heard.
func (state *State) requestMissing(handover *handover) {
	if handover.service == nil {
		return
	}
	for _, slotState := range handover.service.orderedSlots() {
		if slotState.serving || !slotState.sourceUnconfirmed || !handover.covers(partitionKey{}, slotState) {
			continue
		}
		source := state.owner(slotState.sourcePartition)
		if source != handover.to {
			slotState.sourceUnconfirmed = false
			state.awaitSlot(slotState, source)
			state.updateRouteCode(slotState)
		}
	}
}

func (state *State) hasHandover(to uint16, sequence uint64) bool {
	return slices.ContainsFunc(state.handovers, func(handover *handover) bool {
		return handover.to == to && handover.sequence == sequence
	})
}

func (state *State) awaitsState(handover *handover) bool {
	for key := range state.acquiring {
		if handover.service == nil && key.domain == handover.domain && handover.partitions.has(key.partition) {
			return true
		}
	}
	awaits := false
	state.forEachSlot(func(slotState *slotState) {
		key := state.partitionOf(slotState)
		owned := handover.service != nil || state.owner(key) == _self
		awaits = awaits || owned && slotState.source != _noMember && handover.covers(key, slotState)
	})
	return awaits
}

// completeHandover ends a handover whose slots have all been acknowledged.
func (state *State) completeHandover(handover *handover) {
	if handover.pendingSlots > 0 {
		return
	}
	state.removeHandover(handover)
	served := state.releasePartitions(handover)
	state.sequence++
	released := &Released{Sequence: state.sequence, Acquire: handover.sequence, Served: served.bytes()}
	state.sendReliably(&pendingMessage{sequence: state.sequence, to: handover.to, message: Message{Released: released}})
	for _, slotState := range handover.slotStates {
		slotState.handover = nil
		slotState.retained = false
	}
	state.changed.owners, state.changed.any = true, true
	for _, slotState := range handover.slotStates {
		state.refreshSlot(slotState)
	}
}

// releasePartitions gives up the partitions of the handover and returns those that were decided on
// here.
func (state *State) releasePartitions(handover *handover) partitionSet {
	var served partitionSet
	if handover.service != nil {
		return served
	}
	for partition := range uint16(_partitions) {
		key := partitionKey{domain: handover.domain, partition: partition}
		if handover.partitions.has(partition) && state.owner(key) == _self {
			served.add(partition)
			delete(state.releaseDeadlines, key)
			delete(state.servingSince, key)
			state.releasePartition(key, handover.to)
		}
	}
	return served
}

// releasePartition remembers who decides until this instance's own view of the owners says so.
func (state *State) releasePartition(key partitionKey, to uint16) {
	if state.domains[key.domain].pairs[key.partition].owner == _self {
		state.releasedTo[key] = to
	}
}

func (state *State) removeHandover(done *handover) {
	state.handovers = slices.DeleteFunc(state.handovers, func(handover *handover) bool { return handover == done })
}

func (state *State) cancelHandover(handover *handover) {
	state.removeHandover(handover)
	for _, slotState := range handover.slotStates {
		if slotState.handover == handover {
			slotState.handover = nil
			state.refreshSlot(slotState)
		}
	}
}
