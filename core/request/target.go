package request

import (
	"math"
	"slices"
	"time"

	"azureshift/core/id"
)

const (
	_latencyWeight   = 0.1
	_refusalFactor   = 0.7
	_minRefusalPause = 25 * time.Millisecond
	_maxRefusalPause = 2 * time.Second
)

// target is what the shard's owner knows of one backend server.
type target struct {
	name         id.Target
	slots        int
	draining     bool
	inFlight     int
	allowedSlots float64
	latency      time.Duration
	load         float64
	pausedUntil  time.Time
	loan         *loan
}

// pool holds the targets of one service in this failure domain.
type pool struct {
	targets []*target
	holds   []*hold
	// otherDomains are the other failure domains that have targets of the service.
	otherDomains []id.Domain
	latency      time.Duration
	retryBudget  float64
}

func (state *State) pool(service id.Service) *pool {
	found, ok := state.pools[service]
	if !ok {
		found = &pool{retryBudget: state.config.RetryBurst}
		state.pools[service] = found
	}
	return found
}

func (state *State) changeTargets(event TargetsChanged) {
	pool := state.pool(event.Service)
	known := make(map[id.Target]*target, len(pool.targets))
	for _, target := range pool.targets {
		known[target.name] = target
	}
	pool.targets = nil
	pool.otherDomains = nil
	for _, next := range event.Targets {
		if next.Domain != state.config.Domain {
			if !slices.Contains(pool.otherDomains, next.Domain) {
				pool.otherDomains = append(pool.otherDomains, next.Domain)
			}
			continue
		}
		kept, ok := known[next.Name]
		if !ok {
			kept = &target{name: next.Name, allowedSlots: state.config.InitialSlots}
			if len(known) == 0 {
				kept.allowedSlots = float64(next.Slots)
			}
		}
		kept.slots = next.Slots
		kept.draining = next.Draining
		kept.allowedSlots = min(kept.allowedSlots, float64(next.Slots))
		pool.targets = append(pool.targets, kept)
	}
	state.dispatchQueued(state.shard(event.Service))
}

func (state *State) recordLoad(event LoadReported) {
	for _, target := range state.pool(event.Service).targets {
		if target.name == event.Target {
			target.load = event.Load
		}
	}
}

// pick returns the target with the least in-flight requests relative to its allowed slots; among equals
// the one with the lower latency, then the one that reports less load.
func (pool *pool) pick(tried []id.Target, now time.Time) *target {
	var best *target
	for _, candidate := range pool.targets {
		if !candidate.canAdmit(now) || slices.Contains(tried, candidate.name) {
			continue
		}
		if best == nil || candidate.betterThan(best) {
			best = candidate
		}
	}
	return best
}

// hasOther reports whether a target other than the tried ones could take a request now or later.
func (pool *pool) hasOther(tried []id.Target) bool {
	return slices.ContainsFunc(pool.targets, func(target *target) bool {
		return !target.draining && !slices.Contains(tried, target.name)
	})
}

func (target *target) canAdmit(now time.Time) bool {
	if target.draining || now.Before(target.pausedUntil) {
		return false
	}
	return target.inFlight < min(target.slots, max(1, int(target.allowedSlots)))
}

func (target *target) betterThan(other *target) bool {
	left := float64(target.inFlight) * other.allowedSlots
	right := float64(other.inFlight) * target.allowedSlots
	switch {
	case left != right:
		return left < right
	case target.latency != other.latency:
		return target.latency < other.latency
	default:
		return target.load < other.load
	}
}

// capacity returns the number of slots that may be used now.
func (pool *pool) capacity() float64 {
	sum := 0.0
	for _, target := range pool.targets {
		if !target.draining {
			sum += math.Floor(max(1, target.allowedSlots))
		}
	}
	return sum
}

func (pool *pool) recordAnswer(target *target, latency time.Duration, config Config) {
	target.allowedSlots = min(float64(target.slots), target.allowedSlots+config.SlotGrowth/max(1, target.allowedSlots))
	target.latency = movingAverage(target.latency, latency)
	pool.latency = movingAverage(pool.latency, latency)
	pool.retryBudget = min(config.RetryBurst, pool.retryBudget+config.RetriesPerAnswer)
}

func (pool *pool) recordRefusal(target *target, retryAfter time.Duration, now time.Time) {
	target.allowedSlots = max(1, target.allowedSlots*_refusalFactor)
	pause := min(max(retryAfter, _minRefusalPause), _maxRefusalPause)
	target.pausedUntil = now.Add(pause)
}

func movingAverage(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(_latencyWeight*float64(sample-average))
}
