package core

import (
	"azureshift/bundle"
	"azureshift/core/gossip"
	"azureshift/core/id"
	"azureshift/core/rollout"
)

const _headKey gossip.Key = "Head"

func (state *State) reduceRollout(event rollout.Event) {
	for _, effect := range state.rollout.Reduce(event) {
		switch effect := effect.(type) {
		case rollout.FetchHead, rollout.FetchPart, rollout.WatchHead:
			state.emit(BundleEffect{effect})
		case rollout.Apply:
			state.applyBundle(effect.Bundle)
			state.emit(BundleApplied{Head: effect.Head})
		case rollout.AdvertiseHead:
			state.push(GossipEvent{gossip.SetValue{
				At: state.now, Value: gossip.Value{Key: _headKey, Version: uint64(effect.Head.Version)},
			}})
		case rollout.HeadRefused:
			state.emit(BundleRefused{effect})
		case rollout.InvariantViolated:
			state.emit(Violation{Invariant: effect.Violation.Error()})
		}
	}
}

// updateRolloutMembers passes the live members to the rollout reducer, which elects those that watch the platform.
func (state *State) updateRolloutMembers(live []id.Member) {
	state.push(RolloutEvent{rollout.MembersChanged{At: state.now, Members: live}})
}

// recordHeadVersion records that a member has applied a version. Members gossip a version only after they applied it.
func (state *State) recordHeadVersion(from id.Member, message gossip.Message) {
	for _, value := range message.Values {
		if value.Key == _headKey {
			state.push(RolloutEvent{rollout.VersionAdvertised{
				At: state.now, Member: from, Version: id.Version(value.Version),
			}})
		}
	}
}

// isValid rejects the version of a head that this instance has not applied yet, so that it does not gossip it.
func (state *State) isValid(value gossip.Value) bool {
	return value.Key != _headKey || value.Version <= uint64(state.rollout.Head().Version)
}

// Version returns the version of the current bundle, or zero if there is none.
func (state *State) Version() id.Version {
	return state.bundle.Version
}

// HeadDelta returns the changes from the base version to the current head, for a member that fetches the head.
func (state *State) HeadDelta(base id.Version) bundle.HeadDelta {
	return state.rollout.HeadDelta(base)
}

// Part returns the bundle part with the hash, for an instance that fetches it.
func (state *State) Part(hash bundle.Hash) ([]byte, bool) {
	return state.rollout.Part(hash)
}
