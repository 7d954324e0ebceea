package placement

import (
	"sync/atomic"
	"time"

	"azureshift/core/flow"
	"azureshift/core/id"
)

// Action says what to do with a datagram.
type Action uint8

const (
	// ActionPlace sends it to the target.
	ActionPlace Action = iota + 1
	// ActionForward sends it to another entry instance.
	ActionForward
	// ActionAsk leaves the decision to the control state, by the event FlowArrived.
	ActionAsk
	// ActionRefuse drops it: there is no such service, or no target.
	ActionRefuse
)

const (
	_maxHops = 2

	_routeDefault    = 0
	_routeAsk        = 1
	_routeMemberBase = 2

	// _localIfKnownBit marks an owner that stands in while this instance asks it for its state.
	_localIfKnownBit = 1 << 15
)

// Decision is what a traffic thread does with a datagram.
type Decision struct {
	Action Action
	Target flow.Target
	Member id.Member
	// LocalIfKnown says of ActionForward that the flow is placed here nevertheless if it is known here.
	LocalIfKnown bool
	// Stale is to be copied to FlowArrived.
	Stale bool
}

// Snapshot is an immutable picture of the control state for traffic threads.
type Snapshot struct {
	self           uint16
	fence          uint64
	services       []*serviceView
	serviceIndexes map[id.Service]int
	targets        []TargetView
	owners         [][]uint16
	members        []id.Member
	// cutAt is when the members were lost that are returning now.
	cutAt time.Time
}

// TargetView is what traffic threads know of a target.
type TargetView struct {
	Service int
	TargetIdentity
	domain uint16
	// Alive says that the target serves the flows that stand on it.
	Alive bool
	// Unrestricted says that the target takes new work without conditions.
	Unrestricted bool
}

// serviceView is one service: its plan, and a code for each slot that is not handled by its plan's
// owner and home alone.
type serviceView struct {
	name       id.Service
	plan       *plan
	routeCodes []uint16
}

// Service returns the number of a service, or -1.
func (snapshot *Snapshot) Service(name id.Service) int {
	if index, known := snapshot.serviceIndexes[name]; known {
		return index
	}
	return -1
}

// Target returns what is known of the target.
func (snapshot *Snapshot) Target(target flow.Target) TargetView {
	return snapshot.targets[target]
}

// Fence orders snapshots for flow.Table.Insert.
func (snapshot *Snapshot) Fence() uint64 { return snapshot.fence }

// Lookup decides on a datagram of a flow that is not in the flow table. Hops is how often an entry
// instance has forwarded it. It is safe for concurrent use and allocates nothing.
func (snapshot *Snapshot) Lookup(service int, flow id.Flow, hops int) Decision {
	if service < 0 || service >= len(snapshot.services) {
		return Decision{Action: ActionRefuse}
	}
	view := snapshot.services[service]
	if view.plan == nil || len(view.plan.targets) == 0 {
		return Decision{Action: ActionRefuse}
	}
	slot := view.plan.slot(flow)
	home := &snapshot.targets[view.plan.homeOf(slot)]
	code := uint16(_routeDefault)
	if view.routeCodes != nil {
		code = view.routeCodes[slot]
	}
	owner := snapshot.owners[home.domain][view.plan.partition(slot)]
	switch {
	case code == _routeAsk:
		return Decision{Action: ActionAsk}
	case code >= _routeMemberBase:
		owner = (code - _routeMemberBase) | _localIfKnownBit
	}
	if owner != snapshot.self && owner != _noMember && hops < _maxHops {
		member := snapshot.members[owner&^_localIfKnownBit]
		return Decision{Action: ActionForward, Member: member, LocalIfKnown: owner&_localIfKnownBit != 0}
	}
	if owner != snapshot.self || !home.Unrestricted {
		return Decision{Action: ActionAsk}
	}
	return Decision{Action: ActionPlace, Target: view.plan.homeOf(slot)}
}

// Datapath is what traffic threads share: the latest snapshot and the flow table. It is safe for
// concurrent use.
type Datapath struct {
	Table    *flow.Table
	snapshot atomic.Pointer[Snapshot]
}

// Publish makes the snapshot the one that traffic threads read.
func (datapath *Datapath) Publish(snapshot *Snapshot) { datapath.snapshot.Store(snapshot) }

// Snapshot returns the latest snapshot, nil before the first.
func (datapath *Datapath) Snapshot() *Snapshot { return datapath.snapshot.Load() }

// Route decides on a datagram and enters a flow that it places in the flow table.
func (datapath *Datapath) Route(service int, hash id.Flow, hops int, now time.Time) Decision {
	for {
		snapshot := datapath.snapshot.Load()
		if snapshot == nil {
			return Decision{Action: ActionRefuse}
		}
		decision := snapshot.Lookup(service, hash, hops)
		if decision.Action == ActionRefuse || decision.Action == ActionForward && !decision.LocalIfKnown {
			return decision
		}
		if decision.LocalIfKnown && datapath.placedBeforeCut(hash, snapshot.cutAt) {
			return Decision{Action: ActionAsk, Stale: true}
		}
		if current, ok := datapath.Table.Find(hash, now); ok {
			if snapshot.targets[current].Alive {
				return Decision{Action: ActionPlace, Target: current}
			}
			return Decision{Action: ActionAsk}
		}
		if decision.Action != ActionPlace {
			return decision
		}
		target, ok := datapath.Table.Insert(hash, flow.Entry{Target: decision.Target, Seen: now}, snapshot.fence)
		if ok {
			return Decision{Action: ActionPlace, Target: target}
		}
	}
}

// placedBeforeCut says that the flow may have been placed by another owner during a cut.
func (datapath *Datapath) placedBeforeCut(hash id.Flow, cutAt time.Time) bool {
	if cutAt.IsZero() {
		return false
	}
	seen, known := datapath.Table.Seen(hash)
	return known && seen.Before(cutAt)
}

// Overrule carries out the effect.
func (datapath *Datapath) Overrule(effect Overrule, now time.Time) {
	if seen, known := datapath.Table.Seen(effect.Flow); known && seen.Before(effect.Since) {
		datapath.Table.Replace(effect.Flow, flow.Entry{Target: effect.Target, Recorded: true, Seen: now})
	}
}

// Settle carries out Place and returns the target that the flow stands on: the one it stood on
// before if that is alive.
func (datapath *Datapath) Settle(place Place, now time.Time) flow.Target {
	snapshot := datapath.snapshot.Load()
	current, ok := datapath.Table.Find(place.Flow, now)
	if ok && current != place.Target && snapshot.targets[current].Alive {
		return current
	}
	datapath.Table.Replace(place.Flow, flow.Entry{Target: place.Target, Recorded: place.Recorded, Seen: now})
	return place.Target
}
