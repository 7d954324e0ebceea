package placement

import (
	"time"

	"azureshift/core/flow"
	"azureshift/core/id"
)

// Effect is something that the edge has to carry out. Effects are carried out in order.
type Effect interface{ effect() }

// Publish hands a new snapshot to the traffic threads.
type Publish struct{ Snapshot *Snapshot }

// Place answers FlowArrived: the flow stands on the target from now on.
type Place struct {
	Service int
	Flow    id.Flow
	Target  flow.Target
	// Recorded says that the flow has an exact record, so that its end is to be reported.
	Recorded bool
}

// Overrule says that another owner placed the flow while this instance was cut off. It goes to the
// target from now on unless it was seen here at or after Since.
type Overrule struct {
	Flow   id.Flow
	Target flow.Target
	Since  time.Time
}

// Forward answers FlowArrived: another instance handles the flow.
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

// BuildFilter asks for the filters of the established flows of slots. The edge fences the flow
// table first; BuildFilters does both.
type BuildFilter struct {
	Fence uint64
	Slots []SlotQuery
}

// SlotQuery names a slot and its previous homes.
type SlotQuery struct {
	Service       int
	Slot          id.Slot
	SlotBits      int
	Home          flow.Target
	PreviousHomes []flow.Target
}

// SendPeer sends a message to another entry instance. It may be lost.
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

// Left says that all that a leaving instance owned stands at its successors.
type Left struct{}

// Counter names what is counted.
type Counter uint8

const (
	// CounterRecorded counts flows placed off their home with an exact record.
	CounterRecorded Counter = iota + 1
	// CounterHeld counts arrivals that had to wait for an acknowledgement or a filter.
	CounterHeld
	// CounterTakenOver counts partitions taken over from a lost owner.
	CounterTakenOver
	// CounterConflict counts records that differed between two owners.
	CounterConflict
	// CounterUndecided counts arrivals that were dropped because their owner was not reached: the
	// caller sends them again.
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
