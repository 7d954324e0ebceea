package soak

import (
	"sync"
	"time"
)

// facts is what was done to backend servers, the store and instances, and when.
type facts struct {
	mu      sync.Mutex
	servers map[string][]span
	// drained is when a server's draining was acknowledged by a calm store.
	drained map[string]time.Time
	// instances and store hold when these were disturbed.
	instances []span
	store     []span
}

// span is a time of disturbance; one that lasts has no end.
type span struct{ begin, end time.Time }

func newFacts() *facts {
	return &facts{
		servers: make(map[string][]span), drained: make(map[string]time.Time),
	}
}

// disturb notes that a server is disturbed, and returns what ends that.
func (facts *facts) disturb(server string) func() {
	facts.mu.Lock()
	defer facts.mu.Unlock()
	index := len(facts.servers[server])
	facts.servers[server] = append(facts.servers[server], span{begin: time.Now()})
	return func() {
		facts.mu.Lock()
		defer facts.mu.Unlock()
		facts.servers[server][index].end = time.Now()
	}
}

// disturbStore notes trouble of the store, and returns what ends that.
func (facts *facts) disturbStore() func() { return facts.open(&facts.store) }

// disturbInstance notes trouble of an instance, and returns what ends that.
func (facts *facts) disturbInstance() func() { return facts.open(&facts.instances) }

func (facts *facts) open(spans *[]span) func() {
	facts.mu.Lock()
	defer facts.mu.Unlock()
	index := len(*spans)
	*spans = append(*spans, span{begin: time.Now()})
	return func() {
		facts.mu.Lock()
		defer facts.mu.Unlock()
		(*spans)[index].end = time.Now()
	}
}

// calm reports whether nothing of spans touches the time from since to until.
func calm(spans []span, since, until time.Time) bool {
	for _, each := range spans {
		if each.begin.Before(until) && (each.end.IsZero() || each.end.After(since)) {
			return false
		}
	}
	return true
}
