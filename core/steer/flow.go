package steer

import (
	"math"
	"time"

	"azureshift/core/packet"
)

// flow is what an instance has seen of one flow.
type flow struct {
	cookie packet.Cookie
	// attempt is the sequence number of the opening packet.
	attempt uint32
	// offered is when the opening packet was last forwarded.
	offered time.Duration
	seen    time.Duration
	// sent is the number after the last byte of data that the client sent, and acked the next one that it expects.
	sent  uint32
	acked uint32
	// opening says that only the opening packet was seen.
	opening bool
	// waiting says that a request is without the first byte of its answer.
	waiting bool
	// asked is when the request was sent, and repeated when it was last repeated.
	asked    time.Duration
	repeated bool
}

// after reports whether sequence number left comes after right, across the wrap at 2^32.
func after(left, right uint32) bool {
	return int32(left-right) > 0
}

// load counts what one instance saw of one backend server.
type load struct {
	// waiting is the number of requests without the first byte of their answer, and opening the number of opening
	// packets that nothing has followed yet.
	waiting int
	opening int
	// reported is the average number of requests in progress that was last reported.
	reported float64
	// busy is the time that requests have waited, up to changed.
	busy    time.Duration
	changed time.Duration
	// placed is the number of flows opened since the last report, and lately those of about the last second, as of
	// placedAt.
	placed   int
	lately   float64
	placedAt time.Duration
	// refused is the number of flows since the last report that were refused and would have gone to the server.
	refused int
	// answers is the number of answers since the last report, with the sum of their latencies.
	answers int
	latency time.Duration
	// progressed is when the server last answered anything.
	progressed time.Duration
	// stalls is the number of repetitions since the last progress, the first of them at stalled.
	stalls  int
	stalled time.Duration
}

// account adds the time since the last change to the sum of waits.
func (load *load) account(now time.Duration) {
	if now > load.changed {
		load.busy += time.Duration(load.waiting) * (now - load.changed)
		load.changed = now
	}
}

func (load *load) begin(now time.Duration) {
	load.account(now)
	load.waiting++
}

func (load *load) end(now time.Duration) {
	load.account(now)
	if load.waiting > 0 {
		load.waiting--
	}
}

func (load *load) progress(now time.Duration) {
	load.progressed = now
	load.stalls = 0
}

func (load *load) stall(now time.Duration) {
	if load.stalls == 0 {
		load.stalled = now
	}
	load.stalls++
}

// place counts a flow that was opened.
func (load *load) place(now time.Duration) {
	load.lately = load.placedLately(now) + 1
	load.placed++
	load.placedAt = now
}

// placedLately returns the number of flows opened in about the last second; each counts less the older it is.
func (load *load) placedLately(now time.Duration) float64 {
	return load.lately * math.Exp(-(now-load.placedAt).Seconds()/_lately.Seconds())
}

// _lately is the time after which other instances' reports show what new flows do.
const _lately = time.Second
