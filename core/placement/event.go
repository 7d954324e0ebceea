package placement

import (
	"time"

	"azureshift/bundle"
	"azureshift/core/epoch"
	"azureshift/core/flow"
	"azureshift/core/id"
)

// Event is an input of State.Reduce.
type Event interface{ event() }

// Hint is what a traffic thread could tell from the datagram about its flow.
type Hint uint8

const (
	// HintNone marks a datagram that may open a flow or belong to an established one.
	HintNone Hint = iota + 1
	// HintOpening marks a datagram that opens a flow.
	HintOpening
)

// Health is the health of a target as this entry instance observed it.
type Health uint8

const (
	// HealthUp means that the target answers and accepts new work.
	HealthUp Health = iota + 1
	// HealthDown means that the target does not answer; its flows are lost.
	HealthDown
	// HealthRefusing means that the target refuses new work but still serves its flows.
	HealthRefusing
	// HealthOverloaded means that the target has more work than it can handle; it still serves its flows.
	HealthOverloaded
)

// BundleApplied applies a bundle. A bundle that is not newer than the current one is ignored.
type BundleApplied struct {
	At     time.Time
	Bundle bundle.Bundle
}

// ViewChanged reports a new agreed member list of one failure domain.
type ViewChanged struct {
	At   time.Time
	View epoch.View
}

// MemberUp reports that an entry instance is reachable.
type MemberUp struct {
	At     time.Time
	Member id.Member
}

// MemberDown reports that an entry instance has failed or is cut off.
type MemberDown struct {
	At     time.Time
	Member id.Member
}

// TargetHealthObserved reports the health of a target as this instance observed it.
type TargetHealthObserved struct {
	At      time.Time
	Service id.Service
	Target  id.Target
	Health  Health
}

// FlowArrived reports a datagram whose flow a traffic thread could not place (ActionDefer). The caller must look the
// flow up in the flow table once more right before it passes the event to Reduce.
type FlowArrived struct {
	At      time.Time
	Service int
	Flow    id.Flow
	Hint    Hint
	Hops    int
	// Stale reports that the flow was last seen here before a network partition that is now healing, so that another
	// owner may have placed it since.
	Stale bool

	held bool
}

// FlowsExpired reports flows with an exact record that have expired from the flow table.
type FlowsExpired struct {
	At    time.Time
	Flows []flow.Expired
}

// FiltersBuilt answers the effect RequestFilters.
type FiltersBuilt struct {
	At    time.Time
	Fence uint64
	Slots []BuiltSlot
}

// BuiltSlot holds the filters of the established flows of one slot, one per previous home.
type BuiltSlot struct {
	Service int
	Slot    id.Slot
	Filters []BuiltFilter
	// Collisions are the flows that a false positive of a filter would send to another target than their own.
	Collisions []Collision
}

// BuiltFilter is the filter of the flows that are assigned to one previous home of a slot, and their number.
type BuiltFilter struct {
	Target flow.Target
	Count  int
	Filter Filter
}

// Collision is a flow and the target that it is assigned to.
type Collision struct {
	Flow   id.Flow
	Target flow.Target
}

// MessageReceived reports a message from another entry instance.
type MessageReceived struct {
	At      time.Time
	From    id.Member
	Message Message
}

// Leave makes the instance hand over everything it owns. The effect LeaveCompleted follows when that is done.
type Leave struct{ At time.Time }

// Tick advances the time and runs timers. It should be sent a few times a second.
type Tick struct{ At time.Time }

func (BundleApplied) event()        {}
func (ViewChanged) event()          {}
func (MemberUp) event()             {}
func (MemberDown) event()           {}
func (TargetHealthObserved) event() {}
func (FlowArrived) event()          {}
func (FlowsExpired) event()         {}
func (FiltersBuilt) event()         {}
func (MessageReceived) event()      {}
func (Leave) event()                {}
func (Tick) event()                 {}
