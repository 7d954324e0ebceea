package gossip

import "net/netip"

// Effect is an action that State.Reduce returns for its caller to carry out.
type Effect interface{ effect() }

// Send asks the caller to send a message in one datagram.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// ValueAccepted reports that a value replaces the one held under its key, if any.
type ValueAccepted struct{ Value Value }

// Fetch requests a value that is too large for a datagram, over a stream from a peer that holds it.
// The caller passes the value to State.Reduce in a SetValue event, or reports a failure in a FetchFailed event. After
// Config.FetchTimeout without either, the state may return another Fetch for it.
type Fetch struct {
	Key     Key
	Version uint64
	From    netip.AddrPort
}

// DigestChanged reports a new digest of this instance's versions, to be sent in the failure detector's probes.
type DigestChanged struct{ Digest uint64 }

// Count increments a counter.
type Count struct{ Counter Counter }

// Counter is the name of a counter in the status.
type Counter string

// Counters of values that were not accepted.
const (
	// CounterConflict counts values that differ from the stored one although the version is the same. This must not
	// happen, as versions are assigned by compare-and-swap at the platform.
	CounterConflict Counter = "same version, other value"
	// CounterRefused counts values that Config.Valid rejected.
	CounterRefused Counter = "value refused"
	// CounterKeyLimit counts values of new keys beyond Config.MaxKeys.
	CounterKeyLimit Counter = "key limit reached"
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
