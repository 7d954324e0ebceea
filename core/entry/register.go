package entry

import (
	"time"

	"azureshift/core/store"
)

// registration is the state of the instance's own entry in the store, by which other instances find it.
type registration struct {
	grant     store.Grant
	renewedAt time.Duration
	pending   bool
	// ended says that the entry no longer exists and must be written again.
	ended    bool
	failures int
	retryAt  time.Duration
}

// handleRegistered records a grant, which is void if the store was restored since.
func (registration *registration) handleRegistered(event Registered, era store.Era) {
	registration.pending, registration.ended, registration.failures = false, event.Grant.Era < era, 0
	registration.grant, registration.renewedAt = event.Grant, event.At
}

func (registration *registration) handleRegisterFailed(event RegisterFailed, random float64) {
	registration.pending = false
	registration.ended = registration.ended || event.Ended
	registration.retryAt = event.At + backoff(registration.failures, random)
	if !event.Ended {
		registration.failures++
	}
}

// handleRestored handles a restore of the store. The lease is valid in the new era if the registration under it was
// restored too. If not, its number may be given out again, and the instance registers again at retryAt.
func (registration *registration) handleRestored(era store.Era, restored bool, retryAt time.Duration) {
	if registration.grant.Lease == 0 || registration.grant.Era >= era {
		return
	}
	if restored {
		registration.grant.Era = era
		return
	}
	registration.ended, registration.retryAt = true, retryAt
}

// markEnded records that the store no longer has the entry.
func (registration *registration) markEnded() {
	registration.ended = true
}

// registerIfDue writes the instance's registration, or renews its lease.
func (state *State) registerIfDue() {
	registration := &state.registration
	if registration.pending || state.now < registration.retryAt || !state.informed() {
		return
	}
	switch {
	case registration.grant.Lease == 0 || registration.ended:
		registration.pending = true
		state.emit(Register{TTL: max(_leaseTTL, state.config.Limits.MinLease)})
	case state.now-registration.renewedAt >= registration.grant.TTL/_renewDivisor:
		registration.pending = true
		state.emit(Renew{Grant: registration.grant})
	}
}
