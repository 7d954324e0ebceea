package daemon

import (
	"maps"
	"sync"
	"sync/atomic"

	"azureshift/core/id"
	"azureshift/metrics"
)

// counters holds the counts since the start that the status shows.
type counters struct {
	answered atomic.Uint64
	notRun   atomic.Uint64
	unknown  atomic.Uint64

	mu         sync.Mutex
	counts     map[string]uint64
	violations map[string]uint64
}

func newCounters() *counters {
	return &counters{counts: make(map[string]uint64), violations: make(map[string]uint64)}
}

func (counters *counters) add(name string, amount int) {
	counters.mu.Lock()
	defer counters.mu.Unlock()
	counters.counts[name] += uint64(amount)
}

func (counters *counters) addViolation(promise string) {
	counters.mu.Lock()
	defer counters.mu.Unlock()
	counters.violations[promise]++
}

func (counters *counters) snapshot() (counts, violations map[string]uint64) {
	counters.mu.Lock()
	defer counters.mu.Unlock()
	return maps.Clone(counters.counts), maps.Clone(counters.violations)
}

// drop counts a rejected datagram.
func (daemon *Daemon) drop(side metrics.Side, reason string) {
	daemon.counters.add(string(side)+": "+reason, 1)
	daemon.metrics.Drops(side, reason).Inc(1)
}

type trafficKey struct {
	customer id.Customer
	class    string
}

func (daemon *Daemon) trafficMetrics(customer id.Customer, class string) *metrics.Traffic {
	key := trafficKey{customer: customer, class: class}
	if existing, ok := daemon.traffic.Load(key); ok {
		return existing.(*metrics.Traffic)
	}
	stored, _ := daemon.traffic.LoadOrStore(key, daemon.metrics.Traffic(customer, class))
	return stored.(*metrics.Traffic)
}
