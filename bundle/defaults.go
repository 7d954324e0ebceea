package bundle

const (
	// DefaultSlots is the number of requests that a target runs concurrently if the bundle does not set it.
	DefaultSlots = 1
	// DefaultConnections is the maximum number of flows of a target if the bundle does not set it.
	DefaultConnections = 4096
)

// WithDefaults returns a copy of the bundle in which missing optional fields have their defaults.
func (bundle Bundle) WithDefaults() Bundle {
	services := make([]Service, 0, len(bundle.Services))
	for _, service := range bundle.Services {
		services = append(services, service.withDefaults())
	}
	bundle.Services = services
	return bundle
}

func (service Service) withDefaults() Service {
	targets := make([]Target, 0, len(service.Targets))
	for _, target := range service.Targets {
		targets = append(targets, target.withDefaults())
	}
	service.Targets = targets
	return service
}

func (target Target) withDefaults() Target {
	if !target.Health.IsValid() {
		target.Health = target.Address
	}
	if target.Slots == 0 {
		target.Slots = DefaultSlots
	}
	if target.Connections == 0 {
		target.Connections = DefaultConnections
	}
	if target.Mode == "" {
		target.Mode = ModeActive
	}
	return target
}
