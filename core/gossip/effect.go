package gossip

import "net/netip"

// Effect is an action that State.Reduce returns for its caller to carry out.
type Effect interface{ effect() }

// Send sends a message in one datagram.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// ValueAccepted reports that a value replaces the one held under its key, if any.
type ValueAccepted struct{ Value Value }

// Fetch requests a value that is too large for a datagram, over a stream from a peer that holds it.
// The caller hands the value over by SetValue, or reports FetchFailed. After Config.FetchTimeout without
// either, the value may be requested again.
type Fetch struct {
	Key     Key
	Version uint64
	From    netip.AddrPort
}

// DigestChanged is the new digest of the versions held, which the failure detector's probes carry.
type DigestChanged struct{ Digest uint64 }

// Count increments a counter.
type Count struct{ Counter Counter }

// Counter names a counter.
type Counter string

// Counters.
const (
	// CountConflict counts values that differ from the one held although the version is the same,
	// which the compare-and-swap at the platform excludes.
	CountConflict Counter = "same version, other value"
	CountRefused  Counter = "value refused"
	CountKeyLimit Counter = "key limit reached"
)

var (
	_ Effect = Send{}
	_ Effect = ValueAccepted{}
	_ Effect = Fetch{}
	_ Effect = DigestChanged{}
	_ Effect = Count{}
)

func (Send) effect()          {}
func (ValueAccepted) effect() {}
func (Fetch) effect()         {}
func (DigestChanged) effect() {}
func (Count) effect()         {}
