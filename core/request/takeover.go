package request

import (
	"slices"
	"time"

	"azureshift/core/epoch"
	"azureshift/core/id"
)

// takeover is the state of a new owner that collects the records of a shard. It requests reports from the members
// of earlier views, newest first, until the pair of one view supplies complete records:
//
//   - The runner-up's records suffice: no owner dispatches without the runner-up's acknowledgement, and the
//     runner-up knows what it dispatched alone. A runner-up that never had complete records acknowledged nothing,
//     so nothing was dispatched under its view.
//   - The owner's records suffice without the runner-up's if no majority can have acknowledged a seal, as the
//     runner-up then never served alone.
//   - If neither is available, the new owner waits until no dispatcher of the view can still be running. It then
//     answers requests without a record Unknown for as long as copies of requests that such a dispatcher ran may
//     arrive.
type takeover struct {
	requestedAt time.Time
	reports     map[id.Member]*partialReport
	// fencedSince is, for each view, when so many of its members had confirmed a later epoch or were proved dead
	// that the others were not a majority.
	fencedSince map[id.Epoch]time.Time
	depth       int
}

// finding tells what the reports show about one view.
type finding int

const (
	// findingUndecided means that more reports are needed.
	findingUndecided finding = iota + 1
	// findingIdle means that nothing was dispatched under the view.
	findingIdle
	// findingComplete means that the sources of complete records are known.
	findingComplete
)

func (state *State) startTakeover(shard *shard) {
	shard.takeover = &takeover{
		reports:     make(map[id.Member]*partialReport),
		fencedSince: make(map[id.Epoch]time.Time),
		depth:       1,
	}
	state.tickTakeover(shard)
}

func (state *State) tickTakeover(shard *shard) {
	if shard.takeover == nil {
		return
	}
	state.evaluateReports(shard)
	takeover := shard.takeover
	if takeover == nil || state.now.Sub(takeover.requestedAt) < state.config.ResendInterval {
		return
	}
	takeover.requestedAt = state.now
	requested := make(map[id.Member]bool)
	for depth := 1; depth <= min(takeover.depth, len(state.history)); depth++ {
		view := state.earlierView(depth)
		pair := view.Pair(epoch.HashShard(shard.name))
		for _, member := range view.Members {
			withRecords := (member == pair.Owner || member == pair.RunnerUp) && !shard.ownedUnder(view.Number)
			if requested[member] || member == state.config.Self || takeover.hasReport(member, withRecords) {
				continue
			}
			requested[member] = true
			state.send(member, ReportRequest{
				Epoch:       state.view.Number,
				Shard:       shard.name,
				WithRecords: withRecords,
				FirstChunk:  takeover.firstMissingChunk(member),
			})
		}
	}
}

// earlierView returns the view that is depth views before the current one.
func (state *State) earlierView(depth int) epoch.View {
	return state.history[len(state.history)-depth]
}

// ownedUnder reports whether this instance was the view's owner and still has its complete records.
func (shard *shard) ownedUnder(number id.Epoch) bool {
	return shard.completeEpoch == number && shard.wasOwner
}

// evaluateReports examines the earlier views, newest first, and ends the takeover if the reports suffice.
func (state *State) evaluateReports(shard *shard) {
	if state.config.Disabled.Intent {
		state.finishTakeover(shard, recordSource{})
		return
	}
	for depth := 1; depth <= len(state.history); depth++ {
		shard.takeover.depth = max(shard.takeover.depth, depth)
		view := state.earlierView(depth)
		finding, sources := state.examineView(shard, view)
		if finding == findingComplete && !state.hasRecordsOf(shard, view, sources) {
			finding = findingUndecided
		}
		switch finding {
		case findingComplete:
			runnerUpHasRecords := depth == 1 && state.runnerUpHasRecords(shard, view, sources)
			state.finishTakeover(shard, recordSource{members: sources, runnerUpHasRecords: runnerUpHasRecords})
			return
		case findingUndecided:
			state.tryFinishWithoutRecords(shard)
			return
		case findingIdle:
		}
	}
	if len(state.history) == 0 && state.view.Number == 1 || len(state.history) > 0 && state.history[0].Number == 1 {
		state.finishTakeover(shard, recordSource{})
		return
	}
	state.tryFinishWithoutRecords(shard)
}

// examineView tells whether a view's pair has reported enough, and whose records are to be used.
func (state *State) examineView(shard *shard, view epoch.View) (finding, []id.Member) {
	pair := view.Pair(epoch.HashShard(shard.name))
	owner, ownerKnown := state.reportOf(shard, pair.Owner)
	runnerUp, runnerUpKnown := state.reportOf(shard, pair.RunnerUp)
	ownerComplete := ownerKnown && owner.CompleteEpoch == view.Number
	switch {
	case runnerUpKnown && runnerUp.CompleteEpoch == view.Number:
		if ownerComplete {
			return findingComplete, []id.Member{pair.RunnerUp, pair.Owner}
		}
		if !ownerKnown && !state.down[pair.Owner] && state.now.Sub(state.viewChangedAt) < state.config.OwnerReportWait {
			return findingUndecided, nil
		}
		return findingComplete, []id.Member{pair.RunnerUp}
	case ownerComplete && (runnerUpKnown || state.cannotBeSealed(shard, view, pair.RunnerUp)):
		return findingComplete, []id.Member{pair.Owner}
	case runnerUpKnown, ownerKnown && !ownerComplete:
		return findingIdle, nil
	default:
		return findingUndecided, nil
	}
}

// hasRecordsOf reports whether the records of all sources have arrived.
func (state *State) hasRecordsOf(shard *shard, view epoch.View, sources []id.Member) bool {
	return shard.ownedUnder(view.Number) || !slices.ContainsFunc(sources, func(source id.Member) bool {
		return source != state.config.Self && !shard.takeover.hasReport(source, true)
	})
}

// cannotBeSealed reports whether no majority of the view can have acknowledged a seal.
func (state *State) cannotBeSealed(shard *shard, view epoch.View, runnerUp id.Member) bool {
	if runnerUp.Instance == "" || state.config.Disabled.Seal {
		return true
	}
	possibleAcks := 0
	for _, member := range view.Members {
		report, ok := state.reportOf(shard, member)
		if !ok || report.SealAckedEpoch >= view.Number {
			possibleAcks++
		}
	}
	return possibleAcks < view.Majority()
}

// runnerUpHasRecords reports whether the current runner-up already has all records.
func (state *State) runnerUpHasRecords(shard *shard, view epoch.View, sources []id.Member) bool {
	if !shard.ownedUnder(view.Number) || !slices.Contains(sources, shard.pair.RunnerUp) {
		return false
	}
	report, ok := state.reportOf(shard, shard.pair.RunnerUp)
	return ok && report.CompleteEpoch == view.Number && !report.ServedAlone &&
		view.Pair(epoch.HashShard(shard.name)).RunnerUp == shard.pair.RunnerUp
}
