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
	// Recorded reports whether the flow has an exact record, so that FlowsEnded must report its end.
	Recorded bool
}

// Overrule corrects the flow table for a flow that another owner placed while this instance was cut off: the flow is
// reassigned to the target, unless it was seen here at or after Since.
type Overrule struct {
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

// BuildFilter requests filters of the established flows of slots. The flow table must be fenced first; the function
// BuildFilters does both. The answer is the event FiltersBuilt.
type BuildFilter struct {
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

// SendPeer sends a message to another entry instance. The message may be lost.
type SendPeer struct {
	To      id.Member
	Message Message
}

// Count adds to a counter.
type Count struct {
	Counter Counter
	Amount  int
}

// Violated reports a broken invariant.
type Violated struct{ Violation Violation }

// Left reports that a leaving instance has handed over everything it owned.
type Left struct{}

// Counter identifies a counter.
type Counter uint8

const (
	// CounterRecorded counts flows placed off their home with an exact record.
	CounterRecorded Counter = iota + 1
	// CounterHeld counts arrivals that were held until an acknowledgement, a filter or the slot's state came.
	CounterHeld
	// CounterTakenOver counts partitions taken over from an unreachable owner.
	CounterTakenOver
	// CounterConflict counts flows that two owners had recorded with different targets.
	CounterConflict
	// CounterUndecided counts arrivals that were dropped because their owner could not be reached. Callers retransmit
	// them.
	CounterUndecided
)

func (Publish) effect()     {}
func (Place) effect()       {}
func (Overrule) effect()    {}
func (Forward) effect()     {}
func (Refuse) effect()      {}
func (BuildFilter) effect() {}
func (SendPeer) effect()    {}
func (Count) effect()       {}
func (Violated) effect()    {}
func (Left) effect()        {}
