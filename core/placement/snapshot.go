package placement

import (
	"sync/atomic"
	"time"

	"azureshift/core/flow"
	"azureshift/core/id"
)

// Action is what to do with a datagram.
type Action uint8

const (
	// ActionPlace sends the datagram to the target.
	ActionPlace Action = iota + 1
	// ActionForward sends the datagram to another entry instance.
	ActionForward
	// ActionDefer leaves the decision to State, which is asked by the event FlowArrived.
	ActionDefer
	// ActionRefuse drops the datagram: the service is unknown or has no target.
	ActionRefuse
)

const (
	// _maxHops is how often a datagram may be forwarded between entry instances.
	_maxHops = 2

	// Route codes of a slot: by owner and home, by asking State, or, from _routeMemberBase on, by forwarding to the
	// member whose number is the difference.
	_routeDefault    = 0
	_routeAsk        = 1
	_routeMemberBase = 2

	// _localIfKnownBit marks an owner from which this instance is acquiring the state: flows that are known here are
	// placed here, all others are forwarded.
	_localIfKnownBit = 1 << 15
)

// Decision tells a traffic thread what to do with a datagram.
type Decision struct {
	Action Action
	Target flow.Target
	Member id.Member
	// LocalIfKnown reports, with ActionForward, that the flow is to be placed here if the flow table has it.
	LocalIfKnown bool
	// Stale must be copied to FlowArrived.
	Stale bool
}

// Snapshot is an immutable copy of the parts of the control state that traffic threads read.
type Snapshot struct {
	self           uint16
	fence          uint64
	services       []*serviceView
	serviceIndexes map[id.Service]int
	targets        []TargetView
	owners         [][]uint16
	members        []id.Member
	// cutAt is when the latest of the members that are now returning was lost, zero if none is returning.
	cutAt time.Time
}

// TargetView is what traffic threads know of a target.
type TargetView struct {
	Service int
	TargetIdentity
	domain uint16
	// Alive reports whether the target serves the flows that are assigned to it.
	Alive bool
	// Unrestricted reports whether the target accepts all new work: it is active, up and not in slow start.
	Unrestricted bool
}

// serviceView is a service in a snapshot: its plan and a route code for each slot. Without codes, all slots have
// _routeDefault.
type serviceView struct {
	name       id.Service
	plan       *plan
	routeCodes []uint16
}

// Service returns the index of a service, or -1 if it is unknown.
func (snapshot *Snapshot) Service(name id.Service) int {
	if index, known := snapshot.serviceIndexes[name]; known {
		return index
	}
	return -1
}

// Target returns the view of a target.
func (snapshot *Snapshot) Target(target flow.Target) TargetView {
	return snapshot.targets[target]
}

// Fence returns the fence that flow.Table.Insert needs to reject placements from outdated snapshots.
func (snapshot *Snapshot) Fence() uint64 { return snapshot.fence }

// Lookup decides on a datagram of a flow that is not in the flow table. Hops is how often the datagram has been
// forwarded between entry instances. It is safe for concurrent use and does not allocate.
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
		return Decision{Action: ActionDefer}
	case code >= _routeMemberBase:
		owner = (code - _routeMemberBase) | _localIfKnownBit
	}
	if owner != snapshot.self && owner != _noMember && hops < _maxHops {
		member := snapshot.members[owner&^_localIfKnownBit]
		return Decision{Action: ActionForward, Member: member, LocalIfKnown: owner&_localIfKnownBit != 0}
	}
	if owner != snapshot.self || !home.Unrestricted {
		return Decision{Action: ActionDefer}
	}
	return Decision{Action: ActionPlace, Target: view.plan.homeOf(slot)}
}

// Datapath holds what traffic threads share: the latest snapshot and the flow table. It is safe for concurrent use.
type Datapath struct {
	Table    *flow.Table
	snapshot atomic.Pointer[Snapshot]
}

// Publish replaces the snapshot that traffic threads read.
func (datapath *Datapath) Publish(snapshot *Snapshot) { datapath.snapshot.Store(snapshot) }

// Snapshot returns the latest snapshot, or nil before the first.
func (datapath *Datapath) Snapshot() *Snapshot { return datapath.snapshot.Load() }

// Route decides on a datagram. It adds a flow that it places to the flow table, and starts over if that rejects the
// placement because a newer snapshot is in use.
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
			return Decision{Action: ActionDefer, Stale: true}
		}
		if current, ok := datapath.Table.Find(hash, now); ok {
			if snapshot.targets[current].Alive {
				return Decision{Action: ActionPlace, Target: current}
			}
			return Decision{Action: ActionDefer}
		}
		if decision.Action != ActionPlace {
			return decision
		}
		target, ok := datapath.Table.Insert(hash, flow.Entry{Target: decision.Target, LastSeen: now}, snapshot.fence)
		if ok {
			return Decision{Action: ActionPlace, Target: target}
		}
	}
}

// placedBeforeCut reports whether the flow was last seen here before the network partition, so that another owner may
// have placed it since.
func (datapath *Datapath) placedBeforeCut(hash id.Flow, cutAt time.Time) bool {
	if cutAt.IsZero() {
		return false
	}
	seen, known := datapath.Table.LastSeen(hash)
	return known && seen.Before(cutAt)
}

// Reassign carries out the effect Reassign on the flow table.
func (datapath *Datapath) Reassign(effect Reassign, now time.Time) {
	if seen, known := datapath.Table.LastSeen(effect.Flow); known && seen.Before(effect.Since) {
		datapath.Table.Replace(effect.Flow, flow.Entry{Target: effect.Target, HasRecord: true, LastSeen: now})
	}
}

// Place carries out the effect Place on the flow table and returns the flow's target. That is the target it had
// before, if any, as long as it is alive.
func (datapath *Datapath) Place(place Place, now time.Time) flow.Target {
	snapshot := datapath.snapshot.Load()
	current, ok := datapath.Table.Find(place.Flow, now)
	if ok && current != place.Target && snapshot.targets[current].Alive {
		return current
	}
	datapath.Table.Replace(place.Flow, flow.Entry{Target: place.Target, HasRecord: place.HasRecord, LastSeen: now})
	return place.Target
}
