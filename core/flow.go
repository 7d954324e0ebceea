package core

import "azureshift/core/placement"

// _flowCounters maps the counters of the placement reducer to their names. It is read only.
var _flowCounters = map[placement.Counter]string{
	placement.CountRecorded:         "flows: placed off home",
	placement.CountDeferred:         "flows: held",
	placement.CountTakeover:         "flows: partition taken over",
	placement.CountConflict:         "flows: conflicting record",
	placement.CountOwnerUnreachable: "flows: owner not reached",
}

func (state *State) reduceFlows(event placement.Event) {
	for _, effect := range state.flows.Reduce(event) {
		switch effect := effect.(type) {
		case placement.Send:
			state.send(effect.To, effect.Message)
		case placement.Count:
			state.count(_flowCounters[effect.Counter], effect.Amount)
		case placement.InvariantViolated:
			state.emit(Violation{Invariant: effect.Violation.Error()})
		case placement.LeaveCompleted:
			state.stop.flowsHandedOver = true
			state.reportHandover()
		default:
			state.emit(FlowEffect{effect})
		}
	}
}
