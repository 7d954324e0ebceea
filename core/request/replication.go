package request

import (
	"time"

	"azureshift/core/id"
)

// _maxInFlightBatches is how many unacknowledged batches the owner may have. Further records wait for an
// acknowledgement and are then sent together.
const _maxInFlightBatches = 2

// journal holds the records that the runner-up has not acknowledged yet. Nothing is sent until the runner-up is
// synced.
type journal struct {
	synced       bool
	lastSequence uint64
	buffer       []*entry
	inFlight     []batch
}

type batch struct {
	sentAt   time.Time
	message  Replicate
	entries  []*entry
	statuses []Status
}

// replicate stores the status of an entry at the runner-up. A record that is not urgent waits for others to be sent
// with.
func (state *State) replicate(shard *shard, entry *entry, urgent bool) {
	if !shard.replicates() {
		return
	}
	if !entry.buffered {
		entry.buffered = true
		shard.journal.buffer = append(shard.journal.buffer, entry)
	}
	if urgent || len(shard.journal.buffer) >= state.config.RecordsPerMessage {
		state.flush(shard)
	}
}

func (state *State) flush(shard *shard) {
	journal := &shard.journal
	for journal.synced && len(journal.buffer) > 0 && len(journal.inFlight) < _maxInFlightBatches {
		size := min(len(journal.buffer), state.config.RecordsPerMessage)
		state.sendBatch(shard, journal.buffer[:size])
		journal.buffer = journal.buffer[size:]
	}
}

func (state *State) sendBatch(shard *shard, entries []*entry) {
	journal := &shard.journal
	journal.lastSequence++
	next := batch{
		sentAt:   state.now,
		message:  Replicate{Epoch: state.view.Number, Shard: shard.name, Sequence: journal.lastSequence},
		statuses: make([]Status, 0, len(entries)),
	}
	for _, entry := range entries {
		entry.buffered = false
		record := entry.toRecord(state.now)
		if record.Status == StatusQueued {
			record.Status = StatusIntended
		}
		next.entries = append(next.entries, entry)
		next.statuses = append(next.statuses, record.Status)
		next.message.Records = append(next.message.Records, record)
	}
	journal.inFlight = append(journal.inFlight, next)
	state.send(shard.pair.RunnerUp, next.message)
}

// handleReplicate stores the owner's records, if this instance is its synced runner-up under the same epoch.
func (state *State) handleReplicate(from id.Member, message Replicate) {
	shard := state.shard(message.Shard.Service)
	if !state.config.Disabled.EpochCheck {
		if message.Epoch > state.view.Number {
			return
		}
		if message.Epoch < state.view.Number || shard.sealed && shard.completeEpoch == message.Epoch {
			sealed := message.Epoch == state.view.Number
			state.send(from, ReplicateReject{Epoch: message.Epoch, Shard: message.Shard, Sealed: sealed})
			return
		}
		if shard.role != roleRunnerUp || !shard.ready || shard.pair.Owner != from {
			return
		}
	}
	for _, record := range message.Records {
		state.mergeReplicated(shard, record)
	}
	state.send(from, ReplicateAck{Epoch: message.Epoch, Shard: message.Shard, Sequence: message.Sequence})
}

// mergeReplicated merges a record of the owner. It replaces what an earlier dispatcher left open, never an outcome.
func (state *State) mergeReplicated(shard *shard, record Record) {
	key := Key{Caller: record.Caller, Service: shard.name.Service, Tag: record.Tag}
	known, ok := shard.records[key]
	if ok && !known.hasOpenAttempt() && known.status <= StatusIntended && record.Status >= known.status {
		known.status = record.Status
		known.dispatcher = record.Dispatcher
	}
	state.merge(shard, record, record.Dispatcher)
}

func (state *State) handleReplicateAck(from id.Member, message ReplicateAck) {
	shard, ok := state.shards[message.Shard]
	if !ok || message.Epoch != state.view.Number || from != shard.pair.RunnerUp || shard.role != roleOwner {
		return
	}
	for index, batch := range shard.journal.inFlight {
		if batch.message.Sequence != message.Sequence {
			continue
		}
		shard.journal.inFlight = append(shard.journal.inFlight[:index], shard.journal.inFlight[index+1:]...)
		for at, entry := range batch.entries {
			state.applyAck(shard, entry, batch.statuses[at])
		}
		break
	}
	state.flush(shard)
	state.dispatchQueued(shard)
}

// applyAck queues or answers a request whose record the runner-up has acknowledged.
func (state *State) applyAck(shard *shard, entry *entry, status Status) {
	if entry.removed {
		return
	}
	entry.ackedStatus = max(entry.ackedStatus, status)
	if entry.pending == nil {
		return
	}
	switch {
	case entry.status == StatusQueued && status == StatusIntended && !entry.pending.durable:
		entry.pending.durable = true
		shard.queue.push(entry)
	case entry.status == StatusNotRun && status == StatusNotRun:
		state.replyNotRun(shard, entry)
	}
}

// handleReplicateReject stops an owner whose runner-up serves alone.
func (state *State) handleReplicateReject(from id.Member, message ReplicateReject) {
	shard, ok := state.shards[message.Shard]
	if !ok || message.Epoch != state.view.Number || from != shard.pair.RunnerUp || !message.Sealed {
		return
	}
	state.stopOwner(shard)
}

func (state *State) stopOwner(shard *shard) {
	if shard.role != roleOwner || shard.stopped {
		return
	}
	shard.stopped = true
	state.emit(ProposeEpoch{After: state.view.Number})
}

func (state *State) tickJournal(shard *shard) {
	if shard.role != roleOwner || !shard.journal.synced {
		return
	}
	for index := range shard.journal.inFlight {
		batch := &shard.journal.inFlight[index]
		if state.now.Sub(batch.sentAt) >= state.config.ResendInterval {
			batch.sentAt = state.now
			state.send(shard.pair.RunnerUp, batch.message)
		}
	}
	state.flush(shard)
}
