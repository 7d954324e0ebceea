package load

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/id"
	"azureshift/core/route"
	"azureshift/core/slowstart"
	"azureshift/core/steer"
)

const (
	// _slowStartMargin is the time for which an instance takes a server for cold beyond its slow start.
	_slowStartMargin = 300 * time.Millisecond
	// _claimFreshness is the age up to which instances use their knowledge of each other to claim shares.
	_claimFreshness = 3 * time.Second
)

// DispatchWithUploads returns a deployment of 137 instances and 150 servers with the load of its usual days. All
// servers are of one service here.
func DispatchWithUploads() Config {
	config := Valtellina()
	config.Zones = []Zone{
		{Domain: "north", Instances: 46, Servers: 50, Rate: 520.5},
		{Domain: "south", Instances: 46, Servers: 50, Rate: 520},
		{Domain: "west", Instances: 45, Servers: 50, Rate: 520},
	}
	config.Kinds = []Kind{
		{
			Name: "feed", Share: 1138 / 1560.5, Class: route.Idempotent, MeanWork: 55 * time.Millisecond, Spread: _workSpread,
			Objective: 500 * time.Millisecond, Timeout: 2500 * time.Millisecond, Priority: 2, Worth: 1,
		},
		{
			Name: "booking", Share: 325 / 1560.5, Class: route.NonIdempotent, FlowPerRequest: true,
			MeanWork: 72 * time.Millisecond, Spread: _workSpread, Objective: 600 * time.Millisecond,
			Timeout: 3 * time.Second, Priority: 1, Worth: 2,
		},
		{
			Name: "upload", Share: 97.5 / 1560.5, Class: route.Upload, FlowPerRequest: true,
			MeanWork: 5 * time.Millisecond, Spread: _workSpread, Objective: 1200 * time.Millisecond,
			Timeout: 6 * time.Second, Priority: 2, Worth: 1,
		},
	}
	config.Slots, config.Queue, config.UserRate = 2, 8, 1
	config.ExchangeDelay = 600 * time.Millisecond
	config.Duration = 12 * time.Second
	return config
}

// createMemberships creates the view of each instance, which has known all instances for long.
func (simulation *simulation) createMemberships() {
	if simulation.config.SlowStartFlows == 0 {
		return
	}
	members := make([]slowstart.Member, 0, len(simulation.instances))
	for index := range simulation.instances {
		members = append(members, slowstart.Member{Name: id.Instance(fmt.Sprintf("e-%d", index))})
	}
	for _, self := range members {
		membership := slowstart.NewMembership(slowstart.Config{Self: self})
		membership.Update(-time.Hour, _claimFreshness, members)
		simulation.memberships = append(simulation.memberships, membership)
	}
}

// coldTableOf returns the table of one instance, in which new flows to cold servers are limited.
func (simulation *simulation) coldTableOf(number int) *steer.Table {
	now, split := simulation.clock.Now(), slowstart.SplitOf(simulation.config.SlowStartFlows)
	membership := simulation.memberships[number]
	membership.Confirm(now, _claimFreshness, now)
	table := simulation.tableFor(simulation.instances[number].zone, func(server *server, known *steer.Server) {
		coldUntil := server.started + simulation.config.ColdPeriod + _slowStartMargin
		if now >= coldUntil {
			return
		}
		known.ColdUntil = coldUntil
		if membership.Owns(now, _claimFreshness, xxhash.Sum64String(string(server.ID)), split.Owners) {
			known.SlowStartShare = split.Share
		}
	})
	table.SharesUntil = membership.ClaimsUntil(now, _claimFreshness)
	table.LimitSlowStarts()
	return table
}

// restartServers restarts a part of the servers at once, which ends all idle flows there. Instances know it at once.
func restartServers(share float64) func(simulation *simulation) {
	return func(simulation *simulation) {
		simulation.afterWarmup(2*time.Second, func() {
			count := int(share * float64(len(simulation.servers)))
			for _, server := range simulation.servers[:count] {
				server.started = simulation.clock.Now()
				simulation.resetIdleFlows(server)
			}
			simulation.publishTables()
		})
	}
}

// reopen makes the servers of the first failure domain cold, as if its evacuation was withdrawn: they have no flows.
func reopen(simulation *simulation) {
	evacuated := simulation.serversOfZone(0)
	for _, server := range evacuated {
		simulation.draining[simulation.cookieOf(server)] = true
	}
	simulation.afterWarmup(2*time.Second, func() {
		for _, server := range evacuated {
			server.started = simulation.clock.Now()
			delete(simulation.draining, simulation.cookieOf(server))
		}
		simulation.publishTables()
	})
}

// recordPlaced records a flow that was placed on a server.
func (server *server) recordPlaced(now time.Duration) {
	server.placedFlows++
	if now-server.started < server.simulation.config.ColdPeriod && now > server.simulation.config.Warmup {
		server.placedCold = append(server.placedCold, now)
	}
}

// mostInASecond returns the largest number of ascending times in any second.
func mostInASecond(times []time.Duration) int {
	most, first := 0, 0
	for last, at := range times {
		for at-times[first] >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
