package settings

import (
	"net/netip"
	"time"

	"azureshift/core/id"
)

const (
	_defaultTimeout         = 2 * time.Second
	_defaultWatch           = time.Minute
	_defaultFlowIdle        = 3 * time.Minute
	_defaultRequestDeadline = 30 * time.Second
	_defaultRetention       = 247 * time.Second // EXCHANGE_LIFETIME of RFC 7252.
	_defaultStopLimit       = time.Minute
	_defaultFlows           = 400_000
	_defaultRequests        = 20_000
	_defaultLevel           = "info"
)

// Default returns settings with only the defaults set.
func Default() Settings {
	return Settings{}.withDefaults()
}

// withDefaults sets every zero field that has a default to it.
func (settings Settings) withDefaults() Settings {
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	setDefault(&settings.Region, id.Region(settings.Domain))
	setDefault(&settings.Peer.Listen, loopback)
	setDefault(&settings.Platform.Timeout, Duration(_defaultTimeout))
	setDefault(&settings.Platform.Watch, Duration(_defaultWatch))
	setDefault(&settings.Operator.Listen, loopback)
	setDefault(&settings.Limits.FlowIdle, Duration(_defaultFlowIdle))
	setDefault(&settings.Limits.RequestDeadline, Duration(_defaultRequestDeadline))
	setDefault(&settings.Limits.Retention, Duration(_defaultRetention))
	setDefault(&settings.Limits.StopLimit, Duration(_defaultStopLimit))
	setDefault(&settings.Limits.Flows, _defaultFlows)
	setDefault(&settings.Limits.Requests, _defaultRequests)
	setDefault(&settings.Log.Level, _defaultLevel)
	setDefault(&settings.Log.Format, FormatText)
	return settings
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
