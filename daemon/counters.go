package daemon

import (
	"maps"
	"sync"
	"sync/atomic"

	"azureshift/core/id"
	"azureshift/metrics"
)

// counters holds the totals since the process started, as reported in the status.
type counters struct {
	// Outcomes of requests.
	answered atomic.Uint64
	notRun   atomic.Uint64
	unknown  atomic.Uint64

	mu sync.Mutex
	// events counts events by name, such as a drop reason.
	events map[string]uint64
	// violations counts violations by the name of the broken invariant.
	violations map[string]uint64
}

func newCounters() *counters {
	return &counters{events: make(map[string]uint64), violations: make(map[string]uint64)}
}

// add counts events of the given name.
func (counters *counters) add(name string, amount int) {
	counters.mu.Lock()
	defer counters.mu.Unlock()
	counters.events[name] += uint64(amount)
}

func (counters *counters) addViolation(invariant string) {
	counters.mu.Lock()
	defer counters.mu.Unlock()
	counters.violations[invariant]++
}

func (counters *counters) snapshot() (events, violations map[string]uint64) {
	counters.mu.Lock()
	defer counters.mu.Unlock()
	return maps.Clone(counters.events), maps.Clone(counters.violations)
}

// countDrop counts a dropped datagram.
func (daemon *Daemon) countDrop(side metrics.Side, reason string) {
	daemon.counters.add(string(side)+": "+reason, 1)
	daemon.metrics.Drops(side, reason).Inc(1)
}

type trafficKey struct {
	customer id.Customer
	class    string
}

// trafficMetrics returns the metrics of a customer's traffic class, creating them on first use.
func (daemon *Daemon) trafficMetrics(customer id.Customer, class string) *metrics.Traffic {
	key := trafficKey{customer: customer, class: class}
	if existing, ok := daemon.traffic.Load(key); ok {
		return existing.(*metrics.Traffic)
	}
	stored, _ := daemon.traffic.LoadOrStore(key, daemon.metrics.Traffic(customer, class))
	return stored.(*metrics.Traffic)
}
