package rollout

import (
	"azureshift/bundle"
	"azureshift/core/id"
)

// Head returns the head in force, of version zero when there is none.
func (state *State) Head() bundle.Head {
	return state.inForce
}

// Bundle returns the bundle in force, of version zero when there is none. It must not be changed.
func (state *State) Bundle() bundle.Bundle {
	return state.bundle
}

// HeadDelta returns the answer to a member's FetchHead: the head in force as a delta on version base if that head is
// still kept, and the whole head otherwise.
func (state *State) HeadDelta(base id.Version) bundle.HeadDelta {
	for _, former := range state.previousHeads {
		if former.Version == base {
			return bundle.DeltaOf(former, state.inForce)
		}
	}
	return bundle.DeltaOf(bundle.Head{}, state.inForce)
}

// Part returns the answer to a member's FetchPart, and whether this instance has the part.
func (state *State) Part(hash bundle.Hash) ([]byte, bool) {
	held, ok := state.parts[hash]
	return held.raw, ok
}
