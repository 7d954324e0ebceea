package placement

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/flow"
	"azureshift/core/id"
)

const (
	_maxRetryInterval = time.Second
	// _batchInterval is the minimum time between two batches of records of new flows.
	_batchInterval = 50 * time.Millisecond
)

// replication is the progress of replicating a slot's state to its destination.
type replication struct {
	destination uint16
	// revision changes whenever replication restarts; acknowledgements of earlier revisions are ignored.
	revision int
	// sendFull reports that the whole state is still to be sent; otherwise addedFlows and removedFlows are the records
	// still to be sent.
	sendFull     bool
	addedFlows   []id.Flow
	removedFlows []id.Flow
	unackedParts int
	acked        bool
	queued       bool
	dropped      bool
}

// outbox holds what is to be sent to other instances and what they have not acknowledged yet.
type outbox struct {
	sequence         uint64
	pendingMessages  map[uint64]*pendingMessage
	queue            []*slotState
	tokens           float64
	lastBatchAt      time.Time
	tokensRefilledAt time.Time
}

// pendingMessage is a message that is repeated until it is acknowledged.
type pendingMessage struct {
	sequence      uint64
	to            uint16
	message       Message
	slotUpdates   []slotUpdate
	sentAt        time.Time
	retryInterval time.Duration
}

// slotUpdate is the part of a slot's state that one message carries.
type slotUpdate struct {
	slotState *slotState
	revision  int
	full      bool
	flows     []id.Flow
}

// restartReplication starts to replicate the slot's whole state to its destination anew.
func (state *State) restartReplication(slotState *slotState) {
	slotState.destination = state.destination(slotState)
	slotState.revision++
	slotState.unackedParts = 0
	slotState.acked = false
	slotState.sendFull = true
	slotState.addedFlows, slotState.removedFlows = nil, nil
	for _, record := range slotState.records {
		record.acked = false
	}
	if state.config.Disabled.ReplicaWait && slotState.handover == nil {
		state.markReplicated(slotState)
		return
	}
	state.enqueue(slotState)
}

func (state *State) enqueue(slotState *slotState) {
	if !slotState.queued {
		slotState.queued = true
		state.queue = append(state.queue, slotState)
	}
}

// markReplicated treats the slot's state as replicated without sending it: there is no destination, or waiting for it
// is disabled.
func (state *State) markReplicated(slotState *slotState) {
	slotState.sendFull, slotState.addedFlows, slotState.removedFlows = false, nil, nil
	slotState.acked = true
	for _, record := range slotState.records {
		record.acked = true
	}
	state.finishReplication(slotState)
}

// finishReplication continues with a slot whose updates were acknowledged: it advances the slot's handover, or retries
// the held arrivals and drops the slot's state if it is not needed any more.
func (state *State) finishReplication(slotState *slotState) {
	if handover := slotState.handover; handover != nil {
		if slotState.acked && !slotState.building {
			handover.pendingSlots--
			state.completeHandover(handover)
		}
		return
	}
	state.updateRouteCode(slotState)
	state.retryHeldArrivals(slotState)
	if slotState.serving && slotState.acked && slotState.empty() && !slotState.retained {
		state.dropSlot(slotState)
	}
}

// sendQueued sends the queued slots: at once if flows or a handover wait for them, records of new flows in batches, and
// the rest within the rate limit.
func (state *State) sendQueued() {
	packer := packer{state: state}
	var kept []*slotState
	batchDue := state.now.Sub(state.lastBatchAt) >= _batchInterval
	for index := 0; index < len(state.queue); index++ {
		slotState := state.queue[index]
		urgent := slotState.sendFull && len(slotState.heldArrivals) > 0 || slotState.handover != nil
		newRecords := !slotState.sendFull && len(slotState.addedFlows) > 0
		switch {
		case slotState.dropped || !slotState.serving && slotState.handover == nil:
			slotState.queued = false
		case slotState.destination == _noMember:
			slotState.queued = false
			state.markReplicated(slotState)
		case newRecords && batchDue:
			state.lastBatchAt = state.now
			fallthrough
		case urgent || !newRecords && state.tokens > 0:
			slotState.queued = false
			packer.addSlot(slotState)
		default:
			kept = append(kept, slotState)
		}
	}
	state.queue = kept
	packer.sendAll()
}

// sendReliably sends a message and repeats it until it is acknowledged or obsolete.
func (state *State) sendReliably(pendingMessage *pendingMessage) {
	pendingMessage.sentAt = state.now
	pendingMessage.retryInterval = state.config.RetryInterval
	state.pendingMessages[pendingMessage.sequence] = pendingMessage
	state.send(pendingMessage.to, pendingMessage.message)
}

func (state *State) send(to uint16, message Message) {
	state.tokens -= float64(message.encodedSize())
	state.emit(Send{To: state.members[to].Member, Message: message})
}

// resendUnacknowledged repeats unacknowledged messages and unanswered requests with exponential backoff. It also
// refills the tokens of the rate limit.
func (state *State) resendUnacknowledged() {
	state.tokens += state.now.Sub(state.tokensRefilledAt).Seconds() * float64(state.config.BytesPerSecond)
	state.tokens = min(state.tokens, float64(state.config.BurstBytes))
	state.tokensRefilledAt = state.now
	for _, sequence := range sortedKeys(state.pendingMessages, cmp.Compare[uint64]) {
		pendingMessage := state.pendingMessages[sequence]
		if pendingMessage.obsolete() || !state.members[pendingMessage.to].up {
			delete(state.pendingMessages, sequence)
			continue
		}
		if state.resendDue(&pendingMessage.sentAt, &pendingMessage.retryInterval) {
			state.send(pendingMessage.to, pendingMessage.message)
		}
	}
	for _, request := range state.requests {
		if state.resendDue(&request.sentAt, &request.retryInterval) {
			state.send(request.to, Message{Acquire: &request.message})
		}
	}
}

// resendDue reports whether the interval since the last attempt has passed, and if so doubles it up to
// _maxRetryInterval.
func (state *State) resendDue(sentAt *time.Time, interval *time.Duration) bool {
	if state.now.Sub(*sentAt) < *interval {
		return false
	}
	*sentAt = state.now
	*interval = min(2**interval, _maxRetryInterval)
	return true
}

// obsolete reports whether no slot needs the message any more.
func (pendingMessage *pendingMessage) obsolete() bool {
	if pendingMessage.message.Replicate == nil {
		return false
	}
	return !slices.ContainsFunc(pendingMessage.slotUpdates, func(slotUpdate slotUpdate) bool {
		return slotUpdate.revision == slotUpdate.slotState.revision && !slotUpdate.slotState.dropped
	})
}

func (state *State) receiveMessage(sender id.Member, message Message) {
	from, known := state.memberByName[sender.Instance]
	if !known || state.members[from].Member != sender || from == _self {
		return
	}
	switch {
	case message.Ack != nil:
		for _, sequence := range message.Ack.Sequences {
			state.receiveAck(from, sequence)
		}
	case message.Replicate != nil:
		state.receiveReplicate(from, *message.Replicate)
	case message.Acquire != nil:
		state.receiveAcquire(from, *message.Acquire)
	case message.Released != nil:
		state.receiveReleased(from, *message.Released)
	}
}

func (state *State) receiveAck(from uint16, sequence uint64) {
	pendingMessage, known := state.pendingMessages[sequence]
	if !known || pendingMessage.to != from {
		return
	}
	delete(state.pendingMessages, sequence)
	for _, slotUpdate := range pendingMessage.slotUpdates {
		slotState := slotUpdate.slotState
		if slotUpdate.revision != slotState.revision || slotState.dropped {
			continue
		}
		for _, flow := range slotUpdate.flows {
			if record, known := slotState.records[flow]; known {
				record.acked = true
			}
		}
		completed := false
		if slotUpdate.full {
			slotState.unackedParts--
			completed = slotState.unackedParts == 0 && !slotState.sendFull
			slotState.acked = slotState.acked || completed
		}
		if completed || slotState.handover == nil {
			state.finishReplication(slotState)
		}
	}
}

// targetNumber returns the target's index in the message's list of targets, and adds it to the list if necessary.
func (openMessage *openMessage) targetNumber(target flow.Target, identity TargetIdentity) int {
	number, known := openMessage.targetNumbers[target]
	if !known {
		number = len(openMessage.replicate.Targets)
		openMessage.targetNumbers[target] = number
		openMessage.replicate.Targets = append(openMessage.replicate.Targets, identity)
	}
	return number
}
