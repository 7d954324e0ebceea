package placement

import (
	"azureshift/core/flow"
	"azureshift/core/id"
)

// Sizes are estimates of the encoding, except for the limits _maxMessageBytes and _maxRecordsPerPart.
const (
	_maxMessageBytes      = 1100
	_replicateHeaderBytes = 40
	_slotBytes            = 12
	_recordBytes          = 12
	_removedFlowBytes     = 9
	_previousHomeBytes    = 8
	_targetBytes          = 24
	_maxRecordsPerPart    = 60
	_smallMessageBytes    = 16
	_slotNumberBytes      = 3
	_acquireHeaderBytes   = 32
)

// packer collects the state of slots in as few messages as possible.
type packer struct {
	state        *State
	openMessages []*openMessage
}

// openMessage is a message that more slots can be added to.
type openMessage struct {
	to            uint16
	replicate     *Replicate
	targetNumbers map[flow.Target]int
	slotUpdates   []slotUpdate
}

// addSlot adds what is to be sent of the slot to messages to its destination, in parts of limited size.
func (packer *packer) addSlot(slotState *slotState) {
	flows := slotState.addedFlows
	if slotState.sendFull {
		flows = slotState.flows()
	}
	removed := slotState.removedFlows
	full := slotState.sendFull
	if full {
		slotState.unackedParts = max(1, (len(flows)+_maxRecordsPerPart-1)/_maxRecordsPerPart)
		removed = nil
	}
	for first := true; first || len(flows) > 0; first = false {
		part := flows[:min(len(flows), _maxRecordsPerPart)]
		flows = flows[len(part):]
		packer.addPart(slotState, part, full && first, full, removed)
		removed = nil
	}
	slotState.sendFull, slotState.addedFlows, slotState.removedFlows = false, nil, nil
}

// addPart adds flows of a slot to a message. With replace, the part is the first of the full state.
func (packer *packer) addPart(slotState *slotState, flows []id.Flow, replace, full bool, removed []id.Flow) {
	openMessage := packer.messageFor(slotState, slotState.encodedSize(flows, replace))
	numberOf := func(target flow.Target) int {
		return openMessage.targetNumber(target, packer.state.targets[target].TargetIdentity)
	}
	record := SlotRecord{Slot: slotState.slot, Home: numberOf(slotState.home), Full: replace, Removed: removed}
	if replace {
		for _, previousHome := range slotState.previousHomes {
			record.PreviousHomes = append(record.PreviousHomes, PreviousHomeRecord{
				Target:   numberOf(previousHome.target),
				MatchAll: previousHome.matchAll,
				Filter:   previousHome.filter.encode(),
			})
		}
	}
	for _, flow := range flows {
		record.Records = append(record.Records, FlowRecord{Flow: flow, Target: numberOf(slotState.records[flow].target)})
	}
	openMessage.replicate.Slots = append(openMessage.replicate.Slots, record)
	openMessage.slotUpdates = append(openMessage.slotUpdates, slotUpdate{
		slotState: slotState, revision: slotState.revision, full: full, flows: flows,
	})
}

// messageFor returns an open message to the slot's destination with room for another size bytes.
func (packer *packer) messageFor(slotState *slotState, size int) *openMessage {
	for index, openMessage := range packer.openMessages {
		if openMessage.to != slotState.destination || openMessage.replicate.Service != slotState.service.name {
			continue
		}
		if openMessage.replicate.encodedSize()+size <= _maxMessageBytes {
			return openMessage
		}
		packer.openMessages = append(packer.openMessages[:index:index], packer.openMessages[index+1:]...)
		packer.sendMessage(openMessage)
		break
	}
	added := &openMessage{
		to:            slotState.destination,
		replicate:     &Replicate{Service: slotState.service.name},
		targetNumbers: map[flow.Target]int{},
	}
	packer.openMessages = append(packer.openMessages, added)
	return added
}

func (packer *packer) sendAll() {
	for _, openMessage := range packer.openMessages {
		packer.sendMessage(openMessage)
	}
	packer.openMessages = nil
}

func (packer *packer) sendMessage(openMessage *openMessage) {
	state := packer.state
	state.sequence++
	openMessage.replicate.Sequence = state.sequence
	state.sendReliably(&pendingMessage{
		sequence:    state.sequence,
		to:          openMessage.to,
		message:     Message{Replicate: openMessage.replicate},
		slotUpdates: openMessage.slotUpdates,
	})
}

// encodedSize estimates the encoded size in bytes of a part of the slot's state.
func (slotState *slotState) encodedSize(flows []id.Flow, replace bool) int {
	size := _slotBytes + len(flows)*_recordBytes + len(slotState.removedFlows)*_removedFlowBytes
	if replace {
		for _, previousHome := range slotState.previousHomes {
			size += _previousHomeBytes + len(previousHome.filter.encode())
		}
	}
	return size
}

func (replicate *Replicate) encodedSize() int {
	size := _replicateHeaderBytes + len(replicate.Targets)*_targetBytes
	for _, slot := range replicate.Slots {
		size += _slotBytes + len(slot.Records)*_recordBytes + len(slot.Removed)*_removedFlowBytes
		for _, previous := range slot.PreviousHomes {
			size += _previousHomeBytes + len(previous.Filter)
		}
	}
	return size
}

func (message Message) encodedSize() int {
	switch {
	case message.Replicate != nil:
		return message.Replicate.encodedSize()
	case message.Acquire != nil:
		return _acquireHeaderBytes + len(message.Acquire.Partitions) + len(message.Acquire.Slots)*_slotNumberBytes
	default:
		return _smallMessageBytes
	}
}
