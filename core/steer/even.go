package steer

import (
	"math"
	"sort"
	"time"

	"azureshift/core/packet"
)

const (
	// _evenRefresh is how long the chances of the servers are used, and _evenRefreshPerServer makes it longer with many
	// servers: computing them takes about a tenth of a microsecond a server.
	_evenRefresh          = 50 * time.Millisecond
	_evenRefreshPerServer = 70 * time.Microsecond
	// _openedWindow is the time until the reports of all instances show the effect of a new long-lived flow.
	_openedWindow = 1500 * time.Millisecond
	// _unseenFlows is added to the flows that this instance opened in that time, as the count of a few is mostly noise.
	_unseenFlows = 0.5
	// _goldenStep is the step of the sequence that spreads an instance's choices: the fractional part of the golden ratio.
	_goldenStep = 0.6180339887498949
)

// evenState is what one instance keeps to even out the load of one service.
type evenState struct {
	// draws is the number of flows placed, and start the beginning of the sequence of choices, which differs between
	// instances.
	draws int
	start float64
	// opened is the number of persistent flows placed in the last _openedWindow.
	opened decayingCount
	// choices holds the chances of the servers of each failure domain, for single-request and for persistent flows.
	choices []evenChoice
	// away is the share of flows that go to the failure domain at awayIndex, computed at awayAt.
	away      float64
	awayIndex int
	awayAt    time.Duration
	awayTable *Table
}

// evenChoice holds the cumulative chances of the servers of a failure domain.
type evenChoice struct {
	table      *Table
	at         time.Duration
	cumulative []float64
}

// next returns the next number from 0 to 1 of an evenly spread sequence, so that the flows of one instance reach each
// server in proportion to its chance.
func (evenState *evenState) next(hash uint64) float64 {
	if evenState.draws == 0 {
		evenState.start = hashFraction(hash, _serverSalt)
	}
	evenState.draws++
	_, fraction := math.Modf(evenState.start + float64(evenState.draws)*_goldenStep)
	return fraction
}

// FillLevel returns the level to which an amount raises the loads of servers, like water in basins: the sum over all
// servers of max(0, level x capacity - load) is the amount. Servers above the level get nothing. It is zero without
// capacity.
//
// It answers figures that are out of date while many instances choose at once: an instance does not look for the least
// loaded server, which all others look for too, but for the distribution of everything that is placed until new figures
// arrive. The older the figures, the greater the amount, and the closer the chances are to the capacities alone.
func FillLevel(loads, capacities []float64, amount float64) float64 {
	level := math.Inf(1)
	for {
		load, capacity := amount, 0.0
		for index := range loads {
			if loads[index] < level*capacities[index] {
				load += loads[index]
				capacity += capacities[index]
			}
		}
		if capacity == 0 {
			return 0
		}
		next := load / capacity
		if next >= level {
			return level
		}
		level = next
	}
}

// chooseEven chooses a server for a new flow by the load that flows bring. Of two servers that are drawn for a flow
// with one request, it prefers the one with fewer requests in progress, in proportion: this answers load that flows do
// not explain. A retransmission goes to the next server in the flow's order, as do all flows where no server has a
// chance.
func (steering *Steering) chooseEven(
	now time.Duration, pool *Pool, hash uint64, header packet.Header, persistent bool,
) *Server {
	even := &steering.demandOf(pool.Service).even
	zoneIndex := steering.chooseEvenZone(now, pool, even, hash, persistent)
	zone := &pool.Zones[zoneIndex]
	cumulative := steering.chances(now, pool, even, zoneIndex, persistent)
	total := cumulative[len(cumulative)-1]
	if header.Acknowledged > 0 || total <= 0 {
		return steering.chooseOther(now, pool, zone, hash, header, persistent)
	}
	chosen := zone.Servers[drawServer(cumulative, even.next(hash))]
	if persistent {
		even.opened.increment(now, _openedWindow)
		return chosen
	}
	other := zone.Servers[drawServer(cumulative, hashFraction(hash, _otherSalt))]
	queued, otherQueued := steering.queued(chosen), steering.queued(other)
	if otherQueued < queued && hashFraction(hash, _serverSalt) < 1-otherQueued/queued {
		return other
	}
	return chosen
}

// queued returns the ratio of the requests in progress to the slots of a server with one more request.
func (steering *Steering) queued(server *Server) float64 {
	return 1 + steering.smoothedInProgress(server)/server.capacity()
}

// drawServer returns the index of a server by the cumulative chances and a number from 0 to 1.
func drawServer(cumulative []float64, fraction float64) int {
	drawn := fraction * cumulative[len(cumulative)-1]
	return sort.Search(len(cumulative)-1, func(index int) bool { return cumulative[index] > drawn })
}

// chooseOther chooses by the flow's order of the servers, and not the server that has left its opening packet
// unanswered.
func (steering *Steering) chooseOther(
	now time.Duration, pool *Pool, zone *Zone, hash uint64, header packet.Header, persistent bool,
) *Server {
	server := steering.chooseServer(now, pool, zone, hash, int(header.Acknowledged), persistent)
	tracked, ok := steering.flows[header.Flow]
	if !ok || !tracked.halfOpen || tracked.cookie != server.Cookie {
		return server
	}
	avoid := func(other *Server) bool { return other == server || steering.table.slow(pool, other) }
	return rank(zone.Servers, hash, 1, avoid)[0]
}

// chances returns the cumulative chances of the servers of a failure domain, which are computed anew once they are old.
func (steering *Steering) chances(
	now time.Duration, pool *Pool, even *evenState, zoneIndex int, persistent bool,
) []float64 {
	for len(even.choices) < 2*len(pool.Zones) {
		even.choices = append(even.choices, evenChoice{})
	}
	choice := &even.choices[2*zoneIndex]
	if persistent {
		choice = &even.choices[2*zoneIndex+1]
	}
	zone := &pool.Zones[zoneIndex]
	refresh := max(_evenRefresh, time.Duration(len(zone.Servers))*_evenRefreshPerServer)
	if choice.table == steering.table && now-choice.at < refresh && len(choice.cumulative) == len(zone.Servers) {
		return choice.cumulative
	}
	choice.table, choice.at = steering.table, now
	choice.cumulative = steering.computeChances(now, pool, zone, choice.cumulative[:0], persistent)
	return choice.cumulative
}

// computeChances appends the cumulative chances of the servers of a failure domain. Persistent flows fill up the held
// flows, with those that all instances open until the figures show them. Single-request flows fill up the requests on
// held flows, with those on single-request flows; both are in units of the requests on one held flow.
func (steering *Steering) computeChances(
	now time.Duration, pool *Pool, zone *Zone, cumulative []float64, persistent bool,
) []float64 {
	demand := steering.demandOf(pool.Service)
	capacities := make([]float64, len(zone.Servers))
	for index, server := range zone.Servers {
		capacities[index] = steering.evenCapacity(pool, server)
	}
	loads, held := steering.heldFlows(zone, capacities), 0.0
	for index, server := range zone.Servers {
		if counters, ok := steering.counters[server.Cookie]; ok && persistent {
			loads[index] += counters.recentlyOpened.value(now, _openedTimeConstant)
		}
		held += loads[index]
	}
	var amount float64
	if persistent {
		opened := demand.even.opened.value(now, _openedWindow)
		amount = (opened + _unseenFlows) * float64(max(steering.table.LiveInstances, 1))
	} else {
		amount = held * demand.singlePerLongLived(now)
	}
	if amount <= 0 {
		clear(loads)
		amount = 1
	}
	level, sum := FillLevel(loads, capacities, amount), 0.0
	for index := range loads {
		sum += max(level*capacities[index]-loads[index], 0)
		cumulative = append(cumulative, sum)
	}
	return cumulative
}

// heldFlows returns the number of long-lived flows on each server of a failure domain. Servers of which it is unknown
// count as holding as many for their capacity as the others: as none, they would get the new flows of all instances.
func (steering *Steering) heldFlows(zone *Zone, capacities []float64) []float64 {
	loads := make([]float64, len(zone.Servers))
	held, capacity := 0.0, 0.0
	for index, server := range zone.Servers {
		if measure := steering.table.Measure(server); measure.HeldKnown {
			loads[index] = measure.Held
			held += measure.Held
			capacity += capacities[index]
		}
	}
	if capacity == 0 {
		return loads
	}
	for index, server := range zone.Servers {
		if !steering.table.Measure(server).HeldKnown {
			loads[index] = held / capacity * capacities[index]
		}
	}
	return loads
}

// evenCapacity returns the number of slots of a server, in proportion to its speed; zero for a server that is to be
// avoided.
func (steering *Steering) evenCapacity(pool *Pool, server *Server) float64 {
	if steering.table.slow(pool, server) {
		return 0
	}
	handshake := steering.demandOf(pool.Service).handshake
	return server.capacity() * steering.table.speed(pool, server, handshake)
}

// isEvened reports whether the load of a server's service is evened out.
func (steering *Steering) isEvened(cookie packet.Cookie) bool {
	server, ok := steering.table.Servers[cookie]
	if !ok {
		return false
	}
	pool, ok := steering.table.Pools[server.Service]
	return ok && steering.table.evenness[pool.typicalIndex].enabled
}
