package request

import (
	"time"

	"azureshift/core/epoch"
	"azureshift/core/id"
)

// Event is one input of Reduce. Its time is when it is passed to Reduce, even if it waited before.
type Event interface{ event() time.Time }

// At is the time of an event.
type At struct{ At time.Time }

func (at At) event() time.Time { return at.At }

// Arrived is one datagram of a request.
type Arrived struct {
	At
	Key      Key
	Class    Class
	Deadline time.Time
	Payload  []byte
	// HomeMoved means that a bundle has moved the request's home to another failure domain: the request is passed on
	// unless it is known here.
	HomeMoved bool
}

// TargetReplied reports the end of an attempt.
type TargetReplied struct {
	At
	Attempt    Attempt
	Result     AttemptResult
	RetryAfter time.Duration
	Payload    []byte
}

// MessageReceived is a message from another entry instance.
type MessageReceived struct {
	At
	From    id.Member
	Message Message
}

// ViewChanged delivers a view of this or another failure domain and the views before it, newest last. If views are
// missing from History, a takeover may have to do without records and to answer Unknown for Config.RetransmitWindow.
type ViewChanged struct {
	At
	View    epoch.View
	History []epoch.View
}

// MemberDown means that the membership considers a member dead.
type MemberDown struct {
	At
	Member id.Member
}

// MemberUp revokes MemberDown.
type MemberUp struct {
	At
	Member id.Member
}

// MemberGone proves that a member no longer runs: the platform has removed its machine.
type MemberGone struct {
	At
	Member id.Member
}

// Heartbeat is a heartbeat of a member of the same failure domain, with the epoch that it holds.
type Heartbeat struct {
	At
	Member id.Member
	Epoch  id.Epoch
	// ProbeSentAt is when this instance sent the probe that the heartbeat answers; the lease starts then. Zero stands
	// for the time of the event.
	ProbeSentAt time.Time
}

// TargetsChanged delivers the current targets of a service.
type TargetsChanged struct {
	At
	Service id.Service
	Targets []Target
}

// LoadReported is the load that a target reports, as a share of its slots.
type LoadReported struct {
	At
	Service id.Service
	Target  id.Target
	Load    float64
}

// Cancelled means that the caller no longer wants the answer.
type Cancelled struct {
	At
	Key Key
}

// Leave starts a planned stop.
type Leave struct{ At }

// Tick advances the time. It is due several times within Config.PauseThreshold.
type Tick struct{ At }

var (
	_ Event = Arrived{}
	_ Event = TargetReplied{}
	_ Event = MessageReceived{}
	_ Event = ViewChanged{}
	_ Event = MemberDown{}
	_ Event = MemberUp{}
	_ Event = MemberGone{}
	_ Event = Heartbeat{}
	_ Event = TargetsChanged{}
	_ Event = LoadReported{}
	_ Event = Cancelled{}
	_ Event = Leave{}
	_ Event = Tick{}
)
