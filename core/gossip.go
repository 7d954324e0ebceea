package core

import (
	"strings"

	"azureshift/core/gossip"
	"azureshift/core/membership"
)

func (state *State) reduceGossip(event gossip.Event) {
	for _, effect := range state.gossip.Reduce(event) {
		switch effect := effect.(type) {
		case gossip.Send:
			state.emit(Send{Address: effect.To, Message: effect.Message})
		case gossip.ValueAccepted:
			state.applyValue(effect.Value)
		case gossip.Fetch:
			state.emit(FetchValue{effect})
		case gossip.DigestChanged:
			state.updateProbeState()
		case gossip.Count:
			state.count("gossip: "+string(effect.Counter), 1)
		}
	}
}

// applyValue passes an accepted value to the reducer that its key belongs to.
func (state *State) applyValue(value gossip.Value) {
	switch {
	case strings.HasPrefix(string(value.Key), _viewPrefix):
		state.applyViewValue(value)
	case strings.HasPrefix(string(value.Key), _targetPrefix):
		state.applyTargetReport(value)
	case value.Key == _headKey:
	default:
		state.count("gossip: unknown key", 1)
	}
}

// compareDigest lets the gossip reducer compare its digest with that of a member that has just sent a message.
func (state *State) compareDigest(effect membership.Heartbeat) {
	state.push(GossipEvent{gossip.DigestReceived{At: state.now, From: effect.Address, Digest: effect.ValueDigest}})
}

// Value returns the gossip value with the key, for an instance that fetches it.
func (state *State) Value(key gossip.Key) (gossip.Value, bool) {
	return state.gossip.Get(key)
}
