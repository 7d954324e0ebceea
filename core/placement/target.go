package placement

import (
	"time"

	"azureshift/core/flow"
	"azureshift/core/id"
)

// _shareSteps is the resolution of a target's share during slow start.
const _shareSteps = 1 << 16

func (target *target) acceptsNew() bool {
	return target.active && target.health == HealthUp
}

func (state *State) updateTargetHealth(seen TargetHealthObserved) {
	index, known := state.targetByKey[targetKey{service: seen.Service, target: seen.Target}]
	if !known || state.targets[index].health == seen.Health {
		return
	}
	target := &state.targets[index]
	if target.health == HealthDown && seen.Health == HealthUp {
		target.slowStartSince = state.now
	}
	target.health = seen.Health
	state.changed.targets, state.changed.any = true, true
}

// inSlowStart reports whether the target is new or has recovered recently and so accepts only part of its share.
func (state *State) inSlowStart(target *target) bool {
	return !target.slowStartSince.IsZero() && state.now.Sub(target.slowStartSince) < state.config.SlowStart
}

// accepts reports whether the target accepts the new flow. A target in slow start accepts flows by their hash, so
// that the flows it accepts at first are among those it accepts later.
func (state *State) accepts(index flow.Target, hash id.Flow) bool {
	target := &state.targets[index]
	if !target.acceptsNew() {
		return false
	}
	if !state.inSlowStart(target) {
		return true
	}
	share := _shareSteps * state.now.Sub(target.slowStartSince) / state.config.SlowStart
	return time.Duration(mix(uint64(hash))%_shareSteps) < share
}

// endSlowStarts ends the slow start of targets that have been in it for its whole duration.
func (state *State) endSlowStarts() {
	for index := range state.targets {
		target := &state.targets[index]
		if !target.slowStartSince.IsZero() && !state.inSlowStart(target) {
			target.slowStartSince = time.Time{}
			state.changed.targets, state.changed.any = true, true
		}
	}
}

// Exceptions returns the number of flows that have an exact record here.
func (state *State) Exceptions() int {
	exceptions := 0
	for index := range state.targets {
		exceptions += state.targets[index].recordedFlows
	}
	return exceptions
}
