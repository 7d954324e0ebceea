package entry

import (
	"azureshift/core/catalog"
	"azureshift/core/id"
)

// The causes of the notes about evacuations.
const (
	// _causeOperator is the operator's request or its withdrawal.
	_causeOperator = "OperatorRequest"
	// _causeNotBounded is a request that has no effect, as the settings do not bound evacuations.
	_causeNotBounded = "NotBounded"
)

// _maxFirstEvacuations is the number of evacuations in the first listing of the store that are logged. Anyone may write
// any number of keys, and a line for each would delay the start of an instance with little processor time.
const _maxFirstEvacuations = 16

// enforcesEvacuations reports whether evacuations take effect, which is so if the settings bound them.
func (state *State) enforcesEvacuations() bool {
	return state.config.Limits.Evacuation > 0
}

// evacuated reports whether the backend servers of a failure domain get no new flows at the operator's request.
func (state *State) evacuated(domain id.Domain) bool {
	return state.enforcesEvacuations() && state.catalog.Evacuated(domain)
}

// countEvacuated returns the number of evacuated failure domains, including those without servers.
func (state *State) countEvacuated() int {
	if !state.enforcesEvacuations() {
		return 0
	}
	return state.catalog.CountEvacuations()
}

// describe returns the log note of a changed entry of the catalog.
func (state *State) describe(entry catalog.Entry) Note {
	note := describe(entry, state.age())
	if note.Kind == NoteEvacuated || note.Kind == NoteReopened {
		note.Cause = _causeOperator
		if !state.enforcesEvacuations() {
			note.Cause = _causeNotBounded
		}
	}
	return note
}
