// Package request decides what happens to each request of a shard: at most one run of what may not be
// repeated, a truthful outcome, and admission to the few slots of the targets. It is a reducer without
// clock, socket or randomness of its own.
package request

import (
	"net/netip"
	"time"

	"azureshift/core/id"
)

// Key names one request of one caller. Retransmissions carry the same key.
type Key struct {
	Caller  netip.AddrPort
	Service id.Service
	Tag     string
}

// Class tells whether a request may run more than once.
type Class int

const (
	// Repeatable requests are idempotent.
	Repeatable Class = iota + 1
	// Once requests run at most once.
	Once
)

// Outcome is what a caller is told about its request.
type Outcome int

const (
	// Answered carries the target's answer.
	Answered Outcome = iota + 1
	// NotRun means that the request did not run and never will.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// Verdict is what became of one attempt at a target.
type Verdict int

const (
	// VerdictAnswered means that the target ran the request and answered.
	VerdictAnswered Verdict = iota + 1
	// VerdictRefused means that the target said it did not run the request.
	VerdictRefused
	// VerdictUnreachable means that the target is proved not to have received the request.
	VerdictUnreachable
)

// Attempt names one dispatch of one request. It holds the dispatcher's incarnation, so that an answer
// to an earlier life matches nothing.
type Attempt struct {
	Member id.Member
	Number uint64
}

// Target is one backend server of a service.
type Target struct {
	Name     id.Target
	Domain   id.Domain
	Slots    int
	Draining bool
}

// pending is a request whose outcome this instance still owes.
type pending struct {
	class         Class
	arrived       time.Time
	deadline      time.Time
	payload       []byte
	attemptNumber uint64
	dispatchedAt  time.Time
	target        *target
	triedTargets  []id.Target
	queued        bool
	durable       bool
	timedOut      bool
	retryAt       time.Time
}
