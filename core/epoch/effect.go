package epoch

import "azureshift/core/id"

// Effect is an action that State.Reduce returns for its caller to carry out.
type Effect interface{ effect() }

// Propose replaces the view at the platform by compare-and-swap: only if its number is still
// Expected, or if there is none and Expected is 0. The answer is Swapped.
type Propose struct {
	Expected id.Epoch
	View     View
}

// Read reads the view from the platform. The answer is ViewRead.
type Read struct{ Domain id.Domain }

// Adopt puts a view in force at this instance.
type Adopt struct{ View View }

// Publish disseminates a view by gossip.
type Publish struct{ View View }

// Conflict reports that two views with the same number differ, which the compare-and-swap excludes.
type Conflict struct{ Held, Received View }

var (
	_ Effect = Propose{}
	_ Effect = Read{}
	_ Effect = Adopt{}
	_ Effect = Publish{}
	_ Effect = Conflict{}
)

func (Propose) effect()  {}
func (Read) effect()     {}
func (Adopt) effect()    {}
func (Publish) effect()  {}
func (Conflict) effect() {}
