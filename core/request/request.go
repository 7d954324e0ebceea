// Package request decides what happens to each request of a shard: it runs non-idempotent requests at most once,
// tells callers the true outcome and limits the requests at each target to its slots. The owner of a shard decides
// its requests; the runner-up keeps a copy of the records and takes over if the owner fails. The package is a
// reducer without clock, socket or randomness of its own.
package request

import (
	"net/netip"
	"time"

	"azureshift/core/id"
)

// Key identifies one request of one caller. Retransmissions carry the same key.
type Key struct {
	Caller  netip.AddrPort
	Service id.Service
	Tag     string
}

// Class tells whether a request may run more than once.
type Class int

const (
	// Idempotent requests are idempotent.
	Idempotent Class = iota + 1
	// AtMostOnce requests are not idempotent and run at most once.
	AtMostOnce
)

// Outcome is the result of a request that its caller receives.
type Outcome int

const (
	// Answered carries the target's answer.
	Answered Outcome = iota + 1
	// NotRun means that the request did not run and never will.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// AttemptResult is the result of one attempt at a target.
type AttemptResult int

const (
	// ResultAnswered means that the target ran the request and answered.
	ResultAnswered AttemptResult = iota + 1
	// ResultRefused means that the target reported that it did not run the request.
	ResultRefused
	// ResultUnreachable means that the target is proved not to have received the request.
	ResultUnreachable
)

// Attempt identifies one dispatch of one request. Member includes the dispatcher's incarnation, so that an answer
// to an earlier incarnation matches no attempt.
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

// pending is the state of a request whose outcome this instance has yet to determine.
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
