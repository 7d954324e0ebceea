package request

import (
	"time"

	"azureshift/core/id"
)

// heartbeat is the latest heartbeat of a member.
type heartbeat struct {
	at    time.Time
	epoch id.Epoch
}

// fence keeps this instance from dispatching if it may have been replaced without knowing it.
type fence struct {
	heartbeats   map[id.Member]heartbeat
	highestEpoch id.Epoch
	// newest is the latest known incarnation of each instance, which proves that earlier ones no longer run.
	newest map[id.Instance]id.Incarnation
	gone   map[id.Member]bool
	// trustFrom is when heartbeats count again after a pause. Those received before may be old, as they may have
	// waited during the pause.
	trustFrom time.Time
}

func newFence() fence {
	return fence{
		heartbeats: make(map[id.Member]heartbeat),
		newest:     make(map[id.Instance]id.Incarnation),
		gone:       make(map[id.Member]bool),
	}
}

func (fence *fence) detectPause(before, now time.Time, config Config) {
	if config.Disabled.PauseCheck || before.IsZero() || now.Sub(before) < config.PauseThreshold {
		return
	}
	clear(fence.heartbeats)
	fence.trustFrom = now.Add(config.PauseThreshold)
}

func (state *State) handleHeartbeat(event Heartbeat) {
	state.fence.highestEpoch = max(state.fence.highestEpoch, event.Epoch)
	state.fence.newest[event.Member.Instance] = max(state.fence.newest[event.Member.Instance], event.Member.Incarnation)
	if state.now.Before(state.fence.trustFrom) {
		return
	}
	sentAt := event.ProbeSentAt
	if sentAt.IsZero() {
		sentAt = state.now
	}
	if known := state.fence.heartbeats[event.Member]; known.at.After(sentAt) {
		sentAt = known.at
	}
	state.fence.heartbeats[event.Member] = heartbeat{at: sentAt, epoch: event.Epoch}
	for _, shard := range state.sortedShards {
		if shard.queue.length > 0 {
			state.dispatchQueued(shard)
		}
	}
}

// isDead reports whether a member is proved to run no longer.
func (fence *fence) isDead(member id.Member) bool {
	return fence.gone[member] || fence.newest[member.Instance] > member.Incarnation
}

// hasQuorumLease reports whether a majority of the view was in contact within the lease and knew no later epoch.
// Then no later epoch can have been in force for as long as Config.FenceWait.
func (state *State) hasQuorumLease() bool {
	if state.config.Disabled.HeartbeatFence {
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
		last, ok := state.fence.heartbeats[member]
		if ok && state.now.Sub(last.at) < state.config.HeartbeatLease {
			fresh++
		}
	}
	return fresh >= state.view.Majority()
}
