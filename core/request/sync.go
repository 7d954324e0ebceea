package request

import (
	"time"

	"azureshift/core/id"
)

// outgoingSync is the transfer of the owner's records to a new runner-up.
type outgoingSync struct {
	sentAt  time.Time
	chunks  []Sync
	acked   []bool
	unacked int
}

// incomingSync holds the chunks that a runner-up has received so far.
type incomingSync struct {
	chunks  []*Sync
	missing int
}

// startSync brings the runner-up up to date. With runnerUpHasRecords it only lacks what it has not acknowledged.
func (state *State) startSync(shard *shard, runnerUpHasRecords bool) {
	if !shard.replicates() {
		return
	}
	var records []Record
	for _, entry := range shard.log {
		if entry.removed || entry.class != AtMostOnce {
			continue
		}
		if runnerUpHasRecords {
			state.bufferIfUnacked(shard, entry)
			continue
		}
		entry.ackedStatus = 0
		if entry.status == StatusQueued {
			state.bufferIfUnacked(shard, entry)
			continue
		}
		records = append(records, entry.toRecord(state.now))
		if entry.status == StatusNotRun && entry.pending != nil {
			state.bufferIfUnacked(shard, entry)
			continue
		}
		entry.ackedStatus = entry.status
	}
	shard.outgoing = newOutgoingSync(Sync{
		Epoch:        state.view.Number,
		Shard:        shard.name,
		Keep:         runnerUpHasRecords,
		UncertainFor: max(0, shard.uncertainUntil.Sub(state.now)),
	}, records, state.config.RecordsPerMessage)
	state.tickSync(shard)
}

// bufferIfUnacked buffers an entry whose status the runner-up lacks.
func (state *State) bufferIfUnacked(shard *shard, entry *entry) {
	wanted := entry.status
	if wanted == StatusQueued {
		wanted = StatusIntended
	}
	if entry.ackedStatus != wanted || entry.pending != nil && !entry.pending.durable {
		entry.buffered = true
		shard.journal.buffer = append(shard.journal.buffer, entry)
	}
}

func newOutgoingSync(template Sync, records []Record, perMessage int) *outgoingSync {
	outgoing := &outgoingSync{}
	for first := true; first || len(records) > 0; first = false {
		count := min(perMessage, len(records))
		chunk := template
		chunk.Chunk = len(outgoing.chunks)
		chunk.Records = records[:count]
		records = records[count:]
		outgoing.chunks = append(outgoing.chunks, chunk)
	}
	for index := range outgoing.chunks {
		outgoing.chunks[index].Chunks = len(outgoing.chunks)
	}
	outgoing.unacked = len(outgoing.chunks)
	outgoing.acked = make([]bool, outgoing.unacked)
	return outgoing
}

func (state *State) tickSync(shard *shard) {
	outgoing := shard.outgoing
	if outgoing == nil || outgoing.unacked == 0 || state.now.Sub(outgoing.sentAt) < state.config.ResendInterval {
		return
	}
	outgoing.sentAt = state.now
	for index, chunk := range outgoing.chunks {
		if !outgoing.acked[index] {
			state.send(shard.pair.RunnerUp, chunk)
		}
	}
}

// handleSync collects the owner's records; with the last chunk this instance is ready to act as runner-up.
func (state *State) handleSync(from id.Member, message Sync) {
	if message.Epoch != state.view.Number || message.Shard.Domain != state.config.Domain {
		return
	}
	shard := state.shard(message.Shard.Service)
	if shard.role != roleRunnerUp || shard.pair.Owner != from || message.Chunk >= message.Chunks {
		return
	}
	state.send(from, SyncAck{Epoch: message.Epoch, Shard: message.Shard, Chunk: message.Chunk})
	if shard.ready {
		return
	}
	if shard.incoming == nil {
		shard.incoming = &incomingSync{chunks: make([]*Sync, message.Chunks), missing: message.Chunks}
	}
	if shard.incoming.chunks[message.Chunk] != nil {
		return
	}
	shard.incoming.chunks[message.Chunk] = &message
	shard.incoming.missing--
	if shard.incoming.missing == 0 {
		state.finishSync(shard)
	}
}

func (state *State) finishSync(shard *shard) {
	first := shard.incoming.chunks[0]
	if !first.Keep {
		shard.dropRecords(false)
		for _, chunk := range shard.incoming.chunks {
			for _, record := range chunk.Records {
				state.merge(shard, record, record.Dispatcher)
			}
		}
	}
	shard.incoming = nil
	shard.uncertainUntil = state.now.Add(first.UncertainFor)
	shard.markComplete(state.view.Number)
	shard.wasOwner = false
	if state.down[shard.pair.Owner] {
		state.startSeal(shard)
	}
}

// markComplete notes that this instance has complete records under an epoch.
func (shard *shard) markComplete(epoch id.Epoch) {
	shard.ready = true
	shard.completeEpoch = epoch
	shard.sealed = false
	shard.alone = false
}

// dropRecords removes the records of non-idempotent requests except those with open attempts and, with keepWaiting,
// those that await dispatch here.
func (shard *shard) dropRecords(keepWaiting bool) {
	for _, entry := range shard.log {
		if entry.removed || entry.hasOpenAttempt() || entry.class != AtMostOnce || keepWaiting && entry.awaitsDispatch() {
			continue
		}
		shard.remove(entry)
	}
}

// awaitsDispatch reports whether the request waits here and every target that it was sent to has refused it.
func (entry *entry) awaitsDispatch() bool {
	return entry.pending != nil && entry.status == StatusQueued
}

func (state *State) handleSyncAck(from id.Member, message SyncAck) {
	shard, ok := state.shards[message.Shard]
	if !ok || shard.outgoing == nil || message.Epoch != state.view.Number || from != shard.pair.RunnerUp {
		return
	}
	outgoing := shard.outgoing
	if message.Chunk >= len(outgoing.acked) || outgoing.acked[message.Chunk] {
		return
	}
	outgoing.acked[message.Chunk] = true
	outgoing.unacked--
	if outgoing.unacked == 0 {
		shard.outgoing = nil
		shard.journal.synced = true
		state.flush(shard)
	}
}
