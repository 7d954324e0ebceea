package bundle

import (
	"fmt"
	"net/netip"

	"azureshift/core/id"
)

const (
	// MaxServices is the maximum number of services of a bundle.
	MaxServices = 4096
	// MaxTargets is the maximum number of targets of a bundle.
	MaxTargets = 65536
	// MaxTargetsPerService is the maximum number of targets of a service. It keeps a part within MaxPartSize.
	MaxTargetsPerService = 2048
	// MaxSlots is the maximum number of requests that a target runs concurrently.
	MaxSlots = 1024
	// MaxConnections is the maximum number of flows of a target.
	MaxConnections = 1 << 20
	// MaxNameLength is the maximum length of a name in bytes.
	MaxNameLength = 63
)

// Validate checks a bundle whose defaults are filled in. The returned error is a FaultList with every fault.
func (bundle Bundle) Validate() error {
	var validator validator
	validator.bundle(bundle)
	return validator.err()
}

// validator checks a bundle and records where each name and address was first used.
type validator struct {
	faultCollector
	services  map[id.Service]location
	targets   map[id.Target]location
	addresses map[netip.AddrPort]location
}

func (validator *validator) bundle(bundle Bundle) {
	count := bundle.CountTargets()
	validator.services = make(map[id.Service]location, len(bundle.Services))
	validator.targets = make(map[id.Target]location, count)
	validator.addresses = make(map[netip.AddrPort]location, len(bundle.Services)+count)
	if bundle.Version == 0 {
		validator.add("Version", "is zero or missing", "write the version in force plus one")
	}
	if len(bundle.Services) == 0 {
		validator.add("Services", "is empty", "add at least one service")
	}
	validator.atMost(topLevelField("Services"), len(bundle.Services), MaxServices)
	validator.atMost(topLevelField("Services[].Targets"), count, MaxTargets)
	for index, service := range bundle.Services {
		validator.service(index, service)
	}
}

func (validator *validator) service(index int, service Service) {
	name, address, targets := serviceField(index, "Name"), serviceField(index, "Address"), serviceField(index, "Targets")
	validator.name(name, string(service.Name))
	requireUnique(validator, name, validator.services, service.Name)
	validator.name(serviceField(index, "Customer"), string(service.Customer))
	if validator.address(address, service.Address) {
		requireUnique(validator, address, validator.addresses, service.Address)
	}
	validator.atMost(targets, len(service.Targets), MaxTargetsPerService)
	active := 0
	for number, target := range service.Targets {
		validator.target(location{serviceIndex: index, targetIndex: number}, service.Address, target)
		if target.AcceptsNewWork() {
			active++
		}
	}
	switch {
	case len(service.Targets) == 0:
		validator.fault(targets, "is empty", "add at least one target, or remove the service")
	case active == 0:
		validator.fault(targets, "are all draining", "leave at least one Active, or remove the service")
	}
}

func (validator *validator) fault(location location, problem, remedy string) {
	validator.add(location.String(), problem, remedy)
}

func (validator *validator) atMost(location location, count, limit int) {
	if count > limit {
		validator.fault(location, fmt.Sprintf("has %d entries", count), fmt.Sprintf("keep at most %d", limit))
	}
}

// requireUnique records where the value is first used and adds a fault if it is used again.
func requireUnique[Value comparable](validator *validator, at location, used map[Value]location, value Value) {
	var zero Value
	if value == zero {
		return
	}
	if first, ok := used[value]; ok {
		validator.fault(at, fmt.Sprintf("is %v, which %v already uses", value, first), "make them different")
		return
	}
	used[value] = at
}
