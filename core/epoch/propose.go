package epoch

import (
	"slices"
	"time"

	"azureshift/core/id"
)

// callPlatform handles timeouts and emits the next request to the platform if one is due.
func (state *State) callPlatform() {
	switch state.request.kind {
	case _proposing, _reading:
		if state.now.Sub(state.request.startedAt) >= state.config.AnswerTimeout {
			state.scheduleRead()
		}
	case _outcomeUnknown:
		if !state.now.Before(state.retryAt) {
			state.startRequest(_reading)
			state.emit(Read{Domain: state.config.Domain})
		}
	case _noRequest:
		state.propose()
	}
}

// propose proposes the live members as the next view if it is this instance's turn.
func (state *State) propose() {
	if state.differsSince.IsZero() || state.now.Before(state.retryAt) {
		return
	}
	rank := state.rank()
	if rank < 0 || state.now.Before(state.proposalTime(rank)) {
		return
	}
	state.startRequest(_proposing)
	next := View{Domain: state.config.Domain, Number: state.view.Number + 1, Members: slices.Clone(state.live)}
	state.emit(Propose{Expected: state.view.Number, View: next})
}

// proposalTime returns the time from which on this instance may propose if it has that rank.
func (state *State) proposalTime(rank int) time.Time {
	turn := earliest(state.liveChangedAt.Add(state.config.StabilityWait),
		state.differsSince.Add(state.config.MaxStabilityWait))
	if state.config.Disabled.StabilityWait {
		return state.now
	}
	if !state.config.Disabled.TurnDelay {
		turn = turn.Add(time.Duration(rank) * state.config.TurnDelay)
	}
	if state.mustYield() {
		turn = turn.Add(state.config.NonMemberDelay << state.exclusions)
	}
	turn = latest(turn, state.startedAt.Add(state.config.StartDelay))
	return latest(turn, state.adoptedAt.Add(state.config.MinInterval))
}

// mustYield reports whether this instance has to wait longer because the view's members should propose
// first. An instance that is not a member may not know most of them yet, or be cut off from them. It
// does not wait if all members have restarted with a later incarnation.
func (state *State) mustYield() bool {
	if state.config.Disabled.NonMemberDelay || state.view.Number == 0 || state.view.Has(state.config.Self) {
		return false
	}
	return slices.ContainsFunc(state.view.Members, func(member id.Member) bool {
		return !slices.ContainsFunc(state.live, func(live id.Member) bool {
			return live.Instance == member.Instance && live.Incarnation > member.Incarnation
		})
	})
}

// handleSwapped handles the outcome of a proposal.
func (state *State) handleSwapped(event Swapped) {
	switch result := event.Result.(type) {
	case Applied:
		state.finishRequest()
		state.adopt(event.Proposed)
	case NotApplied:
		state.finishRequest()
		state.retryAt = state.now.Add(state.config.Backoff)
		state.adopt(result.Current)
	case OutcomeUnknown:
		if state.request.kind == _proposing {
			state.scheduleRead()
		}
	}
}

// handleViewRead handles the view at the platform. A swap whose answer was lost either shows in it or
// can still take effect only as long as no other one has, so it is safe to propose again.
func (state *State) handleViewRead(event ViewRead) {
	if !event.Found {
		if state.request.kind == _reading {
			state.scheduleRead()
		}
		return
	}
	state.finishRequest()
	if event.View.Number > 0 {
		state.adopt(event.View)
	}
}

// scheduleRead makes the platform be read after a backoff, as the outcome of the request is unknown.
func (state *State) scheduleRead() {
	state.retryAt = state.now.Add(state.backoff)
	state.backoff = min(2*state.backoff, state.config.MaxBackoff)
	state.request = request{kind: _outcomeUnknown}
	if state.config.Disabled.ReadBack {
		state.request = request{}
	}
}

// finishRequest clears the request and the backoff after an answer.
func (state *State) finishRequest() {
	state.request = request{}
	state.backoff = state.config.Backoff
	state.retryAt = time.Time{}
}

func (state *State) startRequest(kind requestKind) {
	state.request = request{kind: kind, startedAt: state.now}
}

func earliest(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

func latest(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}
