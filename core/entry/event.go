// Package entry implements the control plane of an entry instance as a reducer: it takes events and returns effects as
// data. It has no clock, socket or random source of its own. Times are readings of a monotonic clock that does not
// advance while the instance is suspended.
//
// Each instance keeps a copy of the platform's store: the registrations of backend servers and entry instances, and the
// configuration. One instance, the follower, reads the store and sends updates to the relays, one per failure domain. A
// relay sends them down a tree of the instances of its failure domain, and the loads that instances observed go up the
// same tree. An instance whose updates are late reads the store itself.
package entry

import (
	"net/netip"
	"time"

	"azureshift/core/catalog"
	"azureshift/core/detector"
	"azureshift/core/fleet"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/steer"
	"azureshift/core/store"
)

// Event is one input of Reduce.
type Event interface{ event() }

// Listed is a listing of the whole store.
type Listed struct {
	At time.Duration
	// RequestedAt is when the listing was requested. The listing is at least as new.
	RequestedAt time.Duration
	Entries     []catalog.Entry
	Config      *route.Config
	Revision    store.Revision
}

// Followed holds the store's changes after a revision.
type Followed struct {
	At time.Duration
	// RequestedAt is when the changes were requested. The result is at least as new.
	RequestedAt time.Duration
	After       store.Revision
	Entries     []catalog.Entry
	Config      *route.Config
	Revision    store.Revision
	// Changes is the number of changes of any key, including keys that are not decoded into Entries or Config.
	Changes int
}

// ReadFailed says that a List or Follow has failed.
type ReadFailed struct {
	At time.Duration
	// HistoryLost says that the store no longer has the requested changes, as it compacted its history or was restored.
	HistoryLost bool
	// Unreadable says that the changes are too many to be read, or cannot be decoded. A listing depends on the state only,
	// not on the history.
	Unreadable bool
}

// Fetched holds the state fetched from another instance.
type Fetched struct {
	At   time.Duration
	From netip.AddrPort
	View View
}

// FetchFailed says that a Fetch from another instance has failed.
type FetchFailed struct {
	At   time.Duration
	From netip.AddrPort
}

// ConfigRead holds the configuration read from the store, or nil if the read has failed.
type ConfigRead struct {
	At     time.Duration
	Config *route.Config
}

// Registered says that the instance's own registration was written or its lease renewed.
type Registered struct {
	At    time.Duration
	Grant store.Grant
}

// RegisterFailed says that a Register or Renew has failed.
type RegisterFailed struct {
	At time.Duration
	// Ended says that the lease no longer exists.
	Ended bool
}

// MessageReceived holds a message from another instance.
type MessageReceived struct {
	At      time.Duration
	Message fleet.Message
}

// ServerStalled says that the traffic thread saw the first sign that a backend server does not answer.
type ServerStalled struct {
	At     time.Duration
	Cookie packet.Cookie
}

// PacketForUnknownServer says that the traffic thread got a packet for a backend server that is unknown to this
// instance.
type PacketForUnknownServer struct{ At time.Duration }

// Observed holds what the traffic thread observed of backend servers and requests since its last report.
type Observed struct {
	At           time.Duration
	Observations []steer.Observation
	// Demands are the requests that the instance counted.
	Demands []steer.Demand
}

// Probed is the result of a probe of a backend server.
type Probed struct {
	At     time.Duration
	Server id.Target
	Result detector.ProbeResult
}

// Tick triggers periodic work.
type Tick struct{ At time.Duration }

// Resumed says that the instance resumed after a suspension.
type Resumed struct {
	At        time.Duration
	Suspended time.Duration
}

// LimitsChanged replaces the limits after a change of the settings.
type LimitsChanged struct {
	At     time.Duration
	Limits Limits
}

// Stopping begins a planned shutdown.
type Stopping struct{ At time.Duration }

func (Listed) event()                 {}
func (Followed) event()               {}
func (ReadFailed) event()             {}
func (Fetched) event()                {}
func (FetchFailed) event()            {}
func (ConfigRead) event()             {}
func (Registered) event()             {}
func (RegisterFailed) event()         {}
func (MessageReceived) event()        {}
func (ServerStalled) event()          {}
func (PacketForUnknownServer) event() {}
func (Observed) event()               {}
func (Probed) event()                 {}
func (Tick) event()                   {}
func (Resumed) event()                {}
func (LimitsChanged) event()          {}
func (Stopping) event()               {}

// StateID identifies the state of an instance that fetches a View: the revision of its copy of the store, and the
// version of its configuration. Both are zero if it has no state yet.
type StateID struct {
	Revision store.Revision
	Config   route.Version
}

// View is the part of an instance's state that another instance lacks.
type View struct {
	From     catalog.Instance `cbor:"1,keyasint"`
	Revision store.Revision   `cbor:"2,keyasint"`
	// Entries are the changes after Base, or all entries if Base is zero.
	Entries []catalog.Entry `cbor:"3,keyasint"`
	Base    store.Revision  `cbor:"8,keyasint,omitempty"`
	// Config is the configuration of the given version. It is empty if the other instance already has that version.
	Config  route.Config  `cbor:"4,keyasint"`
	Version route.Version `cbor:"9,keyasint"`
	// Missing is the newest version that the sender knows to exist if it does not have that one, or zero.
	Missing route.Version `cbor:"10,keyasint,omitempty"`
	// Age is the time since the sender's state was last confirmed to be the newest.
	Age time.Duration `cbor:"5,keyasint"`
	// StableFor is the time since the last store disruption that the sender knows of, or negative if it does not know.
	StableFor time.Duration `cbor:"6,keyasint"`
	// Source is the follower from which the sender got its state.
	Source catalog.Instance `cbor:"7,keyasint"`
}
