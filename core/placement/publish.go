package placement

import (
	"maps"

	"azureshift/core/id"
)

// snapshot returns a new snapshot, or nil if nothing has changed. It shares unchanged parts with the previous one.
func (state *State) snapshot() *Snapshot {
	if !state.changed.any {
		return nil
	}
	snapshot := &Snapshot{self: _self, fence: state.fence}
	if state.published != nil {
		snapshot.targets = state.published.targets
		snapshot.owners = state.published.owners
		snapshot.members = state.published.members
	}
	snapshot.serviceIndexes = state.serviceIndexes()
	snapshot.services = make([]*serviceView, len(state.services))
	for index, service := range state.services {
		if state.published != nil && index < len(state.published.services) && !service.dirty {
			snapshot.services[index] = state.published.services[index]
			continue
		}
		snapshot.services[index] = service.view()
		service.dirty = false
	}
	snapshot.cutAt = state.cutAt()
	if state.changed.targets || len(snapshot.targets) != len(state.targets) {
		snapshot.targets = state.targetViews()
	}
	if state.changed.owners || len(snapshot.owners) != len(state.domains) {
		snapshot.owners = state.ownerTable()
		snapshot.members = state.memberList()
	}
	state.changed = changes{}
	state.published = snapshot
	return snapshot
}

// serviceIndexes returns the indexes of services by name. Snapshots share the map, which is copied only when services
// were added.
func (state *State) serviceIndexes() map[id.Service]int {
	if state.published != nil && len(state.published.serviceIndexes) == len(state.serviceByName) {
		return state.published.serviceIndexes
	}
	return maps.Clone(state.serviceByName)
}

func (service *service) view() *serviceView {
	view := &serviceView{name: service.name, plan: service.plan}
	if service.plan == nil || len(service.slots) == 0 {
		return view
	}
	view.routeCodes = make([]uint16, len(service.plan.homes))
	for slot, slotState := range service.slots {
		view.routeCodes[slot] = slotState.routeCode
	}
	return view
}

func (state *State) targetViews() []TargetView {
	views := make([]TargetView, len(state.targets))
	for index := range state.targets {
		target := &state.targets[index]
		views[index] = TargetView{
			Service:        target.service,
			TargetIdentity: target.TargetIdentity,
			domain:         target.domain,
			Alive:          target.health != HealthDown,
			Unrestricted:   target.acceptsNew() && target.slowStartSince.IsZero(),
		}
	}
	return views
}

// ownerTable returns the owner of each partition by the same rules as the method owner.
func (state *State) ownerTable() [][]uint16 {
	owners := make([][]uint16, len(state.domains))
	for index, domain := range state.domains {
		owners[index] = make([]uint16, _partitions)
		for partition, pair := range domain.pairs {
			owners[index][partition] = pair.owner
		}
	}
	for key, to := range state.releasedTo {
		owners[key.domain][key.partition] = to
	}
	for key, source := range state.acquiring {
		owners[key.domain][key.partition] = source | _localIfKnownBit
	}
	for key := range state.releaseDeadlines {
		owners[key.domain][key.partition] = _self
	}
	return owners
}

func (state *State) memberList() []id.Member {
	members := make([]id.Member, len(state.members))
	for index, member := range state.members {
		members[index] = member.Member
	}
	return members
}
