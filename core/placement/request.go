package placement

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/id"
)

const _maxSlotsPerRequest = 300

// scope is what a request or a handover is about: partitions of a failure domain, or slots of one
// service.
type scope struct {
	domain     uint16
	partitions partitionSet
	service    *service
	slots      []id.Slot
}

// request asks another instance for state, until that releases it.
type request struct {
	scope
	to            uint16
	message       Acquire
	sentAt        time.Time
	retryInterval time.Duration
}

// covers says whether the slot, which belongs to the partition, is in the scope.
func (scope *scope) covers(key partitionKey, slotState *slotState) bool {
	if scope.service == nil {
		return key.domain == scope.domain && scope.partitions.has(key.partition)
	}
	_, listed := slices.BinarySearch(scope.slots, slotState.slot)
	return slotState.service == scope.service && listed
}

// sendRequests asks for all that is still to be acquired and not asked for yet.
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

// receiveReleased makes this instance decide on what it asked for.
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

// takePartitions ends the wait for partitions. Of one that the sender decided on, slots that it
// said nothing of are steady.
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

func (state *State) takeSlots(from uint16, completed *request) {
	for _, slotState := range completed.service.orderedSlots() {
		current := slotState.source == from && slotState.homeVersion <= completed.message.Version
		if current && completed.covers(partitionKey{}, slotState) {
			slotState.source = _noMember
			slotState.servingSince = state.now
		}
	}
}

// cancelPendingWith ends what was under way with a member that is lost.
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

// reassignSources asks the successor of a lost member for the slots that were awaited from it.
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

// awaitSlot notes who still decides on the slot. If nobody does, this instance decides at once.
func (state *State) awaitSlot(slotState *slotState, source uint16) {
	if source == _self || source == _noMember {
		slotState.source = _noMember
		slotState.servingSince = state.now
		return
	}
	slotState.source = source
	state.requestsDue = true
}
