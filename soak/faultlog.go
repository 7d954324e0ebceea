package soak

import (
	"sync"
	"time"

	"azureshift/core/id"
)

// faultLog records when faults and planned work affected backend servers, the store and instances.
type faultLog struct {
	mu      sync.Mutex
	servers map[string][]interval
	// drainedAt holds when the drain of a server was acknowledged, which counts only if the store was undisturbed.
	drainedAt map[string]time.Time
	// instances holds the disturbances of any instance, pauses those in which it was paused, store those of the whole
	// store.
	instances []interval
	pauses    []interval
	store     []interval
	// evacuations holds when each failure domain was evacuated.
	evacuations map[id.Domain][]interval
}

// interval is the time between the begin and end of a disturbance. The end is zero while it lasts.
type interval struct{ begin, end time.Time }

func newFaultLog() *faultLog {
	return &faultLog{
		servers: make(map[string][]interval), drainedAt: make(map[string]time.Time),
		evacuations: make(map[id.Domain][]interval),
	}
}

// disturbServer records the start of a disturbance of a server and returns a function that records its end.
func (faultLog *faultLog) disturbServer(server string) func() {
	faultLog.mu.Lock()
	defer faultLog.mu.Unlock()
	index := len(faultLog.servers[server])
	faultLog.servers[server] = append(faultLog.servers[server], interval{begin: time.Now()})
	return func() {
		faultLog.mu.Lock()
		defer faultLog.mu.Unlock()
		faultLog.servers[server][index].end = time.Now()
	}
}

// disturbStore records the start of a disturbance of the store and returns a function that records its end.
func (faultLog *faultLog) disturbStore() func() { return faultLog.begin(&faultLog.store) }

// disturbInstance records the start of a disturbance of an instance and returns a function that records its end.
func (faultLog *faultLog) disturbInstance() func() { return faultLog.begin(&faultLog.instances) }

// pauseInstance records the start of a pause of an instance and returns a function that records its end.
func (faultLog *faultLog) pauseInstance() func() { return faultLog.begin(&faultLog.pauses) }

func (faultLog *faultLog) begin(intervals *[]interval) func() {
	faultLog.mu.Lock()
	defer faultLog.mu.Unlock()
	index := len(*intervals)
	*intervals = append(*intervals, interval{begin: time.Now()})
	return func() {
		faultLog.mu.Lock()
		defer faultLog.mu.Unlock()
		(*intervals)[index].end = time.Now()
	}
}

// undisturbed reports whether no interval overlaps the time from since to until.
func undisturbed(intervals []interval, since, until time.Time) bool {
	for _, interval := range intervals {
		if interval.begin.Before(until) && (interval.end.IsZero() || interval.end.After(since)) {
			return false
		}
	}
	return true
}
