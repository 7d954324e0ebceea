package placement

import (
	"time"

	"azureshift/core/epoch"
	"azureshift/core/id"
)

// ownership tracks the partitions that this instance owns and those that are being handed over.
type ownership struct {
	// servingSince holds when this instance became the owner of a partition.
	servingSince map[partitionKey]time.Time
	// acquiring holds the present owner of a partition while this instance requests its state.
	acquiring map[partitionKey]uint16
	// releaseDeadlines holds until when this instance goes on as the owner of a partition that has moved to another
	// owner, unless that requests the state before.
	releaseDeadlines map[partitionKey]time.Time
	// releasedTo holds the new owner of a partition that this instance has handed over, while its own member views do
	// not name that owner yet.
	releasedTo  map[partitionKey]uint16
	requests    []*request
	handovers   []*handover
	requestsDue bool
}

func newOwnership() ownership {
	return ownership{
		servingSince:     map[partitionKey]time.Time{},
		acquiring:        map[partitionKey]uint16{},
		releaseDeadlines: map[partitionKey]time.Time{},
		releasedTo:       map[partitionKey]uint16{},
	}
}

func unownedPairs() []pair {
	pairs := make([]pair, _partitions)
	for index := range pairs {
		pairs[index] = pair{owner: _noMember, runnerUp: _noMember}
	}
	return pairs
}

// starting reports whether this instance began less than the startup period ago.
func (state *State) starting() bool {
	return state.now.Sub(state.started) < state.config.StartupPeriod
}

// routable reports whether the member is up and its routing delay is over, so that it can own partitions.
func (state *State) routable(index uint16) bool {
	member := state.members[index]
	return index == _self || member.up && member.routableAt.IsZero()
}

func (state *State) changeView(view epoch.View) {
	domain := state.domains[state.domainIndex(view.Domain)]
	if view.Number <= domain.view.Number {
		return
	}
	for _, listed := range view.Members {
		index := state.memberIndex(listed)
		if domain.view.Number > 0 && !domain.view.Has(listed) {
			state.delayRouting(index)
		}
	}
	domain.view = view
	state.recomputeOwners()
}

func (state *State) memberUp(identity id.Member) {
	index := state.memberIndex(identity)
	member := &state.members[index]
	if index == _self || member.Member != identity || member.up {
		return
	}
	member.up = true
	state.delayRouting(index)
	state.recomputeOwners()
	if member.wasLost && !member.routableAt.IsZero() {
		state.reacquirePartitions()
	}
}

func (state *State) memberDown(identity id.Member) {
	index := state.memberIndex(identity)
	member := &state.members[index]
	if index == _self || member.Member != identity || !member.up {
		return
	}
	member.up, member.wasLost = false, true
	member.routableAt, member.lostAt = time.Time{}, state.now
	state.cancelPendingWith(index)
	state.recomputeOwners()
	state.reassignSources(index)
}

// delayRouting keeps traffic from a member that joins or returns for long enough that the state of its partitions can
// reach it.
func (state *State) delayRouting(index uint16) {
	if index == _self || state.starting() || state.config.Disabled.RoutingDelay {
		return
	}
	state.members[index].routableAt = state.now.Add(state.config.RoutingDelay)
}

func (state *State) endRoutingDelays() {
	expired := false
	for index := range state.members {
		member := &state.members[index]
		if !member.routableAt.IsZero() && !state.now.Before(member.routableAt) {
			member.routableAt = time.Time{}
			expired = true
		}
	}
	if expired {
		state.recomputeOwners()
	}
}

// recomputeOwners recomputes the partition owners of the failure domains whose routable members have changed.
func (state *State) recomputeOwners() {
	ownerSelector := state.ownerSelector(state.routable)
	for index, domain := range state.domains {
		if ownerSelector.unchanged(index) {
			continue
		}
		domain.rankedMembers = ownerSelector.rankings[index].Members()
		for partition := range domain.pairs {
			key := partitionKey{domain: uint16(index), partition: uint16(partition)}
			before := domain.pairs[partition]
			domain.pairs[partition] = ownerSelector.pair(key)
			state.changeOwner(key, before, domain.pairs[partition])
		}
	}
	state.changed.owners = true
	state.changed.any = true
	state.forEachSlot(state.refreshSlot)
}

func (state *State) changeOwner(key partitionKey, before, after pair) {
	switch {
	case after.owner == _self && before.owner == _self:
		if state.starting() && after.runnerUp != before.runnerUp {
			state.acquirePartition(key, after.runnerUp)
		}
	case after.owner == _self:
		state.gainPartition(key, before, after)
	case before.owner == _self:
		state.losePartition(key)
	default:
		delete(state.releasedTo, key)
	}
}

// gainPartition makes this instance the owner of the partition: at once if the previous owner is unreachable, otherwise
// when that has handed over its state. A starting instance requests the state from the runner-up.
func (state *State) gainPartition(key partitionKey, before, after pair) {
	_, awaitingRelease := state.releaseDeadlines[key]
	delete(state.releaseDeadlines, key)
	delete(state.releasedTo, key)
	if awaitingRelease {
		return
	}
	state.servingSince[key] = state.now
	switch {
	case before.owner != _noMember && state.routable(before.owner):
		state.acquirePartition(key, before.owner)
	case state.starting():
		state.acquirePartition(key, after.runnerUp)
	case before.owner != _noMember:
		state.count(CountTakeover, 1)
	}
}

// losePartition leaves the partition to its new owner, which requests the state. If it does not within twice the
// routing delay, this instance gives the partition up.
func (state *State) losePartition(key partitionKey) {
	_, acquiring := state.acquiring[key]
	_, released := state.releasedTo[key]
	delete(state.acquiring, key)
	delete(state.releasedTo, key)
	if acquiring || released || state.starting() || state.config.Disabled.RoutingDelay {
		delete(state.servingSince, key)
		return
	}
	state.releaseDeadlines[key] = state.now.Add(2 * state.config.RoutingDelay)
}

// acquirePartition starts requesting the partition's state from its present owner.
func (state *State) acquirePartition(key partitionKey, source uint16) {
	if source == _noMember || source == _self || state.config.Disabled.RoutingDelay {
		return
	}
	state.acquiring[key] = source
	state.requestsDue = true
}

// reacquirePartitions requests from instances that have returned the state of the partitions that they may have owned
// while they were cut off.
func (state *State) reacquirePartitions() {
	allUp := state.ownerSelector(func(index uint16) bool { return index == _self || state.members[index].up })
	returned := state.ownerSelector(func(index uint16) bool {
		member := state.members[index]
		return member.up && member.wasLost && !member.routableAt.IsZero()
	})
	for index, domain := range state.domains {
		for partition, pair := range domain.pairs {
			key := partitionKey{domain: uint16(index), partition: uint16(partition)}
			if pair.owner == _self && allUp.pair(key).owner == _self {
				state.acquirePartition(key, returned.pair(key).owner)
			}
		}
	}
	state.changed.owners = true
	state.forEachSlot(state.refreshSlot)
}

// cutAt returns when the latest of the members that are now returning was lost, zero if none is returning.
func (state *State) cutAt() time.Time {
	var latest time.Time
	for _, member := range state.members {
		if member.wasLost && !member.routableAt.IsZero() && member.lostAt.After(latest) {
			latest = member.lostAt
		}
	}
	return latest
}

// expireReleaseDeadlines gives up the partitions whose new owner has not requested the state in time.
func (state *State) expireReleaseDeadlines() {
	expired := false
	for _, key := range sortedKeys(state.releaseDeadlines, comparePartitions) {
		if !state.now.Before(state.releaseDeadlines[key]) {
			delete(state.releaseDeadlines, key)
			delete(state.servingSince, key)
			expired = true
		}
	}
	if expired {
		state.changed.owners, state.changed.any = true, true
		state.forEachSlot(state.refreshSlot)
	}
}

// owner returns the member that currently owns the partition as far as this instance knows, with handovers under way
// taken into account.
func (state *State) owner(key partitionKey) uint16 {
	if _, awaitingRelease := state.releaseDeadlines[key]; awaitingRelease {
		return _self
	}
	if source, acquiring := state.acquiring[key]; acquiring {
		return source
	}
	if to, released := state.releasedTo[key]; released {
		return to
	}
	return state.domains[key.domain].pairs[key.partition].owner
}

// destination returns the member that the slot's state is replicated to: the receiver of its handover, or the
// runner-up, or the designated owner if that is another instance.
func (state *State) destination(slotState *slotState) uint16 {
	if slotState.handover != nil {
		return slotState.handover.to
	}
	key := state.servedPartition(slotState)
	pair := state.domains[key.domain].pairs[key.partition]
	if pair.owner == _self {
		return pair.runnerUp
	}
	return pair.owner
}

// reportLeft emits LeaveCompleted once, when a leaving instance has handed over all it owned and no view lists it.
func (state *State) reportLeft() {
	if !state.leaving || state.leftReported || len(state.releaseDeadlines) > 0 || len(state.handovers) > 0 {
		return
	}
	for _, domain := range state.domains {
		if domain.view.Has(state.config.Self) {
			return
		}
	}
	busy := false
	state.forEachSlot(func(slotState *slotState) { busy = busy || slotState.serving || len(slotState.heldArrivals) > 0 })
	if !busy {
		state.leftReported = true
		state.emit(LeaveCompleted{})
	}
}
