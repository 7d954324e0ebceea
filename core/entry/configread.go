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
	lost bool
	// unread says that the configuration in force is incomplete and from another instance. This one may understand more.
	unread   bool
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

// configureFrom puts the configuration of another instance in force. If that instance did not understand all of it,
// this one reads it from the store as well, as the same version in an update would not bring the rest.
func (state *State) configureFrom(config *route.Config) {
	if config.Incomplete && config.Version > state.catalog.Routes().Version {
		state.configReading.unread = true
	}
	state.configure(config)
}

// readConfigIfDue reads the configuration that this instance lacks or has from an instance that did not understand all
// of it. It asks the store, which has the most bandwidth. If the store does not answer this instance, takes long, or
// lacks the version, it asks an instance that has it. It tries again until it has the version: no later change brings
// it.
func (state *State) readConfigIfDue() {
	reading := &state.configReading
	reading.unread = reading.unread && state.catalog.Routes().Incomplete
	if state.missingConfig() == 0 && !reading.unread || !state.informed() {
		return
	}
	if reading.pending {
		if state.now-reading.startedAt >= state.readTime(_configReadFraction) {
			state.askHolder()
		}
		return
	}
	if state.now < reading.retryAt {
		return
	}
	// An instance with fresh updates reads nothing else from the store that would show that the store is back.
	if state.reading.storeLost && !reading.unread {
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
	state.configReading.unread = state.configReading.unread && event.Config == nil
	if state.missingConfig() != 0 || state.configReading.unread {
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
	if !state.askHolder() {
		state.dropLostConfig()
	}
}

// askHolder asks an instance that has the missing configuration, and reports whether it knows one. An instance that has
// the same version has nothing to add to an incomplete one.
func (state *State) askHolder() bool {
	if !state.configReading.holder.IsValid() || state.missingConfig() == 0 {
		return false
	}
	state.fetch(state.configReading.holder)
	return true
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
