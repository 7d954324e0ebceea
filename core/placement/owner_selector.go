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

// partitionKey names what is owned as a whole: the slots of all services whose home target is in
// the failure domain and that fall in the partition.
type partitionKey struct {
	domain    uint16
	partition uint16
}

// pair is the owner and the runner-up of a partition, by member number.
type pair struct {
	owner    uint16
	runnerUp uint16
}

// ownerSelector finds owner and runner-up among the members that a predicate admits.
type ownerSelector struct {
	state        *State
	rankings     []epoch.Ranking
	domainHashes []uint64
}

// partition returns the partition that the slot falls in.
func (plan *plan) partition(slot id.Slot) uint16 {
	return uint16(mix(plan.hash^uint64(slot)) >> (64 - _partitionBits))
}

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

// pair returns owner and runner-up of the partition. If none of the failure domain's members is
// admitted, those of another domain stand in, which domain follows from the partition.
func (ownerSelector ownerSelector) pair(key partitionKey) pair {
	hash := epoch.HashSlot("", id.Slot(key.partition))
	ranking := ownerSelector.rankings[key.domain]
	if len(ranking.Members()) == 0 {
		ranking = ownerSelector.substituteRanking(hash)
	}
	found := ranking.Pair(hash)
	return pair{owner: ownerSelector.memberIndex(found.Owner), runnerUp: ownerSelector.memberIndex(found.RunnerUp)}
}

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

// unchanged reports whether the domain's owners are still those of its last election. Those of a domain
// without an admitted member depend on all others.
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
