package entry

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/catalog"
	"azureshift/core/fleet"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/steer"
	"azureshift/core/target"
)

const (
	// _minPublishInterval is the shortest time between two tables that differ only in their measures.
	_minPublishInterval = 250 * time.Millisecond
	// _publishIntervalPerServer makes that interval grow with the number of servers. Measuring a server takes up to a
	// microsecond, and all measures may take no more than 1.5 % of a core. With enough servers for a longer interval, an
	// instance receives the load of each one only every few seconds anyway.
	_publishIntervalPerServer = 70 * time.Microsecond
	// _rebuildIntervalPerServer makes the time between two tables that differ in their servers grow with the number of
	// servers beyond _quickRebuildServers. Building a table takes up to a microsecond a server, and servers change one
	// after the other when a failure domain loses power.
	_rebuildIntervalPerServer = 50 * time.Microsecond
	_quickRebuildServers      = 1000
	// _maxPublishInterval keeps the table's age far below the age from which a missing route is not trusted.
	_maxPublishInterval = 1200 * time.Millisecond
)

// publishInterval returns the shortest time between two tables that differ only in their measures.
func publishInterval(servers int) time.Duration {
	return min(max(_minPublishInterval, time.Duration(servers)*_publishIntervalPerServer), _maxPublishInterval)
}

// rebuildInterval returns the shortest time between two tables that differ in their servers.
func rebuildInterval(servers int) time.Duration {
	return time.Duration(max(servers-_quickRebuildServers, 0)) * _rebuildIntervalPerServer
}

// publishing is the state of the tables for the traffic thread.
type publishing struct {
	// changed says that a server or route has changed, configChanged that the configuration has changed, and refreshed
	// that the state was confirmed again or new loads have arrived.
	changed       bool
	configChanged bool
	refreshed     bool
	publishedAt   time.Duration
	// published is the last published table.
	published *steer.Table
	// built is the table without measures, builtAt when it was built, and validUntil when it must be built again even if
	// nothing changes.
	built      *steer.Table
	builtAt    time.Duration
	validUntil time.Duration
	// resetServers lists servers whose flows are reset after the next table is published.
	resetServers []id.Target
	routes       map[packet.Endpoint]*route.Route
	// services are the services that the configuration names.
	services map[id.Service]bool
	cookies  map[packet.Cookie]id.Target
	loads    fleet.LoadEstimates
	// serviceTimes are the usual times for which servers of each service run a request.
	serviceTimes steer.Baselines
	// lastUsed is when this instance last saw traffic with each server.
	lastUsed map[id.Target]time.Duration
}

// addLoads records received loads of servers.
func (publishing *publishing) addLoads(now time.Duration, loads []fleet.Load) {
	publishing.loads.Update(now, loads)
	publishing.refreshed = true
}

// forget drops state of servers that are unknown or no longer in use.
func (publishing *publishing) forget(now time.Duration) {
	for name, used := range publishing.lastUsed {
		if now-used > _inUsePeriod {
			delete(publishing.lastUsed, name)
		}
	}
	publishing.loads.Retain(func(cookie packet.Cookie) bool {
		_, known := publishing.cookies[cookie]
		return known
	})
}

// publishIfChanged publishes a new table if the state has changed or new measures are due. A table that differs only in
// its measures shares the servers and pools of the previous one, as building these takes long with thousands of
// servers.
func (state *State) publishIfChanged() {
	publishing := &state.publishing
	settled := state.allRegistered()
	rebuild := publishing.built == nil || (publishing.changed || settled != publishing.built.AllRegistered ||
		state.now >= publishing.validUntil) && state.now-publishing.builtAt >= rebuildInterval(len(publishing.cookies))
	due := publishing.refreshed && state.now-publishing.publishedAt >= publishInterval(len(publishing.cookies))
	if !rebuild && !due {
		return
	}
	if rebuild {
		state.rebuildTable(settled)
	}
	publishing.published = state.withMeasures(publishing.built)
	state.emit(Publish{Table: publishing.published})
	publishing.refreshed, publishing.publishedAt = false, state.now
	if rebuild {
		state.resetFlows()
	}
}

// rebuildTable builds the table anew.
func (state *State) rebuildTable(settled bool) {
	publishing := &state.publishing
	if publishing.configChanged || publishing.routes == nil {
		publishing.routes = routesByEndpoint(state.catalog.Routes())
		publishing.services = servicesOf(state.catalog.Routes())
		state.slowStarting.configure(state.catalog.Routes())
	}
	publishing.built, publishing.builtAt = state.buildTable(settled), state.now
	publishing.changed, publishing.configChanged = false, false
}

// resetFlows resets the flows of the servers that were found dead or unreachable before the table was built.
func (state *State) resetFlows() {
	publishing := &state.publishing
	var reset ResetFlows
	for _, name := range publishing.resetServers {
		record, ok := state.catalog.Server(name)
		if !ok {
			continue
		}
		// Flows with this cookie are of the server that has it in the table.
		if cookie := target.CookieOf(record.Number); publishing.cookies[cookie] == name {
			reset.Cookies = append(reset.Cookies, cookie)
		}
	}
	publishing.resetServers = nil
	if len(reset.Cookies) > 0 {
		state.emit(reset)
	}
}

// withMeasures returns a copy of a table with the current measures.
func (state *State) withMeasures(built *steer.Table) *steer.Table {
	loads := &state.publishing.loads
	table := built.WithMeasures(state.now, &state.publishing.serviceTimes, func(server *steer.Server) steer.Measure {
		return loads.Measure(state.now, server.Cookie)
	})
	table.Demand = state.fleetDemand()
	table.ConfirmedAt, table.LiveInstances = state.reading.confirmedAt, state.fleet.CountLive(state.now)
	table.SharesUntil = state.slowStarting.membership.ClaimsUntil(state.now, state.slowStartFreshness())
	return table
}

func (state *State) buildTable(settled bool) *steer.Table {
	config := state.catalog.Routes()
	records := state.catalog.Servers()
	table := &steer.Table{
		Version: config.Version, Routes: state.publishing.routes, IdleTimeout: config.IdleTimeout, AllRegistered: settled,
		Placement: state.config.Limits.Placement, Evacuated: state.countEvacuated(),
	}
	clear(state.publishing.cookies)
	state.publishing.validUntil = math.MaxInt64
	state.slowStarting.membership.Refresh(state.now, state.slowStartFreshness())
	for _, record := range records {
		state.addServer(table, record)
	}
	for _, record := range records {
		server, ok := table.Servers[target.CookieOf(record.Number)]
		if ok && server.ID == record.ID && server.Condition == steer.Usable {
			table.AddToPool(server)
		}
	}
	state.addSuspects(table)
	table.PreferDomain(state.config.Self.Domain)
	state.finishSlowStarts(table)
	return table
}

// addServer adds a server to the table. Of two servers with the same cookie it adds only one. Of two with the same
// number one is no server, which a probe shows: the server at an address names itself.
func (state *State) addServer(table *steer.Table, record *catalog.Record) {
	cookie := target.CookieOf(record.Number)
	if other, ok := table.Servers[cookie]; ok {
		judged := state.condition(record) == steer.Dead || other.Condition == steer.Dead
		if record.Number == other.Number && !judged {
			state.requestProbe(record.ID)
			state.requestProbe(other.ID)
		}
		if !state.displaces(record, other) {
			state.emit(Note{Kind: NoteCollision, Server: record.ID, Value: string(other.ID)})
			return
		}
		state.emit(Note{Kind: NoteCollision, Server: other.ID, Value: string(record.ID)})
	}
	warmAt := state.warmAt(record)
	server := &steer.Server{
		Target:    record.Target,
		Cookie:    cookie,
		Condition: state.condition(record),
		Hash:      xxhash.Sum64String(string(record.ID)),
		Warm:      state.now >= warmAt,
		Evacuated: state.evacuated(record.Domain),
	}
	state.limitSlowStart(server, record)
	table.Add(server)
	state.publishing.cookies[cookie] = record.ID
	state.publishing.rebuildAt(state.now, max(warmAt, server.ColdUntil))
	if record.Missing {
		state.publishing.rebuildAt(state.now, state.keepUntil(record)+1)
	}
}

// displaces reports whether a server takes the cookie that another one has. Anyone can register a server with a number
// that is in use, and with any start time: a service of the configuration goes first, then a server that was not found
// dead, then the first registration of the number. Of two numbers with the same cookie, a known start time goes first,
// then the earlier one.
func (state *State) displaces(record *catalog.Record, other *steer.Server) bool {
	named, otherNamed := state.publishing.services[record.Service], state.publishing.services[other.Service]
	started, otherStarted := record.StartTime != 0, other.StartTime != 0
	dead, otherDead := state.condition(record) == steer.Dead, other.Condition == steer.Dead
	otherRecord, ok := state.catalog.Server(other.ID)
	switch {
	case named != otherNamed:
		return named
	case ok && record.Number == other.Number && dead != otherDead:
		return otherDead
	case ok && record.Number == other.Number && record.Created != otherRecord.Created:
		return record.Created < otherRecord.Created
	case started != otherStarted:
		return started
	}
	return record.StartTime < other.StartTime
}

// servicesOf returns the services that a configuration names.
func servicesOf(config route.Config) map[id.Service]bool {
	services := make(map[id.Service]bool, len(config.Services))
	for _, service := range config.Services {
		services[service.Name] = true
	}
	for index := range config.Routes {
		for _, share := range config.Routes[index].Shares {
			services[share.Service] = true
		}
	}
	return services
}

// rebuildAt schedules a rebuild of the table for a time in the future when a server's state changes without an event.
func (publishing *publishing) rebuildAt(now, at time.Duration) {
	if at > now {
		publishing.validUntil = min(publishing.validUntil, at)
	}
}

// addSuspects lets suspect servers take new flows of services without usable servers, so that a false suspicion does
// not make a service unavailable. Evacuated servers take none.
func (state *State) addSuspects(table *steer.Table) {
	missing := make(map[id.Service]bool)
	for _, server := range table.Servers {
		if _, ok := table.Pools[server.Service]; !ok {
			missing[server.Service] = true
		}
	}
	if len(missing) == 0 {
		return
	}
	for _, record := range state.catalog.Servers() {
		server, ok := table.Servers[target.CookieOf(record.Number)]
		if ok && missing[server.Service] && server.Condition == steer.Suspect && !record.Missing && !record.State.Leaving() {
			table.AddToPool(server)
		}
	}
}

func routesByEndpoint(config route.Config) map[packet.Endpoint]*route.Route {
	routes := make(map[packet.Endpoint]*route.Route, len(config.Routes))
	for index := range config.Routes {
		routes[config.Routes[index].Endpoint] = &config.Routes[index]
	}
	return routes
}
