package request

import "azureshift/core/epoch"

// startLeaving starts a planned stop: it asks the membership for an epoch without this instance. The new owners
// then request the records, and attempts that are still open at targets are finished here.
func (state *State) startLeaving() {
	if state.leaving {
		return
	}
	state.leaving = true
	state.leaveDeadline = state.now.Add(state.config.LeaveTimeout)
	state.emit(ProposeEpoch{After: state.view.Number})
}

func (state *State) tickLeave() {
	if !state.leaving || state.left {
		return
	}
	if state.now.Before(state.leaveDeadline) && !state.canLeave() {
		return
	}
	state.left = true
	state.emit(LeaveCompleted{})
}

// canLeave reports whether other instances own all shards and have all records, and no target owes an answer.
func (state *State) canLeave() bool {
	if state.view.Has(state.config.Self) || len(state.attempts) > 0 {
		return false
	}
	if state.now.Sub(state.viewChangedAt) >= state.config.LeaveReportWait {
		// An owner that lacks records keeps requesting them, so one that has not done so by now needs none.
		return true
	}
	for _, shard := range state.sortedShards {
		if shard.completeEpoch != 0 && !shard.reportRequested && !state.ownerUnchanged(shard) {
			return false
		}
	}
	return true
}

// ownerUnchanged reports whether the current owner is the one whose runner-up this instance was. Such an owner has
// all records and requests none.
func (state *State) ownerUnchanged(shard *shard) bool {
	if shard.wasOwner || shard.alone {
		return false
	}
	for _, view := range state.history {
		if view.Number == shard.completeEpoch {
			return view.Pair(epoch.HashShard(shard.name)).Owner == shard.pair.Owner
		}
	}
	return false
}
