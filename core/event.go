package core

import (
	"net/netip"
	"time"

	"azureshift/core/epoch"
	"azureshift/core/gossip"
	"azureshift/core/health"
	"azureshift/core/id"
	"azureshift/core/membership"
	"azureshift/core/placement"
	"azureshift/core/request"
	"azureshift/core/rollout"
)

// Event is an input of Reduce.
type Event interface{ event() }

// Tick advances the clock. It is due every TickInterval.
type Tick struct{ At time.Time }

// MessageReceived is a message from another entry instance.
type MessageReceived struct {
	At      time.Time
	From    id.Member
	Source  netip.AddrPort
	Message any
}

// MemberEvent is an input of the membership reducer.
type MemberEvent struct{ membership.Event }

// EpochEvent is an input of the reducer that agrees on the views of the local failure domain.
type EpochEvent struct{ epoch.Event }

// GossipEvent is an input of the gossip reducer.
type GossipEvent struct{ gossip.Event }

// RolloutEvent is an input of the rollout reducer, which follows the current bundle.
type RolloutEvent struct{ rollout.Event }

// RequestEvent is an input of the request reducer.
type RequestEvent struct{ request.Event }

// RequestArrived is a request that has reached the member that owns it.
type RequestArrived struct {
	request.Arrived
	// FromFormerHome is set if the request's former home forwarded it because it had no record of it.
	FromFormerHome bool
}

// Datagram is a datagram from a caller.
type Datagram struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	Payload []byte
}

// FlowEvent is an input of the placement reducer.
type FlowEvent struct{ placement.Event }

// TargetEvent is an input of the target health reducer.
type TargetEvent struct{ health.Event }

// Leave starts a planned stop.
type Leave struct{ At time.Time }

// WorkFinished reports that this instance has no work in progress, so that the planned stop can end.
type WorkFinished struct{ At time.Time }

func (Tick) event()            {}
func (MessageReceived) event() {}
func (MemberEvent) event()     {}
func (RequestArrived) event()  {}
func (EpochEvent) event()      {}
func (GossipEvent) event()     {}
func (RolloutEvent) event()    {}
func (RequestEvent) event()    {}
func (FlowEvent) event()       {}
func (TargetEvent) event()     {}
func (Leave) event()           {}
func (WorkFinished) event()    {}

var (
	_ Event = Tick{}
	_ Event = MessageReceived{}
	_ Event = MemberEvent{}
	_ Event = RequestArrived{}
	_ Event = EpochEvent{}
	_ Event = GossipEvent{}
	_ Event = RolloutEvent{}
	_ Event = RequestEvent{}
	_ Event = FlowEvent{}
	_ Event = TargetEvent{}
	_ Event = Leave{}
	_ Event = WorkFinished{}
)
