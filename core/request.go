package core

import "azureshift/core/request"

// _requestCounters maps the counters of the request reducer to their names. It is read only.
var _requestCounters = map[request.What]string{
	request.CountJoined:     "requests: joined",
	request.CountStrayReply: "requests: stray answer",
	request.CountShed:       "requests: shed",
	request.CountEvicted:    "requests: evicted",
	request.CountFenced:     "requests: fenced",
	request.CountAmnesia:    "requests: takeover without records",
	request.CountTakeover:   "requests: takeover",
	request.CountRetry:      "requests: retry",
	request.CountHeld:       "requests: silent slot given back",
}

// _requestPromises describes the guarantee behind each invariant of the request reducer. It is read only.
var _requestPromises = map[request.Broken]string{
	request.BrokenDispatchedTwice: "an order runs at most once",
	request.BrokenNotRun:          "what was refused as not run did not run",
	request.BrokenSlots:           "a target gets no more requests than it has slots",
	request.BrokenUnknownKey:      "a caller gets the answer to its own request",
	request.BrokenIntent:          "an order is recorded before it is dispatched",
	request.BrokenRecord:          "a refusal is recorded before it is said",
}

func (state *State) reduceRequests(event request.Event) {
	for _, effect := range state.requests.Reduce(event) {
		switch effect := effect.(type) {
		case request.Dispatch, request.CancelAttempt, request.Reply:
			state.emit(RequestEffect{effect})
		case request.PassOn:
			state.forwardMoved(effect)
		case request.SendPeer:
			state.send(effect.To, effect.Message)
		case request.EpochWanted:
			state.requestNextEpoch(effect.After)
		case request.Left:
			state.stop.requestsHandedOver = true
			state.reportHandover()
		case request.Violation:
			state.emit(Violation{Promise: _requestPromises[effect.Broken]})
		case request.Count:
			state.count(_requestCounters[effect.What], 1)
		}
	}
}
