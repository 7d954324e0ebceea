package epoch

import (
	"github.com/cespare/xxhash/v2"

	"azureshift/core/id"
)

// Ranking finds owner and runner-up of many hashes among the same members. It caches the hashes of the members' names.
type Ranking struct {
	members    []id.Member
	nameHashes []uint64
}

// NewRanking returns the ranking of a list of members.
func NewRanking(members []id.Member) Ranking {
	ranking := Ranking{members: members, nameHashes: make([]uint64, 0, len(members))}
	for _, member := range members {
		ranking.nameHashes = append(ranking.nameHashes, xxhash.Sum64String(string(member.Instance)))
	}
	return ranking
}

// Members returns the members that are ranked.
func (ranking Ranking) Members() []id.Member {
	return ranking.members
}

// Pair returns what View.Pair returns for a view of these members.
func (ranking Ranking) Pair(hash uint64) Pair {
	var pair Pair
	var ownerWeight, runnerUpWeight uint64
	for index, member := range ranking.members {
		memberWeight := mix(ranking.nameHashes[index] ^ hash)
		switch {
		case pair.Owner.Instance == "" || ranksAbove(member, memberWeight, pair.Owner, ownerWeight):
			pair.RunnerUp, runnerUpWeight = pair.Owner, ownerWeight
			pair.Owner, ownerWeight = member, memberWeight
		case pair.RunnerUp.Instance == "" || ranksAbove(member, memberWeight, pair.RunnerUp, runnerUpWeight):
			pair.RunnerUp, runnerUpWeight = member, memberWeight
		}
	}
	return pair
}
