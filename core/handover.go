package core

import (
	"time"

	"azureshift/core/membership"
	"azureshift/core/placement"
	"azureshift/core/request"
)

// stopProgress tracks the progress of a planned stop.
type stopProgress struct {
	leaving            bool
	requestsHandedOver bool
	flowsHandedOver    bool
	reported           bool
}

// leave starts a planned stop. It announces the stop before the handover, so that the others elect new owners.
func (state *State) leave(at time.Time) {
	if state.stop.leaving {
		return
	}
	state.now = at
	state.stop.leaving = true
	state.push(MemberEvent{membership.Leave{At: at}})
	state.push(RequestEvent{request.Leave{At: request.At{At: at}}})
	state.push(FlowEvent{placement.Leave{At: at}})
}

func (state *State) reportHandover() {
	if state.stop.requestsHandedOver && state.stop.flowsHandedOver && !state.stop.reported {
		state.stop.reported = true
		state.emit(HandoverCompleted{})
	}
}

func (state *State) handleAnnounced(status membership.Status) {
	if status == membership.Left {
		state.emit(LeaveCompleted{})
	}
}
