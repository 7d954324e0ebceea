package core

import (
	"net/netip"

	"azureshift/bundle"
	"azureshift/core/epoch"
	"azureshift/core/id"
	"azureshift/core/request"
)

// Routes is an immutable routing table of services and of the owners of their requests, for traffic threads.
type Routes struct {
	version   id.Version
	services  map[netip.AddrPort]*Service
	names     map[id.Service]*Service
	members   map[id.Member]netip.AddrPort
	delegates []id.Member
}

// Service is the entry of one service in a routing table.
type Service struct {
	Name     id.Service
	Customer id.Customer
	Address  netip.AddrPort
	// Domains holds the slots of the service's targets in each failure domain.
	Domains []request.DomainSlots
	// formerSlots holds the slots before each bundle that moved requests within the move window, the oldest first.
	formerSlots [][]request.DomainSlots
	targets     map[id.Target]bundle.Target
	owners      map[id.Domain]shardOwner
}

// shardOwner is the member that owns the requests of a shard.
type shardOwner struct {
	id.Member
	// reachable is set if the member is neither dead nor cut off.
	reachable bool
}

// Version returns the version of the bundle that the routes were built from.
func (routes *Routes) Version() id.Version {
	return routes.version
}

// Service returns the service with the address.
func (routes *Routes) Service(address netip.AddrPort) (*Service, bool) {
	service, ok := routes.services[address]
	return service, ok
}

// ServiceNamed returns the service with the name.
func (routes *Routes) ServiceNamed(name id.Service) (*Service, bool) {
	service, ok := routes.names[name]
	return service, ok
}

// Address returns the address of a member.
func (routes *Routes) Address(member id.Member) (netip.AddrPort, bool) {
	address, ok := routes.members[member]
	return address, ok
}

// RoutingDelegate returns the member that routes requests that must run at most once while this instance has not run
// long enough to know which requests bundles have moved. There is none once it has, or if all members are as young.
func (routes *Routes) RoutingDelegate(caller netip.AddrPort) (id.Member, bool) {
	if len(routes.delegates) == 0 {
		return id.Member{}, false
	}
	return routes.delegates[int(caller.Port())%len(routes.delegates)], true
}

// Target returns a target of the service.
func (service *Service) Target(name id.Target) (bundle.Target, bool) {
	target, ok := service.targets[name]
	return target, ok
}

// Owner returns the member that owns a request. A request that must run at most once is owned by its home failure
// domain only. An idempotent request falls back to the next failure domain if its home is unreachable.
func (service *Service) Owner(key request.Key, class request.Class) (id.Member, bool) {
	if len(service.Domains) == 0 {
		return id.Member{}, false
	}
	shards := request.RankShards(service.Name, service.Domains, key)
	if class == request.AtMostOnce {
		shards = shards[:1]
		if len(service.formerSlots) > 0 {
			shards[0] = request.HomeShard(service.Name, service.formerSlots[0], key)
		}
	}
	for _, shard := range shards {
		if found := service.owners[shard.Domain]; found.reachable {
			return found.Member, true
		}
	}
	home := service.owners[shards[0].Domain]
	return home.Member, home.Instance != ""
}

// IsUntraceable reports whether bundles have moved a request that must run at most once so often within the move window
// that no single home knows whether it has run.
func (service *Service) IsUntraceable(key request.Key) bool {
	return len(service.formerSlots) >= _maxHomes && len(homeHistory(key, service.formerSlots, service.Domains)) > _maxHomes
}

// CurrentOwner returns the member that owns a request under the current bundle, ignoring its former homes.
func (service *Service) CurrentOwner(key request.Key) (id.Member, bool) {
	if len(service.Domains) == 0 {
		return id.Member{}, false
	}
	found := service.owners[request.HomeShard(service.Name, service.Domains, key).Domain]
	return found.Member, found.Instance != ""
}

// ownerOf returns the owner of a shard, or its runner-up if the owner is down and the runner-up is not.
func ownerOf(shard id.Shard, members epoch.Ranking, down map[id.Member]bool) shardOwner {
	pair := members.Pair(epoch.HashShard(shard))
	if down[pair.Owner] && pair.RunnerUp.Instance != "" && !down[pair.RunnerUp] {
		return shardOwner{Member: pair.RunnerUp, reachable: true}
	}
	return shardOwner{Member: pair.Owner, reachable: pair.Owner.Instance != "" && !down[pair.Owner]}
}
