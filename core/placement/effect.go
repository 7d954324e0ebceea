package placement

import (
	"time"

	"azureshift/core/flow"
	"azureshift/core/id"
)

// Effect is an action that the caller of Reduce has to carry out. Effects are carried out in order.
type Effect interface{ effect() }

// Publish makes a new snapshot available to the traffic threads.
type Publish struct{ Snapshot *Snapshot }

// Place answers FlowArrived: the flow is assigned to the target.
type Place struct {
	Service int
	Flow    id.Flow
	Target  flow.Target
	// HasRecord reports whether the flow has an exact record, so that FlowsExpired must report its end.
	HasRecord bool
}

// Reassign corrects the flow table for a flow that another owner placed while this instance was cut off: the flow is
// reassigned to the target, unless it was seen here at or after Since.
type Reassign struct {
	Flow   id.Flow
	Target flow.Target
	Since  time.Time
}

// Forward answers FlowArrived: the given instance handles the flow.
type Forward struct {
	Service int
	Flow    id.Flow
	Member  id.Member
}

// Refuse answers FlowArrived: no target of the service takes new work.
type Refuse struct {
	Service int
	Flow    id.Flow
}

// RequestFilters requests filters of the established flows of slots. The flow table must be fenced first; the function
// BuildFilters does both. The answer is the event FiltersBuilt.
type RequestFilters struct {
	Fence uint64
	Slots []SlotQuery
}

// SlotQuery asks for the flows of a slot at its home and at each of its previous homes.
type SlotQuery struct {
	Service       int
	Slot          id.Slot
	SlotBits      int
	Home          flow.Target
	PreviousHomes []flow.Target
}

// Send sends a message to another entry instance. The message may be lost.
type Send struct {
	To      id.Member
	Message Message
}

// Count adds to a counter.
type Count struct {
	Counter Counter
	Amount  int
}

// InvariantViolated reports a broken invariant.
type InvariantViolated struct{ Violation Violation }

// LeaveCompleted reports that a leaving instance has handed over everything it owned.
type LeaveCompleted struct{}

// Counter identifies a counter.
type Counter uint8

const (
	// CountRecorded counts flows placed off their home with an exact record.
	CountRecorded Counter = iota + 1
	// CountDeferred counts arrivals that were held until an acknowledgement, a filter or the slot's state came.
	CountDeferred
	// CountTakeover counts partitions taken over from an unreachable owner.
	CountTakeover
	// CountConflict counts flows that two owners had recorded with different targets.
	CountConflict
	// CountOwnerUnreachable counts arrivals that were dropped because their owner could not be reached. Callers retransmit
	// them.
	CountOwnerUnreachable
)

func (Publish) effect()           {}
func (Place) effect()             {}
func (Reassign) effect()          {}
func (Forward) effect()           {}
func (Refuse) effect()            {}
func (RequestFilters) effect()    {}
func (Send) effect()              {}
func (Count) effect()             {}
func (InvariantViolated) effect() {}
func (LeaveCompleted) effect()    {}
