package request

import (
	"maps"
	"slices"
	"time"

	"azureshift/core/epoch"
	"azureshift/core/id"
)

// role is the role of this instance for a shard under the current view.
type role int

const (
	roleNone role = iota + 1
	roleOwner
	roleRunnerUp
)

// shard holds the requests of one service whose home is this failure domain.
type shard struct {
	ledger
	name id.Shard
	pool *pool
	pair epoch.Pair
	role role
	// ready means that this instance has complete records under the current view.
	ready bool
	// stopped means that this owner must not serve any more, as its runner-up is about to serve alone or does so.
	stopped bool
	// completeEpoch is the latest epoch with complete records; sealed, alone and wasOwner refer to that epoch.
	completeEpoch  id.Epoch
	sealed         bool
	alone          bool
	wasOwner       bool
	uncertainUntil time.Time
	// reportRequested means that the current owner has requested a report.
	reportRequested bool
	// reportChunks is the report for a ReportRequest under the current view; its chunks stay the same when resent.
	reportChunks   []Report
	sealAckedEpoch id.Epoch

	queue          queue
	pendingEntries []*entry
	deferred       []deferredArrival
	earlyOutcomes  []ForwardedOutcome
	takeover       *takeover
	journal        journal
	outgoing       *outgoingSync
	incoming       *incomingSync
	seal           *sealing
	lending        lending
}

func newShard(name id.Shard, pool *pool, answerCache *answerCache) *shard {
	return &shard{ledger: newLedger(answerCache), name: name, pool: pool, role: roleNone}
}

// serves reports whether this instance may admit non-idempotent requests of the shard.
func (shard *shard) serves() bool {
	if !shard.ready {
		return false
	}
	if shard.role == roleOwner {
		return !shard.stopped
	}
	return shard.role == roleRunnerUp && shard.alone
}

// leads reports whether this instance is the one to record the outcomes of the shard.
func (shard *shard) leads() bool {
	return shard.role == roleOwner || shard.role == roleRunnerUp && shard.ready && shard.alone
}

// replicates reports whether records need the runner-up's acknowledgement.
func (shard *shard) replicates() bool {
	return shard.role == roleOwner && shard.pair.RunnerUp.Instance != ""
}

func (state *State) changeView(event ViewChanged) {
	if event.View.Domain != state.config.Domain {
		if event.View.Number > state.remoteViews[event.View.Domain].Number {
			state.remoteViews[event.View.Domain] = event.View
		}
		return
	}
	if event.View.Number <= state.view.Number {
		return
	}
	state.history = contiguous(event.History, event.View.Number)
	state.view = event.View
	state.view.Members = slices.Clone(event.View.Members)
	state.viewChangedAt = state.now
	state.fence.highestEpoch = max(state.fence.highestEpoch, event.View.Number)
	for _, member := range event.View.Members {
		state.fence.newest[member.Instance] = max(state.fence.newest[member.Instance], member.Incarnation)
	}
	state.prune()
	for _, shard := range state.sortedShards {
		state.assignRole(shard)
	}
}

// contiguous returns the views at the end of history that lead up to number without a gap.
func contiguous(history []epoch.View, number id.Epoch) []epoch.View {
	first := len(history)
	for first > 0 && history[first-1].Number+id.Epoch(len(history)-first)+1 == number {
		first--
	}
	return slices.Clone(history[first:])
}

// prune removes the state of members that are in no known view.
func (state *State) prune() {
	unknown := func(member id.Member) bool {
		return !state.view.Has(member) && !slices.ContainsFunc(state.history, func(view epoch.View) bool {
			return view.Has(member)
		})
	}
	maps.DeleteFunc(state.fence.gone, func(member id.Member, _ bool) bool { return unknown(member) })
	maps.DeleteFunc(state.down, func(member id.Member, _ bool) bool { return unknown(member) })
	maps.DeleteFunc(state.fence.heartbeats, func(member id.Member, _ heartbeat) bool { return unknown(member) })
}

// assignRole ends the role of this instance for the shard under the previous view and starts the one under the new
// view.
func (state *State) assignRole(shard *shard) {
	served := shard.role == roleOwner || shard.alone
	shard.pair = state.view.Pair(epoch.HashShard(shard.name))
	shard.ready = false
	shard.stopped = false
	shard.takeover = nil
	shard.reportRequested = false
	shard.reportChunks = nil
	shard.unmarkBuffered()
	shard.journal = journal{}
	shard.outgoing = nil
	shard.incoming = nil
	shard.seal = nil
	switch state.config.Self {
	case shard.pair.Owner:
		shard.role = roleOwner
		shard.rebuildQueue()
		state.startTakeover(shard)
		state.dispatchQueued(shard)
	case shard.pair.RunnerUp:
		shard.role = roleRunnerUp
	default:
		shard.role = roleNone
	}
	if served && shard.role != roleOwner {
		state.handOver(shard)
	}
}

func (shard *shard) unmarkBuffered() {
	for _, entry := range shard.journal.buffer {
		entry.buffered = false
	}
}

// rebuildQueue keeps idempotent requests in the queue; the others first need an intent under the new view.
func (shard *shard) rebuildQueue() {
	shard.queue = queue{}
	for _, entry := range shard.pendingEntries {
		if entry.removed || entry.pending == nil || entry.status != StatusQueued {
			continue
		}
		entry.pending.queued = false
		entry.pending.durable = false
		if entry.class == Idempotent {
			entry.pending.durable = true
			shard.queue.push(entry)
		}
	}
}

// handOver gives the new owner the requests that wait here; requests at a target are finished here.
func (state *State) handOver(shard *shard) {
	shard.queue = queue{}
	for _, entry := range shard.pendingEntries {
		if entry.pending == nil || entry.pending.target != nil || entry.status != StatusQueued {
			continue
		}
		state.handOverEntry(shard, entry)
	}
	for _, arrival := range shard.deferred {
		state.sendHandOver(shard, arrival.Arrived)
	}
	shard.deferred = nil
	shard.earlyOutcomes = nil
}

func (state *State) handOverEntry(shard *shard, entry *entry) {
	pending := entry.pending
	entry.pending = nil
	if entry.class == Idempotent {
		shard.remove(entry)
	}
	state.sendHandOver(shard, Arrived{
		At:        At{pending.arrived},
		Key:       entry.key,
		Class:     entry.class,
		Deadline:  pending.deadline,
		Payload:   pending.payload,
		HomeMoved: entry.moved,
	})
}

func (state *State) sendHandOver(shard *shard, arrival Arrived) {
	timeLeft := arrival.Deadline.Sub(state.now)
	if timeLeft <= 0 || shard.pair.Owner.Instance == "" || shard.pair.Owner == state.config.Self {
		return
	}
	state.send(shard.pair.Owner, HandOver{
		Epoch:     state.view.Number,
		Shard:     shard.name,
		Caller:    arrival.Key.Caller,
		Tag:       arrival.Key.Tag,
		Class:     arrival.Class,
		HomeMoved: arrival.HomeMoved,
		TimeLeft:  timeLeft,
		Payload:   arrival.Payload,
		Age:       state.now.Sub(arrival.At.At),
	})
}

// handleHandOver takes over a request that no target runs or ran for its earlier owner. The epoch ensures that the
// sender has not owned the shard again since.
func (state *State) handleHandOver(from id.Member, message HandOver) {
	if message.Epoch != state.view.Number || message.Shard.Domain != state.config.Domain {
		return
	}
	shard := state.shard(message.Shard.Service)
	if shard.role != roleOwner || message.Age > state.config.RetransmitWindow {
		return
	}
	state.handleArrivalFrom(from, Arrived{
		At:        At{state.now.Add(-message.Age)},
		Key:       Key{Caller: message.Caller, Service: message.Shard.Service, Tag: message.Tag},
		Class:     message.Class,
		Deadline:  state.now.Add(message.TimeLeft),
		Payload:   message.Payload,
		HomeMoved: message.HomeMoved,
	})
}

// handleForwardedOutcome records the outcome of a request that an earlier owner had dispatched.
func (state *State) handleForwardedOutcome(message ForwardedOutcome) {
	if message.Shard.Domain != state.config.Domain {
		return
	}
	shard := state.shard(message.Shard.Service)
	if shard.role != roleOwner {
		return
	}
	if !shard.ready {
		shard.earlyOutcomes = append(shard.earlyOutcomes, message)
		return
	}
	entry := state.merge(shard, message.Record, message.Record.Dispatcher)
	state.replicate(shard, entry, false)
}
