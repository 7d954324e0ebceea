// Package fleet tracks the entry instances of the system and their roles in distributing updates. One instance, the
// follower, watches the store and sends updates to the relays, one for each failure domain. A relay passes them on to
// the instances of its failure domain through a tree in which each instance sends to a few others. Roles are assigned
// without consensus: the best ranked instance takes a role, and another one takes over when updates are late. Two
// instances in the same role for a time cost additional calls or messages but are harmless.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/catalog"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/store"
)

// Config holds the timeouts and fan-out limits of an instance.
type Config struct {
	Self catalog.Instance
	// LivenessTimeout is the time without messages after which an instance and what it reported no longer count, and
	// UpstreamTimeout the same for the instance that this one gets its updates from.
	LivenessTimeout time.Duration
	UpstreamTimeout time.Duration
	// Fanout is the number of children of each instance in the tree.
	Fanout int
	// CrossDomainFanout is the number of instances that get updates in each other failure domain without a known relay.
	CrossDomainFanout int
}

// State is what one instance knows of the others. It is not safe for concurrent use.
type State struct {
	config Config
	peers  map[id.Instance]*peerState
}

// peerState is what one instance knows of another.
type peerState struct {
	catalog.Instance
	registered bool
	// lastMessage is when the last message was received. lastRelayUpdate is when the last update was received that the
	// peer sent as a relay, lastConnected the last one that it sent while connected to the relay, and lastReport is
	// when its last report was received. Zero is never.
	lastMessage     time.Duration
	lastRelayUpdate time.Duration
	lastConnected   time.Duration
	lastReport      time.Duration
	// revision and configVersion are those that the peer last reported; they are known if reported is set.
	revision      store.Revision
	configVersion route.Version
	reported      bool
	// loads holds the peer's last load for each server.
	loads map[packet.Cookie]receivedLoad
	// demands holds the peer's last demand for each service and priority.
	demands map[DemandKey]receivedDemand
}

// receivedLoad is a load and the time at which it was received.
type receivedLoad struct {
	Load
	receivedAt time.Duration
}

// storeLoads stores the loads that the peer reported; a message may hold some of its servers only.
func (peer *peerState) storeLoads(now time.Duration, loads []Load) {
	if peer.loads == nil {
		peer.loads = make(map[packet.Cookie]receivedLoad, len(loads))
	}
	for _, load := range loads {
		peer.loads[load.Cookie] = receivedLoad{Load: load, receivedAt: now}
	}
}

// New returns the state of an instance that knows no other instance.
func New(config Config) *State {
	return &State{config: config, peers: make(map[id.Instance]*peerState)}
}

// Register replaces the set of instances that are registered in the store.
func (state *State) Register(instances []catalog.Instance) {
	for _, peer := range state.peers {
		peer.registered = false
	}
	for _, instance := range instances {
		if instance.Name == state.config.Self.Name {
			continue
		}
		peer, ok := state.peers[instance.Name]
		if !ok {
			peer = &peerState{Instance: instance}
			state.peers[instance.Name] = peer
		}
		peer.registered = true
		if instance.Incarnation >= peer.Incarnation {
			peer.Instance = instance
		}
	}
}

// observe records that a message was received from an instance and returns the state of that peer. It returns nil for a
// message from this instance itself or from an earlier incarnation of the peer. An earlier one is accepted if the later
// one is silent: an instance whose clock was set back restarts with a lower incarnation than before.
func (state *State) observe(now time.Duration, from catalog.Instance) *peerState {
	if from.Name == state.config.Self.Name {
		return nil
	}
	peer, ok := state.peers[from.Name]
	if !ok {
		peer = &peerState{Instance: from}
		state.peers[from.Name] = peer
	}
	if from.Incarnation < peer.Incarnation && isRecent(now, peer.lastMessage, state.config.LivenessTimeout) {
		return nil
	}
	if from.Incarnation != peer.Incarnation {
		peer.reported, peer.loads, peer.demands = false, nil, nil
	}
	peer.Instance = from
	peer.lastMessage = now
	return peer
}

// HandleUpdate handles an update from the follower or another instance. It reports whether the update is to be applied.
func (state *State) HandleUpdate(now time.Duration, update Update) bool {
	peer := state.observe(now, update.From)
	if peer == nil {
		return false
	}
	peer.lastRelayUpdate, peer.lastConnected = 0, 0
	if update.Leaving {
		peer.registered, peer.lastMessage, peer.lastReport = false, 0, 0
		return true
	}
	if update.Relay {
		peer.lastRelayUpdate = now
	}
	if update.Connected {
		peer.lastConnected = now
	}
	peer.revision, peer.configVersion, peer.reported = update.Revision, update.Config, true
	if peer.Domain != state.config.Self.Domain {
		peer.storeLoads(now, update.Loads)
		peer.storeDemands(now, update.Demands)
	}
	return true
}

// HandleReport handles a report from another instance.
func (state *State) HandleReport(now time.Duration, report Report) {
	peer := state.observe(now, report.From)
	if peer == nil {
		return
	}
	peer.revision, peer.configVersion, peer.reported = report.Revision, report.Config, true
	peer.lastReport = now
	if peer.Domain == state.config.Self.Domain {
		peer.storeLoads(now, report.Loads)
		peer.storeDemands(now, report.Demands)
	}
}

// DomainRank returns the number of live instances of the failure domain that rank above this one as its relay.
func (state *State) DomainRank(now time.Duration) int {
	rank := 0
	for _, peer := range state.peers {
		if peer.Domain == state.config.Self.Domain && state.isLive(now, peer) &&
			RanksAbove(peer.Instance, state.config.Self) {
			rank++
		}
	}
	return rank
}

// RelayRank returns the number of relays of other failure domains that rank above this instance as the follower of the
// store.
func (state *State) RelayRank(now time.Duration) int {
	rank := 0
	for _, peer := range state.peers {
		if peer.Domain != state.config.Self.Domain && state.isRelay(now, peer) &&
			RanksAbove(peer.Instance, state.config.Self) {
			rank++
		}
	}
	return rank
}

// CountLive returns the number of live instances of the failure domain, including this one.
func (state *State) CountLive(now time.Duration) int {
	live := 1
	for _, peer := range state.peers {
		if peer.Domain == state.config.Self.Domain && state.isLive(now, peer) {
			live++
		}
	}
	return live
}

// Receiver is an instance to which updates are sent, with the revision and configuration that it last reported.
type Receiver struct {
	catalog.Instance
	Revision store.Revision
	Config   route.Version
	// Reported is set if Revision and Config are known.
	Reported bool
}

// Relays returns the relay of each other failure domain or, where none is known, the best ranked instances, sorted by
// name.
func (state *State) Relays(now time.Duration) []Receiver {
	var receivers []Receiver
	byDomain := make(map[id.Domain][]*peerState)
	for _, peer := range state.peers {
		if peer.Domain != state.config.Self.Domain && state.isLive(now, peer) {
			byDomain[peer.Domain] = append(byDomain[peer.Domain], peer)
		}
	}
	for _, peers := range byDomain {
		for _, peer := range state.updateTargets(now, peers) {
			receivers = append(receivers, peer.receiver())
		}
	}
	return sortByName(receivers)
}

// Receiver returns what is known of an instance.
func (state *State) Receiver(name id.Instance) Receiver {
	peer, ok := state.peers[name]
	if !ok {
		return Receiver{}
	}
	return peer.receiver()
}

func (peer *peerState) receiver() Receiver {
	return Receiver{Instance: peer.Instance, Revision: peer.revision, Config: peer.configVersion, Reported: peer.reported}
}

// sortByName sorts the slice in place and returns it.
func sortByName(receivers []Receiver) []Receiver {
	slices.SortFunc(receivers, func(left, right Receiver) int { return cmp.Compare(left.Name, right.Name) })
	return receivers
}

// updateTargets returns the peers of one other failure domain to which updates are sent: its best ranked relay or, if
// none is known, the Config.CrossDomainFanout best ranked peers.
func (state *State) updateTargets(now time.Duration, peers []*peerState) []*peerState {
	slices.SortFunc(peers, func(left, right *peerState) int {
		if RanksAbove(left.Instance, right.Instance) {
			return -1
		}
		return 1
	})
	for _, peer := range peers {
		if state.isRelay(now, peer) {
			return []*peerState{peer}
		}
	}
	return peers[:min(len(peers), state.config.CrossDomainFanout)]
}

// SumLoads returns the total load of each server, sorted by cookie: own, the loads of the instances that report to this
// one and, with allDomains, those that the relays of other failure domains sent.
func (state *State) SumLoads(now time.Duration, own []Load, allDomains bool) []Load {
	sums := make(map[packet.Cookie]Load, len(own))
	for _, load := range own {
		sums[load.Cookie] = load
	}
	for _, peer := range state.peers {
		if peer.Domain != state.config.Self.Domain && !allDomains {
			continue
		}
		for cookie, load := range peer.loads {
			if now-load.receivedAt > state.config.LivenessTimeout {
				delete(peer.loads, cookie)
				continue
			}
			sums[cookie] = load.Add(sums[cookie])
		}
	}
	merged := make([]Load, 0, len(sums))
	for _, load := range sums {
		merged = append(merged, load)
	}
	slices.SortFunc(merged, func(left, right Load) int { return cmp.Compare(left.Cookie, right.Cookie) })
	return merged
}

// RemoveDead removes the instances that are neither registered nor recently heard from.
func (state *State) RemoveDead(now time.Duration) {
	for name, peer := range state.peers {
		if !state.isLive(now, peer) {
			delete(state.peers, name)
		}
	}
}

// IsIsolated reports whether other instances of the failure domain are registered but none was recently heard from.
func (state *State) IsIsolated(now time.Duration) bool {
	registered := false
	for _, peer := range state.peers {
		if peer.Domain != state.config.Self.Domain {
			continue
		}
		if peer.lastMessage > 0 && now-peer.lastMessage <= state.config.LivenessTimeout {
			return false
		}
		registered = registered || peer.registered
	}
	return registered
}

// ResetLastSeen clears the times of the last messages after a pause of this instance, during which it could receive
// none, and drops the demand that they reported, as its age does not count the pause.
func (state *State) ResetLastSeen() {
	for _, peer := range state.peers {
		peer.lastMessage, peer.lastRelayUpdate, peer.lastConnected, peer.lastReport = 0, 0, 0, 0
		peer.demands = nil
	}
}

func (state *State) isLive(now time.Duration, peer *peerState) bool {
	return peer.registered || peer.lastMessage > 0 && now-peer.lastMessage <= state.config.LivenessTimeout
}

func (state *State) isRelay(now time.Duration, peer *peerState) bool {
	return peer.lastRelayUpdate > 0 && now-peer.lastRelayUpdate <= state.config.LivenessTimeout
}

// RanksAbove reports whether left ranks above right and takes a role rather than it. The instance with the greater
// share of a processor ranks higher, as the additional work costs it the smallest part.
func RanksAbove(left, right catalog.Instance) bool {
	if left.Capacity != right.Capacity {
		return left.Capacity > right.Capacity
	}
	return cmp.Or(
		cmp.Compare(xxhash.Sum64String(string(left.Name)), xxhash.Sum64String(string(right.Name))),
		cmp.Compare(left.Name, right.Name),
	) < 0
}

// ShouldTakeOver reports whether left has so much more processor capacity than right that it takes over its role.
func ShouldTakeOver(left, right catalog.Instance) bool {
	return left.Capacity >= _takeoverCapacityRatio*right.Capacity
}

// _takeoverCapacityRatio is the ratio of capacities from which on moving a role is worthwhile.
const _takeoverCapacityRatio = 2
