package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/epoch"
	"azureshift/core/id"
)

const (
	_partitionBits = 12
	_partitions    = 1 << _partitionBits
	_noMember      = ^uint16(0)
)

// partitionKey identifies the unit of ownership: the slots of all services whose home target is in the failure domain
// and that hash to the partition.
type partitionKey struct {
	domain    uint16
	partition uint16
}

// pair holds the owner and the runner-up of a partition, by member number.
type pair struct {
	owner    uint16
	runnerUp uint16
}

// ownerSelector finds the owners and runners-up of partitions by rendezvous hashing among admitted members.
type ownerSelector struct {
	state        *State
	rankings     []epoch.Ranking
	domainHashes []uint64
}

// partition returns the partition that the slot hashes to.
func (plan *plan) partition(slot id.Slot) uint16 {
	return uint16(mix(plan.hash^uint64(slot)) >> (64 - _partitionBits))
}

// ownerSelector returns a selector over the members of each failure domain's view that admits accepts.
func (state *State) ownerSelector(admits func(member uint16) bool) ownerSelector {
	ownerSelector := ownerSelector{state: state}
	for _, domain := range state.domains {
		var admitted []id.Member
		for _, listed := range domain.view.Members {
			index, known := state.memberByName[listed.Instance]
			if known && state.members[index].Member == listed && admits(index) {
				admitted = append(admitted, listed)
			}
		}
		ownerSelector.rankings = append(ownerSelector.rankings, epoch.NewRanking(admitted))
		ownerSelector.domainHashes = append(ownerSelector.domainHashes, xxhash.Sum64String(string(domain.name)))
	}
	return ownerSelector
}

// pair returns the owner and the runner-up of the partition. If no member of its failure domain is admitted, the
// members of another domain substitute for them; which domain depends on the partition.
func (ownerSelector ownerSelector) pair(key partitionKey) pair {
	hash := epoch.HashSlot("", id.Slot(key.partition))
	ranking := ownerSelector.rankings[key.domain]
	if len(ranking.Members()) == 0 {
		ranking = ownerSelector.substituteRanking(hash)
	}
	found := ranking.Pair(hash)
	return pair{owner: ownerSelector.memberIndex(found.Owner), runnerUp: ownerSelector.memberIndex(found.RunnerUp)}
}

// substituteRanking picks a failure domain with admitted members by rendezvous hashing.
func (ownerSelector ownerSelector) substituteRanking(hash uint64) epoch.Ranking {
	var best epoch.Ranking
	var bestWeight uint64
	for index, ranking := range ownerSelector.rankings {
		weight := mix(ownerSelector.domainHashes[index] ^ hash)
		if len(ranking.Members()) > 0 && (len(best.Members()) == 0 || weight > bestWeight) {
			best, bestWeight = ranking, weight
		}
	}
	return best
}

// unchanged reports whether the domain's owners are certain to be those computed last. The owners of a domain without
// an admitted member depend on all other domains, so they are always recomputed.
func (ownerSelector ownerSelector) unchanged(index int) bool {
	admitted := ownerSelector.rankings[index].Members()
	return len(admitted) > 0 && slices.Equal(admitted, ownerSelector.state.domains[index].rankedMembers)
}

func (ownerSelector ownerSelector) memberIndex(member id.Member) uint16 {
	if member.Instance == "" {
		return _noMember
	}
	return ownerSelector.state.memberByName[member.Instance]
}
