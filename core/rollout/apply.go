package rollout

import (
	"slices"

	"azureshift/bundle"
)

// _maxPreviousHeads limits how many previous heads are kept as bases of the deltas that members fetch.
const _maxPreviousHeads = 3

// applyPending puts the pending bundle in force once all its parts have arrived, and refuses it if it is not valid.
func (state *State) applyPending() []Effect {
	if len(state.pending.fetches) > 0 && !state.config.Disabled.Completeness {
		return nil
	}
	head := state.pending.head
	joined, err := state.joinParts(head)
	if err != nil {
		return state.rejectPending(err)
	}
	effects := state.checkInvariants(head, joined)
	if state.inForce.Version != 0 {
		state.previousHeads = append(state.previousHeads, state.inForce)
		state.previousHeads = state.previousHeads[max(0, len(state.previousHeads)-_maxPreviousHeads):]
	}
	state.inForce, state.bundle, state.pending = head, joined, nil
	state.sources.removeUpTo(head.Version)
	state.pruneParts()
	return append(effects, Apply{Bundle: joined, Head: head}, AdvertiseHead{Head: head})
}

// joinParts builds and validates the bundle that the head describes.
func (state *State) joinParts(head bundle.Head) (bundle.Bundle, error) {
	services := make(map[bundle.Hash]bundle.Service, len(head.Parts))
	for _, ref := range head.Parts {
		if held, ok := state.parts[ref.Hash]; ok {
			services[ref.Hash] = held.service
		}
	}
	if state.config.Disabled.Completeness {
		head.Parts = slices.DeleteFunc(slices.Clone(head.Parts), func(ref bundle.PartRef) bool {
			_, ok := services[ref.Hash]
			return !ok
		})
	}
	joined, err := bundle.JoinServices(head, services)
	if state.config.Disabled.Validation || state.config.Disabled.Completeness {
		return joined, nil
	}
	return joined, err
}

// rejectPending refuses the pending bundle as a whole. The bundle in force stays.
func (state *State) rejectPending(err error) []Effect {
	pending := state.pending
	state.pending = nil
	state.highestRefused = max(state.highestRefused, pending.head.Version)
	state.pruneParts()
	return state.reportRefused(pending.head, pending.from, err)
}

// pruneParts deletes the parts that neither the head in force nor the pending head lists.
func (state *State) pruneParts() {
	needed := make(map[bundle.Hash]struct{}, len(state.inForce.Parts))
	for _, ref := range state.inForce.Parts {
		needed[ref.Hash] = struct{}{}
	}
	if state.pending != nil {
		for _, ref := range state.pending.head.Parts {
			needed[ref.Hash] = struct{}{}
		}
	}
	for hash := range state.parts {
		if _, ok := needed[hash]; !ok {
			delete(state.parts, hash)
		}
	}
}
