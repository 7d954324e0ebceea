package core

import (
	"cmp"
	"slices"
	"time"

	"azureshift/bundle"
	"azureshift/core/id"
	"azureshift/core/membership"
	"azureshift/core/request"
)

// _moveWindow is how long requests whose home a bundle has moved still go to their former home first: the time
// over which retransmissions of one request arrive, plus the time in which a bundle reaches every instance.
const _moveWindow = 60 * time.Second

// _startSkew bounds the difference between the start times of instances that are started together.
const _startSkew = 5 * time.Second

// _maxHomes is the number of homes a request may have had within the move window while one of them still knows
// whether it has run.
const _maxHomes = 2

// homeSet holds the slots per failure domain of one service before a bundle changed them. They determine the
// former homes of its requests.
type homeSet struct {
	domains []request.DomainSlots
	since   time.Time
}

// slotsByDomain returns the slots of the targets that accept new work in each failure domain of a service.
func slotsByDomain(service bundle.Service) []request.DomainSlots {
	slots := make(map[id.Domain]int)
	for _, target := range service.Targets {
		if target.AcceptsNewWork() {
			slots[target.Domain] += target.Slots
		}
	}
	domains := make([]request.DomainSlots, 0, len(slots))
	for domain, count := range slots {
		domains = append(domains, request.DomainSlots{Domain: domain, Slots: count})
	}
	slices.SortFunc(domains, func(left, right request.DomainSlots) int {
		return compareDomains(left.Domain, right.Domain)
	})
	return domains
}

// recordFormerHomes keeps the former homes of each service whose homes the new bundle changes. A request that
// moves goes to its former home first, which alone knows whether it has run, and from there to its new one.
func (state *State) recordFormerHomes(before map[id.Service]indexedService) {
	for name, service := range state.services {
		previous, existed := before[name]
		if existed && !slices.Equal(previous.domainSlots, service.domainSlots) {
			state.formerHomes[name] = append(state.formerHomes[name], &homeSet{domains: previous.domainSlots, since: state.now})
		}
	}
}

// expireFormerHomes drops former homes at the end of the move window, when no more retransmissions of requests
// that only they know can arrive. While one of their failure domains is cut off, that domain may not have the
// bundle yet, so the window starts again.
func (state *State) expireFormerHomes() {
	for service, formers := range state.formerHomes {
		for _, homeSet := range formers {
			if slices.ContainsFunc(homeSet.domains, func(domain request.DomainSlots) bool { return state.cut[domain.Domain] }) {
				homeSet.since = state.now
			}
		}
		kept := slices.DeleteFunc(formers, func(homeSet *homeSet) bool { return state.now.Sub(homeSet.since) >= _moveWindow })
		if len(kept) == len(formers) {
			continue
		}
		state.routesChanged = true
		state.formerHomes[service] = kept
		if len(kept) == 0 {
			delete(state.formerHomes, service)
		}
	}
}

// handleRequestArrived passes a request to the request reducer. A request whose home is in another failure domain is
// here because this was its home before a bundle moved it, so it is marked as moved and forwarded unless it is known
// here. If bundles have moved it more than once within the move window, no single home knows whether it has run, and
// the outcome is Unknown.
func (state *State) handleRequestArrived(event RequestArrived) {
	state.now = event.At.At
	if event.Class == request.AtMostOnce && !event.FromFormerHome {
		history := state.homeHistory(event.Key)
		if len(history) > _maxHomes {
			state.emit(RequestEffect{request.Reply{Key: event.Key, Outcome: request.Unknown}})
			return
		}
		event.HomeMoved = len(history) > 0 && history[len(history)-1].Domain != state.config.Domain
	}
	state.push(RequestEvent{event.Arrived})
}

func (state *State) homeHistory(key request.Key) []id.Shard {
	service, known := state.services[key.Service]
	if !known {
		return nil
	}
	return homeHistory(key, state.formerSlots(key.Service), service.domainSlots)
}

func (state *State) formerSlots(service id.Service) [][]request.DomainSlots {
	slots := make([][]request.DomainSlots, 0, len(state.formerHomes[service]))
	for _, homeSet := range state.formerHomes[service] {
		slots = append(slots, homeSet.domains)
	}
	return slots
}

// homeHistory returns the homes that a request has had within the move window, the current one last.
func homeHistory(key request.Key, formers [][]request.DomainSlots, current []request.DomainSlots) []id.Shard {
	homes := make([]id.Shard, 0, len(formers)+1)
	for _, domains := range formers {
		homes = append(homes, request.HomeShard(key.Service, domains, key))
	}
	if len(current) > 0 {
		homes = append(homes, request.HomeShard(key.Service, current, key))
	}
	return slices.Compact(homes)
}

// routingDelegates returns the reachable members that have run for the whole move window and so know which requests
// bundles have moved, as long as this instance has not. If there are none, it returns the oldest member, which knows
// the most, if that is older than this instance by more than the start skew.
func (state *State) routingDelegates(unreachable map[id.Member]bool) []id.Member {
	if state.now.Sub(state.config.Self.Incarnation.StartTime()) >= _moveWindow {
		return nil
	}
	var delegates []id.Member
	oldest := state.config.Self
	for _, record := range state.members.Members() {
		if record.Status != membership.Alive || unreachable[record.Member] {
			continue
		}
		if state.now.Sub(record.Member.Incarnation.StartTime()) >= _moveWindow {
			delegates = append(delegates, record.Member)
		}
		if record.Member.Incarnation < oldest.Incarnation {
			oldest = record.Member
		}
	}
	ageDifference := state.config.Self.Incarnation.StartTime().Sub(oldest.Incarnation.StartTime())
	if len(delegates) == 0 && ageDifference > _startSkew {
		return []id.Member{oldest}
	}
	slices.SortFunc(delegates, func(left, right id.Member) int { return cmp.Compare(left.Instance, right.Instance) })
	return delegates
}

// finishWarmUp returns true once, when this instance has run for the move window and can route without delegates.
func (state *State) finishWarmUp() bool {
	if state.warmedUp || state.now.Sub(state.config.Self.Incarnation.StartTime()) < _moveWindow {
		return false
	}
	state.warmedUp = true
	return true
}

// forwardMoved forwards a request from its former home to its new one.
func (state *State) forwardMoved(effect request.ForwardMoved) {
	service, known := state.services[effect.Key.Service]
	if !known {
		return
	}
	state.emit(ForwardMoved{Key: effect.Key, Datagram: Datagram{
		Caller: effect.Key.Caller, Service: service.Address, Payload: effect.Payload,
	}})
}
