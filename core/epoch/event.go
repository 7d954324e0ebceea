package epoch

import (
	"time"

	"azureshift/core/id"
)

// Event is an input of State.Reduce.
type Event interface{ event() }

// Tick reports the time.
type Tick struct{ At time.Time }

// Live lists the members of the own domain that the failure detector considers alive and that are not
// leaving. Suspected members are included until they are declared dead.
type Live struct {
	At      time.Time
	Members []id.Member
}

// Wanted requests a new view after the one numbered After, even with the same members.
type Wanted struct {
	At    time.Time
	After id.Epoch
}

// ViewSeen is a view received from a peer or a watch of the platform.
type ViewSeen struct {
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

// Won means that the proposed view is in force.
type Won struct{}

// Lost means that another view is in force.
type Lost struct{ Current View }

// Failed means that it is unknown whether the swap took effect.
type Failed struct{}

var (
	_ Event  = Tick{}
	_ Event  = Live{}
	_ Event  = Wanted{}
	_ Event  = ViewSeen{}
	_ Event  = ViewRead{}
	_ Event  = Swapped{}
	_ Result = Won{}
	_ Result = Lost{}
	_ Result = Failed{}
)

func (Tick) event()     {}
func (Live) event()     {}
func (Wanted) event()   {}
func (ViewSeen) event() {}
func (ViewRead) event() {}
func (Swapped) event()  {}
func (Won) result()     {}
func (Lost) result()    {}
func (Failed) result()  {}
