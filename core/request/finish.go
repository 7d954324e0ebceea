package request

import (
	"slices"
	"time"

	"azureshift/core/id"
)

// recordSource is where a takeover has its records from.
type recordSource struct {
	members []id.Member
	// runnerUpHasRecords means that the runner-up in force has them too.
	runnerUpHasRecords bool
	// uncertainFor is how long orders are answered unknown for want of records.
	uncertainFor time.Duration
}

// finishTakeover merges the records of the source and starts to serve.
func (state *State) finishTakeover(shard *shard, recordSource recordSource) {
	takeover := shard.takeover
	shard.takeover = nil
	uncertainFor := recordSource.uncertainFor
	if !slices.Contains(recordSource.members, state.config.Self) {
		shard.dropRecords(len(recordSource.members) > 0)
		shard.uncertainUntil = time.Time{}
	}
	for _, member := range recordSource.members {
		report, ok := takeover.reports[member]
		if !ok {
			continue
		}
		uncertainFor = max(uncertainFor, report.UncertainFor)
		for _, chunk := range report.chunks {
			for _, record := range chunk {
				state.merge(shard, record, member)
			}
		}
	}
	if until := state.now.Add(uncertainFor); uncertainFor > 0 && until.After(shard.uncertainUntil) {
		shard.uncertainUntil = until
	}
	state.count(CountTakeover)
	shard.markComplete(state.view.Number)
	shard.wasOwner = true
	state.requeueUndispatched(shard)
	state.reserveForeignAttempts(shard)
	state.startSync(shard, recordSource.runnerUpHasRecords)
	state.admitDeferred(shard)
	state.dispatchQueued(shard)
}

// requeueUndispatched brings back to the queue what this instance had not dispatched, and drops what others had not.
func (state *State) requeueUndispatched(shard *shard) {
	for _, entry := range shard.log {
		if entry.removed || entry.class != Once || entry.status != StatusQueued {
			continue
		}
		if entry.pending == nil || state.isStale(entry.pending.arrived) {
			shard.queue.remove(entry)
			shard.remove(entry)
			continue
		}
		shard.queue.remove(entry)
		entry.dispatcher = state.config.Self
		entry.pending.durable = !shard.replicates()
		if entry.pending.durable {
			shard.queue.push(entry)
		}
	}
}

// isStale reports whether a request has waited so long that the record of a run may be forgotten before it is
// decided.
func (state *State) isStale(arrived time.Time) bool {
	return state.now.Sub(arrived) > state.config.RetransmitSpan
}

// admitDeferred takes what came during the takeover.
func (state *State) admitDeferred(shard *shard) {
	outcomes := shard.earlyOutcomes
	shard.earlyOutcomes = nil
	for _, outcome := range outcomes {
		state.handleForwardedOutcome(outcome)
	}
	deferred := shard.deferred
	shard.deferred = nil
	for _, next := range deferred {
		if !state.isStale(next.At.At) {
			state.handleArrivalFrom(next.from, next.Arrived)
		}
	}
}
