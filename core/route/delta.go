package route

import (
	"slices"

	"azureshift/core/packet"
)

// Delta holds the changes that turn one configuration into a later one.
type Delta struct {
	From Version `cbor:"1,keyasint"`
	To   Version `cbor:"2,keyasint"`
	// Upserted holds new and changed routes, and Removed the endpoints of removed routes.
	Upserted []Route           `cbor:"3,keyasint,omitempty"`
	Removed  []packet.Endpoint `cbor:"4,keyasint,omitempty"`
	// Settings holds all other settings if any of them changed.
	Settings *Config `cbor:"5,keyasint,omitempty"`
}

// Diff returns the delta between two configurations.
func Diff(from, to Config) Delta {
	delta := Delta{From: from.Version, To: to.Version}
	before := indexByEndpoint(from.Routes)
	after := indexByEndpoint(to.Routes)
	for endpoint := range before {
		if _, kept := after[endpoint]; !kept {
			delta.Removed = append(delta.Removed, endpoint)
		}
	}
	for endpoint, position := range after {
		previous, ok := before[endpoint]
		if !ok || !from.Routes[previous].equal(&to.Routes[position]) {
			delta.Upserted = append(delta.Upserted, to.Routes[position])
		}
	}
	slices.SortFunc(delta.Removed, compareEndpoints)
	slices.SortFunc(delta.Upserted, compareRoutes)
	if from.IdleTimeout != to.IdleTimeout || !slices.Equal(from.Services, to.Services) {
		delta.Settings = &Config{Services: to.Services, IdleTimeout: to.IdleTimeout}
	}
	return delta
}

// Size returns the number of routes and services in the delta.
func (delta Delta) Size() int {
	size := len(delta.Upserted) + len(delta.Removed)
	if delta.Settings != nil {
		size += len(delta.Settings.Services)
	}
	return size
}

// Compose returns the composition of both deltas, or false if later does not start where delta ends.
func (delta Delta) Compose(later Delta) (Delta, bool) {
	if delta.To != later.From {
		return Delta{}, false
	}
	composed := Delta{From: delta.From, To: later.To, Settings: later.Settings}
	if composed.Settings == nil {
		composed.Settings = delta.Settings
	}
	composed.Upserted = slices.Clone(later.Upserted)
	composed.Removed = slices.Clone(later.Removed)
	overridden := make(map[packet.Endpoint]bool, later.Size())
	for _, route := range later.Upserted {
		overridden[route.Endpoint] = true
	}
	for _, endpoint := range later.Removed {
		overridden[endpoint] = true
	}
	for _, route := range delta.Upserted {
		if !overridden[route.Endpoint] {
			composed.Upserted = append(composed.Upserted, route)
		}
	}
	for _, endpoint := range delta.Removed {
		if !overridden[endpoint] {
			composed.Removed = append(composed.Removed, endpoint)
		}
	}
	slices.SortFunc(composed.Removed, compareEndpoints)
	slices.SortFunc(composed.Upserted, compareRoutes)
	return composed, true
}

// Apply returns the later configuration, or false if config is not the version that the delta starts from.
func (delta Delta) Apply(config Config) (Config, bool) {
	if config.Version != delta.From {
		return Config{}, false
	}
	changed := make(map[packet.Endpoint]bool, delta.Size())
	for _, endpoint := range delta.Removed {
		changed[endpoint] = true
	}
	for _, route := range delta.Upserted {
		changed[route.Endpoint] = true
	}
	updated := Config{
		Version: delta.To, Services: config.Services, IdleTimeout: config.IdleTimeout, Incomplete: config.Incomplete,
	}
	if delta.Settings != nil {
		updated.Services, updated.IdleTimeout = delta.Settings.Services, delta.Settings.IdleTimeout
	}
	updated.Routes = make([]Route, 0, len(config.Routes)+len(delta.Upserted))
	for _, route := range config.Routes {
		if !changed[route.Endpoint] {
			updated.Routes = append(updated.Routes, route)
		}
	}
	updated.Routes = append(updated.Routes, delta.Upserted...)
	return updated, true
}

// indexByEndpoint returns the position of each endpoint's route; if there are several, that of the last one.
func indexByEndpoint(routes []Route) map[packet.Endpoint]int {
	positions := make(map[packet.Endpoint]int, len(routes))
	for position := range routes {
		positions[routes[position].Endpoint] = position
	}
	return positions
}

func (route *Route) equal(other *Route) bool {
	return route.Endpoint == other.Endpoint && route.Kind == other.Kind && route.Timeout == other.Timeout &&
		route.Objective == other.Objective && route.Priority == other.Priority &&
		slices.Equal(route.Shares, other.Shares)
}

func compareRoutes(left, right Route) int {
	return compareEndpoints(left.Endpoint, right.Endpoint)
}

func compareEndpoints(left, right packet.Endpoint) int {
	if order := slices.Compare(left.Address[:], right.Address[:]); order != 0 {
		return order
	}
	return int(left.Port) - int(right.Port)
}
