package slowstart

import (
	"slices"
	"time"
)

// Period is the length of the sliding window in which flows are counted: the second of the rule, and the longest
// difference in delay between two packets on their way to a server. An instance whose processor share is throttled
// sends a packet up to 100 ms after the decision, and links add some tens of milliseconds.
const Period = time.Second + 200*time.Millisecond

// Window holds the times of the last flows to one server. The zero value has no flows.
type Window struct {
	// times is a ring of the times of the last flows; next is the index of the oldest one, which is replaced next.
	times []time.Duration
	next  int
	count int
}

// Allows reports whether a flow at now leaves at most share flows in every Period.
func (window *Window) Allows(now time.Duration, share int) bool {
	if share <= 0 {
		return false
	}
	if window.count < share {
		return true
	}
	oldest := window.times[(window.next-share+len(window.times))%len(window.times)]
	return now-oldest > Period
}

// Add counts a flow at now. It retains as many flows as a share has.
func (window *Window) Add(now time.Duration, share int) {
	if len(window.times) < share {
		window.grow(share)
	}
	if len(window.times) == 0 {
		return
	}
	window.times[window.next] = now
	window.next = (window.next + 1) % len(window.times)
	window.count = min(window.count+1, len(window.times))
}

// grow makes room for as many flows as a share has, and keeps those that were counted.
func (window *Window) grow(share int) {
	times := make([]time.Duration, share)
	for index := range window.count {
		oldest := window.next - window.count + len(window.times)
		times[index] = window.times[(oldest+index)%len(window.times)]
	}
	window.times, window.next = times, window.count%share
}

// IsEmpty reports whether no flow was counted in the last Period.
func (window *Window) IsEmpty(now time.Duration) bool {
	if window.count == 0 {
		return true
	}
	latest := window.times[(window.next-1+len(window.times))%len(window.times)]
	return now-latest > Period
}

// Clone returns a copy that changes independently.
func (window *Window) Clone() *Window {
	return &Window{times: slices.Clone(window.times), next: window.next, count: window.count}
}
