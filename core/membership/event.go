package membership

import (
	"net/netip"
	"time"

	"azureshift/core/id"
)

// Event is an input of Reduce.
type Event interface{ event() }

// Tick advances the clock. It is due every Config.TickInterval.
type Tick struct{ At time.Time }

// MessageReceived is a message from another instance.
type MessageReceived struct {
	At      time.Time
	From    netip.AddrPort
	Message Message
}

// Peer is an entry of the platform's list of instances.
type Peer struct {
	Instance id.Instance
	Address  netip.AddrPort
}

// PeerList is the platform's list of instances, which may be out of date. It only provides addresses to probe.
type PeerList struct {
	At    time.Time
	Peers []Peer
}

// LocalStateChanged sets the local state that messages carry: the number of the adopted view and the digest of
// the gossip values.
type LocalStateChanged struct {
	At          time.Time
	Epoch       id.Epoch
	ValueDigest uint64
}

// Leave starts a planned stop: the instance gets no new ownership but still answers probes.
type Leave struct{ At time.Time }

// Exit ends a planned stop, once the instance has no work in progress.
type Exit struct{ At time.Time }

var (
	_ Event = Tick{}
	_ Event = MessageReceived{}
	_ Event = PeerList{}
	_ Event = LocalStateChanged{}
	_ Event = Leave{}
	_ Event = Exit{}
)

func (Tick) event()              {}
func (MessageReceived) event()   {}
func (PeerList) event()          {}
func (LocalStateChanged) event() {}
func (Leave) event()             {}
func (Exit) event()              {}
