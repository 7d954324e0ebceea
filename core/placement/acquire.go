package placement

import "slices"

// handover transfers the state of a scope to the instance that requested it with an Acquire message.
type handover struct {
	scope
	to           uint16
	sequence     uint64
	slotStates   []*slotState
	pendingSlots int
}

// receiveAcquire starts handing over the requested state. The request is ignored, and so repeated by the sender, while
// this instance has another bundle version or is itself waiting for the same state.
func (state *State) receiveAcquire(from uint16, acquire Acquire) {
	handover := &handover{to: from, sequence: acquire.Sequence}
	if acquire.Version != state.version || state.hasHandover(from, acquire.Sequence) ||
		!state.resolveScope(handover, acquire) {
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

// resolveScope fills in the handover's scope from the message. It returns false if the service is unknown here.
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

// requestMissing requests the state of slots in the scope that the sender expects here, but whose last change of home
// this instance has not confirmed with the previous owner.
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

// awaitsState reports whether this instance is still waiting for state within the handover's scope.
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

// completeHandover releases the handover's scope to the new owner once all its slots have been acknowledged.
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

// releasePartitions gives up ownership of the handover's partitions and returns those that this instance owned.
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

// releasePartition records the new owner until this instance's own member views name it as the owner.
func (state *State) releasePartition(key partitionKey, to uint16) {
	if state.domains[key.domain].pairs[key.partition].owner == _self {
		state.releasedTo[key] = to
	}
}

func (state *State) removeHandover(done *handover) {
	state.handovers = slices.DeleteFunc(state.handovers, func(handover *handover) bool { return handover == done })
}

// cancelHandover abandons the handover; its slots stay with this instance.
func (state *State) cancelHandover(handover *handover) {
	state.removeHandover(handover)
	for _, slotState := range handover.slotStates {
		if slotState.handover == handover {
			slotState.handover = nil
			state.refreshSlot(slotState)
		}
	}
}
