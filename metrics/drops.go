package metrics

import (
	"github.com/uber-go/tally/v4"
)

// Side is where a dropped datagram came from.
type Side string

const (
	// SideFabric stands for the callers.
	SideFabric Side = "Fabric"
	// SideBackend stands for the targets.
	SideBackend Side = "Backend"
	// SidePeer stands for other entry instances.
	SidePeer Side = "Peer"
)

type dropKey struct {
	side   Side
	reason string
}

// Drops returns the counter of datagrams from a side that are dropped for a reason. It takes a lock, so call it once
// and keep the counter.
func (metrics *Metrics) Drops(side Side, reason string) tally.Counter {
	metrics.mu.Lock()
	defer metrics.mu.Unlock()
	key := dropKey{side: side, reason: reason}
	if found, ok := metrics.drops[key]; ok {
		return found
	}
	tags := map[string]string{_labelAt: string(side), _labelReason: reason}
	added := metrics.scope.Tagged(tags).Counter("drops_total")
	metrics.drops[key] = added
	return added
}

// Violation counts a violated guarantee by its name. It looks the counter up under a lock, as violations are rare.
func (metrics *Metrics) Violation(name string) {
	metrics.mu.Lock()
	defer metrics.mu.Unlock()
	found, ok := metrics.violations[name]
	if !ok {
		found = metrics.scope.Tagged(map[string]string{_labelName: name}).Counter("violations_total")
		metrics.violations[name] = found
	}
	found.Inc(1)
}
