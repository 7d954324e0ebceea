package fleet

import (
	"slices"
	"time"

	"azureshift/core/catalog"
)

// The live instances of a failure domain, best ranked first, form a tree that is laid out like a heap in an array: the
// one at index i sends updates to the Fanout instances from index Fanout*i+1 on. All instances know the same
// registrations and so nearly the same tree. Where their trees differ or an instance has failed, instances that receive
// no updates report to others further up, which send updates to every instance that reports to them.

// Upstream returns the instance that this one gets its updates from and reports to: its parent in the tree or, if the
// parent is silent or cut off from the relay, the best ranked instance that can take its place.
func (state *State) Upstream(now time.Duration) (catalog.Instance, bool) {
	ancestors := state.ancestors(now)
	var best *peerState
	for _, peer := range state.peers {
		if !state.isUpstreamCandidate(now, peer) {
			continue
		}
		if len(ancestors) > 0 && ancestors[0] == peer {
			return peer.Instance, true
		}
		if best == nil || RanksAbove(peer.Instance, best.Instance) {
			best = peer
		}
	}
	if best == nil {
		return catalog.Instance{}, false
	}
	return best.Instance, true
}

// isUpstreamCandidate reports whether a peer can pass on updates to this instance: it is the relay, or it is connected
// to the relay and ranks above this instance, which excludes cycles.
func (state *State) isUpstreamCandidate(now time.Duration, peer *peerState) bool {
	if peer.Domain != state.config.Self.Domain {
		return false
	}
	if isRecent(now, peer.lastRelayUpdate, state.config.UpstreamTimeout) {
		return true
	}
	return isRecent(now, peer.lastConnected, state.config.UpstreamTimeout) && RanksAbove(peer.Instance, state.config.Self)
}

// HasBetterRelay reports whether a higher ranked instance of the failure domain is a relay or connected to one.
func (state *State) HasBetterRelay(now time.Duration) bool {
	for _, peer := range state.peers {
		if state.isUpstreamCandidate(now, peer) && RanksAbove(peer.Instance, state.config.Self) {
			return true
		}
	}
	return false
}

// Ancestors returns the instances above this one in the tree, the nearest first.
func (state *State) Ancestors(now time.Duration) []catalog.Instance {
	peers := state.ancestors(now)
	instances := make([]catalog.Instance, 0, len(peers))
	for _, peer := range peers {
		instances = append(instances, peer.Instance)
	}
	return instances
}

// ancestors returns the peers above this instance in the tree, the nearest first.
func (state *State) ancestors(now time.Duration) []*peerState {
	order, index := state.treeOrder(now)
	var ancestors []*peerState
	for index > 0 {
		index = (index - 1) / state.config.Fanout
		ancestors = append(ancestors, order[index])
	}
	return ancestors
}

// Receivers returns the instances of the failure domain to which this one sends updates, sorted by name: its children
// in the tree, those that report to it, and lower ranked relays, which then yield to it. A relay also sends to the
// children of its ancestors, which may have failed.
func (state *State) Receivers(now time.Duration, relay bool) []Receiver {
	order, selfIndex := state.treeOrder(now)
	recipients := make(map[*peerState]bool)
	state.addChildren(recipients, order, selfIndex)
	for index := selfIndex; relay && index > 0; {
		index = (index - 1) / state.config.Fanout
		state.addChildren(recipients, order, index)
	}
	for _, peer := range state.peers {
		if peer.Domain != state.config.Self.Domain {
			continue
		}
		lowerRelay := isRecent(now, peer.lastRelayUpdate, state.config.LivenessTimeout) &&
			RanksAbove(state.config.Self, peer.Instance)
		if lowerRelay || isRecent(now, peer.lastReport, state.config.LivenessTimeout) {
			recipients[peer] = true
		}
	}
	receivers := make([]Receiver, 0, len(recipients))
	for peer := range recipients {
		receivers = append(receivers, peer.receiver())
	}
	return sortByName(receivers)
}

// addChildren adds the children of the instance at index to recipients.
func (state *State) addChildren(recipients map[*peerState]bool, order []*peerState, index int) {
	first := state.config.Fanout*index + 1
	for child := first; child < min(first+state.config.Fanout, len(order)); child++ {
		if order[child] != nil {
			recipients[order[child]] = true
		}
	}
}

// treeOrder returns the live instances of the failure domain, best ranked first, and the index of this one, where the
// slice holds nil.
func (state *State) treeOrder(now time.Duration) ([]*peerState, int) {
	order := make([]*peerState, 0, len(state.peers)+1)
	for _, peer := range state.peers {
		if peer.Domain == state.config.Self.Domain && state.isLive(now, peer) {
			order = append(order, peer)
		}
	}
	slices.SortFunc(order, func(left, right *peerState) int {
		if RanksAbove(left.Instance, right.Instance) {
			return -1
		}
		return 1
	})
	selfIndex, _ := slices.BinarySearchFunc(order, state.config.Self, func(peer *peerState, self catalog.Instance) int {
		if RanksAbove(peer.Instance, self) {
			return -1
		}
		return 1
	})
	return slices.Insert(order, selfIndex, nil), selfIndex
}

func isRecent(now, at, limit time.Duration) bool {
	return at > 0 && now-at <= limit
}
