package membership

// apply applies a record if it supersedes the known one, and disseminates it.
func (state *State) apply(record Record) {
	if record.Member.Instance == state.self.Member.Instance {
		state.refute(record)
		return
	}
	ended, known := state.tombstones.byInstance[record.Member.Instance]
	if known && !record.Supersedes(ended) {
		state.count(CountStaleRecord)
		return
	}
	held := state.members[record.Member.Instance]
	if held != nil && !record.Supersedes(held.record) {
		return
	}
	if record.ended() {
		state.applyEnded(record)
		return
	}
	if record.Status == Suspect && record.Domain != state.ownDomain.name {
		return
	}
	state.applyLive(record)
}

// applyLive applies a record of an incarnation that has not ended.
func (state *State) applyLive(record Record) {
	held := state.members[record.Member.Instance]
	if held != nil && held.record.Member.Incarnation < record.Member.Incarnation {
		state.removeMember(held)
		held = nil
	}
	if held == nil {
		state.addMember(record)
		return
	}
	state.updateMember(held, record)
}

// addMember adds an incarnation that was unknown.
func (state *State) addMember(record Record) {
	if len(state.members) >= state.config.MaxMembers {
		state.count(CountMemberLimit)
		return
	}
	joined := &member{record: record, leaving: record.Status == Leaving}
	state.members[record.Member.Instance] = joined
	delete(state.tombstones.byInstance, record.Member.Instance)
	state.domainOf(record.Domain).add(joined)
	state.emit(Up{Record: record})
	if joined.leaving {
		state.emit(LeaveAnnounced{Member: record.Member})
	}
	if record.Status == Suspect {
		state.startSuspicion(joined, false)
	}
	state.disseminate(record)
}

// updateMember applies a newer record of a known incarnation.
func (state *State) updateMember(held *member, record Record) {
	previous := held.record.Status
	record.Domain = held.record.Domain
	held.record = record
	if record.Status == Leaving && !held.leaving {
		domain := state.domainOf(record.Domain)
		domain.remove(held)
		held.leaving = true
		domain.add(held)
		state.emit(LeaveAnnounced{Member: record.Member})
	}
	if record.Status == Suspect {
		state.startSuspicion(held, false)
	}
	if previous == Suspect && record.Status != Suspect {
		state.clearSuspicion(held)
		state.emit(SuspicionCleared{Member: record.Member})
	}
	state.disseminate(record)
}

// applyEnded removes a member whose incarnation has ended and keeps a tombstone.
func (state *State) applyEnded(record Record) {
	held := state.members[record.Member.Instance]
	if held != nil {
		state.removeMember(held)
	}
	if !state.config.Disabled.Tombstones {
		state.tombstones.add(record, state.now, state.config.MaxTombstones)
	}
	state.disseminate(record)
}

// removeMember removes a member and emits Down.
func (state *State) removeMember(held *member) {
	delete(state.members, held.record.Member.Instance)
	state.domainOf(held.record.Domain).remove(held)
	state.clearSuspicion(held)
	state.emit(Down{Record: held.record})
}

// refute handles a record of this instance received from others: it refutes a suspicion or a death and reports a
// newer incarnation.
func (state *State) refute(record Record) {
	if record.Member.Incarnation > state.self.Member.Incarnation {
		state.emit(Replaced{By: record.Member})
		return
	}
	if record.Member != state.self.Member || record.Refutation < state.self.Refutation {
		return
	}
	if (record.Status != Suspect && record.Status != Dead) || state.config.Disabled.Refutation {
		return
	}
	state.self.Refutation = record.Refutation + 1
	state.count(CountRefuted)
	state.enqueue(state.self)
}
