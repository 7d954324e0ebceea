package placement

import (
	"slices"

	"azureshift/bundle"
	"azureshift/core/flow"
	"azureshift/core/id"
)

// targetSignature is what a plan depends on.
type targetSignature struct {
	name        id.Target
	domain      id.Domain
	connections int
	active      bool
}

// applyBundle makes new plans for the services that have changed.
func (state *State) applyBundle(applied bundle.Bundle) {
	if applied.Version <= state.version {
		return
	}
	firstBundle := state.version == 0
	state.version = applied.Version
	listed := map[id.Service]bool{}
	domainCount := len(state.domains)
	for _, service := range applied.Services {
		listed[service.Name] = true
		state.applyService(service, firstBundle)
	}
	for _, service := range state.services {
		if !listed[service.name] {
			state.removeService(service)
		}
	}
	state.changed.targets, state.changed.any = true, true
	if len(state.domains) > domainCount {
		state.recomputeOwners()
	} else {
		state.forEachSlot(state.refreshSlot)
	}
	state.requestsDue = true
	state.maintainSlots()
}

func (state *State) applyService(applied bundle.Service, firstBundle bool) {
	service := state.services[state.serviceIndex(applied.Name)]
	signature := signatureOf(applied)
	if service.plan != nil && slices.Equal(service.targets, signature) {
		return
	}
	state.deactivateTargets(service)
	for _, target := range applied.Targets {
		targetCount := len(state.targets)
		index := state.targetIndex(service.index, TargetIdentity{
			Name: target.Name, Domain: target.Domain, Address: target.Address,
		})
		registered := &state.targets[index]
		registered.active = target.AcceptsNew()
		registered.domain, registered.Domain = state.domainIndex(target.Domain), target.Domain
		registered.Address = target.Address
		if int(index) == targetCount && !firstBundle {
			registered.slowStartSince = state.now
		}
	}
	previousPlan := service.plan
	service.targets = signature
	service.plan = newPlan(applied, func(name id.Target) flow.Target {
		return state.targetByKey[targetKey{service: applied.Name, target: name}]
	})
	service.dirty = true
	if previousPlan != nil {
		state.moveSlots(service, previousPlan)
	}
}

func signatureOf(service bundle.Service) []targetSignature {
	signature := make([]targetSignature, 0, len(service.Targets))
	for _, target := range service.Targets {
		signature = append(signature, targetSignature{
			name:        target.Name,
			domain:      target.Domain,
			connections: target.Connections,
			active:      target.AcceptsNew(),
		})
	}
	return signature
}

func (state *State) deactivateTargets(service *service) {
	for _, signature := range service.targets {
		index := state.targetByKey[targetKey{service: service.name, target: signature.name}]
		state.targets[index].active = false
	}
}

// removeService ends a service that the bundle no longer names.
func (state *State) removeService(service *service) {
	if service.plan == nil {
		return
	}
	state.deactivateTargets(service)
	for _, slotState := range service.orderedSlots() {
		state.dropSlot(slotState)
	}
	service.plan, service.targets, service.dirty = nil, nil, true
}

// moveSlots notes the previous home of each slot whose home has changed. A change of the number of
// slots starts with steady slots.
func (state *State) moveSlots(service *service, previousPlan *plan) {
	if previousPlan.bits != service.plan.bits {
		for _, slotState := range service.orderedSlots() {
			state.dropSlot(slotState)
		}
		return
	}
	for number := range service.plan.homes {
		slot := id.Slot(number)
		previous, home := previousPlan.homeOf(slot), service.plan.homeOf(slot)
		if previous == home {
			continue
		}
		if previous == _noTarget || home == _noTarget || state.config.Without.Filter {
			if slotState, known := service.slots[slot]; known && home != _noTarget {
				slotState.home = home
			}
			continue
		}
		state.moveSlot(service, slot, previous)
	}
}

// moveSlot keeps the slot with who decides on it now until that has handed it over, if its new
// home is in another failure domain.
func (state *State) moveSlot(service *service, slot id.Slot, previous flow.Target) {
	slotState, known := service.slots[slot]
	if !known {
		slotState = service.ensureSlot(slot)
		slotState.home = previous
		slotState.serving = state.owner(state.partitionOf(slotState)) == _self
		slotState.destination = state.destination(slotState)
	}
	if slotState.handover != nil {
		state.cancelHandover(slotState.handover)
	}
	previousPartition := state.servedPartition(slotState)
	if slotState.serving && slotState.servingSince.IsZero() {
		slotState.servingSince = state.servingSince[previousPartition]
	}
	slotState.home = service.plan.homeOf(slot)
	slotState.addPreviousHome(previous)
	slotState.acked = false
	slotState.revision++
	slotState.homeVersion, slotState.homeChangedAt = state.version, state.now
	owner := state.owner(state.partitionOf(slotState))
	switch {
	case slotState.serving:
		slotState.retained, slotState.retainedPartition = owner != _self, previousPartition
	case owner != _self:
		state.moveBetweenOthers(slotState, owner, previousPartition)
	case slotState.source == _noMember:
		state.setSourcePartition(slotState, previousPartition)
		state.awaitSlot(slotState, state.owner(slotState.sourcePartition))
	}
}

// moveBetweenOthers is for a slot that moves between others. An instance that waits for its state, and may be
// asked for it by the new owner, goes on waiting.
func (state *State) moveBetweenOthers(slotState *slotState, owner uint16, previousPartition partitionKey) {
	switch slotState.source {
	case owner:
		slotState.source = _noMember
	case _noMember:
		state.setSourcePartition(slotState, previousPartition)
		slotState.sourceUnconfirmed = true
	}
}

// setSourcePartition notes under which partition the slot was decided on. An instance that should have
// decided but had not heard of the change before asks where it would have asked then.
func (state *State) setSourcePartition(slotState *slotState, previousPartition partitionKey) {
	if !slotState.sourceUnconfirmed || state.owner(previousPartition) != _self {
		slotState.sourcePartition = previousPartition
	}
	slotState.sourceUnconfirmed = false
}
