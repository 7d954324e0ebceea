package steer

import (
	"maps"
	"slices"
	"time"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/slowstart"
)

// Trial decides on packets from a copy of the state of a Steering, as if each was the next one to arrive. It is not
// safe for concurrent use.
type Trial struct {
	// original is the copy, and tried the one that the packet on trial changes.
	original, tried *Steering
}

// Trial returns a trial without the tracked flows. Its cost grows with the number of servers.
func (steering *Steering) Trial() Trial {
	original := steering.withoutFlows(steering.copyCounters())
	return Trial{original: original, tried: original.withoutFlows(original.copyCounters())}
}

func (steering *Steering) copyCounters() map[packet.Cookie]*counters {
	copied := make(map[packet.Cookie]*counters, len(steering.counters))
	for cookie, original := range steering.counters {
		counted := *original
		copied[cookie] = &counted
	}
	return copied
}

// withoutFlows returns a copy with the given counters that otherwise shares only what is never changed.
func (steering *Steering) withoutFlows(counted map[packet.Cookie]*counters) *Steering {
	copied := *steering
	copied.flows = make(map[packet.Flow]*flow)
	copied.counters = counted
	copied.demands = make(map[id.Service]*demand, len(steering.demands))
	for service, original := range steering.demands {
		copied.demands[service] = original.clone()
	}
	copied.unknownSince = maps.Clone(steering.unknownSince)
	copied.slowStarts = slowStarts{windows: steering.slowStarts.cloneWindows()}
	return &copied
}

func (demand *demand) clone() *demand {
	copied := *demand
	copied.even.choices = slices.Clone(demand.even.choices)
	for index := range copied.even.choices {
		choice := &copied.even.choices[index]
		choice.cumulative = slices.Clone(choice.cumulative)
	}
	return &copied
}

// cloneWindows returns a copy of the counts of new flows to servers in slow start.
func (slowStarts *slowStarts) cloneWindows() map[packet.Cookie]*slowstart.Window {
	windows := make(map[packet.Cookie]*slowstart.Window, len(slowStarts.windows))
	for cookie, window := range slowStarts.windows {
		windows[cookie] = window.Clone()
	}
	return windows
}

// Decide returns the decision that Steering.Decide would return now.
func (trial Trial) Decide(now time.Duration, header packet.Header) Decision {
	decision := trial.tried.Decide(now, header)
	// A packet changes the counters of its own server and of the one that is chosen.
	counted := trial.tried.counters
	trial.restore(counted, header.Cookie)
	if decision.Server != nil {
		trial.restore(counted, decision.Server.Cookie)
	}
	*trial.tried = *trial.original.withoutFlows(counted)
	return decision
}

func (trial Trial) restore(counted map[packet.Cookie]*counters, cookie packet.Cookie) {
	original, ok := trial.original.counters[cookie]
	if !ok {
		delete(counted, cookie)
		return
	}
	*counted[cookie] = *original
}

// Domain is a failure domain as it counts for a new flow.
type Domain struct {
	Domain id.Domain
	// Servers is the number of servers that take new flows, Slow that of them that are avoided as they are slow, and Cold
	// that of them whose new flows are limited.
	Servers int
	Slow    int
	Cold    int
	// Utilisation is the ratio of requests in progress to what the servers run at once, without slow ones.
	Utilisation float64
}

// Domains returns the failure domains with servers that take new flows of a service, the instance's own first.
func (trial Trial) Domains(now time.Duration, service id.Service) []Domain {
	steering := trial.original
	pool, ok := steering.table.Pools[service]
	if !ok {
		return nil
	}
	domains := make([]Domain, 0, len(pool.Zones))
	for index := range pool.Zones {
		zone := &pool.Zones[index]
		domain := Domain{
			Domain: zone.Domain, Servers: len(zone.Servers), Utilisation: steering.utilisation(pool, zone),
		}
		for _, server := range zone.Servers {
			if steering.table.slow(pool, server) {
				domain.Slow++
			}
			if server.cold(now) {
				domain.Cold++
			}
		}
		domains = append(domains, domain)
	}
	return domains
}

// Exclusion is a number of servers of a service that take no new flows for the same reason.
type Exclusion struct {
	Condition Condition
	// Evacuated says that the servers are in evacuated failure domains.
	Evacuated bool
	Servers   int
}

// Exclusions returns the servers of a service that take no new flows, by reason.
func (trial Trial) Exclusions(service id.Service) []Exclusion {
	var exclusions []Exclusion
	for _, server := range trial.original.table.Servers {
		if server.Service != service || server.Condition == Usable && !server.Evacuated {
			continue
		}
		reason := Exclusion{Condition: server.Condition, Evacuated: server.Evacuated}
		position := slices.IndexFunc(exclusions, func(other Exclusion) bool {
			other.Servers = 0
			return other == reason
		})
		if position < 0 {
			position = len(exclusions)
			exclusions = append(exclusions, reason)
		}
		exclusions[position].Servers++
	}
	slices.SortFunc(exclusions, func(left, right Exclusion) int { return right.Servers - left.Servers })
	return exclusions
}

// Table returns the table from which the decisions are made.
func (trial Trial) Table() *Table {
	return trial.original.table
}
