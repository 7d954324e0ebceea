package request

import (
	"time"

	"azureshift/core/id"
)

func (state *State) shardName(service id.Service) id.Shard {
	return id.Shard{Service: service, Domain: state.config.Domain}
}

func (state *State) attempt(entry *entry) Attempt {
	return Attempt{Member: state.config.Self, Number: entry.pending.attemptNumber}
}

// dispatchQueued dispatches queued requests and lends slots while slots are free.
func (state *State) dispatchQueued(shard *shard) {
	if shard.queue.length == 0 && len(shard.lending.requests) == 0 {
		return
	}
	atMostOnceAllowed := shard.serves() && state.hasQuorumLease()
	if !atMostOnceAllowed && shard.queue.atMostOnce.head() != nil {
		state.count(CountFenced)
	}
	for {
		entry := shard.queue.next(atMostOnceAllowed)
		if entry != nil && state.missesDeadline(shard, entry) {
			state.count(CountShed)
			state.finishNotRun(shard, entry, shard.pool.latency)
			continue
		}
		if entry != nil && entry.moved {
			state.forwardMoved(shard, entry)
			continue
		}
		if state.lend(shard, entry) {
			continue
		}
		if entry == nil {
			return
		}
		target := shard.pool.pick(entry.pending.triedTargets, state.now)
		if target == nil {
			state.requestSlots(shard, entry)
			return
		}
		state.dispatch(shard, entry, target)
	}
}

// missesDeadline reports whether a request that has waited can no longer meet its deadline.
func (state *State) missesDeadline(shard *shard, entry *entry) bool {
	pending := entry.pending
	waited := state.now.After(pending.arrived.Add(shard.pool.latency))
	return waited && state.now.Add(shard.pool.latency).After(pending.deadline)
}

func (state *State) dispatch(shard *shard, entry *entry, target *target) {
	state.checkDispatch(shard, entry, target)
	shard.queue.remove(entry)
	state.lastAttempt++
	pending := entry.pending
	pending.attemptNumber = state.lastAttempt
	pending.target = target
	pending.dispatchedAt = state.now
	entry.status = StatusIntended
	entry.dispatcher = state.config.Self
	entry.target = target.name
	entry.attempted = true
	target.inFlight++
	state.attempts[pending.attemptNumber] = entry
	state.emit(Dispatch{
		Attempt:  state.attempt(entry),
		Key:      entry.key,
		Target:   target.name,
		Deadline: pending.deadline,
		Payload:  pending.payload,
	})
}

// closeAttempt ends the open attempt of an entry and returns its target.
func (state *State) closeAttempt(entry *entry) *target {
	target := entry.pending.target
	target.inFlight--
	delete(state.attempts, entry.pending.attemptNumber)
	entry.pending.target = nil
	state.returnLoan(target.loan)
	return target
}

func (state *State) handleTargetReply(event TargetReplied) {
	entry, ok := state.attempts[event.Attempt.Number]
	if !ok || event.Attempt.Member != state.config.Self {
		state.count(CountUnmatchedReply)
		return
	}
	shard := state.shard(entry.key.Service)
	target := state.closeAttempt(entry)
	switch event.Result {
	case ResultAnswered:
		shard.pool.recordAnswer(target, state.now.Sub(entry.pending.dispatchedAt), state.config)
		state.finishAnswered(shard, entry, event.Payload)
	case ResultRefused, ResultUnreachable:
		shard.pool.recordRefusal(target, event.RetryAfter, state.now)
		state.handleRefusal(shard, entry, target, event.RetryAfter)
	}
	state.dispatchQueued(shard)
}

func (state *State) finishAnswered(shard *shard, entry *entry, payload []byte) {
	entry.pending = nil
	entry.status = StatusAnswered
	state.checkReply(shard, entry, Answered)
	state.emit(Reply{Key: entry.key, Outcome: Answered, Payload: payload})
	if entry.class == Idempotent {
		shard.remove(entry)
		return
	}
	for range shard.answerCache.store(entry, payload, state.config) {
		state.count(CountEvicted)
	}
	state.propagateOutcome(shard, entry)
}

// propagateOutcome sends the outcome of an attempt to the runner-up, or to the owner if that has changed.
func (state *State) propagateOutcome(shard *shard, entry *entry) {
	if shard.leads() {
		state.replicate(shard, entry, false)
		return
	}
	if shard.pair.Owner.Instance != "" {
		state.send(shard.pair.Owner, ForwardedOutcome{Shard: shard.name, Record: entry.toRecord(state.now)})
	}
}

// handleRefusal retries a request that the target did not run at another target, or ends it as not run.
func (state *State) handleRefusal(shard *shard, entry *entry, target *target, retryAfter time.Duration) {
	entry.attempted = false
	entry.status = StatusQueued
	entry.target = ""
	pending := entry.pending
	pending.triedTargets = append(pending.triedTargets, target.name)
	if !shard.leads() {
		state.handOverEntry(shard, entry)
		return
	}
	if entry.class == AtMostOnce && !shard.serves() {
		pending.durable = false
		return
	}
	if pending.timedOut || !state.mayRetry(shard, pending) {
		state.finishNotRun(shard, entry, retryAfter)
		return
	}
	state.count(CountRetry)
	shard.pool.retryBudget--
	pending.retryAt = state.now.Add(state.retryJitter())
}

func (state *State) mayRetry(shard *shard, pending *pending) bool {
	return shard.pool.retryBudget >= 1 &&
		shard.pool.hasOther(pending.triedTargets) &&
		state.now.Add(state.config.RetryJitter+shard.pool.latency).Before(pending.deadline)
}

func (state *State) retryJitter() time.Duration {
	if state.config.Random == nil || state.config.RetryJitter <= 0 {
		return 0
	}
	return time.Duration(state.config.Random.Int63n(int64(state.config.RetryJitter)))
}

// tickPending ends requests whose time is up and queues requests whose retry is due.
func (state *State) tickPending(shard *shard) {
	kept := shard.pendingEntries[:0]
	for _, entry := range shard.pendingEntries {
		if entry.pending != nil && !entry.removed {
			state.tickEntry(shard, entry)
		}
		if entry.pending != nil && !entry.removed {
			kept = append(kept, entry)
		}
	}
	clear(shard.pendingEntries[len(kept):])
	shard.pendingEntries = kept
}

func (state *State) tickEntry(shard *shard, entry *entry) {
	pending := entry.pending
	expired := !state.now.Before(pending.deadline)
	switch {
	case entry.hasOpenAttempt():
		state.tickAttempt(shard, entry, expired)
	case entry.status == StatusNotRun:
		if state.notRunIsRecorded(shard, entry) {
			state.replyNotRun(shard, entry)
		}
	case entry.status != StatusQueued:
	case expired:
		if entry.class == Idempotent || shard.serves() {
			state.finishNotRun(shard, entry, shard.pool.latency)
		}
	case !pending.queued && pending.durable && !state.now.Before(pending.retryAt):
		shard.queue.push(entry)
	}
}

// tickAttempt replies Unknown at the deadline of an unanswered attempt and frees its slot at the attempt timeout.
func (state *State) tickAttempt(shard *shard, entry *entry, expired bool) {
	pending := entry.pending
	if expired && !pending.timedOut {
		pending.timedOut = true
		state.reply(shard, entry, Unknown)
	}
	if state.now.Sub(pending.dispatchedAt) < state.config.AttemptTimeout {
		return
	}
	state.count(CountSlotReclaimed)
	state.closeAttempt(entry)
	entry.pending = nil
	entry.status = StatusUnknown
	if entry.class == Idempotent {
		shard.remove(entry)
		return
	}
	state.propagateOutcome(shard, entry)
}
