package placement

import (
	"slices"

	"azureshift/core/flow"
)

// receiveReplicate stores the replicated state of slots. The message is not acknowledged, and so repeated by the
// sender, while this instance's bundle gives one of the slots another home than the sender's.
func (state *State) receiveReplicate(from uint16, replicate Replicate) {
	index, known := state.serviceByName[replicate.Service]
	if !known || state.services[index].plan == nil {
		return
	}
	service := state.services[index]
	targets := make([]flow.Target, len(replicate.Targets))
	for number, identity := range replicate.Targets {
		targets[number] = state.targetIndex(index, identity)
	}
	if len(state.targets) != len(state.publishedTargets()) {
		state.changed.targets, state.changed.any = true, true
	}
	for _, record := range replicate.Slots {
		if int(record.Slot) >= len(service.plan.homes) || service.plan.homeOf(record.Slot) != targets[record.Home] {
			return
		}
	}
	for _, record := range replicate.Slots {
		state.mergeSlot(from, service.ensureSlot(record.Slot), record, targets)
	}
	state.send(from, Message{Ack: &Ack{Sequences: []uint64{replicate.Sequence}}})
}

// publishedTargets returns the targets of the latest snapshot.
func (state *State) publishedTargets() []TargetView {
	if state.published == nil {
		return nil
	}
	return state.published.targets
}

// mergeSlot merges a slot's state from a peer. An instance that owns the slot, or owned it while the peer was
// unreachable, keeps its own records and previous homes and adds those that it lacks.
func (state *State) mergeSlot(from uint16, slotState *slotState, slotRecord SlotRecord, targets []flow.Target) {
	key := state.partitionOf(slotState)
	ownedWhileCut := state.members[from].wasLost && state.domains[key.domain].pairs[key.partition].owner == _self
	keepOwn := slotState.serving || ownedWhileCut
	if slotRecord.Full && !keepOwn {
		slotState.previousHomes = nil
		clear(slotState.records)
	}
	if slotRecord.Full {
		for _, sent := range slotRecord.PreviousHomes {
			added := previousHome{target: targets[sent.Target], matchAll: sent.MatchAll, filter: decodeFilter(sent.Filter)}
			slotState.mergePreviousHome(added)
		}
		slotState.homeChangedAt = state.now
		slotState.sourceUnconfirmed = false
	}
	for _, received := range slotRecord.Records {
		target := targets[received.Target]
		existing, exists := slotState.records[received.Flow]
		switch {
		case !exists || !keepOwn:
			slotState.records[received.Flow] = &record{target: target}
			if keepOwn && !state.members[from].lostAt.IsZero() {
				state.emit(Reassign{Flow: received.Flow, Target: target, Since: state.members[from].lostAt})
			}
		case existing.target != target:
			state.count(CountConflict, 1)
		}
	}
	for _, flow := range slotRecord.Removed {
		delete(slotState.records, flow)
	}
	if slotState.empty() && !slotState.serving && slotState.source == _noMember && slotState.handover == nil {
		state.dropSlot(slotState)
		return
	}
	state.refreshSlot(slotState)
}

// mergePreviousHome adds a previous home unless there is one with the same target.
func (slotState *slotState) mergePreviousHome(added previousHome) {
	same := func(previousHome previousHome) bool { return previousHome.target == added.target }
	if !slices.ContainsFunc(slotState.previousHomes, same) {
		slotState.previousHomes = append(slotState.previousHomes, added)
	}
}
