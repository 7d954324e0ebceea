package core

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/gossip"
	"azureshift/core/id"
	"azureshift/core/membership"
	"azureshift/core/placement"
	"azureshift/core/request"
)

// _deadMemberRetention is how long the address of a dead member is kept for messages that are still in flight.
const _deadMemberRetention = 10 * time.Minute

func (state *State) reduceMembers(event membership.Event) {
	for _, effect := range state.members.Reduce(event) {
		state.handleMemberEffect(effect)
	}
}

func (state *State) handleMemberEffect(effect membership.Effect) {
	switch effect := effect.(type) {
	case membership.Send:
		state.emit(Send{Address: effect.To, Message: effect.Message})
	case membership.Up:
		state.handleMemberUp(effect.Record)
	case membership.Down:
		state.handleMemberDown(effect.Record)
	case membership.Suspected:
		state.emit(MemberSuspected{Member: effect.Member, Suspected: true})
		state.updateLiveMembers()
	case membership.SuspicionCleared:
		state.emit(MemberSuspected{Member: effect.Member})
		state.updateLiveMembers()
	case membership.LeaveAnnounced:
		state.updateLiveMembers()
	case membership.DomainCut:
		state.setCut(effect.Domain, true)
	case membership.DomainHealed:
		state.setCut(effect.Domain, false)
	case membership.Heartbeat:
		state.handleHeartbeat(effect)
	case membership.AnnouncementDone:
		state.handleAnnounced(effect.Status)
	case membership.Replaced:
		state.emit(Replaced{By: effect.By})
	case membership.Count:
		state.count("membership: "+string(effect.Counter), 1)
	}
}

func (state *State) handleMemberUp(record membership.Record) {
	state.records[record.Member] = record
	delete(state.down, record.Member)
	state.emit(MemberChanged{Record: record, Up: true})
	state.push(GossipEvent{gossip.PeerUp{
		Instance: record.Member.Instance, Domain: record.Domain, Address: record.Address,
	}})
	if !state.cut[record.Domain] {
		state.push(FlowEvent{placement.MemberUp{At: state.now, Member: record.Member}})
	}
	if record.Domain == state.config.Domain {
		state.push(RequestEvent{request.MemberUp{At: request.At{At: state.now}, Member: record.Member}})
	}
	state.updateLiveMembers()
	state.routesChanged = true
}

func (state *State) handleMemberDown(record membership.Record) {
	state.down[record.Member] = state.now
	state.emit(MemberChanged{Record: record})
	state.push(GossipEvent{gossip.PeerDown{Instance: record.Member.Instance}})
	state.push(FlowEvent{placement.MemberDown{At: state.now, Member: record.Member}})
	if record.Domain == state.config.Domain {
		state.push(RequestEvent{request.MemberDown{At: request.At{At: state.now}, Member: record.Member}})
	}
	state.updateLiveMembers()
	state.routesChanged = true
}

// setCut marks a failure domain as cut off or reachable. Flows treat its members as down while it is cut off, but
// they are not declared dead.
func (state *State) setCut(domain id.Domain, cut bool) {
	state.cut[domain] = cut
	state.emit(DomainChanged{Domain: domain, Cut: cut})
	for _, record := range state.membersOf(domain) {
		switch {
		case state.isDown(record.Member):
		case cut:
			state.push(FlowEvent{placement.MemberDown{At: state.now, Member: record.Member}})
		default:
			state.push(FlowEvent{placement.MemberUp{At: state.now, Member: record.Member}})
		}
	}
	state.routesChanged = true
}

// membersOf returns the members of a failure domain, sorted by name.
func (state *State) membersOf(domain id.Domain) []membership.Record {
	members := slices.DeleteFunc(state.members.Members(), func(record membership.Record) bool {
		return record.Domain != domain
	})
	slices.SortFunc(members, func(left, right membership.Record) int {
		return cmp.Compare(left.Member.Instance, right.Member.Instance)
	})
	return members
}

func (state *State) isDown(member id.Member) bool {
	_, down := state.down[member]
	return down
}

// expireDeadMembers drops members that died long ago and are in no view, so that memory stays bounded in a fleet whose
// instances are replaced all the time.
func (state *State) expireDeadMembers() {
	for member, since := range state.down {
		if state.now.Sub(since) < _deadMemberRetention || state.views[state.records[member].Domain].Has(member) {
			continue
		}
		delete(state.down, member)
		delete(state.records, member)
	}
}

func (state *State) handleHeartbeat(effect membership.Heartbeat) {
	if effect.Domain == state.config.Domain {
		probeSent := effect.ProbeSentAt
		if probeSent.IsZero() {
			// The message answers no probe and may have been delayed for any time, so that it extends no lease.
			probeSent = state.now.Add(-state.config.Requests.HeartbeatLease)
		}
		state.push(RequestEvent{request.Heartbeat{
			At: request.At{At: state.now}, Member: effect.Member, Epoch: effect.Epoch, ProbeSentAt: probeSent,
		}})
	}
	state.compareDigest(effect)
}
