package daemon

import (
	"sync"
	"time"

	"azureshift/core"
	"azureshift/core/health"
)

// observations collects the messages that traffic threads exchange with targets between two ticks.
type observations struct {
	mu       sync.Mutex
	byTarget map[health.Target]observation
}

type observation struct {
	sent     int
	received bool
}

func newObservations() *observations {
	return &observations{byTarget: make(map[health.Target]observation)}
}

// countSent notes a message that asks a target for an answer.
func (observations *observations) countSent(target health.Target) {
	observations.mu.Lock()
	defer observations.mu.Unlock()
	seen := observations.byTarget[target]
	seen.sent++
	observations.byTarget[target] = seen
}

// countReceived records a message from a target.
func (observations *observations) countReceived(target health.Target) {
	observations.mu.Lock()
	defer observations.mu.Unlock()
	seen := observations.byTarget[target]
	seen.received = true
	observations.byTarget[target] = seen
}

// takeEvents returns the observations as events and clears them.
func (observations *observations) takeEvents(at time.Time) []core.Event {
	observations.mu.Lock()
	defer observations.mu.Unlock()
	var events []core.Event
	for target, seen := range observations.byTarget {
		if seen.sent > 0 {
			events = append(events, core.TargetEvent{Event: health.MessagesSent{At: at, Target: target, Count: seen.sent}})
		}
		if seen.received {
			events = append(events, core.TargetEvent{Event: health.MessageReceived{At: at, Target: target}})
		}
	}
	clear(observations.byTarget)
	return events
}
