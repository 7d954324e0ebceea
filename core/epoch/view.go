// Package epoch maintains the agreed member list of a failure domain, the view, and derives from it which member owns
// what.
package epoch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/id"
)

const _mixMultiplier = 0x9e3779b97f4a7c15

// View is the agreed member list of one failure domain. A view with a greater number replaces one with
// a smaller number; two views of one domain with the same number are equal.
type View struct {
	Domain  id.Domain   `cbor:"1,keyasint" json:"Domain"`
	Number  id.Epoch    `cbor:"2,keyasint" json:"Number"`
	Members []id.Member `cbor:"3,keyasint" json:"Members"`
}

// Pair is the owner of a shard or slot and its runner-up, which takes over if the owner is lost.
type Pair struct {
	Owner    id.Member
	RunnerUp id.Member
}

// Order returns the members by descending rendezvous weight for hash: the owner, the runner-up and then
// the others.
func (view View) Order(hash uint64) []id.Member {
	ordered := slices.Clone(view.Members)
	slices.SortFunc(ordered, func(left, right id.Member) int {
		byWeight := cmp.Compare(weight(right, hash), weight(left, hash))
		return cmp.Or(byWeight, cmp.Compare(left.Instance, right.Instance))
	})
	return ordered
}

// Pair returns owner and runner-up for hash. With one member the runner-up is empty; without
// members both are.
func (view View) Pair(hash uint64) Pair {
	return NewRanking(view.Members).Pair(hash)
}

// Has reports whether the instance is a member with the same incarnation.
func (view View) Has(member id.Member) bool {
	return slices.Contains(view.Members, member)
}

// Majority returns the smallest number of members that is more than half of the view.
func (view View) Majority() int {
	return len(view.Members)/2 + 1
}

// HashShard returns the hash that determines the owner of a shard.
func HashShard(shard id.Shard) uint64 {
	return mix(xxhash.Sum64String(string(shard.Service)) ^ mix(xxhash.Sum64String(string(shard.Domain))))
}

// HashSlot returns the hash that determines the owner of a slot of a service.
func HashSlot(service id.Service, slot id.Slot) uint64 {
	return mix(xxhash.Sum64String(string(service)) + uint64(slot))
}

// ranksAbove reports whether left comes before right in the order of View.Order.
func ranksAbove(left id.Member, leftWeight uint64, right id.Member, rightWeight uint64) bool {
	if leftWeight != rightWeight {
		return leftWeight > rightWeight
	}
	return left.Instance < right.Instance
}

// weight returns the rendezvous weight of a member. It depends on the instance's name alone, so that a
// restarted instance gets back what it owned.
func weight(member id.Member, hash uint64) uint64 {
	return mix(xxhash.Sum64String(string(member.Instance)) ^ hash)
}

// mix scrambles the bits of a hash.
func mix(value uint64) uint64 {
	value *= _mixMultiplier
	value ^= value >> 32
	value *= _mixMultiplier
	return value ^ value>>29
}
