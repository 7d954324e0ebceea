package request

import (
	"time"

	"azureshift/core/id"
)

// contact is the last heartbeat of a member.
type contact struct {
	at    time.Time
	epoch id.Epoch
}

// fence stops a dispatcher that may have been replaced without knowing it.
type fence struct {
	contacts     map[id.Member]contact
	highestEpoch id.Epoch
	// incarnations is the latest known life of an instance, which proves that the lives before it are over.
	incarnations map[id.Instance]id.Incarnation
	gone         map[id.Member]bool
	// trustFrom is when heartbeats count again after a pause, as those that waited meanwhile are old.
	trustFrom time.Time
}

func newFence() fence {
	return fence{
		contacts:     make(map[id.Member]contact),
		incarnations: make(map[id.Instance]id.Incarnation),
		gone:         make(map[id.Member]bool),
	}
}

func (fence *fence) detectPause(before, now time.Time, config Config) {
	if config.Without.PauseCheck || before.IsZero() || now.Sub(before) < config.PauseThreshold {
		return
	}
	clear(fence.contacts)
	fence.trustFrom = now.Add(config.PauseThreshold)
}

func (state *State) handleContact(event Contact) {
	state.fence.highestEpoch = max(state.fence.highestEpoch, event.Epoch)
	state.fence.incarnations[event.Member.Instance] = max(state.fence.incarnations[event.Member.Instance], event.Member.Incarnation)
	if state.now.Before(state.fence.trustFrom) {
		return
	}
	asked := event.Asked
	if asked.IsZero() {
		asked = state.now
	}
	if known := state.fence.contacts[event.Member]; known.at.After(asked) {
		asked = known.at
	}
	state.fence.contacts[event.Member] = contact{at: asked, epoch: event.Epoch}
	for _, shard := range state.sortedShards {
		if shard.queue.length > 0 {
			state.dispatchQueued(shard)
		}
	}
}

// isDead reports whether a member is proved not to run any more.
func (fence *fence) isDead(member id.Member) bool {
	return fence.gone[member] || fence.incarnations[member.Instance] > member.Incarnation
}

// hasQuorumLease reports whether no later epoch can be in force for longer than the fence allows: a
// majority of the view was in contact within the lease and knew no greater epoch.
func (state *State) hasQuorumLease() bool {
	if state.config.Without.ContactFence {
		return true
	}
	if state.fence.highestEpoch > state.view.Number {
		return false
	}
	fresh := 0
	for _, member := range state.view.Members {
		if member == state.config.Self {
			fresh++
			continue
		}
		last, ok := state.fence.contacts[member]
		if ok && state.now.Sub(last.at) < state.config.ContactLease {
			fresh++
		}
	}
	return fresh >= state.view.Majority()
}
