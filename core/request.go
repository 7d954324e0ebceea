package core

import "azureshift/core/request"

// _requestCounters maps the counters of the request reducer to their names. It is read only.
var _requestCounters = map[request.Counter]string{
	request.CountDuplicate:              "requests: joined",
	request.CountUnmatchedReply:         "requests: stray answer",
	request.CountShed:                   "requests: shed",
	request.CountEvicted:                "requests: evicted",
	request.CountFenced:                 "requests: fenced",
	request.CountTakeoverWithoutRecords: "requests: takeover without records",
	request.CountTakeover:               "requests: takeover",
	request.CountRetry:                  "requests: retry",
	request.CountSlotReclaimed:          "requests: silent slot given back",
}

// _requestPromises describes the guarantee behind each invariant of the request reducer. It is read only.
var _requestPromises = map[request.Invariant]string{
	request.InvariantDispatchOnce:   "an order runs at most once",
	request.InvariantNotRun:         "what was refused as not run did not run",
	request.InvariantSlots:          "a target gets no more requests than it has slots",
	request.InvariantKnownKey:       "a caller gets the answer to its own request",
	request.InvariantIntentRecorded: "an order is recorded before it is dispatched",
	request.InvariantNotRunRecorded: "a refusal is recorded before it is said",
}

func (state *State) reduceRequests(event request.Event) {
	for _, effect := range state.requests.Reduce(event) {
		switch effect := effect.(type) {
		case request.Dispatch, request.CancelAttempt, request.Reply:
			state.emit(RequestEffect{effect})
		case request.ForwardMoved:
			state.forwardMoved(effect)
		case request.Send:
			state.send(effect.To, effect.Message)
		case request.ProposeEpoch:
			state.requestNextEpoch(effect.After)
		case request.LeaveCompleted:
			state.stop.requestsHandedOver = true
			state.reportHandover()
		case request.Violation:
			state.emit(Violation{Invariant: _requestPromises[effect.Invariant]})
		case request.Count:
			state.count(_requestCounters[effect.Counter], 1)
		}
	}
}
