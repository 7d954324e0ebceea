package request

// Broken identifies an invariant that was violated.
type Broken int

const (
	// BrokenDispatchedTwice means the dispatch of a request that a target runs or ran.
	BrokenDispatchedTwice Broken = iota + 1
	// BrokenNotRun means the reply "not run" for a request that a target runs or ran.
	BrokenNotRun
	// BrokenSlots means more requests at a target than it has slots.
	BrokenSlots
	// BrokenUnknownKey means a reply to a request that is not recorded.
	BrokenUnknownKey
	// BrokenIntent means a dispatch without the runner-up's record of the intent.
	BrokenIntent
	// BrokenRecord means the reply "not run" without the runner-up's record of it.
	BrokenRecord
)

// Violations returns how often each invariant was broken.
func (state *State) Violations() map[Broken]uint64 {
	return state.violations
}

func (state *State) reportViolation(broken Broken, key Key) {
	state.violations[broken]++
	state.emit(Violation{Broken: broken, Key: key})
}

func (state *State) checkDispatch(shard *shard, entry *entry, target *target) {
	if entry.attempted || entry.hasOpenAttempt() {
		state.reportViolation(BrokenDispatchedTwice, entry.key)
	}
	if target.inFlight >= target.slots {
		state.reportViolation(BrokenSlots, entry.key)
	}
	if entry.class == Once && shard.replicates() && entry.ackedStatus != StatusIntended && !state.config.Without.Intent {
		state.reportViolation(BrokenIntent, entry.key)
	}
}

func (state *State) checkReply(shard *shard, entry *entry, outcome Outcome) {
	if shard.records[entry.key] != entry {
		state.reportViolation(BrokenUnknownKey, entry.key)
	}
	if outcome != NotRun {
		return
	}
	if entry.attempted {
		state.reportViolation(BrokenNotRun, entry.key)
	}
	waived := state.config.Without.NotRunRecord || entry.class == Repeatable || !shard.replicates()
	if !waived && entry.ackedStatus != StatusNotRun {
		state.reportViolation(BrokenRecord, entry.key)
	}
}
