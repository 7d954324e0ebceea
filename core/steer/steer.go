package steer

import (
	"time"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/slowstart"
)

const (
	// _minRetransmitDelay is the least delay at which a packet counts as a retransmission. It separates a client's
	// retransmission, sent 200 ms after the original, from packets reordered within some milliseconds.
	_minRetransmitDelay = 150 * time.Millisecond
	// _maxTableAge is the age of the table up to which a route or server missing from it is known not to exist. It covers
	// the pause between two confirmations of an undisturbed instance.
	_maxTableAge = 2500 * time.Millisecond
	// _maxUnknown is the largest number of unknown servers that are remembered, and _unknownRetention how long they are.
	_maxUnknown       = 1024
	_unknownRetention = 10 * time.Second
	// _openingTimeout is how long a client tries to open a flow.
	_openingTimeout = 1400 * time.Millisecond
	// _minIdleTimeout is the lower bound of the operator's idle timeout.
	_minIdleTimeout = 10 * time.Second
	// _defaultRequestTimeout is the request timeout of flows whose route was removed.
	_defaultRequestTimeout = 5 * time.Second
)

// FlowSize is the memory in bytes that a tracked flow takes.
const FlowSize = 160

// Config configures a Steering.
type Config struct {
	// MaxFlows is the number of flows that are tracked; zero means any. Packets of others are forwarded, but not measured.
	MaxFlows int
}

// Steering tracks flows and decides on packets. It is not safe for concurrent use.
type Steering struct {
	config Config
	table  *Table
	flows  map[packet.Flow]*flow
	// untracked is the number of packets of flows that could not be tracked, since TakeUntracked.
	untracked int
	counters  map[packet.Cookie]*counters
	// demands holds the recent demand of each service.
	demands map[id.Service]*demand
	// reportedAt is when the last report was made, and reportedInProgress the sum of its requests in progress.
	reportedAt         time.Duration
	reportedInProgress float64
	// inProgress is the number of pending requests and half-open flows.
	inProgress int
	// demandReportedAt is when the demand was last reported.
	demandReportedAt time.Duration
	// unknownSince holds when packets for unknown servers were first seen.
	unknownSince map[packet.Cookie]time.Duration
	slowStarts   slowStarts
}

// New returns a Steering without flows and with an empty table.
func New(config Config) *Steering {
	return &Steering{
		config:   config,
		table:    &Table{},
		flows:    make(map[packet.Flow]*flow),
		counters: make(map[packet.Cookie]*counters),
		demands:  make(map[id.Service]*demand),

		unknownSince: make(map[packet.Cookie]time.Duration),
		slowStarts:   slowStarts{windows: make(map[packet.Cookie]*slowstart.Window)},
	}
}

// SetTable replaces the table.
func (steering *Steering) SetTable(table *Table) {
	steering.table = table
}

// Table returns the current table.
func (steering *Steering) Table() *Table {
	return steering.table
}

// Decide decides on a packet that arrived at now, read from a monotonic clock.
func (steering *Steering) Decide(now time.Duration, header packet.Header) Decision {
	if header.Opens() {
		return steering.openFlow(now, header)
	}
	return steering.continueFlow(now, header)
}

// openFlow decides on an opening packet. An early retransmission goes to the same server, whose answer may be on the
// way, unless the operator has evacuated it since. A later one goes to the next server in the flow's order, as a server
// that is full, dead or cut off does not answer.
func (steering *Steering) openFlow(now time.Duration, header packet.Header) Decision {
	tracked, isTracked := steering.flows[header.Flow]
	isRetransmission := isTracked && tracked.halfOpen && tracked.initialSequence == header.Sequence
	if isRetransmission && now-tracked.openingSent < _minRetransmitDelay {
		server, ok := steering.table.Servers[tracked.cookie]
		if ok && server.Condition < Unreachable && !server.Evacuated {
			if !steering.admits(now, server) {
				return Decision{Action: Drop, Reason: SlowStart, Server: server}
			}
			steering.countOpening(now, server)
			return Decision{Action: Forward, Reason: RetransmittedOpening, Server: server}
		}
	}
	table := steering.table
	if table.Version == 0 {
		return Decision{Action: Drop, Reason: NoConfig}
	}
	configured, ok := table.Routes[header.Flow.Service]
	if !ok {
		if now-table.ConfirmedAt > _maxTableAge {
			return Decision{Action: Drop, Reason: Stale}
		}
		return Decision{Action: Reset, Reason: NoRoute}
	}
	decision := steering.place(now, configured, header)
	if decision.Action != Forward {
		return decision
	}
	if isRetransmission {
		decision.Reason = NextServer
		decision.StallDetected = steering.recordUnansweredOpening(now, tracked)
	}
	steering.countOpening(now, decision.Server)
	steering.addFlow(now, header, decision.Server)
	demand := steering.demandOf(decision.Server.Service)
	if demand.countOpened(now, configured) {
		steering.countersOf(decision.Server.Cookie, now).held++
	}
	if !isRetransmission {
		demand.own.countOpened(now, demand.classOf(now, configured))
	}
	return decision
}

// continueFlow decides on a packet of an established flow.
func (steering *Steering) continueFlow(now time.Duration, header packet.Header) Decision {
	if header.Cookie == 0 {
		return Decision{Action: Drop, Reason: NoCookie}
	}
	server, ok := steering.table.Servers[header.Cookie]
	if !ok {
		return steering.unknownServer(now, header)
	}
	stalled, newData, latency := steering.track(now, header)
	switch {
	case server.Condition == Dead:
		return steering.refuse(now, header, Decision{Action: Reset, Reason: ServerDead, Server: server})
	case server.Condition == Unreachable && header.Length > 0 && (newData || steering.retryable(header.Flow)):
		return steering.refuse(now, header, Decision{Action: Reset, Reason: ServerUnreachable, Server: server})
	}
	if header.Flags.Has(packet.RST) || header.Flags.Has(packet.FIN) {
		steering.countClosed(now, header)
		steering.removeFlow(now, header.Flow)
	}
	decision := Decision{Action: Forward, Reason: Established, Server: server, StallDetected: stalled, Latency: latency}
	if configured, ok := steering.table.Routes[header.Flow.Service]; ok && latency > 0 {
		decision.Kind = configured.Kind
	}
	return decision
}

// unknownServer decides on a packet whose cookie names an unknown server. If the table was confirmed after the first
// such packet and every live server is known, that server has left, and the reset lets the client open a new flow
// without waiting for its deadline. An earlier table may lack a server that has just registered. A packet without data
// needs no answer.
func (steering *Steering) unknownServer(now time.Duration, header packet.Header) Decision {
	table := steering.table
	since, seen := steering.unknownSince[header.Cookie]
	if !seen && len(steering.unknownSince) < _maxUnknown {
		steering.unknownSince[header.Cookie] = now
	}
	confirmed := seen && table.ConfirmedAt > since && now-table.ConfirmedAt < _maxTableAge
	if header.Length > 0 && table.AllRegistered && confirmed {
		return Decision{Action: Reset, Reason: ServerGone}
	}
	return Decision{Action: Drop, Reason: UnknownServer}
}

// forgetUnknown removes unknown servers that were first seen long ago, as another server may have their cookie by now.
func (steering *Steering) forgetUnknown(now time.Duration) {
	for cookie, since := range steering.unknownSince {
		if now-since > _unknownRetention {
			delete(steering.unknownSince, cookie)
		}
	}
}

// retryable reports whether the client may retry a request of the flow that got no answer.
func (steering *Steering) retryable(key packet.Flow) bool {
	configured, ok := steering.table.Routes[key.Service]
	return ok && configured.Kind.Repeatable()
}

// refuse removes the flow and returns the decision. A packet with RST is dropped, as it is never answered by a reset.
func (steering *Steering) refuse(now time.Duration, header packet.Header, decision Decision) Decision {
	steering.removeFlow(now, header.Flow)
	if header.Flags.Has(packet.RST) {
		decision.Action = Drop
	}
	return decision
}

// ResetFlows removes flows of servers that were found dead or unreachable, and returns those that are to be reset. For
// a dead server these are all flows, including idle ones: a client that learns of it from its next request loses that
// request if it is not idempotent. For an unreachable server, which may still be working, these are only the flows
// whose pending request may be retried.
func (steering *Steering) ResetFlows(now time.Duration, servers map[packet.Cookie]Condition) []packet.Header {
	var resets []packet.Header
	for key, tracked := range steering.flows {
		condition, ok := servers[tracked.cookie]
		if !ok || tracked.halfOpen {
			continue
		}
		if condition != Dead && (!tracked.pending || !steering.retryable(key)) {
			continue
		}
		resets = append(resets, packet.Header{Flow: key, Cookie: tracked.cookie, Acknowledged: tracked.acked})
		steering.removeFlow(now, key)
	}
	return resets
}
