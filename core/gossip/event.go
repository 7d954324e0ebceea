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

// Set hands over a value that was read from the platform, created locally or fetched from a peer.
type Set struct {
	At    time.Time
	Value Value
}

// FetchFailed reports that a Fetch failed, so that the value can be requested from another peer.
type FetchFailed struct {
	At      time.Time
	Key     Key
	Version uint64
}

// Received is a message from another instance.
type Received struct {
	At      time.Time
	From    netip.AddrPort
	Message Message
}

// Contact is the digest of a member's versions, received with its probe or its answer to one.
type Contact struct {
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
	_ Event = Set{}
	_ Event = FetchFailed{}
	_ Event = Received{}
	_ Event = Contact{}
	_ Event = PeerUp{}
	_ Event = PeerDown{}
)

func (Tick) event()        {}
func (Set) event()         {}
func (FetchFailed) event() {}
func (Received) event()    {}
func (Contact) event()     {}
func (PeerUp) event()      {}
func (PeerDown) event()    {}
