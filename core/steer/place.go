package steer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/packet"
	"azureshift/core/route"
)

const (
	// _nearUntil is the utilisation up to which flows stay in their failure domain. Beyond it requests begin to wait.
	_nearUntil = 0.6
	// _farGain is the least difference in utilisation for which a flow leaves its failure domain.
	_farGain = 0.15
	// _choices is how many servers are compared for a flow.
	_choices = 2
	// _admitted is the part of its objective that a request of the highest priority may be expected to take, and
	// _admittedStep what each lower priority gives up of it. Beyond it a request would come late and make others late.
	_admitted      = 0.9
	_admittedStep  = 0.1
	_admittedLeast = 0.5
	// _shedFrom and _shedAll are the expected times, as parts of what is admitted, between which a growing share of new
	// flows that are kept for many requests is refused. Refusing all or none from one moment to the next would fill and
	// empty the servers by turns, as what an instance knows is half a second old.
	_shedFrom = 0.6
	_shedAll  = 1.1
	// _room is the part of what is admitted up to which a server takes new flows however busy the others are.
	_room = 0.5
)

// Salts make choices by one hash independent of each other.
const (
	_zoneSalt = iota + 1
	_shedSalt
)

// place chooses a server for a new flow.
func (steering *Steering) place(now time.Duration, configured *route.Route, header packet.Header) Decision {
	hash := hashFlow(header)
	pool := steering.pick(configured, hash)
	if pool == nil {
		if !steering.table.Settled {
			return Decision{Verdict: Drop, Reason: NoServer}
		}
		return Decision{Verdict: Reset, Reason: NoServer}
	}
	server := steering.choose(now, pool, steering.zone(pool, hash), hash, int(header.Acknowledged))
	limit := admitted(configured, steering.table.Typical(pool))
	if limit == 0 {
		return Decision{Verdict: Forward, Reason: Offered, Server: server}
	}
	if header.Acknowledged == 0 {
		steering.demandOf(pool.Service).offer(now, configured.Priority)
	}
	server, room := steering.roomy(pool, server, hash, limit)
	if room {
		return Decision{Verdict: Forward, Reason: Offered, Server: server}
	}
	if decision := steering.shed(configured, pool, limit); share(hash, _shedSalt) < decision.Refused {
		steering.load(server.Cookie, now).refused++
		decision.Server = server
		return decision
	}
	return Decision{Verdict: Forward, Reason: Offered, Server: server}
}

// roomy returns the chosen server of a new flow or, if that is expected to answer beyond the limit, one that is not,
// and reports whether it has room. It answers one crowded server among others, and one crowded failure domain.
func (steering *Steering) roomy(
	pool *Pool, chosen *Server, hash uint64, limit time.Duration,
) (server *Server, room bool) {
	expected := steering.expected(pool, chosen)
	if expected > limit {
		if other := steering.within(pool, hash, limit); other != nil {
			chosen, expected = other, steering.expected(pool, other)
		}
	}
	return chosen, float64(expected) <= _room*float64(limit)
}

// admitted returns how long a request of a route may be expected to take, or zero if its route has no objective. Under
// an overload that lasts it keeps requests in time that are admitted at all, the more urgent ones longest. The others
// are refused at once, unopened, so that their clients know that they have not run. Where servers usually take long, or
// are not yet known, a free one is room enough: a service that refused everything would never learn that it need not.
func admitted(configured *route.Route, typical time.Duration) time.Duration {
	if configured.Objective == 0 {
		return 0
	}
	share := max(_admitted-_admittedStep*float64(configured.Priority), _admittedLeast)
	return max(time.Duration(float64(configured.Objective)*share), time.Duration(float64(typical)/_room))
}

// shed returns the refusal of a new flow with the share of such flows that it applies to, as the servers of its service
// are overloaded. It answers loads beyond what all servers can run: a growing share is refused, so that the servers
// stay busy while their queues stay short. A flow's hash decides whether it is among them; each attempt has another
// one.
func (steering *Steering) shed(configured *route.Route, pool *Pool, limit time.Duration) Decision {
	known := steering.summarize(pool)
	typical := steering.table.Typical(pool)
	expected := known.expected(typical)
	demand := steering.demandOf(pool.Service)
	ofKept := (float64(expected)/float64(limit) - _shedFrom) / (_shedAll - _shedFrom)
	ofSingle := 1 - demand.portion(configured.Priority, demand.admit(known, typical, limit))
	single := demand.single()
	return Decision{
		Verdict: Reset, Reason: Overloaded, Expected: expected, Admitted: limit,
		Refused: single*clamp(ofSingle) + (1-single)*clamp(ofKept), Single: single,
	}
}

// clamp returns a share, which is from 0 to 1.
func clamp(share float64) float64 {
	return min(max(share, 0), 1)
}

// pick chooses a service by weight; all instances pick the same one for a flow. A service without servers leaves its
// flows to the others of the route.
func (steering *Steering) pick(configured *route.Route, hash uint64) *Pool {
	total := 0
	for _, share := range configured.Shares {
		if _, ok := steering.table.Pools[share.Service]; ok {
			total += share.Weight
		}
	}
	if total <= 0 {
		return nil
	}
	left := int(hash % uint64(total))
	for _, share := range configured.Shares {
		pool, ok := steering.table.Pools[share.Service]
		if !ok {
			continue
		}
		if left -= share.Weight; left < 0 {
			return pool
		}
	}
	return nil
}

// zone chooses a failure domain for a new flow: the instance's own while requests do not wait there, else the least
// used one. It answers clients that move between failure domains and servers that leave one of them.
func (steering *Steering) zone(pool *Pool, hash uint64) *Zone {
	best := &pool.Zones[0]
	bestUse := steering.utilisation(pool, best)
	if bestUse <= _nearUntil || len(pool.Zones) == 1 {
		return best
	}
	near, nearUse := best, bestUse
	for index := 1; index < len(pool.Zones); index++ {
		zone := &pool.Zones[index]
		if use := steering.utilisation(pool, zone); use < bestUse {
			best, bestUse = zone, use
		}
	}
	if nearUse-bestUse < _farGain {
		return near
	}
	// Only the part of the flows that levels both out leaves, as all instances decide alike.
	if share(hash, _zoneSalt) < (nearUse-bestUse)/(2*nearUse) {
		return best
	}
	return near
}

// choose compares two servers taken from an order that the flow alone decides: instances that do not know of each
// other's decisions spread new flows in place of all choosing the one that was idle a moment ago. Copies of an opening
// packet go on in the order.
func (steering *Steering) choose(now time.Duration, pool *Pool, zone *Zone, hash uint64, copies int) *Server {
	if len(zone.Servers) == 1 {
		return zone.Servers[0]
	}
	skip := min(copies, _maxCopies) * _choices
	avoid := func(server *Server) bool { return steering.slow(pool, server) }
	order := rank(zone.Servers, hash, skip+_choices, avoid)
	left := order[skip%len(order)]
	right := order[(skip+1)%len(order)]
	if steering.cost(now, pool, right) < steering.cost(now, pool, left) {
		return right
	}
	return left
}

// _maxCopies is the number of copies that a client sends of an opening packet.
const _maxCopies = 2

// within returns a server of any failure domain that answers a new request within the limit, or nil. Of several the
// flow's hash decides: the best one would draw the flows of all instances at once.
func (steering *Steering) within(pool *Pool, hash uint64, limit time.Duration) *Server {
	var chosen *Server
	var best uint64
	for _, zone := range pool.Zones {
		for _, server := range zone.Servers {
			if steering.expected(pool, server) > limit {
				continue
			}
			if score := mix(hash, server.Hash); chosen == nil || score > best {
				chosen, best = server, score
			}
		}
	}
	return chosen
}

// rank returns the first servers in the order by rendezvous hashing, at most as many as wanted. Those to avoid come
// last.
func rank(servers []*Server, hash uint64, wanted int, avoid func(server *Server) bool) []*Server {
	var scores [_choices * (_maxCopies + 1)]uint64
	var ranked [_choices * (_maxCopies + 1)]*Server
	count := 0
	for _, server := range servers {
		score := mix(hash, server.Hash) >> 1
		if !avoid(server) {
			score |= _preferred
		}
		at := count
		for at > 0 && scores[at-1] < score {
			at--
		}
		if at >= wanted {
			continue
		}
		if count < wanted {
			count++
		}
		copy(scores[at+1:count], scores[at:count-1])
		copy(ranked[at+1:count], ranked[at:count-1])
		scores[at], ranked[at] = score, server
	}
	return ranked[:count:count]
}

// _preferred is the highest bit of a score.
const _preferred = 1 << 63

// hashFlow hashes an attempt to open a flow; copies of one attempt have the same hash.
func hashFlow(header packet.Header) uint64 {
	var raw [16]byte
	copy(raw[0:], header.Flow.Client.Address[:])
	copy(raw[4:], header.Flow.Service.Address[:])
	binary.BigEndian.PutUint16(raw[8:], header.Flow.Client.Port)
	binary.BigEndian.PutUint16(raw[10:], header.Flow.Service.Port)
	binary.BigEndian.PutUint32(raw[12:], header.Sequence)
	return xxhash.Sum64(raw[:])
}

// share returns a number from 0 up to 1 that depends on the flow and the salt alone.
func share(hash, salt uint64) float64 {
	return float64(mix(hash, salt)) / (1 << 64)
}

// mix joins two hashes.
func mix(left, right uint64) uint64 {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[0:], left)
	binary.BigEndian.PutUint64(raw[8:], right)
	return xxhash.Sum64(raw[:])
}
