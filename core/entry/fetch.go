package entry

import (
	"net/netip"
	"time"

	"azureshift/core/fleet"
)

// fetching is the state of fetches from other instances.
type fetching struct {
	pending bool
	askedAt time.Duration
	// nextSeed is the index of the next seed to ask.
	nextSeed int
}

// fetch asks another instance for the state that this one lacks, at most once per _minFetchInterval.
func (state *State) fetch(from netip.AddrPort) {
	if state.fetching.pending || state.fetching.askedAt > 0 && state.now-state.fetching.askedAt < _minFetchInterval {
		return
	}
	state.fetching.pending, state.fetching.askedAt = true, state.now
	state.emit(Fetch{
		From:    from,
		Known:   StateID{Revision: state.catalog.Revision(), Config: state.catalog.Routes().Version},
		Timeout: state.readTime(_fetchFraction),
	})
}

// fetchIfDue asks a seed if the store has not answered a new instance, as the store may reject this instance alone.
func (state *State) fetchIfDue() {
	if !state.informed() && state.now-state.startedAt >= _seedFetchDelay {
		state.fetchFromSeed()
	}
}

func (state *State) fetchFromSeed() {
	for range state.config.Seeds {
		seed := state.config.Seeds[state.fetching.nextSeed%len(state.config.Seeds)]
		state.fetching.nextSeed++
		if seed != state.config.Self.Address {
			state.fetch(seed)
			return
		}
	}
}

func (state *State) handleFetchFailed() {
	state.fetching.pending = false
	state.dropLostConfig()
}

func (state *State) handleFetched(event Fetched) {
	state.fetching.pending = false
	view := event.View
	defer state.dropLostConfig()
	state.expectConfig(view.Version, view.Missing, event.From)
	if view.Revision == 0 || view.Revision < state.catalog.Revision() {
		state.configureFrom(&view.Config)
		return
	}
	first := state.catalog.Revision() == 0
	if view.Base > 0 {
		entries, ok := state.catalog.ApplyChanges(state.interval(), view.Base, view.Entries, view.Revision)
		if !ok {
			return
		}
		state.noteAndApply(entries)
	} else {
		state.applyListing(view.Entries, view.Revision)
	}
	state.configureFrom(&view.Config)
	if view.Version < state.catalog.Routes().Version {
		return
	}
	if first {
		state.presumeDisruption()
	}
	state.adoptFreshness(fleet.Update{Age: view.Age, StableFor: view.StableFor, Source: view.Source})
}
