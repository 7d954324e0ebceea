package placement

import (
	"time"

	"azureshift/core/flow"
	"azureshift/core/id"
)

const _shareSteps = 1 << 16

func (target *target) acceptsNew() bool {
	return target.active && target.health == HealthUp
}

func (state *State) updateTargetHealth(seen TargetSeen) {
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

// inSlowStart says that the target is new or back and takes a part of its share only.
func (state *State) inSlowStart(target *target) bool {
	return !target.slowStartSince.IsZero() && state.now.Sub(target.slowStartSince) < state.config.SlowStart
}

// accepts says whether the target takes the new flow. The flows that a cold target takes follow from
// their hashes, and those that it took at first are among those that it takes later.
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

// endSlowStarts ends the cold start of targets whose time has come.
func (state *State) endSlowStarts() {
	for index := range state.targets {
		target := &state.targets[index]
		if !target.slowStartSince.IsZero() && !state.inSlowStart(target) {
			target.slowStartSince = time.Time{}
			state.changed.targets, state.changed.any = true, true
		}
	}
}

// Exceptions returns how many flows have an exact record here, as they stand off their home.
func (state *State) Exceptions() int {
	exceptions := 0
	for index := range state.targets {
		exceptions += state.targets[index].recordedFlows
	}
	return exceptions
}
