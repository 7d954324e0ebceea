package epoch

import (
	"time"

	"azureshift/core/id"
)

// Event is an input of State.Reduce.
type Event interface{ event() }

// Tick reports the time.
type Tick struct{ At time.Time }

// LiveMembers lists the members of the own domain that the failure detector considers alive and that are not
// leaving. Suspected members are included until they are declared dead.
type LiveMembers struct {
	At      time.Time
	Members []id.Member
}

// ViewRequested requests a new view after the one numbered After, even with the same members.
type ViewRequested struct {
	At    time.Time
	After id.Epoch
}

// ViewReceived is a view received from a peer or a watch of the platform.
type ViewReceived struct {
	At   time.Time
	View View
}

// ViewRead answers Read. Found is set if the platform answered.
type ViewRead struct {
	At    time.Time
	Found bool
	// View is the view at the platform, or the zero value if there is none yet.
	View View
}

// Swapped answers Propose.
type Swapped struct {
	At       time.Time
	Proposed View
	Result   Result
}

// Result is the outcome of a compare-and-swap.
type Result interface{ result() }

// Applied means that the proposed view is in force.
type Applied struct{}

// NotApplied means that another view is in force.
type NotApplied struct{ Current View }

// OutcomeUnknown means that it is unknown whether the swap took effect.
type OutcomeUnknown struct{}

var (
	_ Event  = Tick{}
	_ Event  = LiveMembers{}
	_ Event  = ViewRequested{}
	_ Event  = ViewReceived{}
	_ Event  = ViewRead{}
	_ Event  = Swapped{}
	_ Result = Applied{}
	_ Result = NotApplied{}
	_ Result = OutcomeUnknown{}
)

func (Tick) event()            {}
func (LiveMembers) event()     {}
func (ViewRequested) event()   {}
func (ViewReceived) event()    {}
func (ViewRead) event()        {}
func (Swapped) event()         {}
func (Applied) result()        {}
func (NotApplied) result()     {}
func (OutcomeUnknown) result() {}
