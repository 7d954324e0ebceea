package entry

import (
	"cmp"
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
	// _publishPause is the least time between two tables that differ only in what is measured.
	_publishPause = 250 * time.Millisecond
	// _measurePause is what each server adds to it: to measure one takes up to a microsecond, and measures shall take no
	// more than 1.5 % of a core. Of so many servers an instance hears each load only every few seconds.
	_measurePause = 70 * time.Microsecond
	// _publishMost keeps the table's age far below that at which a missing route is no longer taken for certain.
	_publishMost = 1200 * time.Millisecond
)

// publishPause returns the least time between two tables of a number of servers that differ only in what is measured.
func publishPause(servers int) time.Duration {
	return min(max(_publishPause, time.Duration(servers)*_measurePause), _publishMost)
}

// tables is what the traffic thread was last told.
type tables struct {
	// changed says that a server or route has changed, rerouted that the configuration has, and confirmed that the
	// same is known to be newer.
	changed   bool
	rerouted  bool
	confirmed bool
	published time.Duration
	// built is the table without measures, and until how long it holds if nothing changes.
	built *steer.Table
	until time.Duration
	// abandon lists servers whose flows are to be reset once the table says so.
	abandon []id.Target
	routes  map[packet.Endpoint]*route.Route
	cookies map[packet.Cookie]id.Target
	loads   fleet.Averages
	// typicals is how long servers usually run a request.
	typicals steer.Typicals
	// used is when this instance last forwarded a request to a server.
	used map[id.Target]time.Duration
}

// hear takes in loads of servers.
func (tables *tables) hear(now time.Duration, loads []fleet.Load) {
	tables.loads.Hear(now, loads)
	tables.confirmed = true
}

// forget drops what is no longer needed.
func (tables *tables) forget(now time.Duration) {
	for name, used := range tables.used {
		if now-used > _usedFor {
			delete(tables.used, name)
		}
	}
	tables.loads.Forget(func(cookie packet.Cookie) bool {
		_, known := tables.cookies[cookie]
		return known
	})
}

// publishIfChanged hands the traffic thread a new table. One that differs only in what is measured keeps the servers
// and pools of the one before, which at thousands of servers take long to build.
func (state *State) publishIfChanged() {
	tables := &state.tables
	settled := state.settled()
	rebuild := tables.built == nil || tables.changed || settled != tables.built.Settled || state.now >= tables.until
	due := tables.confirmed && state.now-tables.published >= publishPause(len(tables.cookies))
	if !rebuild && !due {
		return
	}
	if tables.rerouted || tables.routes == nil {
		tables.routes = routesOf(state.catalog.Routes())
	}
	if rebuild {
		tables.built = state.table(settled)
	}
	state.do(Publish{Table: state.measured(tables.built)})
	for _, name := range tables.abandon {
		if record, ok := state.catalog.Server(name); ok {
			state.do(Abandon{Cookie: target.CookieOf(record.Number)})
		}
	}
	tables.abandon = nil
	tables.changed, tables.rerouted, tables.confirmed = false, false, false
	tables.published = state.now
}

// measured returns a table with what is measured now.
func (state *State) measured(built *steer.Table) *steer.Table {
	loads := &state.tables.loads
	table := built.Measured(state.now, &state.tables.typicals, func(server *steer.Server) steer.Measure {
		return loads.Measure(state.now, server.Cookie)
	})
	table.Confirmed, table.Instances = state.reading.confirmed, state.fleet.Live(state.now)
	return table
}

func (state *State) table(settled bool) *steer.Table {
	config := state.catalog.Routes()
	records := state.catalog.Servers()
	table := &steer.Table{
		Version: config.Version, Routes: state.tables.routes, Idle: config.Idle, Settled: settled,
	}
	clear(state.tables.cookies)
	state.tables.until = math.MaxInt64
	for _, record := range records {
		state.add(table, record)
	}
	for _, record := range records {
		server, ok := table.Servers[target.CookieOf(record.Number)]
		if ok && server.ID == record.ID && server.Condition == steer.Usable {
			table.Offer(server)
		}
	}
	state.addSuspects(table)
	table.Prefer(state.config.Self.Domain)
	return table
}

// add makes a server known to the traffic thread. Of two with one cookie the elder is known.
func (state *State) add(table *steer.Table, record *catalog.Record) {
	cookie := target.CookieOf(record.Number)
	if other, ok := table.Servers[cookie]; ok {
		if cmp.Compare(other.Born, record.Born) <= 0 {
			state.do(Note{Kind: NoteCollision, Server: record.ID, Value: string(other.ID)})
			return
		}
		state.do(Note{Kind: NoteCollision, Server: other.ID, Value: string(record.ID)})
	}
	table.Add(&steer.Server{
		Target:    record.Target,
		Cookie:    cookie,
		Condition: state.condition(record),
		Hash:      xxhash.Sum64String(string(record.ID)),
		Warm:      state.now >= record.Seen+record.Warmup,
	})
	state.tables.cookies[cookie] = record.ID
	state.tables.rebuildAt(state.now, record.Seen+record.Warmup)
	if record.Missing {
		state.tables.rebuildAt(state.now, state.keepUntil(record)+1)
	}
}

// rebuildAt has the table built again at a moment to come, when what is known of a server changes by itself.
func (tables *tables) rebuildAt(now, at time.Duration) {
	if at > now {
		tables.until = min(tables.until, at)
	}
}

// addSuspects lets suspect servers take new flows of services that have no others: a wrong suspicion must not end a
// service.
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
			table.Offer(server)
		}
	}
}

func routesOf(config route.Config) map[packet.Endpoint]*route.Route {
	routes := make(map[packet.Endpoint]*route.Route, len(config.Routes))
	for index := range config.Routes {
		routes[config.Routes[index].Endpoint] = &config.Routes[index]
	}
	return routes
}
