package gossip

import (
	"net/netip"
	"time"

	"azureshift/core/id"
)

// Event is an input of State.Reduce.
type Event interface{ event() }

// Tick reports the time at a regular interval. Each tick is a push round.
type Tick struct{ At time.Time }

// SetValue hands over a value that was read from the platform, created locally or fetched from a peer.
type SetValue struct {
	At    time.Time
	Value Value
}

// FetchFailed reports that a Fetch failed, so that the value can be requested from another peer.
type FetchFailed struct {
	At      time.Time
	Key     Key
	Version uint64
}

// MessageReceived is a message from another instance.
type MessageReceived struct {
	At      time.Time
	From    netip.AddrPort
	Message Message
}

// DigestReceived is the digest of a member's versions, received with its probe or its answer to one.
type DigestReceived struct {
	At     time.Time
	From   netip.AddrPort
	Digest uint64
}

// PeerUp adds a member to those that changes are pushed to.
type PeerUp struct {
	Instance id.Instance
	Domain   id.Domain
	Address  netip.AddrPort
}

// PeerDown removes a member from those that changes are pushed to.
type PeerDown struct{ Instance id.Instance }

var (
	_ Event = Tick{}
	_ Event = SetValue{}
	_ Event = FetchFailed{}
	_ Event = MessageReceived{}
	_ Event = DigestReceived{}
	_ Event = PeerUp{}
	_ Event = PeerDown{}
)

func (Tick) event()            {}
func (SetValue) event()        {}
func (FetchFailed) event()     {}
func (MessageReceived) event() {}
func (DigestReceived) event()  {}
func (PeerUp) event()          {}
func (PeerDown) event()        {}
