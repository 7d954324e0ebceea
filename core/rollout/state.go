// Package rollout brings each version of the bundle to an instance. It decides which head and which parts the instance
// fetches, from which source, and when the bundle is put in force. It does no I/O: State takes events and returns
// effects.
//
// A head lists the parts of one version by hash. The platform holds the latest head; a few members of each failure
// domain watch it, and the others fetch it from members that advertise a newer version.
package rollout

import (
	"time"

	"azureshift/bundle"
	"azureshift/core/id"
)

// State is the follower of one instance: the state machine that fetches new versions of the bundle and applies them.
type State struct {
	config Config
	// inForce and bundle are the head and the bundle in force.
	inForce bundle.Head
	bundle  bundle.Bundle
	// pending is nil if no bundle is being fetched.
	pending *pendingBundle
	// parts holds the parts of the bundle in force and the parts of the pending bundle that have arrived.
	parts map[bundle.Hash]part
	// previousHeads holds the heads that were in force before, oldest first.
	previousHeads []bundle.Head
	sources       sources
	headFetch     headFetch
	// highestRefused is the highest version whose parts are invalid or do not make up a valid bundle.
	highestRefused id.Version
	// reportedHeads holds the digests of the heads that were reported as refused, oldest first.
	reportedHeads []bundle.Digest
	watching      bool
}

// part is a verified part: the bytes that members fetch and the service decoded from them.
type part struct {
	raw     []byte
	service bundle.Service
}

// New returns a follower without a bundle.
func New(config Config) *State {
	return &State{config: config, parts: make(map[bundle.Hash]part)}
}

// Reduce processes one event and returns the effects to carry out.
func (state *State) Reduce(event Event) []Effect {
	switch event := event.(type) {
	case HeadReceived:
		state.completeHeadFetch(event.From)
		return append(state.handleHead(event.At, event.Head, event.From), state.planFetches(event.At)...)
	case DeltaReceived:
		return append(state.handleDelta(event), state.planFetches(event.At)...)
	case HeadFailed:
		state.failHeadFetch(event.At, event.From)
		return state.planFetches(event.At)
	case PartReceived:
		return append(state.handlePart(event.At, event.Hash, event.Bytes), state.planFetches(event.At)...)
	case PartsReceived:
		return append(state.handleParts(event), state.planFetches(event.At)...)
	case PartFailed:
		state.failPartFetch(event.At, event.Hash, event.From)
		return state.planFetches(event.At)
	case MembersChanged:
		return append(state.handleMembers(event.Members), state.planFetches(event.At)...)
	case VersionAdvertised:
		state.handleVersion(event.Member, event.Version)
		return state.planFetches(event.At)
	case Tick:
		state.expireFetches(event.At)
		return state.planFetches(event.At)
	default:
		return nil
	}
}

// planFetches returns the fetches that are due.
func (state *State) planFetches(at time.Time) []Effect {
	return append(state.planHeadFetch(at), state.planPartFetches(at)...)
}

// expireFetches fails the fetches whose deadline has passed.
func (state *State) expireFetches(at time.Time) {
	if state.headFetch.inFlight && !at.Before(state.headFetch.deadline) {
		state.failHeadFetch(at, state.headFetch.from)
	}
	if state.pending == nil {
		return
	}
	for _, partFetch := range state.pending.fetches {
		if partFetch.inFlight && !at.Before(partFetch.deadline) {
			state.failPartFetch(at, partFetch.hash, partFetch.from)
		}
	}
}

// latestKnown returns the highest version that is in force, pending or refused. Only heads above it become pending.
func (state *State) latestKnown() id.Version {
	known := max(state.inForce.Version, state.highestRefused)
	if state.pending != nil {
		known = max(known, state.pending.head.Version)
	}
	return known
}
