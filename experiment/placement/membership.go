package placement

import (
	"slices"
	"time"

	"azureshift/core/epoch"
	"azureshift/core/id"
	"azureshift/core/placement"
)

// InstanceLost lets the failure detectors of the other nodes report the instance as down, and removes it from
// the agreed view after a delay.
func (slotOwners *slotOwners) InstanceLost(lost int) {
	slotOwners.announceMember(lost, false)
	slotOwners.after(_viewChangeDelay, func() { slotOwners.removeMember(lost) })
}

// InstanceJoined adds a node for the instance and publishes the view that contains it.
func (slotOwners *slotOwners) InstanceJoined(joined int) {
	domain := slotOwners.instances[joined].domain
	slotOwners.views[domain] = withMember(slotOwners.views[domain], slotOwners.instances[joined].member)
	node := slotOwners.addNode(joined)
	node.learnMembership()
	slotOwners.announceMember(joined, true)
	slotOwners.disseminateView(slotOwners.views[domain])
}

// InstanceLeaving starts the planned stop of an instance and removes it from the view.
func (slotOwners *slotOwners) InstanceLeaving(leaving int) {
	node := slotOwners.nodes[leaving]
	node.reduce(placement.Leave{At: slotOwners.now})
	slotOwners.removeMember(leaving)
}

// stopNode ends a node that has left, once the fabric no longer sends it datagrams.
func (slotOwners *slotOwners) stopNode(node *node) {
	slotOwners.instances[node.index].alive = false
	slotOwners.instances[node.index].receivesTraffic = false
	slotOwners.announceMember(node.index, false)
}

// announceMember makes every other node observe, after its own delay, that a member is up or down.
func (slotOwners *slotOwners) announceMember(index int, up bool) {
	member := slotOwners.instances[index].member
	for _, node := range slotOwners.nodes {
		if node.index != index {
			node.memberChanged(member, up)
		}
	}
}

func (node *node) memberChanged(member id.Member, up bool) {
	node.schedule(node.slotOwners.jitter(_minDetection, _maxDetection), func(at time.Time) placement.Event {
		if up {
			return placement.MemberUp{At: at, Member: member}
		}
		return placement.MemberDown{At: at, Member: member}
	})
}

func (slotOwners *slotOwners) removeMember(index int) {
	instance := slotOwners.instances[index]
	view := slotOwners.views[instance.domain]
	members := slices.DeleteFunc(slices.Clone(view.Members), func(member id.Member) bool {
		return member == instance.member
	})
	slotOwners.views[instance.domain] = epoch.View{Domain: view.Domain, Number: view.Number + 1, Members: members}
	slotOwners.disseminateView(slotOwners.views[instance.domain])
}

func withMember(view epoch.View, member id.Member) epoch.View {
	return epoch.View{Domain: view.Domain, Number: view.Number + 1, Members: append(slices.Clone(view.Members), member)}
}

// disseminateView delivers a view to every node after a random delay.
func (slotOwners *slotOwners) disseminateView(view epoch.View) {
	for _, node := range slotOwners.nodes {
		node.schedule(slotOwners.jitter(0, _maxViewDelay), func(at time.Time) placement.Event {
			return placement.ViewChanged{At: at, View: view}
		})
	}
}

// PartitionChanged makes every node observe the members and targets across the partition as down or up.
func (slotOwners *slotOwners) PartitionChanged(partitioned bool) {
	for _, node := range slotOwners.nodes {
		domain := slotOwners.instances[node.index].domain
		for _, other := range slotOwners.instances {
			if other.alive && !slotOwners.reachable(domain, other.domain) {
				node.memberChanged(other.member, !partitioned)
			}
		}
		for _, target := range slotOwners.unreachableTargets(domain) {
			node.targetChanged(target, !partitioned)
		}
	}
}
