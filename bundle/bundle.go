// Package bundle defines the versioned configuration that operators sign off and roll, with its validation,
// signatures and encodings.
package bundle

import (
	"net/netip"

	"azureshift/core/id"
)

// Mode is the administrative state of a target: whether it accepts new work.
type Mode string

const (
	// ModeActive marks a target that accepts new work.
	ModeActive Mode = "Active"
	// ModeDraining marks a target that keeps its flows and accepts no new work.
	ModeDraining Mode = "Draining"
)

// Bundle is one version of the complete configuration.
type Bundle struct {
	Version  id.Version `json:"Version"`
	Services []Service  `json:"Services"`
}

// Service is an address that callers send to, and the targets behind it.
type Service struct {
	Name     id.Service     `json:"Name"`
	Customer id.Customer    `json:"Customer"`
	Address  netip.AddrPort `json:"Address"`
	Targets  []Target       `json:"Targets"`
}

// Target is one backend server of a service.
type Target struct {
	Name        id.Target      `json:"Name"`
	Domain      id.Domain      `json:"Domain"`
	Address     netip.AddrPort `json:"Address"`
	Health      netip.AddrPort `json:"Health"`
	Slots       int            `json:"Slots"`
	Connections int            `json:"Connections"`
	Mode        Mode           `json:"Mode"`
}

// ServiceAt returns the service with the given address, and whether there is one.
func (bundle Bundle) ServiceAt(address netip.AddrPort) (Service, bool) {
	for _, service := range bundle.Services {
		if service.Address == address {
			return service, true
		}
	}
	return Service{}, false
}

// AcceptsNewWork reports whether the target accepts new work.
func (target Target) AcceptsNewWork() bool {
	return target.Mode != ModeDraining
}
