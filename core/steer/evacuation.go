package steer

import (
	"azureshift/core/id"
	"azureshift/core/route"
)

// noteEvacuated records that a service has a server that gets no new flows only because it is evacuated.
func (table *Table) noteEvacuated(service id.Service) {
	if table.evacuatedServices == nil {
		table.evacuatedServices = make(map[id.Service]bool)
	}
	table.evacuatedServices[service] = true
}

// refuseWithoutServers decides on a new flow of a route whose services have no server that takes it. It is refused at
// once if that is the operator's request. It is dropped, for the client to send again, if servers may be registering.
func (table *Table) refuseWithoutServers(configured *route.Route) Decision {
	for _, share := range configured.Shares {
		if share.Weight > 0 && table.evacuatedServices[share.Service] {
			return Decision{Action: Reset, Reason: Evacuated}
		}
	}
	if !table.AllRegistered {
		return Decision{Action: Drop, Reason: NoServer}
	}
	return Decision{Action: Reset, Reason: NoServer}
}
