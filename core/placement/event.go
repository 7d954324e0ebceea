package placement

import (
	"time"

	"azureshift/bundle"
	"azureshift/core/epoch"
	"azureshift/core/flow"
	"azureshift/core/id"
)

// Event is something that happened to the control state.
type Event interface{ event() }

// Hint says what a traffic thread could tell of a flow from its datagram.
type Hint uint8

const (
	// HintNone is a datagram that may open a flow or belong to one.
	HintNone Hint = iota + 1
	// HintOpening is a datagram that opens a flow.
	HintOpening
)

// Health is what an entry instance itself saw of a target.
type Health uint8

const (
	// HealthUp is a target that answers.
	HealthUp Health = iota + 1
	// HealthDown is a target that does not answer; its flows are lost.
	HealthDown
	// HealthRefusing is a target that refuses new work and keeps its flows.
	HealthRefusing
	// HealthOverloaded is a target with more work than it can take; it keeps its flows.
	HealthOverloaded
)

// BundleApplied puts a bundle in force. A bundle that is not newer is ignored.
type BundleApplied struct {
	At     time.Time
	Bundle bundle.Bundle
}

// ViewChanged brings the agreed member list of one failure domain.
type ViewChanged struct {
	At   time.Time
	View epoch.View
}

// MemberUp says that an entry instance is reachable.
type MemberUp struct {
	At     time.Time
	Member id.Member
}

// MemberDown says that an entry instance is lost or cut off.
type MemberDown struct {
	At     time.Time
	Member id.Member
}

// TargetSeen brings the health of a target as this instance saw it.
type TargetSeen struct {
	At      time.Time
	Service id.Service
	Target  id.Target
	Health  Health
}

// FlowArrived is a datagram of a flow that a traffic thread could not decide. The edge looks the
// flow up in the flow table once more right before it hands the event over.
type FlowArrived struct {
	At      time.Time
	Service int
	Flow    id.Flow
	Hint    Hint
	Hops    int
	// Stale says that the flow table has the flow, last seen before a cut that is being healed.
	Stale bool

	held bool
}

// FlowsEnded names flows with an exact record that have expired from the flow table.
type FlowsEnded struct {
	At    time.Time
	Flows []flow.Ended
}

// FiltersBuilt is the answer to the effect BuildFilter.
type FiltersBuilt struct {
	At    time.Time
	Fence uint64
	Slots []BuiltSlot
}

// BuiltSlot holds the filters of the established flows of one slot.
type BuiltSlot struct {
	Service int
	Slot    id.Slot
	Filters []BuiltFilter
	// Collisions are flows that the filters would send to another target than their own.
	Collisions []Collision
}

// BuiltFilter is the filter of the flows that stand on one previous home of a slot.
type BuiltFilter struct {
	Target flow.Target
	Count  int
	Filter Filter
}

// Collision is a flow and the target that it stands on.
type Collision struct {
	Flow   id.Flow
	Target flow.Target
}

// PeerReceived is a message of another entry instance.
type PeerReceived struct {
	At      time.Time
	From    id.Member
	Message Message
}

// Leave asks the instance to hand over what it owns. Effect Left follows when that is done.
type Leave struct{ At time.Time }

// Tick tells the time. It is to come a few times a second.
type Tick struct{ At time.Time }

func (BundleApplied) event() {}
func (ViewChanged) event()   {}
func (MemberUp) event()      {}
func (MemberDown) event()    {}
func (TargetSeen) event()    {}
func (FlowArrived) event()   {}
func (FlowsEnded) event()    {}
func (FiltersBuilt) event()  {}
func (PeerReceived) event()  {}
func (Leave) event()         {}
func (Tick) event()          {}
