package demo

import (
	"net/netip"
	"sync"

	"azureshift/core/id"
	"azureshift/daemon"
)

// network simulates partitions on the loopback network: failure domains can be isolated.
type network struct {
	mu      sync.RWMutex
	domains map[netip.AddrPort]id.Domain
	cut     map[id.Domain]bool
}

func newNetwork() *network {
	return &network{domains: make(map[netip.AddrPort]id.Domain), cut: make(map[id.Domain]bool)}
}

// assignDomain assigns an address to a failure domain.
func (network *network) assignDomain(address netip.AddrPort, domain id.Domain) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.domains[address] = domain
}

// setCut isolates a failure domain from all others, or reconnects it.
func (network *network) setCut(domain id.Domain, cut bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.cut[domain] = cut
}

// passes reports whether a packet from a domain reaches address. Addresses without a domain, such as the
// fabric's, are always reachable.
func (network *network) passes(from id.Domain, address netip.AddrPort) bool {
	network.mu.RLock()
	defer network.mu.RUnlock()
	destination, placed := network.domains[address]
	if !placed || destination == from {
		return true
	}
	return !network.cut[from] && !network.cut[destination]
}

// gate applies the partitions of a network to the processes of one failure domain.
type gate struct {
	network *network
	domain  id.Domain
}

var _ daemon.NetworkFilter = gate{}

// Allows reports whether a message reaches its destination.
func (gate gate) Allows(destination netip.AddrPort) bool {
	return gate.network.passes(gate.domain, destination)
}
