package entry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// clock measures the time since the start of the process. Unlike CLOCK_BOOTTIME it stops while the machine is
// suspended.
type clock struct {
	started time.Time
	// bootOffset is by how much CLOCK_BOOTTIME was ahead of this clock, in nanoseconds, when the control loop last
	// read it.
	bootOffset *atomic.Int64
}

func newClock() clock {
	created := clock{started: time.Now(), bootOffset: &atomic.Int64{}}
	if offset, ok := created.readBootOffset(); ok {
		created.bootOffset.Store(int64(offset))
	}
	return created
}

func (clock *clock) now() time.Duration {
	return time.Since(clock.started)
}

// suspended returns for how long the machine was suspended since the last call.
func (clock *clock) suspended() time.Duration {
	offset, ok := clock.readBootOffset()
	if !ok {
		return 0
	}
	elapsed := offset - time.Duration(clock.bootOffset.Swap(int64(offset)))
	if elapsed < _minSuspension {
		return 0
	}
	return elapsed
}

// justSuspended reports whether the machine was suspended since the last call of suspended. It is safe for concurrent
// use.
func (clock *clock) justSuspended() bool {
	offset, ok := clock.readBootOffset()
	return ok && offset-time.Duration(clock.bootOffset.Load()) >= _minSuspension
}

// _minSuspension distinguishes a suspension from the time that passes between reading both clocks.
const _minSuspension = 200 * time.Millisecond

// readBootOffset returns by how much CLOCK_BOOTTIME is ahead of this clock, and false if it cannot be read.
func (clock *clock) readBootOffset() (time.Duration, bool) {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, false
	}
	return time.Duration(boot.Nano()) - clock.now(), true
}

func randomFraction() float64 {
	return rand.Float64()
}
