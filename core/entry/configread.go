package entry

import (
	"net/netip"
	"time"

	"azureshift/core/route"
)

// configReading is the state of reads of a configuration that this instance lacks. Updates name versions that are too
// large for a message, and advance the revision past them.
type configReading struct {
	// pending says that a ReadConfig is in progress since startedAt, when wanted was the newest version.
	pending   bool
	startedAt time.Duration
	wanted    route.Version
	// newest is the newest version that is known to exist, and holder an instance that had it, if any is known.
	newest route.Version
	holder netip.AddrPort
	// lost says that the store had an older version when it was last read, as it was restored from a backup.
	lost     bool
	failures int
	retryAt  time.Duration
}

// missingConfig returns the newest version that is known to exist if this instance does not have it, or zero.
func (state *State) missingConfig() route.Version {
	if state.configReading.newest <= state.catalog.Routes().Version {
		return 0
	}
	return state.configReading.newest
}

// expectConfig records the version that another instance has in force, and the one that it lacks, if any.
func (state *State) expectConfig(inForce, missing route.Version, from netip.AddrPort) {
	reading := &state.configReading
	if newest := max(inForce, missing); newest > reading.newest {
		reading.newest, reading.holder = newest, netip.AddrPort{}
		reading.lost, reading.failures = false, 0
		if state.informed() && state.missingConfig() != 0 {
			state.emit(Note{
				Kind: NoteConfigMissing, Age: state.age(), Revision: state.catalog.Revision(), Version: newest,
			})
		}
	}
	if inForce == reading.newest {
		reading.holder = from
	}
}

// readConfigIfDue reads the configuration that this instance lacks. It asks the store, which has the most bandwidth.
// If the store does not answer this instance, takes long, or lacks the version, it asks an instance that has it. It
// tries again until it has the version: no later change brings it.
func (state *State) readConfigIfDue() {
	reading := &state.configReading
	if state.missingConfig() == 0 || !state.informed() {
		return
	}
	if reading.pending {
		if state.now-reading.startedAt >= state.readTime(_configReadFraction) && reading.holder.IsValid() {
			state.fetch(reading.holder)
		}
		return
	}
	if state.now < reading.retryAt {
		return
	}
	if state.reading.storeLost {
		state.retryConfigRead()
		return
	}
	reading.pending, reading.startedAt, reading.wanted = true, state.now, reading.newest
	delay := time.Duration(state.config.Random() * float64(_configReadJitter))
	state.emit(ReadConfig{Delay: delay, Limits: state.readLimits()})
}

func (state *State) handleConfigRead(event ConfigRead) {
	state.configReading.pending = false
	state.configure(event.Config)
	if state.missingConfig() != 0 {
		// An answer to a read from before the newest version was known says nothing about that.
		state.configReading.lost = event.Config != nil && state.configReading.wanted == state.configReading.newest
		state.retryConfigRead()
	}
}

// retryConfigRead asks the holder of the missing configuration, and schedules the next read of the store.
func (state *State) retryConfigRead() {
	reading := &state.configReading
	reading.retryAt = state.now + backoff(reading.failures, state.config.Random())
	reading.failures++
	if reading.holder.IsValid() {
		state.fetch(reading.holder)
		return
	}
	state.dropLostConfig()
}

// dropLostConfig no longer expects a configuration that neither the store nor its holder has. If another instance still
// has it, its next update names it again.
func (state *State) dropLostConfig() {
	if state.configReading.lost && state.missingConfig() != 0 {
		state.emit(Note{
			Kind: NoteConfigLost, Age: state.age(), Revision: state.catalog.Revision(), Version: state.missingConfig(),
		})
		state.configReading = configReading{pending: state.configReading.pending, retryAt: state.now + _maxBackoff}
	}
}
