package rollout

import (
	"slices"
	"time"

	"azureshift/bundle"
)

// _memberAttempts is the number of attempts to fetch a part from members before one attempt goes to the platform.
const _memberAttempts = 2

// pendingBundle is a bundle that is being fetched: its head is verified, but parts are missing.
type pendingBundle struct {
	head bundle.Head
	from Source
	// fetches has one entry for each missing part.
	fetches []*partFetch
	// inFlight is the number of fetches in flight.
	inFlight int
}

// partFetch is the state of fetching one missing part.
type partFetch struct {
	hash      bundle.Hash
	inFlight  bool
	from      Source
	deadline  time.Time
	failures  int
	notBefore time.Time
}

// setPending makes a head pending, and applies it at once if no part is missing.
func (state *State) setPending(head bundle.Head, from Source) []Effect {
	state.pending = &pendingBundle{head: head, from: from}
	for _, ref := range head.Parts {
		if _, ok := state.parts[ref.Hash]; ok && !state.config.Disabled.Reuse {
			continue
		}
		state.pending.fetches = append(state.pending.fetches, &partFetch{hash: ref.Hash})
	}
	return state.applyPending()
}

// planPartFetches requests missing parts, up to MaxFetches at a time.
func (state *State) planPartFetches(at time.Time) []Effect {
	if state.pending == nil {
		return nil
	}
	var effects []Effect
	for _, partFetch := range state.pending.fetches {
		if state.pending.inFlight >= state.config.MaxFetches {
			break
		}
		if partFetch.inFlight || at.Before(partFetch.notBefore) || state.config.Disabled.Retry && partFetch.failures > 0 {
			continue
		}
		partFetch.from = state.chooseSource(at, partFetch)
		partFetch.inFlight = true
		partFetch.deadline = at.Add(state.config.FetchTimeout)
		state.pending.inFlight++
		effects = append(effects, FetchPart{Hash: partFetch.hash, From: partFetch.from})
	}
	return effects
}

// chooseSource returns a member that advertises the pending version, after a failure another one than before. It
// returns the platform if there is no such member, and for every attempt that follows _memberAttempts failures; after a
// failure of the platform it starts over with members.
func (state *State) chooseSource(at time.Time, partFetch *partFetch) Source {
	var avoid *Source
	if partFetch.failures > 0 {
		avoid = &partFetch.from
	}
	attempt := partFetch.failures % (_memberAttempts + 1)
	source, ok := state.sources.pick(state.config.Random, at, state.pending.head.Version, avoid)
	if !ok || attempt == _memberAttempts {
		return Platform
	}
	return source
}

// handleParts handles the parts of one answer before more are requested. It stops at the part that completes the
// pending bundle or makes it invalid.
func (state *State) handleParts(event PartsReceived) []Effect {
	for _, part := range event.Parts {
		if effects := state.handlePart(event.At, part.Hash, part.Bytes); len(effects) > 0 {
			return effects
		}
	}
	return nil
}

// handlePart stores a missing part and applies the pending bundle if no other part is missing. Bytes that do not have
// the hash count as a failure of the source; bytes that have it but do not decode make the bundle invalid.
func (state *State) handlePart(at time.Time, hash bundle.Hash, raw []byte) []Effect {
	found := state.findFetch(hash)
	if found == nil {
		return nil
	}
	service, err := state.config.Verifier.OpenPart(hash, raw)
	if err != nil && bundle.HashOf(raw) != hash {
		state.failPartFetch(at, hash, found.from)
		return nil
	}
	if err != nil {
		return state.rejectPending(err)
	}
	state.parts[hash] = part{raw: raw, service: service}
	state.sources.recordSuccess(found.from)
	if found.inFlight {
		state.pending.inFlight--
	}
	state.pending.fetches = slices.DeleteFunc(state.pending.fetches, func(other *partFetch) bool {
		return other == found
	})
	return state.applyPending()
}

// failPartFetch ends the fetch of the part from the source, if it is in flight, and counts a failure of the source. The
// first retry follows at once, later ones after a backoff.
func (state *State) failPartFetch(at time.Time, hash bundle.Hash, from Source) {
	partFetch := state.findFetch(hash)
	if partFetch == nil || !partFetch.inFlight || partFetch.from != from {
		return
	}
	partFetch.inFlight = false
	state.pending.inFlight--
	partFetch.failures++
	if partFetch.failures > 1 {
		partFetch.notBefore = at.Add(state.config.backoff(partFetch.failures - 1))
	}
	state.sources.recordFailure(state.config, at, from)
}

// findFetch returns the fetch of a missing part, nil if the part is not missing.
func (state *State) findFetch(hash bundle.Hash) *partFetch {
	if state.pending == nil {
		return nil
	}
	for _, partFetch := range state.pending.fetches {
		if partFetch.hash == hash {
			return partFetch
		}
	}
	return nil
}
