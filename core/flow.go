package core

import "azureshift/core/placement"

// _flowCounters maps the counters of the placement reducer to their names. It is read only.
var _flowCounters = map[placement.Counter]string{
	placement.CounterRecorded:  "flows: placed off home",
	placement.CounterHeld:      "flows: held",
	placement.CounterTakenOver: "flows: partition taken over",
	placement.CounterConflict:  "flows: conflicting record",
	placement.CounterUndecided: "flows: owner not reached",
}

func (state *State) reduceFlows(event placement.Event) {
	for _, effect := range state.flows.Reduce(event) {
		switch effect := effect.(type) {
		case placement.SendPeer:
			state.send(effect.To, effect.Message)
		case placement.Count:
			state.count(_flowCounters[effect.Counter], effect.Amount)
		case placement.Violated:
			state.emit(Violation{Promise: effect.Violation.Error()})
		case placement.Left:
			state.stop.flowsHandedOver = true
			state.reportHandover()
		default:
			state.emit(FlowEffect{effect})
		}
	}
}
