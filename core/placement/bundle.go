package placement

import (
	"slices"

	"azureshift/bundle"
	"azureshift/core/flow"
	"azureshift/core/id"
)

// targetSignature holds the properties of a target that a plan depends on.
type targetSignature struct {
	name        id.Target
	domain      id.Domain
	connections int
	active      bool
}

// applyBundle builds new plans for the services that have changed. Bundles that are not newer are ignored.
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

// applyService updates the service's targets and plan. Targets that were not in an earlier bundle begin with slow
// start, except under the first bundle.
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
		registered.active = target.AcceptsNewWork()
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
			active:      target.AcceptsNewWork(),
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

// removeService removes the targets, plan and slot state of a service that is no longer in the bundle.
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

// moveSlots records the previous home of each slot whose home has changed. If the number of slots has changed, all slot
// state is dropped.
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
		if previous == _noTarget || home == _noTarget || state.config.Disabled.Filter {
			if slotState, known := service.slots[slot]; known && home != _noTarget {
				slotState.home = home
			}
			continue
		}
		state.moveSlot(service, slot, previous)
	}
}

// moveSlot moves the slot to its new home. If that is in another failure domain, and so in a partition that may have
// another owner, the present owner keeps the slot until it has handed it over.
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

// moveBetweenOthers handles the move of a slot that this instance owns neither before nor after. If it is waiting for
// the slot's state from a third instance it goes on waiting, as the new owner may request the state from it.
func (state *State) moveBetweenOthers(slotState *slotState, owner uint16, previousPartition partitionKey) {
	switch slotState.source {
	case owner:
		slotState.source = _noMember
	case _noMember:
		state.setSourcePartition(slotState, previousPartition)
		slotState.sourceUnconfirmed = true
	}
}

// setSourcePartition records the partition whose owner has the slot's state. If this instance owned the slot in between
// without having confirmed that with the owner before, it keeps the earlier partition.
func (state *State) setSourcePartition(slotState *slotState, previousPartition partitionKey) {
	if !slotState.sourceUnconfirmed || state.owner(previousPartition) != _self {
		slotState.sourcePartition = previousPartition
	}
	slotState.sourceUnconfirmed = false
}
