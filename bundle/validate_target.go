package bundle

import (
	"fmt"
	"net/netip"
)

func (validator *validator) target(at location, service netip.AddrPort, target Target) {
	validator.name(at.withField("Name"), string(target.Name))
	requireUnique(validator, at.withField("Name"), validator.targets, target.Name)
	validator.name(at.withField("Domain"), string(target.Domain))
	if validator.address(at.withField("Address"), target.Address) {
		requireUnique(validator, at.withField("Address"), validator.addresses, target.Address)
		validator.addressFamily(at.withField("Address"), service, target.Address)
	}
	if target.Health != target.Address {
		validator.address(at.withField("Health"), target.Health)
	}
	validator.inRange(at.withField("Slots"), target.Slots, MaxSlots)
	validator.inRange(at.withField("Connections"), target.Connections, MaxConnections)
	switch target.Mode {
	case ModeActive, ModeDraining:
	default:
		validator.fault(at.withField("Mode"), fmt.Sprintf("is %q", target.Mode), "write Active or Draining")
	}
}

func (validator *validator) name(at location, name string) {
	if name == "" {
		validator.fault(at, "is missing", "write a name")
		return
	}
	if !ValidName(name) {
		validator.fault(at, fmt.Sprintf("is %q", name),
			fmt.Sprintf("use at most %d letters, digits, dots, hyphens and underscores, a letter or digit first", MaxNameLength))
	}
}

// address reports whether packets can be sent to the address, and adds a fault if not.
func (validator *validator) address(at location, address netip.AddrPort) bool {
	problem := ""
	switch ip := address.Addr(); {
	case !address.IsValid():
		problem = "is missing"
	case address.Port() == 0:
		problem = "has port zero"
	case ip.IsUnspecified() || ip.IsMulticast():
		problem = fmt.Sprintf("is %v, which is not the address of a single host", ip)
	case ip.Is4In6():
		problem = fmt.Sprintf("is %v, an IPv4-mapped IPv6 address", ip)
	case ip.Zone() != "":
		problem = fmt.Sprintf("is %v, which has a zone", ip)
	default:
		return true
	}
	validator.fault(at, problem, `write a host's IP address and port, as in "192.0.2.1:5683"`)
	return false
}

func (validator *validator) addressFamily(at location, service, target netip.AddrPort) {
	if service.IsValid() && service.Addr().Is4() != target.Addr().Is4() {
		validator.fault(at, fmt.Sprintf("is %v, of another address family than the service's %v", target, service),
			"use IPv4 or IPv6 for both")
	}
}

func (validator *validator) inRange(at location, value, limit int) {
	if value < 1 || value > limit {
		validator.fault(at, fmt.Sprintf("is %d", value), fmt.Sprintf("write a number from 1 to %d", limit))
	}
}

// ValidName reports whether the name may be used in a bundle.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for index, char := range []byte(name) {
		letter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9'
		mark := char == '-' || char == '_' || char == '.'
		if !letter && (!mark || index == 0) {
			return false
		}
	}
	return true
}
