package rollout

import (
	"slices"
	"time"

	"azureshift/bundle"
)

// _maxReportedHeads limits how many refused heads are remembered so that they are not reported again.
const _maxReportedHeads = 16

// headFetch is the state of fetching a head. At most one fetch is in flight.
type headFetch struct {
	inFlight bool
	from     Source
	deadline time.Time
	// fetchWhole requests the whole head next time, because a delta could not be applied.
	fetchWhole bool
	// failures and notBefore are the state of the backoff for fetches from the platform.
	failures  int
	notBefore time.Time
}

// planHeadFetch requests a head if a member advertises a newer one, or from the platform if mayAskPlatform allows it.
func (state *State) planHeadFetch(at time.Time) []Effect {
	if state.headFetch.inFlight {
		return nil
	}
	source, ok := state.sources.pick(state.config.Random, at, state.latestKnown()+1, nil)
	if !ok {
		if !state.mayAskPlatform() || at.Before(state.headFetch.notBefore) {
			return nil
		}
		source = Platform
	}
	fetch := FetchHead{From: source, Base: state.inForce.Version}
	if state.headFetch.fetchWhole {
		fetch.Base = 0
	}
	state.headFetch.inFlight, state.headFetch.from = true, source
	state.headFetch.deadline = at.Add(state.config.FetchTimeout)
	return []Effect{fetch}
}

// mayAskPlatform reports whether the instance may fetch a head from the platform. It may only while it has no bundle
// and does not watch the platform itself, and only before it knows the members of its failure domain, or if members
// advertise a bundle but none of them can be asked now. Otherwise it waits for its own watch or for the members that
// watch, so that many instances without a bundle put no load on the platform.
func (state *State) mayAskPlatform() bool {
	if state.inForce.Version != 0 || state.pending != nil || state.watching {
		return false
	}
	return state.sources.domainMembers == nil || len(state.sources.candidates) > 0
}

// completeHeadFetch ends the fetch from the source, if one is in flight.
func (state *State) completeHeadFetch(from Source) {
	if state.headFetch.inFlight && state.headFetch.from == from {
		state.headFetch.inFlight = false
	}
}

// failHeadFetch ends the fetch from the source, if one is in flight, and counts a failure of the source.
func (state *State) failHeadFetch(at time.Time, from Source) {
	if !state.headFetch.inFlight || state.headFetch.from != from {
		return
	}
	state.headFetch.inFlight = false
	if from == Platform {
		state.backOffPlatform(at)
		return
	}
	state.sources.recordFailure(state.config, at, from)
}

// handleDelta restores the whole head from a member's answer. If the delta does not apply to the head in force, or the
// result fails verification, the next fetch requests the whole head.
func (state *State) handleDelta(event DeltaReceived) []Effect {
	base := bundle.Head{}
	if event.Delta.Base != 0 {
		base = state.inForce
	}
	head, err := event.Delta.ApplyTo(base)
	if err == nil && event.Delta.Base != 0 {
		err = state.verifyHead(head)
	}
	if err != nil {
		state.headFetch.fetchWhole = true
		state.failHeadFetch(event.At, event.From)
		return nil
	}
	state.completeHeadFetch(event.From)
	return state.handleHead(event.At, head, event.From)
}

// handleHead makes a head pending if it is newer than every known version and verification succeeds.
func (state *State) handleHead(at time.Time, head bundle.Head, from Source) []Effect {
	if !state.isNewer(head) {
		return state.handleOldHead(at, head, from)
	}
	if err := state.verifyHead(head); err != nil {
		state.suspendSource(at, from)
		return state.reportRefused(head, from, err)
	}
	state.headFetch = headFetch{}
	if from != Platform {
		state.sources.recordVersion(from.Member, head.Version)
	}
	return state.setPending(head, from)
}

// isNewer reports whether the head may become pending.
func (state *State) isNewer(head bundle.Head) bool {
	if state.config.Disabled.Ordering {
		return head.Version != state.inForce.Version
	}
	return head.Version > state.latestKnown()
}

// handleOldHead handles a head that is not newer than every known version. It suspends a member that advertised a
// higher version than it gave, and reports a different head of the version that is in force or pending.
func (state *State) handleOldHead(at time.Time, head bundle.Head, from Source) []Effect {
	if state.sources.versionOf(from) > head.Version {
		state.suspendSource(at, from)
	}
	existing := state.inForce
	if state.pending != nil && state.pending.head.Version == head.Version {
		existing = state.pending.head
	}
	if existing.Version != head.Version || existing.Digest() == head.Digest() {
		return nil
	}
	if err := state.verifyHead(head); err != nil {
		return state.reportRefused(head, from, err)
	}
	return state.reportRefused(head, from, &ConflictError{First: existing, Second: head})
}

// suspendSource suspends a member for MaxBackoff. For the platform it counts a failure instead.
func (state *State) suspendSource(at time.Time, from Source) {
	state.sources.suspend(at.Add(state.config.MaxBackoff), from)
	if from == Platform {
		state.backOffPlatform(at)
	}
}

// backOffPlatform delays the next fetch of a head from the platform after a failure.
func (state *State) backOffPlatform(at time.Time) {
	state.headFetch.failures++
	state.headFetch.notBefore = at.Add(state.config.backoff(state.headFetch.failures))
}

func (state *State) verifyHead(head bundle.Head) error {
	if state.config.Disabled.Verification {
		return nil
	}
	return state.config.Verifier.VerifyHead(head)
}

// reportRefused reports a refused head unless it is among the heads reported last.
func (state *State) reportRefused(head bundle.Head, from Source, err error) []Effect {
	digest := head.Digest()
	if slices.Contains(state.reportedHeads, digest) {
		return nil
	}
	if len(state.reportedHeads) == _maxReportedHeads {
		state.reportedHeads = slices.Delete(state.reportedHeads, 0, 1)
	}
	state.reportedHeads = append(state.reportedHeads, digest)
	return []Effect{HeadRefused{Version: head.Version, From: from, Err: err}}
}
