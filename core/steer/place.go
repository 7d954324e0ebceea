package steer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/packet"
	"azureshift/core/route"
)

const (
	// _maxLocalUtilisation is the utilisation up to which flows stay in their failure domain. Above it requests begin to
	// queue.
	_maxLocalUtilisation = 0.6
	// _minUtilisationGain is the least difference in utilisation for which a flow is placed in another failure domain.
	_minUtilisationGain = 0.15
	// _movedSingleShare is the part of the flows with one request each that would even out the utilisation and that are
	// moved. More would swing between failure domains, as the utilisation is up to two seconds old.
	_movedSingleShare = 0.6
	// _clearCostRatio is the ratio of the costs of two servers from which on the cheaper one is always chosen.
	_clearCostRatio = 1.5
	// _outlierRatio is the ratio to the average expected latency above which a server counts as much more loaded.
	_outlierRatio = 2
	// _choices is the number of servers that are compared for a flow.
	_choices = 2
	// _headroomShare is the part of the latency limit up to which a server takes new flows however busy the others are.
	_headroomShare = 0.5
)

// Salts derive independent choices from the hash of one flow.
const (
	_zoneSalt = iota + 1
	_shedSalt
	_serverSalt
	_otherSalt
)

// place chooses a server for a new flow, or refuses the flow.
func (steering *Steering) place(now time.Duration, configured *route.Route, header packet.Header) Decision {
	hash := hashAttempt(header)
	pool := steering.choosePool(configured, hash)
	if pool == nil {
		return steering.table.refuseWithoutServers(configured)
	}
	demand := steering.demandOf(pool.Service)
	counts := demand.counts(now, configured)
	persistent := counts.persistent()
	candidates := steering.candidates(now, pool)
	if candidates == nil {
		return Decision{Action: Reset, Reason: SlowStart}
	}
	var server *Server
	if steering.table.evenness[pool.typicalIndex].enabled {
		server = steering.chooseEven(now, candidates, hash, header, counts.longLived(now))
	} else {
		zone := steering.chooseZone(candidates, hash, persistent)
		server = steering.chooseServer(now, candidates, zone, hash, int(header.Acknowledged), persistent)
	}
	limit := latencyLimit(configured, steering.table.TypicalServiceTime(pool))
	if limit == 0 {
		return Decision{Action: Forward, Reason: NewFlow, Server: server}
	}
	server, hasHeadroom := steering.findHeadroom(candidates, server, demand, hash, limit, persistent)
	decision := steering.shedDecision(now, configured, pool, demand, limit, hasHeadroom)
	if isRefused(header, hash, decision) {
		steering.countersOf(server.Cookie, now).refused++
		counts.refused++
		demand.own.countRefused(now, classOf(configured.Priority, !persistent))
		decision.Server = server
		return decision
	}
	return Decision{Action: Forward, Reason: NewFlow, Server: server}
}

// findHeadroom returns the chosen server or, if its expected latency is above the limit, another one below it. It also
// reports whether the returned server has headroom. This handles one overloaded server among others, and one overloaded
// failure domain. Flows that carry one request each are redirected only from servers that are much more loaded than the
// others: there are so many of these flows that the servers that were below the limit a second ago would fill up.
func (steering *Steering) findHeadroom(
	pool *Pool, chosen *Server, demand *demand, hash uint64, limit time.Duration, persistent bool,
) (server *Server, hasHeadroom bool) {
	expected := steering.expectedLatency(pool, chosen)
	average := expectedLatency(steering.table.TypicalServiceTime(pool), demand.forecast.queued)
	if expected > limit && (persistent || expected > _outlierRatio*average) {
		if other := steering.findServerWithin(pool, hash, limit); other != nil {
			chosen, expected = other, steering.expectedLatency(pool, other)
		}
	}
	return chosen, float64(expected) <= _headroomShare*float64(limit)
}

// clamp limits a share to the range from 0 to 1.
func clamp(share float64) float64 {
	return min(max(share, 0), 1)
}

// choosePool chooses a service by weight; all instances choose the same one for a flow. The weight of a service without
// servers goes to the other services of the route.
func (steering *Steering) choosePool(configured *route.Route, hash uint64) *Pool {
	total := 0
	for _, share := range configured.Shares {
		if _, ok := steering.table.Pools[share.Service]; ok {
			total += share.Weight
		}
	}
	if total <= 0 {
		return nil
	}
	remaining := int(hash % uint64(total))
	for _, share := range configured.Shares {
		pool, ok := steering.table.Pools[share.Service]
		if !ok {
			continue
		}
		if remaining -= share.Weight; remaining < 0 {
			return pool
		}
	}
	return nil
}

// chooseZone chooses a failure domain for a new flow: the instance's own while requests do not queue there, else the
// least used one. This handles clients that move to another failure domain, and servers that leave one.
func (steering *Steering) chooseZone(pool *Pool, hash uint64, persistent bool) *Zone {
	best := &pool.Zones[0]
	bestUtilisation := steering.utilisation(pool, best)
	if bestUtilisation <= _maxLocalUtilisation || len(pool.Zones) == 1 {
		return best
	}
	local, localUtilisation := best, bestUtilisation
	for index := 1; index < len(pool.Zones); index++ {
		zone := &pool.Zones[index]
		if utilisation := steering.utilisation(pool, zone); utilisation < bestUtilisation {
			best, bestUtilisation = zone, utilisation
		}
	}
	if localUtilisation-bestUtilisation < _minUtilisationGain {
		return local
	}
	// Moves only the part of the flows that evens out the utilisation, as all instances decide alike.
	moved := (localUtilisation - bestUtilisation) / (2 * localUtilisation)
	if !persistent {
		moved *= _movedSingleShare
	}
	if hashFraction(hash, _zoneSalt) < moved {
		return best
	}
	return local
}

// chooseServer compares two servers from an order that depends on the flow alone, and returns the one of lower cost. As
// instances do not know of each other's decisions, this spreads new flows instead of sending all of them to the server
// that was idle a moment ago. Flows that carry one request each choose either server, each in proportion to the cost of
// the other: their load follows every decision at once, so that the cheaper servers would fill and empty by turns. Each
// retransmission of an opening packet moves on in the order.
func (steering *Steering) chooseServer(
	now time.Duration, pool *Pool, zone *Zone, hash uint64, attempt int, persistent bool,
) *Server {
	if len(zone.Servers) == 1 {
		return zone.Servers[0]
	}
	skip := min(attempt, _maxRetransmissions) * _choices
	avoid := func(server *Server) bool { return steering.table.slow(pool, server) }
	order := rank(zone.Servers, hash, skip+_choices, avoid)
	left := order[skip%len(order)]
	right := order[(skip+1)%len(order)]
	leftCost, rightCost := steering.cost(now, pool, left), steering.cost(now, pool, right)
	preferRight := rightCost < leftCost
	if !persistent && max(leftCost, rightCost) < _clearCostRatio*min(leftCost, rightCost) {
		preferRight = hashFraction(hash, _serverSalt) < leftCost/(leftCost+rightCost)
	}
	if preferRight {
		return right
	}
	return left
}

// _maxRetransmissions is the number of times that a client retransmits an opening packet.
const _maxRetransmissions = 2

// findServerWithin returns a server of any failure domain whose expected latency is within the limit, or nil. If there
// are several, the flow's hash chooses: the best one would attract the flows of all instances at once.
func (steering *Steering) findServerWithin(pool *Pool, hash uint64, limit time.Duration) *Server {
	var chosen *Server
	var best uint64
	for _, zone := range pool.Zones {
		for _, server := range zone.Servers {
			if steering.expectedLatency(pool, server) > limit {
				continue
			}
			if score := mixHashes(hash, server.Hash); chosen == nil || score > best {
				chosen, best = server, score
			}
		}
	}
	return chosen
}

// rank returns the first servers in rendezvous hashing order, at most as many as wanted. Servers to avoid come last.
func rank(servers []*Server, hash uint64, wanted int, avoid func(server *Server) bool) []*Server {
	var scores [_choices * (_maxRetransmissions + 1)]uint64
	var ranked [_choices * (_maxRetransmissions + 1)]*Server
	count := 0
	for _, server := range servers {
		score := mixHashes(hash, server.Hash) >> 1
		if !avoid(server) {
			score |= _preferredBit
		}
		position := count
		for position > 0 && scores[position-1] < score {
			position--
		}
		if position >= wanted {
			continue
		}
		if count < wanted {
			count++
		}
		copy(scores[position+1:count], scores[position:count-1])
		copy(ranked[position+1:count], ranked[position:count-1])
		scores[position], ranked[position] = score, server
	}
	return ranked[:count:count]
}

// _preferredBit is the highest bit of a score, set for servers that are not to be avoided.
const _preferredBit = 1 << 63

// hashAttempt hashes an attempt to open a flow; retransmissions of one attempt have the same hash.
func hashAttempt(header packet.Header) uint64 {
	var raw [16]byte
	copy(raw[0:], header.Flow.Client.Address[:])
	copy(raw[4:], header.Flow.Service.Address[:])
	binary.BigEndian.PutUint16(raw[8:], header.Flow.Client.Port)
	binary.BigEndian.PutUint16(raw[10:], header.Flow.Service.Port)
	binary.BigEndian.PutUint32(raw[12:], header.Sequence)
	return xxhash.Sum64(raw[:])
}

// hashFraction returns a number from 0 to 1 that depends only on the flow's hash and the salt.
func hashFraction(hash, salt uint64) float64 {
	return float64(mixHashes(hash, salt)) / (1 << 64)
}

// mixHashes combines two hashes.
func mixHashes(left, right uint64) uint64 {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[0:], left)
	binary.BigEndian.PutUint64(raw[8:], right)
	return xxhash.Sum64(raw[:])
}
