package core

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"azureshift/core/epoch"
	"azureshift/core/gossip"
	"azureshift/core/id"
	"azureshift/core/membership"
	"azureshift/core/placement"
	"azureshift/core/request"
)

const (
	_viewPrefix = "Epochs/"
	// _maxViewHistory is the number of latest views that are kept, so that a new owner can fetch records from the
	// members of earlier views.
	_maxViewHistory = 4
)

func (state *State) reduceEpochs(event epoch.Event) {
	for _, effect := range state.epochs.Reduce(event) {
		switch effect := effect.(type) {
		case epoch.Propose, epoch.Read:
			state.emit(EpochEffect{effect})
		case epoch.Adopt:
			state.adoptView(effect.View)
		case epoch.Publish:
			state.publishView(effect.View)
		case epoch.Conflict:
			state.emit(Violation{Invariant: "two views of one number are equal"})
		}
	}
}

// adoptView makes a view of the local failure domain current.
func (state *State) adoptView(view epoch.View) {
	state.setView(view)
	state.push(RequestEvent{request.ViewChanged{
		At: request.At{At: state.now}, View: view, History: slices.Clone(state.viewHistory),
	}})
	state.addToHistory(view)
	state.updateProbeState()
}

// addToHistory inserts a view into the history, from which a new owner learns where to fetch records.
func (state *State) addToHistory(view epoch.View) {
	at, known := slices.BinarySearchFunc(state.viewHistory, view.Number, func(kept epoch.View, number id.Epoch) int {
		return cmp.Compare(kept.Number, number)
	})
	if known {
		return
	}
	state.viewHistory = slices.Insert(state.viewHistory, at, view)
	if len(state.viewHistory) > _maxViewHistory {
		state.viewHistory = slices.Delete(state.viewHistory, 0, 1)
	}
}

// setView stores a view of any failure domain if it is newer than the known one.
func (state *State) setView(view epoch.View) {
	if view.Number <= state.views[view.Domain].Number {
		return
	}
	state.views[view.Domain] = view
	state.emit(ViewChanged{View: view})
	state.push(FlowEvent{placement.ViewChanged{At: state.now, View: view}})
	state.emitWatch()
	state.routesChanged = true
}

// updateLiveMembers passes the live members of the local failure domain to the view and rollout reducers.
func (state *State) updateLiveMembers() {
	live := state.members.Live()
	state.push(EpochEvent{epoch.LiveMembers{At: state.now, Members: live}})
	state.updateRolloutMembers(live)
}

func (state *State) requestNextEpoch(after id.Epoch) {
	state.epochToReplace = after
	state.retryNextEpoch()
}

// retryNextEpoch repeats the request for a new view until there is one.
func (state *State) retryNextEpoch() {
	if state.epochToReplace > 0 && state.epochToReplace == state.views[state.config.Domain].Number {
		state.push(EpochEvent{epoch.ViewRequested{At: state.now, After: state.epochToReplace}})
	}
}

// updateProbeState updates the epoch and the gossip digest that probes carry.
func (state *State) updateProbeState() {
	state.push(MemberEvent{membership.LocalStateChanged{
		At: state.now, Epoch: state.views[state.config.Domain].Number, ValueDigest: state.gossip.Digest(),
	}})
}

// viewValue is the gossip value of a failure domain: its latest views, the current one last. The earlier ones tell
// a new owner which members to fetch records from.
type viewValue struct {
	Views []epoch.View `cbor:"1,keyasint"`
}

// publishView gossips an adopted view, which is the last of the history.
func (state *State) publishView(view epoch.View) {
	data, err := cbor.Marshal(viewValue{Views: state.viewHistory})
	if err != nil {
		return
	}
	key := gossip.Key(_viewPrefix + string(view.Domain))
	state.push(GossipEvent{gossip.SetValue{
		At: state.now, Value: gossip.Value{Key: key, Version: uint64(view.Number), Data: data},
	}})
}

// applyViewValue applies views received by gossip.
func (state *State) applyViewValue(value gossip.Value) {
	var decoded viewValue
	if err := cbor.Unmarshal(value.Data, &decoded); err != nil || !decoded.matches(value) {
		state.count("gossip: view refused", 1)
		return
	}
	view := decoded.Views[len(decoded.Views)-1]
	if view.Domain != state.config.Domain {
		state.setView(view)
		state.push(RequestEvent{request.ViewChanged{At: request.At{At: state.now}, View: view}})
		return
	}
	for _, former := range decoded.Views[:len(decoded.Views)-1] {
		state.addToHistory(former)
	}
	state.push(EpochEvent{epoch.ViewReceived{At: state.now, View: view}})
}

// matches reports whether the views belong to the failure domain in the value's key and the last one has the
// value's version.
func (spread viewValue) matches(value gossip.Value) bool {
	if len(spread.Views) == 0 {
		return false
	}
	for _, view := range spread.Views {
		if _viewPrefix+string(view.Domain) != string(value.Key) || uint64(view.Number) > value.Version {
			return false
		}
	}
	return uint64(spread.Views[len(spread.Views)-1].Number) == value.Version
}
