package steer

import (
	"time"

	"azureshift/core/packet"
)

// _habitKnown is the time from the first flow of a kind on after which the number of answers for each flow tells
// whether clients reuse flows: most have sent a few requests by then.
const _habitKnown = 6 * time.Second

// _heldPeriod is the time since its last packet for which a long-lived flow counts as held. Of users with half a
// request a second, 2 % pause for longer. A flow whose packets go to another instance counts twice for so long.
const _heldPeriod = 8 * time.Second

// habits holds what tells long-lived flows from others while few requests have been seen.
type habits struct {
	// closed is the number of flows that clients closed after one answer; it decays as slowly as the opened flows.
	closed float64
	// seenSince is when the first flow was opened, or zero.
	seenSince time.Duration
}

func (habits *habits) noteOpened(now time.Duration) {
	if habits.seenSince == 0 {
		habits.seenSince = max(now, 1)
	}
}

// longLived reports whether flows are expected to carry many requests. In the first seconds, in which every flow has
// carried about one request, it rests on the flows that clients closed. It answers the start of a service or of an
// instance, when most long-lived flows open.
func (counts *demandCounts) longLived(now time.Duration) bool {
	if now-counts.seenSince < _habitKnown || counts.seenSince == 0 {
		return counts.closed <= _minReusedShare*counts.opened
	}
	return counts.persistent()
}

// countClosed counts a flow that its client closes after one answer.
func (steering *Steering) countClosed(now time.Duration, header packet.Header) {
	tracked, ok := steering.flows[header.Flow]
	if !ok || tracked.pending || tracked.requests != 1 {
		return
	}
	if demand, configured := steering.demandFor(header); demand != nil {
		demand.counts(now, configured).closed++
	}
}

// countIfHeld counts a flow that its client uses, if it is long-lived. A flow without requests is none: the last packet
// of a closed flow seems to begin one.
func (steering *Steering) countIfHeld(now time.Duration, header packet.Header, tracked *flow) {
	if tracked.requests == 0 || tracked.halfOpen || now-tracked.lastSeen > _heldPeriod {
		return
	}
	if demand, configured := steering.demandFor(header); demand != nil && demand.counts(now, configured).longLived(now) {
		steering.countersOf(tracked.cookie, now).held++
	}
}

// singlePerLongLived returns the ratio of answers on flows with one request each to those on long-lived flows, or zero
// if there are none of the latter.
func (demand *demand) singlePerLongLived(now time.Duration) float64 {
	demand.decay(now)
	single, longLived := 0.0, 0.0
	for level := range demand.byLevel {
		for kind := range demand.byLevel[level] {
			counts := &demand.byLevel[level][kind]
			if counts.longLived(now) {
				longLived += counts.answered
			} else {
				single += counts.answered
			}
		}
	}
	if longLived == 0 {
		return 0
	}
	return single / longLived
}
