// Package core is the control state of one entry instance: a single reducer that takes events and returns effects
// as data. It combines the reducers of membership, views, gossip, bundles, requests, flows and targets, and passes
// the decisions of one to the others. It has no clock, socket or source of randomness of its own.
package core

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"azureshift/bundle"
	"azureshift/core/epoch"
	"azureshift/core/gossip"
	"azureshift/core/health"
	"azureshift/core/id"
	"azureshift/core/membership"
	"azureshift/core/placement"
	"azureshift/core/request"
	"azureshift/core/rollout"
)

// TickInterval is the time between two Ticks.
const TickInterval = 50 * time.Millisecond

const (
	// _contactLease spans several probe rounds, because each round probes only two members of the domain.
	_contactLease = 4500 * time.Millisecond
	// _fenceWait is the lease plus a margin for the drift between clocks during it.
	_fenceWait = 5 * time.Second
)

// _slowTickDivisor is the number of Ticks per slow Tick. Requests and flows need every Tick, all else a slow one.
const _slowTickDivisor = 2

// _maxValues bounds the number of gossip values: views, the head and target reports.
const _maxValues = 16384

// Config configures the control state of one entry instance.
type Config struct {
	Self    id.Member
	Domain  id.Domain
	Address netip.AddrPort
	// Random is the source of all random choices.
	Random *rand.Rand
	// Verifier verifies the signatures of bundles.
	Verifier rollout.Verifier
	// Requests, Flows and Targets configure the reducers. New sets Self and Domain in them.
	Requests request.Config
	Flows    placement.Config
	Targets  health.Config
}

// DefaultConfig returns the default configuration of an instance.
func DefaultConfig(self id.Member, domain id.Domain, address netip.AddrPort) Config {
	requests := request.DefaultConfig(self, domain)
	requests.HeartbeatLease = _contactLease
	requests.FenceWait = _fenceWait
	return Config{
		Self:     self,
		Domain:   domain,
		Address:  address,
		Requests: requests,
		Targets:  health.DefaultConfig(),
	}
}

// State is the control state of one entry instance. It is not safe for concurrent use.
type State struct {
	config Config
	now    time.Time

	members  *membership.State
	epochs   *epoch.State
	gossip   *gossip.State
	rollout  *rollout.State
	requests *request.State
	flows    *placement.State
	targets  *health.State

	records map[id.Member]membership.Record
	watched map[health.Target]bool
	// down maps each member that is down to the time at which it was declared dead.
	down        map[id.Member]time.Time
	cut         map[id.Domain]bool
	views       map[id.Domain]epoch.View
	viewHistory []epoch.View
	// epochToReplace is the number of the view that a new view has been requested for, or zero.
	epochToReplace id.Epoch
	ticks          int
	bundle         bundle.Bundle
	// services maps names to the services of the current bundle.
	services    map[id.Service]indexedService
	formerHomes map[id.Service][]*homeSet
	warmedUp    bool
	stop        stopProgress

	pending       []Event
	effects       []Effect
	routesChanged bool
}

// New returns the state of an instance that knows only itself.
func New(config Config) *State {
	config.Requests.Self = config.Self
	config.Requests.Domain = config.Domain
	config.Flows.Self = config.Self
	state := &State{
		config: config,
		members: membership.New(membership.Config{
			Self: config.Self, Domain: config.Domain, Address: config.Address, Random: config.Random,
		}),
		epochs:      epoch.New(epoch.Config{Self: config.Self, Domain: config.Domain}),
		rollout:     rollout.New(rollout.DefaultConfig(config.Self, config.Verifier, config.Random)),
		requests:    request.New(config.Requests),
		flows:       placement.New(config.Flows),
		targets:     health.New(config.Targets),
		records:     make(map[id.Member]membership.Record),
		down:        make(map[id.Member]time.Time),
		cut:         make(map[id.Domain]bool),
		views:       make(map[id.Domain]epoch.View),
		formerHomes: make(map[id.Service][]*homeSet),
	}
	state.gossip = gossip.New(gossip.Config{
		Domain: config.Domain, Random: config.Random, MaxKeys: _maxValues, Valid: state.isValid,
	})
	state.records[config.Self] = membership.Record{Member: config.Self, Domain: config.Domain, Address: config.Address}
	return state
}

// Reduce applies one event and returns the effects in order. The slice is valid until the next call.
func (state *State) Reduce(event Event) []Effect {
	state.effects = state.effects[:0]
	state.pending = append(state.pending[:0], event)
	for len(state.pending) > 0 {
		next := state.pending[0]
		state.pending = state.pending[1:]
		state.dispatch(next)
	}
	if state.routesChanged {
		state.routesChanged = false
		state.emit(PublishRoutes{Routes: state.routes()})
	}
	return state.effects
}

func (state *State) dispatch(event Event) {
	switch event := event.(type) {
	case Tick:
		state.tick(event.At)
	case MessageReceived:
		state.receive(event)
	case MemberEvent:
		state.reduceMembers(event.Event)
	case RequestArrived:
		state.handleRequestArrived(event)
	case EpochEvent:
		state.reduceEpochs(event.Event)
	case GossipEvent:
		state.reduceGossip(event.Event)
	case RolloutEvent:
		state.reduceRollout(event.Event)
	case RequestEvent:
		state.reduceRequests(event.Event)
	case FlowEvent:
		state.reduceFlows(event.Event)
	case TargetEvent:
		state.reduceTargets(event.Event)
	case Leave:
		state.leave(event.At)
	case WorkFinished:
		state.now = event.At
		state.push(MemberEvent{membership.Exit{At: event.At}})
	}
}

func (state *State) tick(at time.Time) {
	state.now = at
	state.push(RequestEvent{request.Tick{At: request.At{At: at}}})
	state.push(FlowEvent{placement.Tick{At: at}})
	state.ticks++
	if state.ticks%_slowTickDivisor != 0 {
		return
	}
	state.expireFormerHomes()
	state.expireDeadMembers()
	state.routesChanged = state.routesChanged || state.finishWarmUp()
	state.retryNextEpoch()
	state.push(MemberEvent{membership.Tick{At: at}})
	state.push(EpochEvent{epoch.Tick{At: at}})
	state.push(GossipEvent{gossip.Tick{At: at}})
	state.push(RolloutEvent{rollout.Tick{At: at}})
	state.push(TargetEvent{health.Tick{At: at}})
}

func (state *State) receive(event MessageReceived) {
	state.now = event.At
	switch message := event.Message.(type) {
	case gossip.Message:
		state.recordHeadVersion(event.From, message)
		state.push(GossipEvent{gossip.MessageReceived{At: event.At, From: event.Source, Message: message}})
	case membership.Message:
		state.push(MemberEvent{membership.MessageReceived{At: event.At, From: event.Source, Message: message}})
	case request.Message:
		state.push(RequestEvent{request.MessageReceived{At: request.At{At: event.At}, From: event.From, Message: message}})
	case placement.Message:
		state.push(FlowEvent{placement.MessageReceived{At: event.At, From: event.From, Message: message}})
	}
}

// push queues an event to be handled in the same call of Reduce.
func (state *State) push(event Event) {
	state.pending = append(state.pending, event)
}

func (state *State) emit(effect Effect) {
	state.effects = append(state.effects, effect)
}

func (state *State) count(name string, amount int) {
	state.emit(Count{Name: name, Amount: amount})
}

// send sends a message to a member. It drops the message if the address of the member is unknown.
func (state *State) send(to id.Member, message any) {
	record, known := state.records[to]
	if !known {
		state.count("unaddressed", 1)
		return
	}
	state.emit(Send{To: to, Address: record.Address, Message: message})
}
