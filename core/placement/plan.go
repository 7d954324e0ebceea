package placement

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"azureshift/bundle"
	"azureshift/core/flow"
	"azureshift/core/id"
)

const (
	_slotBits             = 12
	_largeServiceSlotBits = 16
	// _largeServiceTargets is the number of targets from which on a service gets _largeServiceSlotBits.
	_largeServiceTargets = 97
	_noTarget            = ^flow.Target(0)
	_noHome              = ^uint16(0)
	_costShift           = 16
)

// plan maps the slots of one service to their home targets. It depends on the bundle alone and is immutable, so that
// snapshots can share it.
type plan struct {
	hash    uint64
	bits    int
	targets []planTarget
	homes   []uint16
}

// planTarget is a target that accepts new work.
type planTarget struct {
	index  flow.Target
	hash   uint64
	weight uint64
}

// newPlan gives every target that accepts new work its share of the slots by weight, to within one slot.
func newPlan(service bundle.Service, index func(id.Target) flow.Target) *plan {
	plan := &plan{hash: xxhash.Sum64String(string(service.Name)), bits: _slotBits}
	if len(service.Targets) >= _largeServiceTargets {
		plan.bits = _largeServiceSlotBits
	}
	ordered := slices.Clone(service.Targets)
	slices.SortFunc(ordered, func(left, right bundle.Target) int { return cmp.Compare(left.Name, right.Name) })
	for _, target := range ordered {
		if !target.AcceptsNewWork() {
			continue
		}
		plan.targets = append(plan.targets, planTarget{
			index:  index(target.Name),
			hash:   xxhash.Sum64String(string(target.Name)),
			weight: uint64(max(1, target.Connections)),
		})
	}
	plan.homes = make([]uint16, 1<<plan.bits)
	plan.assign()
	return plan
}

// slot returns the slot that the flow hashes to.
func (plan *plan) slot(hash id.Flow) id.Slot {
	return id.Slot(hash >> (64 - plan.bits))
}

// homeOf returns the home target of the slot, or _noTarget if no target accepts new work.
func (plan *plan) homeOf(slot id.Slot) flow.Target {
	home := plan.homes[slot]
	if home == _noHome {
		return _noTarget
	}
	return plan.targets[home].index
}

// assign assigns slots to targets by deferred acceptance (Gale-Shapley): each slot proposes to the cheapest target that
// has not rejected it, and a target above its quota rejects its most expensive slots. Both sides rank by the same cost,
// so the result does not depend on the order of proposals, and a change of one target moves few slots.
func (plan *plan) assign() {
	unassigned := make([]int, len(plan.homes))
	for slot := range unassigned {
		unassigned[slot] = slot
		plan.homes[slot] = _noHome
	}
	if len(plan.targets) == 0 {
		return
	}
	quotas := plan.quotas()
	costs := make([]uint64, len(plan.homes))
	accepted := make([][]int, len(plan.targets))
	for len(unassigned) > 0 {
		for _, slot := range unassigned {
			target, cost := plan.cheapestAbove(id.Slot(slot), costs[slot])
			plan.homes[slot], costs[slot] = uint16(target), cost
			accepted[target] = append(accepted[target], slot)
		}
		unassigned = unassigned[:0]
		for target, slots := range accepted {
			if len(slots) <= quotas[target] {
				continue
			}
			slices.SortFunc(slots, func(left, right int) int {
				return cmp.Or(cmp.Compare(costs[left], costs[right]), cmp.Compare(left, right))
			})
			unassigned = append(unassigned, slots[quotas[target]:]...)
			accepted[target] = slots[:quotas[target]]
		}
	}
}

// quotas returns the number of slots of each target in proportion to its weight, by the largest remainder method.
func (plan *plan) quotas() []int {
	total := uint64(0)
	for _, target := range plan.targets {
		total += target.weight
	}
	slots := uint64(len(plan.homes))
	quotas := make([]int, len(plan.targets))
	order := make([]int, len(plan.targets))
	remaining := len(plan.homes)
	for index, target := range plan.targets {
		quotas[index] = int(slots * target.weight / total)
		order[index] = index
		remaining -= quotas[index]
	}
	slices.SortStableFunc(order, func(left, right int) int {
		return cmp.Compare(slots*plan.targets[right].weight%total, slots*plan.targets[left].weight%total)
	})
	for _, index := range order[:remaining] {
		quotas[index]++
	}
	return quotas
}

// cheapestAbove returns the cheapest target for the slot among those whose cost is above the bound, and its cost.
func (plan *plan) cheapestAbove(slot id.Slot, bound uint64) (int, uint64) {
	best, bestCost := 0, ^uint64(0)
	seed := mix(plan.hash + uint64(slot))
	for index, target := range plan.targets {
		cost := target.cost(seed)
		if cost > bound && cost < bestCost {
			best, bestCost = index, cost
		}
	}
	return best, bestCost
}

// rankTargets returns the targets that accept new work in order of ascending cost for the flow.
func (plan *plan) rankTargets(hash id.Flow) []flow.Target {
	seed := mix(plan.hash ^ uint64(hash))
	ordered := slices.Clone(plan.targets)
	slices.SortFunc(ordered, func(left, right planTarget) int {
		return cmp.Or(cmp.Compare(left.cost(seed), right.cost(seed)), cmp.Compare(left.index, right.index))
	})
	targets := make([]flow.Target, len(ordered))
	for index, target := range ordered {
		targets[index] = target.index
	}
	return targets
}

// cost returns an exponentially distributed pseudorandom number divided by the weight (weighted rendezvous hashing):
// each target is the cheapest with a probability in proportion to its weight. It uses integers alone so that all
// machines compute the same.
func (target planTarget) cost(seed uint64) uint64 {
	return invertedLog2(mix(seed^target.hash)) << _costShift / target.weight
}

// invertedLog2 returns an approximation of 64 minus the binary logarithm of value, in fixed point with 40 fractional
// bits. It uses log2(1+x) = x + 0.344x(1-x); 1477468749 is 0.344 in fixed point with 32 fractional bits.
func invertedLog2(value uint64) uint64 {
	value |= 1
	zeros := bits.LeadingZeros64(value)
	fraction := value << zeros << 1 >> 32
	correction := fraction * (1<<32 - fraction) >> 32
	correction = correction * 1477468749 >> 32
	mantissa := (fraction + correction) << 8
	return uint64(zeros+1)<<40 - mantissa
}

// mix scrambles the bits of value with the finalizer of SplitMix64.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
