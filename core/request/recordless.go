package request

import (
	"slices"
	"time"

	"azureshift/core/epoch"
	"azureshift/core/id"
)

// tryFinishWithoutRecords ends the takeover without complete records once no earlier dispatcher can still be running.
func (state *State) tryFinishWithoutRecords(shard *shard) {
	takeover := shard.takeover
	takeover.depth = len(state.history)
	fenced := state.viewChangedAt
	complete := len(state.history) > 0
	for depth := 1; depth <= len(state.history); depth++ {
		view := state.earlierView(depth)
		at, ok := state.fencedSince(shard, view)
		complete = complete && ok
		if at.After(fenced) {
			fenced = at
		}
		if state.hadCompleteRecords(shard, view) {
			break
		}
		complete = complete && (depth < len(state.history) || view.Number == 1)
	}
	if !state.mayFinishWithoutRecords(fenced, complete) {
		return
	}
	state.count(CountTakeoverWithoutRecords)
	state.finishTakeover(shard, recordSource{uncertainFor: state.config.RetransmitWindow})
}

func (state *State) mayFinishWithoutRecords(fenced time.Time, complete bool) bool {
	switch {
	case state.config.Disabled.UncertaintyWindow:
		return true
	case complete:
		return !state.now.Before(fenced.Add(state.config.FenceWait))
	default:
		wait := state.config.QuorumLossWait
		return wait > 0 && state.now.Sub(state.viewChangedAt) >= wait
	}
}

// fencedSince returns since when the members of a view that neither confirmed a later epoch nor are proved dead are
// not a majority.
func (state *State) fencedSince(shard *shard, view epoch.View) (time.Time, bool) {
	takeover := shard.takeover
	if at, ok := takeover.fencedSince[view.Number]; ok {
		return at, true
	}
	unconfirmed := 0
	for _, member := range view.Members {
		if _, ok := state.reportOf(shard, member); !ok && !state.fence.isDead(member) {
			unconfirmed++
		}
	}
	if unconfirmed >= view.Majority() {
		return time.Time{}, false
	}
	takeover.fencedSince[view.Number] = state.now
	return state.now, true
}

// hadCompleteRecords reports whether a member is known to have had complete records under the view. It can only have
// received them after the dispatchers of earlier views had stopped.
func (state *State) hadCompleteRecords(shard *shard, view epoch.View) bool {
	return slices.ContainsFunc(view.Members, func(member id.Member) bool {
		report, ok := state.reportOf(shard, member)
		return ok && report.CompleteEpoch == view.Number
	})
}
