package load

import (
	"time"
)

const (
	// _valueWindow is the period over which the value of the requests is stated.
	_valueWindow = 2 * time.Second
	// _lateValue is the part of the value of a request that a late answer is worth.
	_lateValue = 0.3
)

// worthTally is the worth of all requests and of the served ones.
type worthTally struct{ owed, served float64 }

// share returns the served share of the worth.
func (worthTally *worthTally) share() float64 {
	if worthTally.owed == 0 {
		return 1
	}
	return worthTally.served / worthTally.owed
}

// zoneKind is a kind of request from clients of one failure domain.
type zoneKind struct {
	zone int
	kind string
}

// client is a user of one failure domain.
type client struct {
	zone int
	user int
}

// values holds the worth of the served requests: of all, by the window in which they were sent, by failure domain and
// kind, and the number of requests by client.
type values struct {
	all        worthTally
	byWindow   map[int]*worthTally
	byZoneKind map[zoneKind]*worthTally
	byClient   map[client]*worthTally
	// refusals is the number of refused flows, and refusedWithRoom the part of them while a tenth of all slots was free.
	refusals        int
	refusedWithRoom int
}

func worthTallyFor[K comparable](tallies *map[K]*worthTally, key K) *worthTally {
	if *tallies == nil {
		*tallies = make(map[K]*worthTally)
	}
	if (*tallies)[key] == nil {
		(*tallies)[key] = &worthTally{}
	}
	return (*tallies)[key]
}

// recordEnd records the end of a request that was sent after the warm-up.
func (values *values) recordEnd(simulation *simulation, request *request, answered bool) {
	after := request.started - simulation.config.Warmup
	if after < 0 {
		return
	}
	served := 0.0
	if answered {
		served = request.kind.worth()
		if simulation.clock.Now()-request.started > request.kind.Objective {
			served *= _lateValue
		}
	}
	for _, tally := range []*worthTally{
		&values.all, worthTallyFor(&values.byWindow, int(after/_valueWindow)),
		worthTallyFor(&values.byZoneKind, zoneKind{zone: request.zone, kind: request.kind.Name}),
		worthTallyFor(&values.byClient, client{zone: request.zone, user: request.user}),
	} {
		tally.owed += request.kind.worth()
		tally.served += served
	}
}

// recordRefusal records that a flow was refused.
func (values *values) recordRefusal(simulation *simulation) {
	const freeShare = 0.1
	if simulation.clock.Now() < simulation.config.Warmup {
		return
	}
	values.refusals++
	busy, slots := 0, 0
	for _, server := range simulation.servers {
		if !server.dead && !simulation.draining[simulation.cookieOf(server)] && !simulation.evacuated[server.zone] {
			busy += server.running
			slots += simulation.config.Slots
		}
	}
	if float64(busy) < (1-freeShare)*float64(slots) {
		values.refusedWithRoom++
	}
}
