package entry

import (
	"time"

	"azureshift/core/catalog"
	"azureshift/core/steer"
)

// Limits holds the platform's limits and how flows are placed. They may change while an instance runs.
type Limits struct {
	// Drain is the time within which a leaving backend server must stop getting new flows.
	Drain time.Duration
	// Convergence is the time within which a new configuration must be in force.
	Convergence time.Duration
	// MaxFlowLife is the longest lifetime of a flow.
	MaxFlowLife time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
	// Evacuation is the time within which an evacuated failure domain must stop getting new flows; zero means that it is
	// not bounded.
	Evacuation time.Duration
	// SlowStart bounds the new flows to servers in slow start.
	SlowStart SlowStartLimit
	// Placement says how new flows are admitted and placed.
	Placement steer.Placement
}

// SlowStartLimit bounds the new flows of all instances to one server in slow start: at most Overshoot times the rate
// that its service states and Slack more in any second. It is not bounded if either is zero.
type SlowStartLimit struct {
	Overshoot float64
	Slack     float64
}

// Config holds the identity and the limits of an instance.
type Config struct {
	Self   catalog.Instance
	Limits Limits
	// Seeds are the addresses of instances to fetch the state from if the store does not answer at startup.
	Seeds []Address
	// Random returns a number in [0, 1). It adds jitter so that instances do not call the store at the same moment.
	Random func() float64
}

const (
	// _directReadFraction is the fraction of the strictest limit at which the best ranked relay reads the store itself
	// because the follower's updates are late. Updates from a relay are at most half that old; the rest of the limit
	// covers a slow read. Updates older than this do not count as fresh.
	_directReadFraction = 0.6
	// _maxDirectReadFraction is the fraction of the strictest limit at which even the worst ranked instance reads the
	// store itself.
	_maxDirectReadFraction = 0.75
	// _rankDelay is the delay between the attempts of instances of consecutive ranks to take over a duty.
	_rankDelay = 150 * time.Millisecond
	// _followWaitFraction is the fraction of the strictest limit for which the follower's long poll waits for a change.
	// It is also the interval at which the follower learns that nothing has changed.
	_followWaitFraction = 0.25
	// _openSilenceFraction is the fraction of the strictest limit for which an open connection to the store may be silent.
	// The rest of the limit covers a direct read on a new connection.
	_openSilenceFraction = 1.0 / 6
	// _newSilenceFraction is that fraction for a new connection. The store responds within a few milliseconds, and at
	// times up to a hundred times slower. _pageSilenceFraction is that for a page of a listing, which many instances
	// request at once when all of them start.
	_newSilenceFraction  = 1.0 / 3
	_pageSilenceFraction = 1.0 / 2
	// _readFraction is the fraction of the strictest limit for the whole answer with changes or a configuration. The rest
	// covers another source: a listing or another instance.
	_readFraction = 2.0 / 3
	// _configReadFraction is the fraction of the strictest limit after which an instance that waits for a configuration
	// from the store asks another instance as well.
	_configReadFraction = 1.0 / 4
	// _fetchFraction is the fraction of the strictest limit for a fetch from another instance: a few hundred kilobytes
	// over a link of 10 Mbit/s.
	_fetchFraction = 1.0 / 3
	// _minReadTime keeps very strict limits from failing the calls of a store that is merely slow.
	_minReadTime = 200 * time.Millisecond
	// _registrationSize and _routeSize are the usual sizes in bytes of a registration and a route in an answer of the
	// store.
	_registrationSize = 600
	_routeSize        = 250
	// _minHistorySize is the smallest size in bytes of an answer with changes that is given up for a listing.
	_minHistorySize = 4 << 20
	// _batchFraction is the fraction of the strictest limit for which the follower lets changes accumulate before it
	// polls again. Each call to the store is paid for, and a rolling replacement of servers changes many registrations.
	_batchFraction = 0.07
	// _minFollowWait bounds the rate of the follower's calls if the limits are very strict.
	_minFollowWait = 250 * time.Millisecond
	// _minBackoff and _maxBackoff bound the exponential backoff after a failed call. A store that rejects one instance
	// still counts each of its calls.
	_minBackoff = 200 * time.Millisecond
	_maxBackoff = 2 * time.Second
	// _updateInterval is the longest time between two updates to the receivers below this instance. It is short enough
	// that one lost update does not make them read the store themselves.
	_updateInterval = 500 * time.Millisecond
	// _minRefreshInterval is the shortest time between two updates that only confirm that nothing has changed.
	_minRefreshInterval = 150 * time.Millisecond
	// _remoteInterval is the interval at which a relay that is not the follower sends the loads of its failure domain to
	// other relays. Traffic between failure domains is expensive.
	_remoteInterval = 800 * time.Millisecond
	// _remoteIntervalPerRelay is the amount per other relay by which the interval between updates with loads grows, so
	// that a follower with nine failure domains stays below 17 KB a second.
	_remoteIntervalPerRelay = 250 * time.Millisecond
	// _relayTimeout is how long the best ranked instance waits without hearing a relay before it becomes the relay. It
	// tolerates two lost messages.
	_relayTimeout = 900 * time.Millisecond
	// _maxRelayRankDelay bounds the additional wait of worse ranked instances.
	_maxRelayRankDelay = time.Second
	// _sourceTimeout is how long a follower counts as the source of updates after its last one.
	_sourceTimeout = 1500 * time.Millisecond
	// _initialFollowDelay is how long a new instance waits after its first listing before it follows the store, so that
	// messages of an existing follower can arrive first.
	_initialFollowDelay = 600 * time.Millisecond
	// _helloInterval is the interval at which an instance that receives nothing from a relay reports to those above it.
	_helloInterval = 500 * time.Millisecond
	// _wideHelloPeriod is the time after startup in which an instance that hears no relay also reports to instances that
	// are not above it, as those above may not have read its registration yet.
	_wideHelloPeriod = 10 * time.Second
	// _upstreamTimeout is how long the instance that sends this one its updates may be silent. It tolerates two lost
	// messages.
	_upstreamTimeout = 1200 * time.Millisecond
	// _fanout is the number of instances to which each instance forwards updates. At three messages of about 600 bytes
	// a second to each, an instance stays well below 17 KB a second, and the tree of a failure domain of 222 instances
	// has four levels.
	_fanout = 6
	// _maxReportMessages bounds the number of messages over which one report is spread.
	_maxReportMessages = 3
	// _minFetchInterval is the shortest time between two attempts to fetch the state from another instance.
	_minFetchInterval = 300 * time.Millisecond
	// _seedFetchDelay is how long a new instance waits for the store before it asks a seed, which has less bandwidth than
	// the store. A listing takes half a second over a link of 10 Mbit/s.
	_seedFetchDelay = 600 * time.Millisecond
	// _configReadJitter is the period over which instances that need the whole configuration spread their calls.
	_configReadJitter = 200 * time.Millisecond
	// _deltaHistory is the number of configuration changes kept for instances that lag behind. _maxDeltaSize is the
	// number of routes and services that fit into a message along with changes of servers.
	_deltaHistory = 32
	_maxDeltaSize = 6
	// _leaseTTL is how long the registration of a crashed instance remains. It need not be short, as other instances
	// notice the silence earlier, and each renewal is paid for.
	_leaseTTL = 30 * time.Second
	// _renewDivisor divides the lifetime of a lease into the renewal interval, so that two renewals may fail.
	_renewDivisor = 3
	// _settleTime is how long the store must have worked without a disruption before a missing registration means that
	// its backend server has ended. Servers register again within about two seconds of the store's return.
	_settleTime = 3 * time.Second
	// _reregisterTime is the time in which registrations that lapsed with the store return, which is about two seconds.
	_reregisterTime = 2500 * time.Millisecond
	// _reregisterSpread is the period over which instances spread their new registrations after a restore of the store.
	_reregisterSpread = 2 * time.Second
	// _lateAnswerMargin is how much longer than the requested wait the store may take to answer before this counts as a
	// disruption. It answers within milliseconds; an instance with little processor time adds some tens of them.
	_lateAnswerMargin = 500 * time.Millisecond
	// _minMassLapse is the smallest number of registrations whose simultaneous removal counts as a store disruption.
	_minMassLapse = 3
	// _keepFraction is the fraction of the drain limit for which a server without a registration keeps getting new flows
	// in case it registers again. The rest of the limit is for spreading the removal.
	_keepFraction = 0.8
	// _resumeMargin is the time after the end of a suspension in which messages may have been sent before it.
	_resumeMargin = 300 * time.Millisecond
	// _instanceTimeout is how long another instance may be silent before what it reported is ignored.
	_instanceTimeout = 2500 * time.Millisecond
	// _remoteReceivers is the number of instances that get updates in another failure domain whose relay is unknown.
	_remoteReceivers = 2
	// _changeHistory is the number of store changes kept for instances that lag behind.
	_changeHistory = 512
	// _maxEntries is the number of store changes that fit into one message along with changes of routes.
	_maxEntries = 6
	// _maxProbes is the number of probes of backend servers that may be in progress. Each takes a connection, and
	// registrations may lapse all at once.
	_maxProbes = 32
	// _maxLoads is the number of loads in one message. Full messages keep an instance below 17 KB a second.
	_maxLoads = 44
	// _forgetInterval is the interval at which expired state is purged.
	_forgetInterval = time.Second
	// _isolationTimeout is how long an instance may hear neither the store nor other instances before it asks the
	// platform's routers to prefer others.
	_isolationTimeout = 4 * time.Second
)

// strictest returns the shortest of the limits on how old the state may be: drain, convergence and, if it is bounded,
// evacuation.
func (limits Limits) strictest() time.Duration {
	strictest := min(limits.Drain, limits.Convergence)
	if limits.Evacuation > 0 {
		return min(strictest, limits.Evacuation)
	}
	return strictest
}

func portion(duration time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(duration) * fraction)
}
