package membership

import "slices"

// startSuspicion starts the timeout in which a member of the local domain has to refute the suspicion.
func (state *State) startSuspicion(held *member, ownProbesFailed bool) {
	if ownProbesFailed {
		held.ownProbesFailed = true
	}
	if slices.Contains(state.suspects, held) {
		return
	}
	held.suspectedSince = state.now
	state.suspects = append(state.suspects, held)
	state.emit(Suspected{Member: held.record.Member})
}

// raiseSuspicion suspects a member that did not answer a probe by this instance, and disseminates the suspicion.
func (state *State) raiseSuspicion(held *member) {
	if held.record.Status == Suspect {
		state.startSuspicion(held, true)
		return
	}
	held.record.Status = Suspect
	state.startSuspicion(held, true)
	state.enqueue(held.record)
}

func (state *State) clearSuspicion(held *member) {
	held.ownProbesFailed = false
	index := slices.Index(state.suspects, held)
	if index >= 0 {
		state.suspects = slices.Delete(state.suspects, index, index+1)
	}
}

// checkSuspects declares suspects dead that did not refute in time. On each Tick it also probes those again that
// failed a probe by this instance. For the others the timeout is twice as long, so that an instance whose own probe
// failed decides first.
func (state *State) checkSuspects() {
	for _, suspect := range slices.Clone(state.suspects) {
		limit := 2 * state.config.SuspicionTimeout
		if suspect.ownProbesFailed {
			limit = state.config.SuspicionTimeout
			state.probeSuspect(suspect)
		}
		if state.now.Sub(suspect.suspectedSince) < limit {
			continue
		}
		if state.mayDeclareDead(suspect) {
			record := suspect.record
			record.Status = Dead
			state.applyEnded(record)
			continue
		}
		state.count(CountDeathWithheld)
	}
}

// probeSuspect sends a probe that carries the suspicion, so that the suspect can refute it.
func (state *State) probeSuspect(suspect *member) {
	state.sequence++
	message := Message{Kind: Probe, Sequence: state.sequence, Records: []Record{suspect.record}}
	state.send(suspect.record.Address, message)
}

// mayDeclareDead reports whether the suspect rather than this instance is likely to have failed: this instance has not
// just resumed, and it has received a message since the suspicion began or has waited for IsolationLimit.
func (state *State) mayDeclareDead(suspect *member) bool {
	if state.now.Before(state.noDeathsUntil) && !state.config.Disabled.PauseCheck {
		return false
	}
	if state.config.Disabled.Isolation || len(state.members) == 1 {
		return true
	}
	return state.lastReceived.After(suspect.suspectedSince) ||
		state.now.Sub(suspect.suspectedSince) >= state.config.IsolationLimit
}
