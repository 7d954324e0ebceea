package steer

import (
	"math"
	"time"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
)

// recordUnansweredOpening notes that a server did not answer an opening packet, and reports whether this is the first
// sign of it.
func (steering *Steering) recordUnansweredOpening(now time.Duration, tracked *flow) bool {
	counters := steering.countersOf(tracked.cookie, now)
	counters.recordRetransmission(now)
	return counters.retransmissions == 1
}

func (steering *Steering) addFlow(now time.Duration, header packet.Header, server *Server) {
	steering.removeFlow(now, header.Flow)
	counters := steering.countersOf(server.Cookie, now)
	counters.recordOpened(now)
	if !steering.hasRoom() {
		return
	}
	steering.flows[header.Flow] = &flow{
		cookie: server.Cookie, initialSequence: header.Sequence, openingSent: now, lastSeen: now, halfOpen: true,
	}
	counters.halfOpen++
	steering.inProgress++
}

// hasRoom reports whether another flow can be tracked, and counts a packet if not.
func (steering *Steering) hasRoom() bool {
	if steering.config.MaxFlows == 0 || len(steering.flows) < steering.config.MaxFlows {
		return true
	}
	steering.untracked++
	return false
}

// TakeUntracked returns the number of packets since the last call whose flows could not be tracked.
func (steering *Steering) TakeUntracked() int {
	untracked := steering.untracked
	steering.untracked = 0
	return untracked
}

// track updates the state of a packet's flow and server. Data is a request, or a retransmission if it was sent before;
// an acknowledgement that advances is an answer. It reports whether the packet is the first sign that the server does
// not answer, and whether it carries new data. If the packet is the first to acknowledge an answer, it returns the
// latency of that answer.
func (steering *Steering) track(now time.Duration, header packet.Header) (
	stalled, newData bool, latency time.Duration,
) {
	counters := steering.countersOf(header.Cookie, now)
	end := header.Sequence + uint32(header.Length)
	tracked, ok := steering.flows[header.Flow]
	if !ok && !steering.hasRoom() {
		return false, false, 0
	}
	if !ok || tracked.cookie != header.Cookie || tracked.halfOpen {
		if ok {
			steering.countHandshake(now, header, tracked)
			steering.removeFlow(now, header.Flow)
		}
		tracked = &flow{cookie: header.Cookie, sentEnd: header.Sequence, acked: header.Acknowledged, requestedAt: now}
		steering.flows[header.Flow] = tracked
		counters.recordAnswer(now)
	}
	tracked.lastSeen = now
	if sequenceAfter(header.Acknowledged, tracked.acked) {
		tracked.acked = header.Acknowledged
		latency = steering.recordAnswer(now, header, tracked, counters)
	}
	if header.Length == 0 {
		return false, false, latency
	}
	if sequenceAfter(end, tracked.sentEnd) {
		tracked.sentEnd = end
		if tracked.pending {
			steering.continueUpload(now, header, tracked, counters)
		} else {
			tracked.pending, tracked.requestedAt, tracked.retransmitted = true, now, false
			tracked.requests += min(1, math.MaxUint8-tracked.requests)
			counters.beginRequest(now)
			steering.inProgress++
			if demand, configured := steering.demandFor(header); demand != nil {
				demand.countRequest(now, configured)
			}
		}
		return false, true, latency
	}
	if now-tracked.requestedAt < _minRetransmitDelay {
		return false, false, latency
	}
	tracked.retransmitted = true
	counters.recordRetransmission(now)
	return counters.retransmissions == 1, false, latency
}

// continueUpload notes further data of a request. A client sends new data after a retransmission only once the server
// has acknowledged earlier data, so it shows that the server is alive, although its acknowledgements bypass the
// instance. The latency of an upload counts from its last data, as the time before depends on the client.
func (steering *Steering) continueUpload(now time.Duration, header packet.Header, tracked *flow, counters *counters) {
	configured, ok := steering.table.Routes[header.Flow.Service]
	if !ok || configured.Kind != route.Upload {
		return
	}
	if tracked.retransmitted {
		tracked.retransmitted = false
		counters.recordAnswer(now)
	}
	tracked.requestedAt = now
}

// recordAnswer notes an answer and returns its latency, or zero if no request was pending.
func (steering *Steering) recordAnswer(
	now time.Duration, header packet.Header, tracked *flow, counters *counters,
) time.Duration {
	counters.recordAnswer(now)
	if !tracked.pending {
		return 0
	}
	tracked.pending = false
	counters.endRequest(now)
	steering.inProgress--
	counters.answers++
	latency := now - tracked.requestedAt
	counters.latencySum += latency
	if demand, configured := steering.demandFor(header); demand != nil {
		counts := demand.counts(now, configured)
		counts.answered++
		if counts.longLived(now) || demand.activeFlows == 0 {
			counters.recordUsual(latency)
		}
		demand.own.countAnswer(demand.classOf(now, configured), latency)
	}
	return latency
}

// countHandshake records the time that the handshake of a half-open flow took, if its opening packet was sent once.
func (steering *Steering) countHandshake(now time.Duration, header packet.Header, tracked *flow) {
	taken := now - tracked.openingSent
	if tracked.cookie != header.Cookie || !tracked.halfOpen || taken >= _minRetransmitDelay {
		return
	}
	if demand, _ := steering.demandFor(header); demand != nil {
		demand.countHandshake(taken)
	}
}

// demandFor returns the demand of the service to which the flow of a packet goes and the flow's route, or nil if either
// is not known.
func (steering *Steering) demandFor(header packet.Header) (*demand, *route.Route) {
	server, isKnown := steering.table.Servers[header.Cookie]
	configured, isRouted := steering.table.Routes[header.Flow.Service]
	if !isKnown || !isRouted {
		return nil, nil
	}
	return steering.demandOf(server.Service), configured
}

// countIfActive counts a flow in the demand of its service if it is persistent and its client uses it.
func (steering *Steering) countIfActive(now time.Duration, key packet.Flow, tracked *flow) {
	header := packet.Header{Flow: key, Cookie: tracked.cookie}
	steering.countIfHeld(now, header, tracked)
	if tracked.halfOpen || now-tracked.lastSeen > _activePeriod {
		return
	}
	if demand, configured := steering.demandFor(header); demand != nil && demand.counts(now, configured).persistent() {
		demand.activeFlows++
	}
}

// countersOf returns the counters of a server, and creates them if there are none.
func (steering *Steering) countersOf(cookie packet.Cookie, now time.Duration) *counters {
	found, ok := steering.counters[cookie]
	if !ok {
		found = &counters{updatedAt: now, answeredAt: now}
		steering.counters[cookie] = found
	}
	return found
}

// demandOf returns the demand of a service, and creates it if there is none.
func (steering *Steering) demandOf(service id.Service) *demand {
	found, ok := steering.demands[service]
	if !ok {
		found = &demand{}
		steering.demands[service] = found
	}
	return found
}

// removeFlow removes a flow with its pending request, if any.
func (steering *Steering) removeFlow(now time.Duration, key packet.Flow) {
	tracked, ok := steering.flows[key]
	if !ok {
		return
	}
	counters := steering.countersOf(tracked.cookie, now)
	if tracked.pending {
		counters.endRequest(now)
		steering.inProgress--
	}
	if tracked.halfOpen {
		counters.halfOpen--
		steering.inProgress--
	}
	delete(steering.flows, key)
}

// Expire removes flows that have been idle for too long, stops counting requests as pending that their clients have
// given up, and counts the flows that clients use. It is to be called about once a second.
func (steering *Steering) Expire(now time.Duration) {
	steering.forgetUnknown(now)
	steering.slowStarts.forget(now)
	for _, demand := range steering.demands {
		demand.activeFlows = 0
	}
	for _, counters := range steering.counters {
		counters.held = 0
	}
	for key, tracked := range steering.flows {
		switch {
		case now-tracked.lastSeen > max(steering.table.IdleTimeout, _minIdleTimeout),
			tracked.halfOpen && now-tracked.openingSent > _openingTimeout:
			steering.removeFlow(now, key)
		case tracked.pending && now-tracked.requestedAt > steering.requestTimeout(key):
			tracked.pending = false
			steering.countersOf(tracked.cookie, now).endRequest(now)
			steering.inProgress--
		}
		steering.countIfActive(now, key, tracked)
	}
}

// requestTimeout returns how long a client waits for an answer.
func (steering *Steering) requestTimeout(key packet.Flow) time.Duration {
	if configured, ok := steering.table.Routes[key.Service]; ok {
		return configured.Timeout
	}
	return _defaultRequestTimeout
}
