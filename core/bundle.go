package core

import (
	"cmp"
	"net/netip"
	"slices"

	"azureshift/bundle"
	"azureshift/core/epoch"
	"azureshift/core/health"
	"azureshift/core/id"
	"azureshift/core/placement"
	"azureshift/core/request"
)

// applyBundle makes a bundle current and updates flows, requests and targets.
func (state *State) applyBundle(next bundle.Bundle) {
	previous, services := state.bundle, state.services
	state.bundle = next
	state.services = indexServices(next)
	state.recordFormerHomes(services)
	state.push(FlowEvent{placement.BundleApplied{At: state.now, Bundle: next}})
	state.forgetRemovedTargets(previous)
	for _, service := range next.Services {
		state.updateRequestTargets(service)
	}
	for _, service := range previous.Services {
		if _, kept := state.services[service.Name]; !kept {
			state.push(RequestEvent{request.TargetsChanged{At: request.At{At: state.now}, Service: service.Name}})
		}
	}
	state.emitWatch()
	state.routesChanged = true
}

// updateRequestTargets sends the targets of a service to the request reducer. Targets that are down are marked as
// draining, so that they get no new requests.
func (state *State) updateRequestTargets(service bundle.Service) {
	targets := make([]request.Target, 0, len(service.Targets))
	for _, target := range service.Targets {
		healthTarget := health.Target{Service: service.Name, Name: target.Name}
		down := state.targets.Condition(healthTarget) == health.ConditionDown
		targets = append(targets, request.Target{
			Name:     target.Name,
			Domain:   target.Domain,
			Slots:    target.Slots,
			Draining: down || !target.AcceptsNewWork(),
		})
	}
	state.push(RequestEvent{request.TargetsChanged{
		At: request.At{At: state.now}, Service: service.Name, Targets: targets,
	}})
}

func (state *State) forgetRemovedTargets(previous bundle.Bundle) {
	kept := make(map[health.Target]bool)
	for _, service := range state.bundle.Services {
		for _, target := range service.Targets {
			kept[health.Target{Service: service.Name, Name: target.Name}] = true
		}
	}
	for _, service := range previous.Services {
		for _, target := range service.Targets {
			if healthTarget := (health.Target{Service: service.Name, Name: target.Name}); !kept[healthTarget] {
				state.push(TargetEvent{health.RemoveTarget{Target: healthTarget}})
			}
		}
	}
}

// routes builds a new routing table for the traffic threads.
func (state *State) routes() *Routes {
	routes := &Routes{
		version:  state.bundle.Version,
		services: make(map[netip.AddrPort]*Service, len(state.bundle.Services)),
		names:    make(map[id.Service]*Service, len(state.bundle.Services)),
		members:  make(map[id.Member]netip.AddrPort, len(state.records)),
	}
	for member, record := range state.records {
		routes.members[member] = record.Address
	}
	unreachable := state.unreachable()
	routes.delegates = state.routingDelegates(unreachable)
	rankings := make(map[id.Domain]epoch.Ranking, len(state.views))
	for domain, view := range state.views {
		rankings[domain] = epoch.NewRanking(view.Members)
	}
	for _, configured := range state.bundle.Services {
		service := state.serviceRoute(configured, rankings, unreachable)
		routes.services[configured.Address] = service
		routes.names[configured.Name] = service
	}
	return routes
}

func (state *State) serviceRoute(
	configured bundle.Service, rankings map[id.Domain]epoch.Ranking, unreachable map[id.Member]bool,
) *Service {
	service := &Service{
		Name:     configured.Name,
		Customer: configured.Customer,
		Address:  configured.Address,
		Domains:  state.services[configured.Name].domainSlots,
		targets:  make(map[id.Target]bundle.Target, len(configured.Targets)),
		owners:   make(map[id.Domain]shardOwner),
	}
	for _, target := range configured.Targets {
		service.targets[target.Name] = target
	}
	service.formerSlots = state.formerSlots(configured.Name)
	for _, domain := range slices.Concat(append(service.formerSlots, service.Domains)...) {
		shard := id.Shard{Service: configured.Name, Domain: domain.Domain}
		service.owners[domain.Domain] = ownerOf(shard, rankings[domain.Domain], unreachable)
	}
	return service
}

// unreachable returns the members that are dead or in a failure domain that is cut off.
func (state *State) unreachable() map[id.Member]bool {
	unreachable := make(map[id.Member]bool, len(state.down))
	for member := range state.down {
		unreachable[member] = true
	}
	for member, record := range state.records {
		if state.cut[record.Domain] {
			unreachable[member] = true
		}
	}
	return unreachable
}

// indexedService is a service of the current bundle with the slots per failure domain, computed once for all requests.
type indexedService struct {
	bundle.Service
	domainSlots []request.DomainSlots
}

func indexServices(current bundle.Bundle) map[id.Service]indexedService {
	services := make(map[id.Service]indexedService, len(current.Services))
	for _, service := range current.Services {
		services[service.Name] = indexedService{Service: service, domainSlots: slotsByDomain(service)}
	}
	return services
}

func compareDomains(left, right id.Domain) int {
	return cmp.Compare(left, right)
}
