package request

import (
	"slices"
	"time"

	"azureshift/core/id"
)

// recordSource names the members whose reports supply the records of a takeover.
type recordSource struct {
	members []id.Member
	// runnerUpHasRecords means that the current runner-up has the records too.
	runnerUpHasRecords bool
	// uncertainFor is how long requests without a record are answered Unknown.
	uncertainFor time.Duration
}

// finishTakeover merges the records of the sources and starts to serve.
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
	state.holdForeignAttempts(shard)
	state.startSync(shard, recordSource.runnerUpHasRecords)
	state.admitDeferred(shard)
	state.dispatchQueued(shard)
}

// requeueUndispatched queues again the requests that this instance had not dispatched, and drops those that other
// instances had not dispatched.
func (state *State) requeueUndispatched(shard *shard) {
	for _, entry := range shard.log {
		if entry.removed || entry.class != AtMostOnce || entry.status != StatusQueued {
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

// isStale reports whether a request has waited so long that the record of an earlier run may expire before the
// request is decided.
func (state *State) isStale(arrived time.Time) bool {
	return state.now.Sub(arrived) > state.config.RetransmitWindow
}

// admitDeferred handles the outcomes and requests that arrived during the takeover.
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
