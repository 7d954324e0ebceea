package requests

import (
	"time"

	"azureshift/core/id"
)

// independentEntry is an entry instance that knows only its own requests and the load that targets report.
type independentEntry struct {
	simulation *simulation
	domain     id.Domain
	inFlight   map[*target]int
}

// _retryBackoff is the mean backoff before a refused job is retried.
const _retryBackoff = 25 * time.Millisecond

func (entry *independentEntry) arrive(job *job) {
	entry.attempt(job, nil)
}

func (entry *independentEntry) attempt(job *job, refused *target) {
	first, second := entry.randomTarget(refused), entry.randomTarget(refused)
	chosen := first
	if entry.load(second) < entry.load(first) {
		chosen = second
	}
	entry.inFlight[chosen]++
	hop := entry.simulation.hopDelay(entry.domain, chosen.domain)
	entry.simulation.clock.after(hop, func() { entry.offer(job, chosen, hop) })
}

func (entry *independentEntry) offer(job *job, chosen *target, hop time.Duration) {
	accepted := chosen.offer(job, func(ran bool) {
		entry.simulation.clock.after(hop, func() {
			entry.inFlight[chosen]--
			entry.simulation.finish(job, outcomeOf(ran))
		})
	})
	if accepted {
		return
	}
	entry.simulation.clock.after(hop, func() {
		entry.inFlight[chosen]--
		wait := time.Duration(entry.simulation.random.ExpFloat64() * float64(_retryBackoff))
		if entry.simulation.clock.now.Add(wait).After(job.deadline) {
			entry.simulation.finish(job, outcomeNotRun)
			return
		}
		entry.simulation.clock.after(wait, func() { entry.attempt(job, chosen) })
	})
}

func outcomeOf(ran bool) outcome {
	if ran {
		return outcomeAnswered
	}
	return outcomeNotRun
}

// randomTarget returns a random target other than the one that has just refused.
func (entry *independentEntry) randomTarget(refused *target) *target {
	for {
		chosen := entry.simulation.targets[entry.simulation.random.Intn(len(entry.simulation.targets))]
		if chosen != refused {
			return chosen
		}
	}
}

// load is the load that the target reports plus the load of this instance's own requests in flight there.
func (entry *independentEntry) load(target *target) float64 {
	return target.reported + float64(entry.inFlight[target])/float64(target.slots)
}
