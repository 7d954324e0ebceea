package gossip

import (
	"math/rand/v2"
	"net/netip"

	"azureshift/core/id"
)

// peers holds the members that changes are pushed to, by whether they are in the domain of this instance.
type peers struct {
	sameDomain   group
	otherDomains group
}

// group is a set of members from which a random one can be picked in constant time.
type group struct {
	list  []PeerUp
	index map[id.Instance]int
}

func newPeers() peers {
	return peers{sameDomain: group{index: map[id.Instance]int{}}, otherDomains: group{index: map[id.Instance]int{}}}
}

func (peers *peers) add(peer PeerUp, sameDomain bool) {
	peers.remove(peer.Instance)
	if sameDomain {
		peers.sameDomain.add(peer)
		return
	}
	peers.otherDomains.add(peer)
}

func (peers *peers) remove(instance id.Instance) {
	peers.sameDomain.remove(instance)
	peers.otherDomains.remove(instance)
}

func (group *group) add(peer PeerUp) {
	group.index[peer.Instance] = len(group.list)
	group.list = append(group.list, peer)
}

func (group *group) remove(instance id.Instance) {
	index, known := group.index[instance]
	if !known {
		return
	}
	last := len(group.list) - 1
	group.list[index] = group.list[last]
	group.index[group.list[index].Instance] = index
	group.list = group.list[:last]
	delete(group.index, instance)
}

func (group *group) pick(random *rand.Rand) (netip.AddrPort, bool) {
	if len(group.list) == 0 {
		return netip.AddrPort{}, false
	}
	return group.list[random.IntN(len(group.list))].Address, true
}
