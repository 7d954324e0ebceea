package catalog

import (
	"net/netip"

	"azureshift/core/id"
	"azureshift/core/store"
)

// Instance is the registration of an entry instance.
type Instance struct {
	Name   id.Instance `cbor:"1,keyasint"`
	Domain id.Domain   `cbor:"2,keyasint"`
	// Address is where it listens for messages from other instances.
	Address netip.AddrPort `cbor:"3,keyasint"`
	// Incarnation tells the runs of the instance apart by their start time.
	Incarnation id.Incarnation `cbor:"4,keyasint"`
	// Capacity is its share of the processor in thousandths of a core.
	Capacity int `cbor:"5,keyasint"`
}

// Lease returns the lease of the registration of an entry instance, and false if it has none.
func (catalog *Catalog) Lease(name id.Instance) (store.Lease, bool) {
	known, ok := catalog.instances[name]
	return known.lease, ok && !known.missing
}

// Instances returns the registered entry instances, sorted by name.
func (catalog *Catalog) Instances() []Instance {
	instances := make([]Instance, 0, len(catalog.instances))
	for _, name := range sortedKeys(catalog.instances) {
		if known := catalog.instances[name]; !known.missing {
			instances = append(instances, known.Instance)
		}
	}
	return instances
}
