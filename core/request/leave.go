package request

import "azureshift/core/epoch"

// startLeaving starts a planned stop: the membership is asked for an epoch without this instance, its new owners
// fetch the records, and what targets hold is finished here.
func (state *State) startLeaving() {
	if state.leaving {
		return
	}
	state.leaving = true
	state.leaveDeadline = state.now.Add(state.config.LeaveLimit)
	state.emit(EpochWanted{After: state.view.Number})
}

func (state *State) tickLeave() {
	if !state.leaving || state.left {
		return
	}
	if state.now.Before(state.leaveDeadline) && !state.canLeave() {
		return
	}
	state.left = true
	state.emit(Left{})
}

// canLeave reports whether others own everything and have all records, and no target owes an answer.
func (state *State) canLeave() bool {
	if state.view.Has(state.config.Self) || len(state.attempts) > 0 {
		return false
	}
	if state.now.Sub(state.viewChangedAt) >= state.config.LeaveReportWait {
		// An owner that lacks records asks for them again and again: one that has not asked needs none.
		return true
	}
	for _, shard := range state.sortedShards {
		if shard.completeEpoch != 0 && !shard.reportRequested && !state.ownerUnchanged(shard) {
			return false
		}
	}
	return true
}

// ownerUnchanged reports whether the owner in force is the one whose runner-up this instance was: it has all
// records itself and asks for none.
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
