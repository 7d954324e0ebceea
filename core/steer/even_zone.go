package steer

import (
	"math"
	"time"
)

const (
	// _crossDomainRoundTrip is what a request to another failure domain costs in addition.
	_crossDomainRoundTrip = 1800 * time.Microsecond
	// _balanceSteps is the number of bisections that find the share of flows to place elsewhere, exact to 0.1 %.
	_balanceSteps = 10
)

// ExpectedWait returns the average time that a request waits at servers with a number of slots each, at a utilisation
// of these, by Sakasegawa's approximation for M/M/c queues. At full utilisation it is about that of 0.98.
func ExpectedWait(serviceTime time.Duration, utilisation, slots float64) time.Duration {
	const maxUtilisation = 0.98
	utilisation = min(max(utilisation, 0), maxUtilisation)
	slots = max(slots, 1)
	queued := math.Pow(utilisation, math.Sqrt(2*(slots+1))-1) / (slots * (1 - utilisation))
	return time.Duration(float64(serviceTime) * queued)
}

// ZoneLoad is the load of the servers of a failure domain.
type ZoneLoad struct {
	// Utilisation is the part of the slots in use, and Slots the number of slots. Servers is the number of servers.
	Utilisation float64
	Slots       float64
	Servers     int
}

// wait returns the expected wait with a change in the number of slots in use.
func (zoneLoad ZoneLoad) wait(serviceTime time.Duration, change float64) time.Duration {
	if zoneLoad.Slots == 0 {
		return math.MaxInt64
	}
	slots := zoneLoad.Slots / float64(max(zoneLoad.Servers, 1))
	return ExpectedWait(serviceTime, zoneLoad.Utilisation+change/zoneLoad.Slots, slots)
}

// AwayShare returns the share of the flows of one failure domain that are better placed in another: as many as make the
// wait in both differ by what the way to the other one costs, or none if the difference is smaller. It answers clients
// that move between failure domains, waves with another phase in each, and servers that leave one: flows leave only
// while requests wait, and stay again afterwards.
func AwayShare(own, other ZoneLoad, serviceTime, cost time.Duration) float64 {
	gain := func(share float64) time.Duration {
		moved := share * own.Utilisation * own.Slots
		return own.wait(serviceTime, -moved) - other.wait(serviceTime, moved) - cost
	}
	if other.Slots == 0 || own.Slots > 0 && gain(0) <= 0 {
		return 0
	}
	low, high := 0.0, 1.0
	for range _balanceSteps {
		middle := (low + high) / 2
		if gain(middle) > 0 {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// chooseEvenZone returns the index of the failure domain for a new flow.
func (steering *Steering) chooseEvenZone(
	now time.Duration, pool *Pool, even *evenState, hash uint64, persistent bool,
) int {
	if len(pool.Zones) == 1 {
		return 0
	}
	if even.awayTable != steering.table || now-even.awayAt >= _evenRefresh {
		even.awayTable, even.awayAt = steering.table, now
		even.awayIndex, even.away = steering.compareZones(pool)
	}
	away := even.away
	if !persistent {
		away *= _movedSingleShare
	}
	if hashFraction(hash, _zoneSalt) < away {
		return even.awayIndex
	}
	return 0
}

// compareZones returns the index of the least used other failure domain and the share of flows to place there.
func (steering *Steering) compareZones(pool *Pool) (index int, share float64) {
	own, other := steering.zoneLoad(pool, &pool.Zones[0]), ZoneLoad{}
	for candidate := 1; candidate < len(pool.Zones); candidate++ {
		load := steering.zoneLoad(pool, &pool.Zones[candidate])
		if load.Slots > 0 && (other.Slots == 0 || load.Utilisation < other.Utilisation) {
			other, index = load, candidate
		}
	}
	demand := steering.demandOf(pool.Service)
	work := demand.withoutHandshake(steering.table.TypicalServiceTime(pool))
	return index, AwayShare(own, other, work, _crossDomainRoundTrip)
}

// zoneLoad returns the load of a failure domain without servers that are avoided.
func (steering *Steering) zoneLoad(pool *Pool, zone *Zone) ZoneLoad {
	var load ZoneLoad
	inProgress := 0.0
	for _, server := range zone.Servers {
		if !steering.table.slow(pool, server) {
			inProgress += steering.smoothedInProgress(server)
			load.Slots += server.capacity()
			load.Servers++
		}
	}
	if load.Slots > 0 {
		load.Utilisation = inProgress / load.Slots
	}
	return load
}
