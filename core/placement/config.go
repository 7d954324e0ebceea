// Package placement decides which target each flow is assigned to and which entry instance handles it.
//
// The flows of a service are hashed into slots. The bundle determines each slot's home target; the failure domain of
// the home and the slot's partition determine, by rendezvous hashing of the domain's members, the entry instance that
// owns the slot and the runner-up that replicates its state and takes over if the owner fails. Flows that are not at
// their home are found by a filter per previous home or by an exact record per flow.
//
// State is a reducer: it takes events and returns effects, and runs on one thread. Traffic threads
// read the snapshots that it publishes, through a Datapath.
package placement

import (
	"time"

	"azureshift/core/id"
)

const (
	_defaultIdleTimeout    = 30 * time.Second
	_defaultRoutingDelay   = 3 * time.Second
	_defaultStartupPeriod  = 3 * time.Second
	_defaultSlowStart      = 20 * time.Second
	_defaultRetryInterval  = 50 * time.Millisecond
	_defaultBytesPerSecond = 4000
	_defaultBurstBytes     = 128 << 10
)

// Config configures a State. Durations and sizes that are zero get defaults.
type Config struct {
	Self id.Member
	// IdleTimeout is how long a flow may be silent before it expires: a few refresh periods of a feed.
	IdleTimeout time.Duration
	// RoutingDelay is how long no traffic is routed to an instance that joins or returns, so that the state of its
	// partitions can reach it first.
	RoutingDelay time.Duration
	// StartupPeriod is how long after its first event an instance counts as starting: it assumes that the other instances
	// were running before it and hold the state that it needs.
	StartupPeriod time.Duration
	// SlowStart is how long a target that is new or has recovered gets a rising share of new flows.
	SlowStart time.Duration
	// RetryInterval is how long a message may go unacknowledged before it is first repeated.
	RetryInterval time.Duration
	// BytesPerSecond limits the rate of messages that no flow or instance waits for, after a burst of BurstBytes.
	BytesPerSecond int
	BurstBytes     int
	// Disabled disables protective mechanisms, so that experiments can show the effect of each.
	Disabled Disabled
}

// Disabled selects protective mechanisms to disable.
type Disabled struct {
	// Filter disables filters: after a change of the bundle, flows are placed by the new home alone.
	Filter bool
	// ReplicaWait disables waiting for the runner-up: a new home is used before the runner-up knows which flows stay at
	// the previous one.
	ReplicaWait bool
	// RecordReplication disables replication of exact records: flows are placed off their home without a record at the
	// runner-up.
	RecordReplication bool
	// RoutingDelay disables RoutingDelay: instances that join or return are routed to at once, and no state is requested.
	RoutingDelay bool
}

func (config Config) withDefaults() Config {
	setDefault(&config.IdleTimeout, _defaultIdleTimeout)
	setDefault(&config.RoutingDelay, _defaultRoutingDelay)
	setDefault(&config.StartupPeriod, _defaultStartupPeriod)
	setDefault(&config.SlowStart, _defaultSlowStart)
	setDefault(&config.RetryInterval, _defaultRetryInterval)
	setDefault(&config.BytesPerSecond, _defaultBytesPerSecond)
	setDefault(&config.BurstBytes, _defaultBurstBytes)
	return config
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
