package steer

import (
	"time"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
)

// Verdict is what happens to a packet.
type Verdict uint8

const (
	// Forward sends the packet to a backend server.
	Forward Verdict = iota + 1
	// Reset ends the client's attempt.
	Reset
	// Drop leaves the packet unanswered; the client sends it again.
	Drop
)

// String returns the verdict as it is written in logs.
func (verdict Verdict) String() string {
	switch verdict {
	case Forward:
		return "Forward"
	case Reset:
		return "Reset"
	case Drop:
		return "Drop"
	}
	return "Unknown"
}

// Reason says why a packet got its verdict.
type Reason uint8

const (
	// Offered opens a flow.
	Offered Reason = iota + 1
	// OfferedAgain repeats the opening packet at the server that got it before.
	OfferedAgain
	// Moved opens a flow at the next server, as the one before did not answer.
	Moved
	// Established continues a flow.
	Established
	// NoConfig says that no configuration is known yet.
	NoConfig
	// NoRoute says that no route has the packet's address and port.
	NoRoute
	// Stale says that no route is known, but that a newer configuration may have one.
	Stale
	// NoServer says that no backend server takes new flows of the route.
	NoServer
	// Overloaded says that no backend server could answer within the deadline.
	Overloaded
	// NoCookie says that the packet belongs to a flow that names no backend server.
	NoCookie
	// UnknownServer says that the packet names a backend server that is not known here.
	UnknownServer
	// ServerGone says that the packet names a backend server that has left and was forgotten.
	ServerGone
	// ServerDead says that the flow's backend server has ended.
	ServerDead
	// ServerUnreachable says that the flow's backend server does not answer this instance.
	ServerUnreachable
)

var _reasons = [...]string{
	Offered: "Offered", OfferedAgain: "OfferedAgain", Moved: "Moved", Established: "Established",
	NoConfig: "NoConfig", NoRoute: "NoRoute", Stale: "Stale", NoServer: "NoServer", Overloaded: "Overloaded",
	NoCookie: "NoCookie", UnknownServer: "UnknownServer", ServerGone: "ServerGone", ServerDead: "ServerDead",
	ServerUnreachable: "ServerUnreachable",
}

// String returns the reason as it is written in logs.
func (reason Reason) String() string {
	if int(reason) < len(_reasons) && _reasons[reason] != "" {
		return _reasons[reason]
	}
	return "Unknown"
}

// Reasons returns every reason in ascending order, begun by zero, which is none.
func Reasons() []Reason {
	reasons := make([]Reason, len(_reasons))
	for index := range reasons {
		reasons[index] = Reason(index)
	}
	return reasons
}

// Decision is a verdict with its reason and, if a backend server is concerned, that server.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Server  *Server
	// Stalled says that the packet is the first sign that the server does not answer.
	Stalled bool
	// Expected is how long a new request was expected to take at all usual servers, and Admitted how long it may, if
	// that decided.
	Expected time.Duration
	Admitted time.Duration
	// Refused is the share of such flows that was refused, and Single the share of requests that opened a flow, if these
	// decided.
	Refused float64
	Single  float64
	// Latency is how long the answer took that the packet is the first sign of, and Kind the kind of its request.
	Latency time.Duration
	Kind    route.Kind
}

const (
	// _repeatAfter tells a client's retransmission, sent 200 ms after the original, from packets that arrive out of
	// order within some milliseconds.
	_repeatAfter = 150 * time.Millisecond
	// _freshFor is how old the table may be for a missing route to be taken for certain. It covers the pause between
	// two confirmations of an undisturbed instance.
	_freshFor = 2500 * time.Millisecond
	// _openingLife is how long a client tries to open a flow.
	_openingLife = 1400 * time.Millisecond
	// _leastIdle is how long a flow is kept at least, also where the operator allows less.
	_leastIdle = 10 * time.Second
	// _defaultPatience is how long a client is taken to wait for an answer on a flow whose route was dropped.
	_defaultPatience = 5 * time.Second
)

// Steering is the state of the traffic thread. It is not safe for concurrent use.
type Steering struct {
	table *Table
	flows map[packet.Flow]*flow
	loads map[packet.Cookie]*load
	// demands holds what was seen of the requests of each service.
	demands map[id.Service]*demand
	// reported is when the last report was made, and reportedAll the number of requests in progress that it said.
	reported    time.Duration
	reportedAll float64
	// inProgress is the number of requests and opening packets that wait for an answer.
	inProgress int
}

// New returns the state of an instance that has seen no traffic.
func New() *Steering {
	return &Steering{
		table:   &Table{},
		flows:   make(map[packet.Flow]*flow),
		loads:   make(map[packet.Cookie]*load),
		demands: make(map[id.Service]*demand),
	}
}

// Use puts a table in force.
func (steering *Steering) Use(table *Table) {
	steering.table = table
}

// Table returns the table in force.
func (steering *Steering) Table() *Table {
	return steering.table
}

// Packet decides on a packet that arrived now, on a clock that never goes back.
func (steering *Steering) Packet(now time.Duration, header packet.Header) Decision {
	if header.Opens() {
		return steering.open(now, header)
	}
	return steering.proceed(now, header)
}

// open decides on an opening packet. A copy that follows soon goes to the same server, as its answer may be on the way.
// A later copy goes to the next server in the flow's order: a server that is full, dead or cut off stays silent.
func (steering *Steering) open(now time.Duration, header packet.Header) Decision {
	known, isKnown := steering.flows[header.Flow]
	isCopy := isKnown && known.opening && known.attempt == header.Sequence
	if isCopy && now-known.offered < _repeatAfter {
		if server, ok := steering.table.Servers[known.cookie]; ok && server.Condition < Unreachable {
			return Decision{Verdict: Forward, Reason: OfferedAgain, Server: server}
		}
	}
	table := steering.table
	if table.Version == 0 {
		return Decision{Verdict: Drop, Reason: NoConfig}
	}
	configured, ok := table.Routes[header.Flow.Service]
	if !ok {
		if now-table.Confirmed > _freshFor {
			return Decision{Verdict: Drop, Reason: Stale}
		}
		return Decision{Verdict: Reset, Reason: NoRoute}
	}
	decision := steering.place(now, configured, header)
	if decision.Verdict != Forward {
		return decision
	}
	if isCopy {
		decision.Reason = Moved
		decision.Stalled = steering.unanswered(now, known)
	}
	steering.offer(now, header, decision.Server)
	return decision
}

// unanswered notes that a server left an opening packet without an answer, and reports whether that is news.
func (steering *Steering) unanswered(now time.Duration, known *flow) bool {
	load := steering.load(known.cookie, now)
	load.stall(now)
	return load.stalls == 1
}

func (steering *Steering) offer(now time.Duration, header packet.Header, server *Server) {
	steering.forget(now, header.Flow)
	steering.flows[header.Flow] = &flow{
		cookie: server.Cookie, attempt: header.Sequence, offered: now, seen: now, opening: true,
	}
	load := steering.load(server.Cookie, now)
	load.place(now)
	load.opening++
	steering.inProgress++
}

// proceed decides on a packet of a flow that has a server.
func (steering *Steering) proceed(now time.Duration, header packet.Header) Decision {
	if header.Cookie == 0 {
		return Decision{Verdict: Drop, Reason: NoCookie}
	}
	server, ok := steering.table.Servers[header.Cookie]
	if !ok {
		return steering.unknown(now, header)
	}
	stalled, fresh, latency := steering.track(now, header)
	switch {
	case server.Condition == Dead:
		return steering.refuse(now, header, Decision{Verdict: Reset, Reason: ServerDead, Server: server})
	case server.Condition == Unreachable && header.Length > 0 && (fresh || steering.repeatable(header.Flow)):
		return steering.refuse(now, header, Decision{Verdict: Reset, Reason: ServerUnreachable, Server: server})
	}
	if header.Flags.Has(packet.RST) || header.Flags.Has(packet.FIN) {
		steering.forget(now, header.Flow)
	}
	decision := Decision{Verdict: Forward, Reason: Established, Server: server, Stalled: stalled, Latency: latency}
	if configured, ok := steering.table.Routes[header.Flow.Service]; ok && latency > 0 {
		decision.Kind = configured.Kind
	}
	return decision
}

// unknown decides on a packet of a flow whose server is not known. Where every living server is known, that one has
// left and the client may open a new flow at once; a packet without data needs no answer.
func (steering *Steering) unknown(now time.Duration, header packet.Header) Decision {
	table := steering.table
	if header.Length > 0 && table.Settled && now-table.Confirmed < _freshFor {
		return Decision{Verdict: Reset, Reason: ServerGone}
	}
	return Decision{Verdict: Drop, Reason: UnknownServer}
}

// repeatable reports whether the client may repeat a request of the flow that got no answer.
func (steering *Steering) repeatable(name packet.Flow) bool {
	configured, ok := steering.table.Routes[name.Service]
	return ok && configured.Kind != route.NonIdempotent
}

func (steering *Steering) refuse(now time.Duration, header packet.Header, decision Decision) Decision {
	steering.forget(now, header.Flow)
	if header.Flags.Has(packet.RST) {
		decision.Verdict = Drop
	}
	return decision
}

// track notes what a packet shows of its flow and server: data is a request, or a repetition of one if it came before;
// an acknowledgement that moves on is an answer. It reports whether the packet is the first sign that the server does
// not answer, whether it carries data that was not sent before, and how long the answer took that it is the first sign
// of.
func (steering *Steering) track(now time.Duration, header packet.Header) (
	stalled, fresh bool, latency time.Duration,
) {
	load := steering.load(header.Cookie, now)
	end := header.Sequence + uint32(header.Length)
	known, ok := steering.flows[header.Flow]
	if !ok || known.cookie != header.Cookie || known.opening {
		if ok {
			steering.forget(now, header.Flow)
		}
		known = &flow{cookie: header.Cookie, sent: header.Sequence, acked: header.Acknowledged, asked: now}
		steering.flows[header.Flow] = known
		load.progress(now)
	}
	known.seen = now
	if after(header.Acknowledged, known.acked) {
		known.acked = header.Acknowledged
		latency = steering.answered(now, known, load)
	}
	if header.Length == 0 {
		return false, false, latency
	}
	if after(end, known.sent) {
		known.sent = end
		if !known.waiting {
			known.waiting, known.asked, known.repeated = true, now, false
			load.begin(now)
			steering.inProgress++
		}
		return false, true, latency
	}
	if now-known.asked < _repeatAfter {
		return false, false, latency
	}
	known.repeated = true
	load.stall(now)
	return load.stalls == 1, false, latency
}

// answered notes an answer and returns how long it took, or zero if no request waited for one.
func (steering *Steering) answered(now time.Duration, known *flow, load *load) time.Duration {
	load.progress(now)
	if !known.waiting {
		return 0
	}
	known.waiting = false
	load.end(now)
	steering.inProgress--
	load.answers++
	latency := now - known.asked
	load.latency += latency
	return latency
}

// load returns the counts of a server.
func (steering *Steering) load(cookie packet.Cookie, now time.Duration) *load {
	found, ok := steering.loads[cookie]
	if !ok {
		found = &load{changed: now, progressed: now}
		steering.loads[cookie] = found
	}
	return found
}

// demandOf returns what was seen of the requests of a service.
func (steering *Steering) demandOf(service id.Service) *demand {
	found, ok := steering.demands[service]
	if !ok {
		found = &demand{}
		steering.demands[service] = found
	}
	return found
}

// forget drops a flow; a request in progress no longer counts.
func (steering *Steering) forget(now time.Duration, name packet.Flow) {
	known, ok := steering.flows[name]
	if !ok {
		return
	}
	load := steering.load(known.cookie, now)
	if known.waiting {
		load.end(now)
		steering.inProgress--
	}
	if known.opening {
		load.opening--
		steering.inProgress--
	}
	delete(steering.flows, name)
}

// Abandon forgets flows of a server that was found dead or unreachable and returns those that are to be reset. All
// flows of a dead server are, also idle ones: a client that learns of it by its next request loses that request if it
// may run only once. Of an unreachable server, which may still be at work, only requests are that may be repeated.
func (steering *Steering) Abandon(now time.Duration, cookie packet.Cookie, condition Condition) []packet.Header {
	var ended []packet.Header
	for name, known := range steering.flows {
		if known.cookie != cookie || known.opening {
			continue
		}
		if condition != Dead && (!known.waiting || !steering.repeatable(name)) {
			continue
		}
		ended = append(ended, packet.Header{Flow: name, Cookie: cookie, Acknowledged: known.acked})
		steering.forget(now, name)
	}
	return ended
}

// Expire forgets the flows that have been idle for too long, and gives up waiting for answers that the client no longer
// waits for. Call it about once a second.
func (steering *Steering) Expire(now time.Duration) {
	for name, known := range steering.flows {
		switch {
		case now-known.seen > max(steering.table.Idle, _leastIdle), known.opening && now-known.offered > _openingLife:
			steering.forget(now, name)
		case known.waiting && now-known.asked > steering.patience(name):
			known.waiting = false
			steering.load(known.cookie, now).end(now)
			steering.inProgress--
		}
	}
}

// patience is how long a client waits for an answer.
func (steering *Steering) patience(name packet.Flow) time.Duration {
	if configured, ok := steering.table.Routes[name.Service]; ok {
		return configured.Timeout
	}
	return _defaultPatience
}
