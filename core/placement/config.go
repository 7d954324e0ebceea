// Package placement decides which target each flow stands on and which entry instance handles it.
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

// Config is what a State is made from.
type Config struct {
	Self id.Member
	// IdleSpan is how long a flow may be silent; it spans a few refresh periods of a feed.
	IdleSpan time.Duration
	// RoutingDelay is how long an instance that returns or joins is not routed to, so that the state
	// of its partitions can reach it.
	RoutingDelay time.Duration
	// StartupPeriod is how long after its first event an instance takes the others to be its elders.
	StartupPeriod time.Duration
	// SlowStart is how long a target that is new or back takes a rising share of new flows.
	SlowStart time.Duration
	// RetryInterval is how long a message goes unacknowledged before it is repeated.
	RetryInterval time.Duration
	// BytesPerSecond paces the messages that nothing waits for, after a burst of BurstBytes.
	BytesPerSecond int
	BurstBytes     int
	// Without switches protective mechanisms off, to show what each is for.
	Without Without
}

// Without names protective mechanisms that are switched off.
type Without struct {
	// Filter places flows by the new home alone after a change of the bundle.
	Filter bool
	// Announce uses a new home before the runner-up knows which flows stay at the previous.
	Announce bool
	// Record places flows off their home without a record at the runner-up.
	Record bool
	// Hold routes to instances that return or join at once and without asking for their state.
	Hold bool
}

func (config Config) withDefaults() Config {
	setDefault(&config.IdleSpan, _defaultIdleTimeout)
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
