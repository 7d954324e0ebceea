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

// ForwardMoved sends a request whose home a bundle has moved, and that was never dispatched to a target here, to its
// new home.
type ForwardMoved struct {
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

// Send sends a message to another entry instance; it may be lost.
type Send struct {
	To      id.Member
	Message Message
}

// ProposeEpoch asks the membership for a new epoch of the failure domain, which may have the same members.
type ProposeEpoch struct{ After id.Epoch }

// LeaveCompleted reports that a planned stop is complete.
type LeaveCompleted struct{}

// Violation reports a broken invariant.
type Violation struct {
	Invariant Invariant
	Key       Key
}

// Count adds one to a counter.
type Count struct{ Counter Counter }

func (Dispatch) effect()       {}
func (ForwardMoved) effect()   {}
func (CancelAttempt) effect()  {}
func (Reply) effect()          {}
func (Send) effect()           {}
func (ProposeEpoch) effect()   {}
func (LeaveCompleted) effect() {}
func (Violation) effect()      {}
func (Count) effect()          {}

var (
	_ Effect = Dispatch{}
	_ Effect = ForwardMoved{}
	_ Effect = CancelAttempt{}
	_ Effect = Reply{}
	_ Effect = Send{}
	_ Effect = ProposeEpoch{}
	_ Effect = LeaveCompleted{}
	_ Effect = Violation{}
	_ Effect = Count{}
)

// Counter identifies a counter.
type Counter int

const (
	// CountDuplicate counts further copies of a request that is in progress.
	CountDuplicate Counter = iota + 1
	// CountUnmatchedReply counts answers that match no attempt.
	CountUnmatchedReply
	// CountShed counts requests that were shed before their deadline.
	CountShed
	// CountEvicted counts cached answers evicted for space.
	CountEvicted
	// CountFenced counts dispatches postponed for lack of contact with a majority.
	CountFenced
	// CountTakeoverWithoutRecords counts takeovers without complete records.
	CountTakeoverWithoutRecords
	// CountTakeover counts all takeovers, with or without complete records.
	CountTakeover
	// CountRetry counts retries.
	CountRetry
	// CountSlotReclaimed counts slots reclaimed after Config.AttemptTimeout or from a borrower that did not report their
	// use.
	CountSlotReclaimed
)
