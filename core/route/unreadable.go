package route

import (
	"slices"

	"azureshift/core/id"
	"azureshift/core/packet"
)

// Unreadable names the parts of a configuration that could not be understood. They are left out of it.
type Unreadable struct {
	Routes      []packet.Endpoint
	Services    []id.Service
	IdleTimeout bool
}

// KeepUnreadable returns the configuration with the parts of the former one in place of those that could not be
// understood. A part that the former configuration lacks stays out.
func (config Config) KeepUnreadable(former Config) Config {
	unreadable := config.Unreadable
	config.Unreadable = Unreadable{}
	for index := range former.Routes {
		kept := &former.Routes[index]
		hasEndpoint := func(route Route) bool { return route.Endpoint == kept.Endpoint }
		if slices.Contains(unreadable.Routes, kept.Endpoint) && !slices.ContainsFunc(config.Routes, hasEndpoint) {
			config.Routes = append(slices.Clip(config.Routes), *kept)
		}
	}
	for _, kept := range former.Services {
		hasName := func(service Service) bool { return service.Name == kept.Name }
		if slices.Contains(unreadable.Services, kept.Name) && !slices.ContainsFunc(config.Services, hasName) {
			config.Services = append(slices.Clip(config.Services), kept)
		}
	}
	if unreadable.IdleTimeout {
		config.IdleTimeout = former.IdleTimeout
	}
	return config
}
