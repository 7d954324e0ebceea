package request

import (
	"net/netip"
	"time"

	"azureshift/core/id"
)

// Message is a message from one entry instance to another.
type Message interface{ message() }

// Status is the state of a record.
type Status uint8

const (
	// StatusQueued means that no target runs or ran the request for the reporting instance.
	StatusQueued Status = iota + 1
	// StatusIntended means that the dispatcher may send the request to a target, or has sent it.
	StatusIntended
	// StatusUnknown means that the request may have run.
	StatusUnknown
	// StatusNotRun means that the request did not run and never will.
	StatusNotRun
	// StatusAnswered means that the request ran.
	StatusAnswered
)

// Record is what is known of one non-idempotent request. The service is that of the shard.
type Record struct {
	Caller     netip.AddrPort `cbor:"1,keyasint"`
	Tag        string         `cbor:"2,keyasint"`
	Status     Status         `cbor:"3,keyasint"`
	Dispatcher id.Member      `cbor:"4,keyasint"`
	Target     id.Target      `cbor:"5,keyasint,omitempty"`
	RetryAfter time.Duration  `cbor:"6,keyasint,omitempty"`
	Payload    []byte         `cbor:"7,keyasint,omitempty"`
	Age        time.Duration  `cbor:"8,keyasint,omitempty"`
}

// Replicate asks the runner-up to store records: intents before their dispatch, and outcomes.
type Replicate struct {
	Epoch    id.Epoch `cbor:"1,keyasint"`
	Shard    id.Shard `cbor:"2,keyasint"`
	Sequence uint64   `cbor:"3,keyasint"`
	Records  []Record `cbor:"4,keyasint"`
}

// ReplicateAck acknowledges that the records of a Replicate are stored.
type ReplicateAck struct {
	Epoch    id.Epoch `cbor:"1,keyasint"`
	Shard    id.Shard `cbor:"2,keyasint"`
	Sequence uint64   `cbor:"3,keyasint"`
}

// ReplicateReject says that the runner-up does not store records under this epoch, with Sealed because it has
// started to serve the shard without its owner.
type ReplicateReject struct {
	Epoch  id.Epoch `cbor:"1,keyasint"`
	Shard  id.Shard `cbor:"2,keyasint"`
	Sealed bool     `cbor:"3,keyasint"`
}

// Sync is one chunk of all records, which a runner-up needs before it acknowledges a Replicate. Keep tells it to
// keep the records that it already has; none are sent then.
type Sync struct {
	Epoch        id.Epoch      `cbor:"1,keyasint"`
	Shard        id.Shard      `cbor:"2,keyasint"`
	Chunk        int           `cbor:"3,keyasint"`
	Chunks       int           `cbor:"4,keyasint"`
	Keep         bool          `cbor:"5,keyasint,omitempty"`
	UncertainFor time.Duration `cbor:"6,keyasint,omitempty"`
	Records      []Record      `cbor:"7,keyasint,omitempty"`
}

// SyncAck acknowledges one chunk of a Sync.
type SyncAck struct {
	Epoch id.Epoch `cbor:"1,keyasint"`
	Shard id.Shard `cbor:"2,keyasint"`
	Chunk int      `cbor:"3,keyasint"`
}

// SealRequest asks a member to acknowledge the seal of an epoch: the runner-up serves the shard without its owner.
type SealRequest struct {
	Epoch id.Epoch `cbor:"1,keyasint"`
	Shard id.Shard `cbor:"2,keyasint"`
}

// SealAck says that a member has acknowledged the seal.
type SealAck struct {
	Epoch id.Epoch `cbor:"1,keyasint"`
	Shard id.Shard `cbor:"2,keyasint"`
}

// ReportRequest asks a member of an earlier view to confirm the new epoch and to report on a shard. Without
// WithRecords, only a member that served alone sends its records. FirstChunk is the first chunk that the sender
// lacks.
type ReportRequest struct {
	Epoch       id.Epoch `cbor:"1,keyasint"`
	Shard       id.Shard `cbor:"2,keyasint"`
	WithRecords bool     `cbor:"3,keyasint,omitempty"`
	FirstChunk  int      `cbor:"4,keyasint,omitempty"`
}

// Report answers a ReportRequest. CompleteEpoch is the latest epoch under which the member had complete records as
// the shard's owner or runner-up; SealAckedEpoch is the latest epoch whose seal it acknowledged. ServedAlone means that
// the member served under CompleteEpoch without the owner, WithRecords that the chunks hold all its records.
type Report struct {
	Epoch          id.Epoch      `cbor:"1,keyasint"`
	Shard          id.Shard      `cbor:"2,keyasint"`
	CompleteEpoch  id.Epoch      `cbor:"3,keyasint"`
	SealAckedEpoch id.Epoch      `cbor:"4,keyasint"`
	ServedAlone    bool          `cbor:"5,keyasint,omitempty"`
	UncertainFor   time.Duration `cbor:"6,keyasint,omitempty"`
	Chunk          int           `cbor:"7,keyasint"`
	Chunks         int           `cbor:"8,keyasint"`
	Records        []Record      `cbor:"9,keyasint,omitempty"`
	WithRecords    bool          `cbor:"10,keyasint,omitempty"`
}

// HandOver gives the new owner a request that the sender owned and that no target runs or ran for it. Age is how
// long ago the request arrived, TimeLeft how long it has until its deadline.
type HandOver struct {
	Epoch     id.Epoch       `cbor:"7,keyasint"`
	Shard     id.Shard       `cbor:"1,keyasint"`
	Caller    netip.AddrPort `cbor:"2,keyasint"`
	Tag       string         `cbor:"3,keyasint"`
	Class     Class          `cbor:"4,keyasint"`
	TimeLeft  time.Duration  `cbor:"5,keyasint"`
	Payload   []byte         `cbor:"6,keyasint"`
	Age       time.Duration  `cbor:"8,keyasint"`
	HomeMoved bool           `cbor:"9,keyasint,omitempty"`
}

// ForwardedOutcome gives the new owner the outcome of a request that the sender had dispatched.
type ForwardedOutcome struct {
	Shard  id.Shard `cbor:"1,keyasint"`
	Record Record   `cbor:"2,keyasint"`
}

func (Replicate) message()        {}
func (ReplicateAck) message()     {}
func (ReplicateReject) message()  {}
func (Sync) message()             {}
func (SyncAck) message()          {}
func (SealRequest) message()      {}
func (SealAck) message()          {}
func (ReportRequest) message()    {}
func (Report) message()           {}
func (HandOver) message()         {}
func (ForwardedOutcome) message() {}

var (
	_ Message = Replicate{}
	_ Message = ReplicateAck{}
	_ Message = ReplicateReject{}
	_ Message = Sync{}
	_ Message = SyncAck{}
	_ Message = SealRequest{}
	_ Message = SealAck{}
	_ Message = ReportRequest{}
	_ Message = Report{}
	_ Message = HandOver{}
	_ Message = ForwardedOutcome{}
)
