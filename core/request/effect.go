package request

import (
	"time"

	"azureshift/core/id"
)

// Effect is one output of Reduce. Effects are carried out in order.
type Effect interface{ effect() }

// Dispatch sends a request to a target.
type Dispatch struct {
	Attempt  Attempt
	Key      Key
	Target   id.Target
	Deadline time.Time
	Payload  []byte
}

// PassOn sends a request whose home a bundle has moved, and that was never dispatched to a target here, to its new
// home.
type PassOn struct {
	Key     Key
	Payload []byte
}

// CancelAttempt tells a target that its answer is no longer wanted.
type CancelAttempt struct {
	Attempt Attempt
	Target  id.Target
}

// Reply tells a caller the outcome of its request.
type Reply struct {
	Key        Key
	Outcome    Outcome
	RetryAfter time.Duration
	Payload    []byte
}

// SendPeer sends a message to another entry instance; it may be lost.
type SendPeer struct {
	To      id.Member
	Message Message
}

// EpochWanted asks the membership for a new epoch of the failure domain, which may have the same members.
type EpochWanted struct{ After id.Epoch }

// Left reports that a planned stop is complete.
type Left struct{}

// Violation reports a broken invariant.
type Violation struct {
	Broken Broken
	Key    Key
}

// Count adds one to a counter.
type Count struct{ What What }

func (Dispatch) effect()      {}
func (PassOn) effect()        {}
func (CancelAttempt) effect() {}
func (Reply) effect()         {}
func (SendPeer) effect()      {}
func (EpochWanted) effect()   {}
func (Left) effect()          {}
func (Violation) effect()     {}
func (Count) effect()         {}

var (
	_ Effect = Dispatch{}
	_ Effect = PassOn{}
	_ Effect = CancelAttempt{}
	_ Effect = Reply{}
	_ Effect = SendPeer{}
	_ Effect = EpochWanted{}
	_ Effect = Left{}
	_ Effect = Violation{}
	_ Effect = Count{}
)

// What identifies a counter.
type What int

const (
	// CountJoined counts further copies of a request that is in progress.
	CountJoined What = iota + 1
	// CountStrayReply counts answers that match no attempt.
	CountStrayReply
	// CountShed counts requests that were shed before their deadline.
	CountShed
	// CountEvicted counts cached answers evicted for space.
	CountEvicted
	// CountFenced counts dispatches postponed for lack of contact with a majority.
	CountFenced
	// CountAmnesia counts takeovers without complete records.
	CountAmnesia
	// CountTakeover counts all takeovers, with or without complete records.
	CountTakeover
	// CountRetry counts retries.
	CountRetry
	// CountHeld counts slots reclaimed after Config.AttemptTimeout or from a borrower that did not report their use.
	CountHeld
)
