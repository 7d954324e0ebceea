package placement

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/id"
)

const _maxSlotsPerRequest = 300

// scope is the state that a request or a handover covers: partitions of a failure domain, or slots of one service.
type scope struct {
	domain     uint16
	partitions partitionSet
	service    *service
	slots      []id.Slot
}

// request asks another instance for state, and is repeated until that instance releases it.
type request struct {
	scope
	to            uint16
	message       Acquire
	sentAt        time.Time
	retryInterval time.Duration
}

// covers reports whether the slot, which belongs to the partition, is in the scope.
func (scope *scope) covers(key partitionKey, slotState *slotState) bool {
	if scope.service == nil {
		return key.domain == scope.domain && scope.partitions.has(key.partition)
	}
	_, listed := slices.BinarySearch(scope.slots, slotState.slot)
	return slotState.service == scope.service && listed
}

// sendRequests requests all state that is to be acquired and not requested yet. Requests from before the last change of
// the bundle are replaced.
func (state *State) sendRequests() {
	if !state.requestsDue {
		return
	}
	state.requestsDue = false
	state.requests = slices.DeleteFunc(state.requests, func(request *request) bool {
		return request.message.Version != state.version
	})
	state.requestPartitions()
	for _, service := range state.services {
		if len(service.slots) > 0 {
			state.requestSlots(service)
		}
	}
}

func (state *State) requestPartitions() {
	type source struct{ to, domain uint16 }
	wanted := map[source]*scope{}
	for key, to := range state.acquiring {
		if state.requested(to, func(request *request) bool {
			return request.service == nil && request.domain == key.domain && request.partitions.has(key.partition)
		}) {
			continue
		}
		source := source{to: to, domain: key.domain}
		if wanted[source] == nil {
			wanted[source] = &scope{domain: key.domain}
		}
		wanted[source].partitions.add(key.partition)
	}
	sources := sortedKeys(wanted, func(left, right source) int {
		return cmp.Or(cmp.Compare(left.to, right.to), cmp.Compare(left.domain, right.domain))
	})
	for _, source := range sources {
		scope := *wanted[source]
		state.sendRequest(source.to, scope, Acquire{
			Domain: state.domains[scope.domain].name, Partitions: scope.partitions.bytes(),
		})
	}
}

func (state *State) requestSlots(service *service) {
	wanted := map[uint16][]id.Slot{}
	for _, slotState := range service.orderedSlots() {
		to := slotState.source
		if to == _noMember || state.requested(to, func(request *request) bool {
			return request.service != nil && request.covers(partitionKey{}, slotState)
		}) {
			continue
		}
		wanted[to] = append(wanted[to], slotState.slot)
	}
	for _, to := range sortedKeys(wanted, cmp.Compare[uint16]) {
		for slots := range slices.Chunk(wanted[to], _maxSlotsPerRequest) {
			state.sendRequest(to, scope{service: service, slots: slots}, Acquire{Service: service.name, Slots: slots})
		}
	}
}

// requested reports whether a request to the member that satisfies covers is under way.
func (state *State) requested(to uint16, covers func(*request) bool) bool {
	return slices.ContainsFunc(state.requests, func(request *request) bool {
		return request.to == to && covers(request)
	})
}

func (state *State) sendRequest(to uint16, scope scope, message Acquire) {
	state.sequence++
	message.Sequence, message.Version = state.sequence, state.version
	request := &request{
		scope: scope, to: to, message: message, sentAt: state.now, retryInterval: state.config.RetryInterval,
	}
	state.requests = append(state.requests, request)
	state.send(to, Message{Acquire: &request.message})
}

// receiveReleased makes this instance the owner of what it requested.
func (state *State) receiveReleased(from uint16, released Released) {
	state.send(from, Message{Ack: &Ack{Sequences: []uint64{released.Sequence}}})
	index := slices.IndexFunc(state.requests, func(request *request) bool {
		return request.to == from && request.message.Sequence == released.Acquire
	})
	if index < 0 {
		return
	}
	completed := state.requests[index]
	state.requests = slices.Delete(state.requests, index, index+1)
	if completed.service == nil {
		state.takePartitions(from, completed, released.Served)
	} else {
		state.takeSlots(from, completed)
	}
	state.changed.owners, state.changed.any = true, true
	state.forEachSlot(state.refreshSlot)
}

// takePartitions ends the wait for partitions. In a partition that the sender owned, slots whose state it did not send
// have all their flows at home.
func (state *State) takePartitions(from uint16, completed *request, servedBytes []byte) {
	var served partitionSet
	copy(served[:], servedBytes)
	state.forEachSlot(func(slotState *slotState) {
		key := state.partitionOf(slotState)
		acquired := completed.covers(key, slotState) && state.acquiring[key] == from && served.has(key.partition)
		if acquired && slotState.sourceUnconfirmed && slotState.source == _noMember {
			slotState.previousHomes, slotState.sourceUnconfirmed = nil, false
		}
	})
	for key, source := range state.acquiring {
		if source == from && key.domain == completed.domain && completed.partitions.has(key.partition) {
			delete(state.acquiring, key)
			state.servingSince[key] = state.now
		}
	}
}

// takeSlots ends the wait for slots, except for those whose home has changed since the request.
func (state *State) takeSlots(from uint16, completed *request) {
	for _, slotState := range completed.service.orderedSlots() {
		current := slotState.source == from && slotState.homeVersion <= completed.message.Version
		if current && completed.covers(partitionKey{}, slotState) {
			slotState.source = _noMember
			slotState.servingSince = state.now
		}
	}
}

// cancelPendingWith ends all requests to and handovers with a lost member. This instance becomes the owner of what it
// was to acquire from the member, and of what it had released to it.
func (state *State) cancelPendingWith(lost uint16) {
	state.requests = slices.DeleteFunc(state.requests, func(request *request) bool { return request.to == lost })
	for key, source := range state.acquiring {
		if source == lost {
			delete(state.acquiring, key)
			state.servingSince[key] = state.now
		}
	}
	for key, to := range state.releasedTo {
		if to == lost {
			delete(state.releasedTo, key)
			state.servingSince[key] = state.now
		}
	}
	for _, handover := range slices.Clone(state.handovers) {
		if handover.to == lost {
			state.cancelHandover(handover)
		}
	}
}

// reassignSources requests the slots that were awaited from a lost member from its successor.
func (state *State) reassignSources(lost uint16) {
	state.forEachSlot(func(slotState *slotState) {
		if slotState.source != lost {
			return
		}
		key := slotState.sourcePartition
		state.awaitSlot(slotState, state.domains[key.domain].pairs[key.partition].owner)
		state.refreshSlot(slotState)
	})
}

// awaitSlot records the member that still owns the slot, to request its state. Without one, this instance becomes the
// owner at once.
func (state *State) awaitSlot(slotState *slotState, source uint16) {
	if source == _self || source == _noMember {
		slotState.source = _noMember
		slotState.servingSince = state.now
		return
	}
	slotState.source = source
	state.requestsDue = true
}
