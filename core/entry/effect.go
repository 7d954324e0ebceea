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

// Effect is one output of Reduce. Effects are executed in order.
type Effect interface{ effect() }

// List asks for a listing of the store. Its result is a Listed or ReadFailed.
type List struct{ Limits store.ReadLimits }

// Follow asks for the store's changes after a revision as a long poll that waits at most as long as Wait. Its result is
// a Followed or ReadFailed.
type Follow struct {
	After store.Revision
	Wait  time.Duration
	// MaxSize is the size of the answer in bytes from which a listing costs less.
	MaxSize int64
	Limits  store.ReadLimits
}

// Fetch asks another instance for the state that this one lacks. Its result is a Fetched or FetchFailed.
type Fetch struct {
	From  netip.AddrPort
	Known StateID
	// Timeout bounds the whole fetch.
	Timeout time.Duration
}

// ReadConfig asks the store for the configuration after a delay. Its result is a ConfigRead.
type ReadConfig struct {
	Delay  time.Duration
	Limits store.ReadLimits
}

// Register writes the instance's registration under a new lease. Its result is a Registered or RegisterFailed.
type Register struct{ TTL time.Duration }

// Renew extends the lease of the registration. Its result is a Registered or RegisterFailed.
type Renew struct{ Grant store.Grant }

// Unregister revokes the lease of the registration.
type Unregister struct{ Grant store.Grant }

// Probe checks whether a backend server is alive. Its result is a Probed.
type Probe struct {
	Server  id.Target
	Address netip.AddrPort
	// Path is the path of the server's health check.
	Path string
}

// Send sends a message to another instance.
type Send struct {
	To      netip.AddrPort
	Message fleet.Message
}

// Publish hands a new table to the traffic thread.
type Publish struct{ Table *steer.Table }

// ResetFlows resets flows of backend servers that are dead or unreachable.
type ResetFlows struct{ Cookies []packet.Cookie }

// SetReady tells the platform's routers whether to send packets to this instance.
type SetReady struct{ Ready bool }

// Note is a state change for the log.
type Note struct {
	Kind NoteKind
	// Server is the backend server that the note is about, and Instance the instance, if any.
	Server   id.Target
	Instance id.Instance
	// Value is the new state, and Cause the reason for the change.
	Value string
	Cause string
	// Age is the age of the state on which the change is based.
	Age time.Duration
	// Version is the version of the configuration, and Revision the revision of the store, if the note is about them.
	Version  route.Version
	Revision store.Revision
	// Known is the revision that the instance had before a listing.
	Known store.Revision
	// Domain is the failure domain of the server, or the evacuated one, and Slowness the judgement of the server's
	// latency.
	Domain   id.Domain
	Slowness detector.SlownessChange
	// Servers and Instances are the numbers of registrations in a first listing.
	Servers   int
	Instances int
}

// NoteKind is the kind of a Note.
type NoteKind uint8

const (
	// NoteServer is a backend server whose registration appeared, changed or was removed.
	NoteServer NoteKind = iota + 1
	// NoteCondition is a new condition of a backend server.
	NoteCondition
	// NoteConfig is a configuration that came into force.
	NoteConfig
	// NoteConfigMissing is a configuration that is in force elsewhere and that this instance begins to read.
	NoteConfigMissing
	// NoteConfigLost is a configuration that was in force elsewhere and that neither the store nor an instance has now.
	NoteConfigLost
	// NoteRelay is the beginning or end of this instance's role as a relay.
	NoteRelay
	// NoteFollower is the beginning or end of this instance's role as the follower.
	NoteFollower
	// NoteInstance is an entry instance whose registration appeared or was removed.
	NoteInstance
	// NoteStoreLost is the first failed read of the store.
	NoteStoreLost
	// NoteStoreBack is the first successful read after NoteStoreLost.
	NoteStoreBack
	// NoteStale says that the state has become older than the strictest limit.
	NoteStale
	// NoteFresh says that the state is no longer stale.
	NoteFresh
	// NoteResumed is the end of a suspension of this instance.
	NoteResumed
	// NoteCollision is a backend server that gets no new flows because another one has the same cookie.
	NoteCollision
	// NoteListed is the first listing of the store.
	NoteListed
	// NoteListingOld is a listing of the store that is ignored because it is older than the known state.
	NoteListingOld
	// NoteStoreRestored is a restore of the store from a backup.
	NoteStoreRestored
	// NoteServerSlow is a backend server that answers much later than others.
	NoteServerSlow
	// NoteServerUsual is a backend server that no longer answers much later than others.
	NoteServerUsual
	// NoteEvacuated is a failure domain whose evacuation the operator requests.
	NoteEvacuated
	// NoteReopened is a failure domain for which the operator has withdrawn that request.
	NoteReopened
)

func (List) effect()       {}
func (Follow) effect()     {}
func (Fetch) effect()      {}
func (ReadConfig) effect() {}
func (Register) effect()   {}
func (Renew) effect()      {}
func (Unregister) effect() {}
func (Probe) effect()      {}
func (Send) effect()       {}
func (Publish) effect()    {}
func (ResetFlows) effect() {}
func (SetReady) effect()   {}
func (Note) effect()       {}

// describe returns the log note of a changed entry of the catalog.
func describe(entry catalog.Entry, age time.Duration) Note {
	note := Note{Kind: NoteServer, Age: age, Revision: entry.Revision}
	switch {
	case entry.Server != nil:
		note.Server = entry.Server.ID
		note.Value = entry.Server.State.String()
		note.Cause = "Registration"
	case entry.MissingServer != "":
		note.Server = entry.MissingServer
		note.Value = "Missing"
		note.Cause = "NoRegistration"
	case entry.Instance != nil:
		note.Kind, note.Instance, note.Value = NoteInstance, entry.Instance.Name, "Registered"
	case entry.MissingInstance != "":
		note.Kind, note.Instance, note.Value = NoteInstance, entry.MissingInstance, "Missing"
	case entry.Evacuated != "":
		note.Kind, note.Domain = NoteEvacuated, entry.Evacuated
	case entry.Reopened != "":
		note.Kind, note.Domain = NoteReopened, entry.Reopened
	}
	return note
}
