package epoch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/id"
)

// State tracks the view of one domain and proposes the next one. It is not safe for concurrent use.
type State struct {
	config    Config
	view      View
	live      []id.Member
	now       time.Time
	startedAt time.Time
	adoptedAt time.Time
	// differsSince is the time since which a new view is needed, usually because the live members differ from the
	// current one; it is zero if none is needed. Config.StabilityWait counts from liveChangedAt, when the live members
	// last changed, a pause ended or a new view was requested.
	differsSince  time.Time
	liveChangedAt time.Time
	request       request
	backoff       time.Duration
	// retryAt is the earliest time of the next request after a failure.
	retryAt time.Time
	// exclusions counts how often a new view excluded this live instance.
	exclusions int
	effects    []Effect
}

// request is the outstanding request to the platform, if any.
type request struct {
	kind      requestKind
	startedAt time.Time
}

type requestKind uint8

const (
	_noRequest requestKind = iota
	_proposing
	_reading
	// _outcomeUnknown is the state between a request that failed and the next Read.
	_outcomeUnknown
)

// New returns the state of an instance that has received no view.
func New(config Config) *State {
	config = config.withDefaults()
	return &State{config: config, backoff: config.Backoff, view: View{Domain: config.Domain}}
}

// View returns the view in force at this instance. Its number is 0 until the first view is received.
func (state *State) View() View { return state.view }

// Reduce applies one event and returns the effects to carry out.
func (state *State) Reduce(event Event) []Effect {
	state.effects = nil
	switch event := event.(type) {
	case Tick:
		state.advance(event.At)
	case LiveMembers:
		state.advance(event.At)
		state.setLive(event.Members)
	case ViewRequested:
		state.advance(event.At)
		state.requestNextView(event.After)
	case ViewReceived:
		state.advance(event.At)
		state.adopt(event.View)
	case ViewRead:
		state.advance(event.At)
		state.handleViewRead(event)
	case Swapped:
		state.advance(event.At)
		state.handleSwapped(event)
	}
	state.callPlatform()
	return state.effects
}

// advance moves the clock forward. After a pause the live members may be out of date, so they have to settle again.
func (state *State) advance(at time.Time) {
	if state.now.IsZero() {
		state.startedAt = at
	} else if at.Sub(state.now) > state.config.PauseLimit {
		state.differsSince = at
		state.liveChangedAt = at
	}
	if at.After(state.now) {
		state.now = at
	}
}

func (state *State) setLive(members []id.Member) {
	live := slices.Clone(members)
	slices.SortFunc(live, compareMembers)
	if slices.Equal(live, state.live) {
		return
	}
	state.live = live
	state.liveChangedAt = state.now
	state.updateDiffers()
}

// requestNextView starts the proposal of a new view, unless the one numbered after was already replaced.
func (state *State) requestNextView(after id.Epoch) {
	if after == state.view.Number && after > 0 && state.differsSince.IsZero() {
		state.differsSince = state.now
		state.liveChangedAt = state.now
	}
}

// updateDiffers updates the time since which the live members differ from the view.
func (state *State) updateDiffers() {
	if slices.Equal(state.live, state.view.Members) {
		state.differsSince = time.Time{}
		return
	}
	if state.differsSince.IsZero() {
		state.differsSince = state.now
	}
}

// adopt puts a view in force if its number is greater than that of the current one.
func (state *State) adopt(view View) {
	if view.Domain != state.config.Domain || view.Number < state.view.Number {
		return
	}
	if view.Number == state.view.Number {
		if !slices.Equal(view.Members, state.view.Members) {
			state.emit(Conflict{Held: state.view, Received: view})
		}
		return
	}
	state.countExclusion(view)
	state.view = view
	state.adoptedAt = state.now
	state.differsSince = time.Time{}
	state.updateDiffers()
	state.emit(Adopt{View: view})
	state.emit(Publish{View: view})
}

// countExclusion counts views that exclude this instance although it is live. Each doubles its NonMemberDelay, so that
// the sides of a partition stop replacing each other's views. The count is reset by a view that lasted longer than
// exclusionTTL.
func (state *State) countExclusion(next View) {
	const maxExclusions = 6
	const exclusionTTL = 10 * time.Minute
	if state.now.Sub(state.adoptedAt) > exclusionTTL {
		state.exclusions = 0
	}
	if state.view.Has(state.config.Self) && !next.Has(state.config.Self) {
		state.exclusions = min(state.exclusions+1, maxExclusions)
	}
}

// compareMembers orders members by instance and incarnation.
func compareMembers(left, right id.Member) int {
	return cmp.Or(cmp.Compare(left.Instance, right.Instance), cmp.Compare(left.Incarnation, right.Incarnation))
}

// rank returns the position of this instance among the live members in the order of proposers, or -1 if it is not live.
func (state *State) rank() int {
	order := View{Members: state.live}.Order(mix(xxhash.Sum64String(string(state.config.Domain))))
	return slices.Index(order, state.config.Self)
}

func (state *State) emit(effect Effect) {
	state.effects = append(state.effects, effect)
}
