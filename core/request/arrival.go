package request

import (
	"time"

	"azureshift/core/id"
)

// handleArrival handles one copy of a request, the first or a retransmission. Non-idempotent requests that waited
// while the instance was paused are dropped, as a copy may be older than Config.RetransmitWindow.
func (state *State) handleArrival(event Arrived) {
	state.handleArrivalFrom(id.Member{}, event)
}

// deferredArrival is a request that arrived during a takeover; from is set if an earlier owner handed it over.
type deferredArrival struct {
	Arrived
	from id.Member
}

// handleArrivalFrom handles a request from the fabric or, if from is set, from an earlier owner, which asserts that
// no target runs or ran the request for it.
func (state *State) handleArrivalFrom(from id.Member, event Arrived) {
	if event.Class == AtMostOnce && state.now.Before(state.fence.trustFrom) {
		return
	}
	shard := state.shard(event.Key.Service)
	known, ok := shard.records[event.Key]
	if ok && shard.ready && from.Instance != "" && known.status == StatusIntended && known.dispatcher == from {
		shard.remove(known)
		ok = false
	}
	if ok && known.pending != nil {
		state.count(CountDuplicate)
		return
	}
	if event.Class == Idempotent {
		state.admitIdempotent(shard, event)
		return
	}
	if !shard.serves() {
		state.deferArrival(shard, deferredArrival{Arrived: event, from: from})
		return
	}
	switch {
	case ok && known.moved && known.status == StatusIntended:
		state.forward(known, event.Payload)
	case ok:
		state.replyFromRecord(shard, known)
	case event.HomeMoved:
		state.admitMoved(shard, event)
	default:
		state.admitAtMostOnce(shard, event)
	}
}

// deferArrival keeps a request that arrives during a takeover. A member that neither owns the shard nor serves it
// alone does not reply, as a retransmission will reach the member that does.
func (state *State) deferArrival(shard *shard, arrival deferredArrival) {
	if shard.role != roleOwner || shard.ready || len(shard.deferred) >= state.config.QueueLength {
		return
	}
	for index, known := range shard.deferred {
		if known.Key != arrival.Key {
			continue
		}
		state.count(CountDuplicate)
		if arrival.from.Instance != "" {
			shard.deferred[index].from = arrival.from
		}
		return
	}
	shard.deferred = append(shard.deferred, arrival)
}

// replyFromRecord replies with the recorded outcome.
func (state *State) replyFromRecord(shard *shard, known *entry) {
	switch known.status {
	case StatusAnswered:
		if known.payload == nil {
			state.reply(shard, known, Unknown)
			return
		}
		state.reply(shard, known, Answered)
	case StatusNotRun:
		state.repeatNotRun(shard, known)
	case StatusIntended:
		if known.dispatcher != state.config.Self && state.dispatcherIsUp(known) {
			state.count(CountDuplicate)
			return
		}
		state.reply(shard, known, Unknown)
	case StatusQueued, StatusUnknown:
		state.reply(shard, known, Unknown)
	}
}

// repeatNotRun replies "not run" again; after a takeover the record may not be acknowledged yet.
func (state *State) repeatNotRun(shard *shard, known *entry) {
	if state.notRunIsRecorded(shard, known) {
		if state.hasQuorumLease() {
			state.reply(shard, known, NotRun)
		}
		return
	}
	known.pending = &pending{class: AtMostOnce, arrived: state.now, deadline: state.now.Add(state.config.RetransmitWindow)}
	shard.pendingEntries = append(shard.pendingEntries, known)
	state.replicate(shard, known, true)
}

// dispatcherIsUp reports whether the dispatcher of a record can still finish the request.
func (state *State) dispatcherIsUp(known *entry) bool {
	return state.view.Has(known.dispatcher) && !state.down[known.dispatcher]
}

func (state *State) reply(shard *shard, entry *entry, outcome Outcome) {
	state.checkReply(shard, entry, outcome)
	effect := Reply{Key: entry.key, Outcome: outcome}
	if outcome == Answered {
		effect.Payload = entry.payload
	}
	if outcome == NotRun {
		effect.RetryAfter = entry.retryAfter
	}
	state.emit(effect)
}

func (state *State) newEntry(event Arrived) *entry {
	return &entry{
		key:        event.Key,
		class:      event.Class,
		status:     StatusQueued,
		dispatcher: state.config.Self,
		createdAt:  state.now,
		pending: &pending{
			class:    event.Class,
			arrived:  event.At.At,
			deadline: event.Deadline,
			payload:  event.Payload,
		},
	}
}

func (state *State) admitAtMostOnce(shard *shard, event Arrived) {
	if state.now.Before(shard.uncertainUntil) && !state.config.Disabled.UncertaintyWindow {
		state.emit(Reply{Key: event.Key, Outcome: Unknown})
		return
	}
	entry := state.newEntry(event)
	shard.add(entry)
	shard.pendingEntries = append(shard.pendingEntries, entry)
	if state.shouldShed(shard, event.Deadline) {
		state.count(CountShed)
		state.finishNotRun(shard, entry, shard.queue.estimateWait(shard.pool.capacity(), shard.pool.latency))
		return
	}
	if state.config.Disabled.Intent || !shard.replicates() {
		state.enqueue(shard, entry)
		return
	}
	state.replicate(shard, entry, true)
}

func (state *State) admitIdempotent(shard *shard, event Arrived) {
	ownerDown := shard.role == roleRunnerUp && state.down[shard.pair.Owner]
	if shard.role != roleOwner && !ownerDown {
		return
	}
	entry := state.newEntry(event)
	if state.shouldShed(shard, event.Deadline) {
		state.count(CountShed)
		entry.retryAfter = shard.queue.estimateWait(shard.pool.capacity(), shard.pool.latency)
		state.emit(Reply{Key: event.Key, Outcome: NotRun, RetryAfter: entry.retryAfter})
		return
	}
	shard.add(entry)
	shard.pendingEntries = append(shard.pendingEntries, entry)
	state.enqueue(shard, entry)
}

// shouldShed reports whether a request that arrives now would spend too much of its time in the queue.
func (state *State) shouldShed(shard *shard, deadline time.Time) bool {
	if shard.queue.length >= state.config.QueueLength {
		return true
	}
	capacity := shard.pool.capacity()
	if capacity == 0 {
		return true
	}
	wait := shard.queue.estimateWait(capacity, shard.pool.latency)
	if wait == 0 {
		return !state.now.Before(deadline)
	}
	return wait > scale(state.config.MaxWaitShare, deadline.Sub(state.now))
}

func (state *State) enqueue(shard *shard, entry *entry) {
	entry.pending.durable = true
	shard.queue.push(entry)
	state.dispatchQueued(shard)
}

// finishNotRun records that a request did not run, and replies once the record is acknowledged.
func (state *State) finishNotRun(shard *shard, entry *entry, retryAfter time.Duration) {
	shard.queue.remove(entry)
	entry.retryAfter = retryAfter
	if entry.class == Idempotent {
		state.reply(shard, entry, NotRun)
		entry.pending = nil
		shard.remove(entry)
		return
	}
	entry.status = StatusNotRun
	if state.notRunIsRecorded(shard, entry) {
		state.replyNotRun(shard, entry)
		return
	}
	state.replicate(shard, entry, true)
}

// notRunIsRecorded reports whether any later owner will know that the request did not run.
func (state *State) notRunIsRecorded(shard *shard, entry *entry) bool {
	return entry.ackedStatus == StatusNotRun || !shard.replicates() || state.config.Disabled.NotRunRecord
}

// replyNotRun replies "not run" if this instance has the quorum lease, as an owner that was replaced without
// knowing it cannot reply on behalf of the new one.
func (state *State) replyNotRun(shard *shard, entry *entry) {
	if !shard.serves() || !state.hasQuorumLease() {
		return
	}
	state.reply(shard, entry, NotRun)
	entry.pending = nil
}

// cancel ends a request that its caller no longer wants, as far as possible.
func (state *State) cancel(key Key) {
	shard, ok := state.shards[state.shardName(key.Service)]
	if !ok {
		return
	}
	entry, ok := shard.records[key]
	if !ok || entry.pending == nil {
		return
	}
	if entry.hasOpenAttempt() {
		state.emit(CancelAttempt{Attempt: state.attempt(entry), Target: entry.target})
		return
	}
	if entry.status == StatusQueued && (entry.class == Idempotent || shard.serves()) {
		state.finishNotRun(shard, entry, 0)
	}
}
