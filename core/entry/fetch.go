package entry

import (
	"net/netip"
	"time"

	"azureshift/core/fleet"
	"azureshift/core/route"
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
		From:  from,
		Known: StateID{Revision: state.catalog.Revision(), Config: state.catalog.Routes().Version},
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

// readConfig reads a version of the configuration that is too large for a message. It asks the store, which has the
// most bandwidth. If the store does not answer this instance, or lacks the version, it asks the instance that has it.
func (state *State) readConfig(version route.Version, holder netip.AddrPort) {
	if state.configReading.pending {
		return
	}
	if state.reading.storeLost {
		state.fetch(holder)
		return
	}
	state.configReading = configReading{pending: true, version: version, holder: holder}
	state.emit(ReadConfig{Delay: time.Duration(state.config.Random() * float64(_configReadJitter))})
}

func (state *State) handleConfigRead(event ConfigRead) {
	state.configReading.pending = false
	state.configure(event.Config)
	if state.catalog.Routes().Version < state.configReading.version {
		state.fetch(state.configReading.holder)
	}
}

// configReading is the state of a configuration read.
type configReading struct {
	pending bool
	// version is the version to be read, and holder an instance that has it.
	version route.Version
	holder  netip.AddrPort
}

func (state *State) handleFetchFailed() {
	state.fetching.pending = false
}

func (state *State) handleFetched(event Fetched) {
	state.fetching.pending = false
	view := event.View
	if view.Revision == 0 || view.Revision < state.catalog.Revision() {
		state.configure(&view.Config)
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
	state.configure(&view.Config)
	if view.Version < state.catalog.Routes().Version {
		return
	}
	if first {
		state.presumeDisruption()
	}
	state.adoptFreshness(fleet.Update{Age: view.Age, StableFor: view.StableFor, Source: view.Source})
}
