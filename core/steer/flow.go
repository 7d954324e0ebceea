package steer

import (
	"time"

	"azureshift/core/packet"
)

// flow is this instance's state of one flow.
type flow struct {
	cookie packet.Cookie
	// initialSequence is the sequence number of the opening packet.
	initialSequence uint32
	// openingSent is when the opening packet was last forwarded.
	openingSent time.Duration
	lastSeen    time.Duration
	// sentEnd is the sequence number after the last byte that the client sent, and acked the next one that it expects.
	sentEnd uint32
	acked   uint32
	// halfOpen says that only the opening packet was seen.
	halfOpen bool
	// pending says that the first byte of the answer to a request is outstanding.
	pending bool
	// requestedAt is when the pending request was sent, and retransmitted says that the client sent it again.
	requestedAt   time.Duration
	retransmitted bool
	// requests is the number of requests that the client sent, up to 255.
	requests uint8
}

// sequenceAfter reports whether sequence number left comes after right, allowing for wraparound at 2^32.
func sequenceAfter(left, right uint32) bool {
	return int32(left-right) > 0
}

// counters holds what this instance counted for one backend server.
type counters struct {
	// pending is the number of requests whose answer has not begun, and halfOpen the number of flows of which only the
	// opening packet was seen.
	pending  int
	halfOpen int
	// reportedInProgress is the average number of requests in progress in the last report.
	reportedInProgress float64
	// pendingTime is the sum over all requests of the time that they were pending, up to updatedAt.
	pendingTime time.Duration
	updatedAt   time.Duration
	// opened is the number of flows opened since the last report. recentlyOpened is the number of flows opened in
	// the last _openedTimeConstant.
	opened         int
	recentlyOpened decayingCount
	// refused is the number of flows refused since the last report that would have gone to this server.
	refused int
	// held is the number of persistent flows that clients used when flows were last counted, or opened since.
	held int
	// answers is the number of answers since the last report, and latencySum the sum of their latencies.
	answers    int
	latencySum time.Duration
	// logarithms is the sum of the logarithms of the latencies, in nanoseconds, of logarithmCount answers since the last
	// report.
	logarithms     float64
	logarithmCount int
	// answeredAt is when the server last answered.
	answeredAt time.Duration
	// retransmissions is the number of retransmissions since the last answer, and firstRetransmission the time of the
	// first of them.
	retransmissions     int
	firstRetransmission time.Duration
}

// accumulate adds the time since the last update to pendingTime, once for each pending request.
func (counters *counters) accumulate(now time.Duration) {
	if now > counters.updatedAt {
		counters.pendingTime += time.Duration(counters.pending) * (now - counters.updatedAt)
		counters.updatedAt = now
	}
}

func (counters *counters) beginRequest(now time.Duration) {
	counters.accumulate(now)
	counters.pending++
}

func (counters *counters) endRequest(now time.Duration) {
	counters.accumulate(now)
	if counters.pending > 0 {
		counters.pending--
	}
}

func (counters *counters) recordAnswer(now time.Duration) {
	counters.answeredAt = now
	counters.retransmissions = 0
}

func (counters *counters) recordRetransmission(now time.Duration) {
	if counters.retransmissions == 0 {
		counters.firstRetransmission = now
	}
	counters.retransmissions++
}

// recordOpened counts an opened flow.
func (counters *counters) recordOpened(now time.Duration) {
	counters.recentlyOpened.increment(now, _openedTimeConstant)
	counters.opened++
}

// _openedTimeConstant is the time constant of recentlyOpened: the time until the reports of all instances show the
// effect of new flows.
const _openedTimeConstant = time.Second
