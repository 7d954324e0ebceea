package steer

import (
	"time"

	"azureshift/core/route"
)

// Action says what to do with a packet.
type Action uint8

const (
	// Forward sends the packet to a backend server.
	Forward Action = iota + 1
	// Reset answers the client with a reset, which ends its flow or its attempt to open one.
	Reset
	// Drop discards the packet without an answer; the client retransmits it.
	Drop
)

// String returns the action as it is written in logs.
func (action Action) String() string {
	switch action {
	case Forward:
		return "Forward"
	case Reset:
		return "Reset"
	case Drop:
		return "Drop"
	}
	return "Unknown"
}

// Reason is the reason for an action.
type Reason uint8

const (
	// NewFlow says that the packet opens a flow.
	NewFlow Reason = iota + 1
	// RetransmittedOpening says that a retransmitted opening packet goes to the same server as before.
	RetransmittedOpening
	// NextServer says that the flow opens at the next server, as the previous one did not answer.
	NextServer
	// Established says that the packet belongs to an established flow.
	Established
	// NoConfig says that no configuration is known yet.
	NoConfig
	// NoRoute says that no route has the packet's destination address and port.
	NoRoute
	// Stale says that no route is known, but the configuration may be out of date.
	Stale
	// NoServer says that no backend server takes new flows of the route.
	NoServer
	// Overloaded says that the expected latency is too high for the flow to be admitted.
	Overloaded
	// NoCookie says that the packet belongs to an established flow but carries no cookie.
	NoCookie
	// UnknownServer says that the cookie names a backend server that is not known here.
	UnknownServer
	// ServerGone says that the cookie names a backend server that has left the system.
	ServerGone
	// ServerDead says that the flow's backend server is dead.
	ServerDead
	// ServerUnreachable says that the flow's backend server does not answer this instance.
	ServerUnreachable
	// Evacuated says that all backend servers that could take the flow are in evacuated failure domains.
	Evacuated
	// SlowStart says that every backend server that would take the flow is in slow start, and gets no more flows from this
	// instance now.
	SlowStart
)

var _reasons = [...]string{
	NewFlow: "Offered", RetransmittedOpening: "OfferedAgain", NextServer: "Moved", Established: "Established",
	NoConfig: "NoConfig", NoRoute: "NoRoute", Stale: "Stale", NoServer: "NoServer", Overloaded: "Overloaded",
	NoCookie: "NoCookie", UnknownServer: "UnknownServer", ServerGone: "ServerGone", ServerDead: "ServerDead",
	ServerUnreachable: "ServerUnreachable", Evacuated: "Evacuated", SlowStart: "SlowStart",
}

// String returns the reason as it is written in logs.
func (reason Reason) String() string {
	if int(reason) < len(_reasons) && _reasons[reason] != "" {
		return _reasons[reason]
	}
	return "Unknown"
}

// Reasons returns every reason in ascending order, preceded by zero, which stands for none.
func Reasons() []Reason {
	reasons := make([]Reason, len(_reasons))
	for index := range reasons {
		reasons[index] = Reason(index)
	}
	return reasons
}

// Decision is an action with its reason and, if one is involved, the backend server.
type Decision struct {
	Action Action
	Reason Reason
	Server *Server
	// StallDetected says that the packet is the first sign that the server does not answer.
	StallDetected bool
	// ExpectedLatency is the latency that was expected of a new request over all servers that are not slow, LatencyLimit
	// the greatest one that is admitted, and ExpectedUtilisation the forecast utilisation of these servers. They are set
	// if they decided the action.
	ExpectedLatency     time.Duration
	LatencyLimit        time.Duration
	ExpectedUtilisation float64
	// RefusedShare is the share of such flows that is refused, and SingleRequestShare the share of requests that open a
	// flow of their own. Both are set if they decided the action.
	RefusedShare       float64
	SingleRequestShare float64
	// FleetDemand says that the demand of all instances decided the action, and DemandAge is the age of its sums.
	FleetDemand bool
	DemandAge   time.Duration
	// Latency is the time to the first byte of the answer that the packet acknowledges first, and Kind the kind of its
	// request.
	Latency time.Duration
	Kind    route.Kind
}
