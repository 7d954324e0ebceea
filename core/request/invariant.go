package request

// Invariant identifies an invariant that was violated.
type Invariant int

const (
	// InvariantDispatchOnce means the dispatch of a request that a target runs or ran.
	InvariantDispatchOnce Invariant = iota + 1
	// InvariantNotRun means the reply "not run" for a request that a target runs or ran.
	InvariantNotRun
	// InvariantSlots means more requests at a target than it has slots.
	InvariantSlots
	// InvariantKnownKey means a reply to a request that is not recorded.
	InvariantKnownKey
	// InvariantIntentRecorded means a dispatch without the runner-up's record of the intent.
	InvariantIntentRecorded
	// InvariantNotRunRecorded means the reply "not run" without the runner-up's record of it.
	InvariantNotRunRecorded
)

// Violations returns how often each invariant was broken.
func (state *State) Violations() map[Invariant]uint64 {
	return state.violations
}

func (state *State) reportViolation(invariant Invariant, key Key) {
	state.violations[invariant]++
	state.emit(Violation{Invariant: invariant, Key: key})
}

func (state *State) checkDispatch(shard *shard, entry *entry, target *target) {
	if entry.attempted || entry.hasOpenAttempt() {
		state.reportViolation(InvariantDispatchOnce, entry.key)
	}
	if target.inFlight >= target.slots {
		state.reportViolation(InvariantSlots, entry.key)
	}
	if entry.class == AtMostOnce && shard.replicates() && entry.ackedStatus != StatusIntended &&
		!state.config.Disabled.Intent {
		state.reportViolation(InvariantIntentRecorded, entry.key)
	}
}

func (state *State) checkReply(shard *shard, entry *entry, outcome Outcome) {
	if shard.records[entry.key] != entry {
		state.reportViolation(InvariantKnownKey, entry.key)
	}
	if outcome != NotRun {
		return
	}
	if entry.attempted {
		state.reportViolation(InvariantNotRun, entry.key)
	}
	waived := state.config.Disabled.NotRunRecord || entry.class == Idempotent || !shard.replicates()
	if !waived && entry.ackedStatus != StatusNotRun {
		state.reportViolation(InvariantNotRunRecorded, entry.key)
	}
}
