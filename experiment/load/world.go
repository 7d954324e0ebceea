package load

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"azureshift/core/fleet"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/steer"
	"azureshift/core/target"
	"azureshift/experiment/virtual"
)

const _service = id.Service("chiosco")

// world is the state of one simulation run.
type world struct {
	config     Config
	policyName PolicyName
	clock      virtual.Clock
	random     *rand.Rand
	servers    []*server
	// byCookie holds the servers by cookie, and reported the number of running and queued requests that each last
	// reported.
	byCookie map[packet.Cookie]*server
	reported map[packet.Cookie]int
	// knownCrashed holds the servers that instances know to have crashed, and draining those that get no new flows.
	knownCrashed map[packet.Cookie]bool
	draining     map[packet.Cookie]bool
	instances    []*instance
	zones        []*zone
	routes       map[packet.Endpoint]*route.Route
	// windowStart is the index of the first load in the next exchange, if an exchange does not include all loads.
	windowStart int
	result      Result
	lastPort    uint16
	// idealQueue is the single queue of the ideal policy.
	idealQueue []*request
}

// zone is a failure domain with its instances and clients.
type zone struct {
	Zone
	instances []*instance
	// idle holds the open flows of each kind that carry no request, the most recently used last.
	idle map[*Kind][]*flow
	rate float64
}

// instance is an entry instance.
type instance struct {
	zone     int
	policy   Policy
	loads    fleet.LoadEstimates
	typicals steer.Baselines
}

// flow is an open flow of a client.
type flow struct {
	header       packet.Header
	zone         int
	kind         *Kind
	server       *server
	instance     *instance
	lastUsed     time.Duration
	nextSequence uint32
	acked        uint32
	reset        bool
}

// request is one request of a client.
type request struct {
	kind    *Kind
	zone    int
	started time.Duration
	retries int
	flow    *flow
	done    bool
	// reachedServer says that the request reached a server.
	reachedServer bool
}

func newWorld(config Config, policyName PolicyName) *world {
	world := &world{
		config: config, policyName: policyName, random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		byCookie: make(map[packet.Cookie]*server), reported: make(map[packet.Cookie]int),
		knownCrashed: make(map[packet.Cookie]bool), draining: make(map[packet.Cookie]bool),
		routes: make(map[packet.Endpoint]*route.Route),
	}
	for index := range config.Kinds {
		kind := &config.Kinds[index]
		endpoint := packet.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: uint16(index + 1)}
		world.routes[endpoint] = &route.Route{
			Endpoint: endpoint, Kind: kind.Class, Timeout: kind.Timeout, Objective: kind.Objective,
			Priority: kind.Priority, Shares: []route.Share{{Service: _service, Weight: 1}},
		}
	}
	for number, described := range config.Zones {
		added := &zone{Zone: described, idle: make(map[*Kind][]*flow), rate: described.Rate}
		world.zones = append(world.zones, added)
		for range described.Servers {
			world.addServer(number, -config.ColdPeriod)
		}
		for range described.Instances {
			started := &instance{zone: number, policy: newPolicy(policyName, world)}
			started.loads.Slots = func(packet.Cookie) int { return config.Slots }
			started.loads.Seed = uint64(len(world.instances))
			world.instances = append(world.instances, started)
			added.instances = append(added.instances, started)
		}
	}
	return world
}

// addServer adds a server to a failure domain. It is cold until ColdPeriod after its start time.
func (world *world) addServer(zone int, started time.Duration) *server {
	number := len(world.servers) + 1
	added := &server{
		Target: target.Target{
			ID: id.Target(fmt.Sprintf("i-%08x", number)), Number: target.Number(number), Service: _service,
			Domain: world.config.Zones[zone].Domain, State: target.StateReady, Slots: world.config.Slots,
		},
		world: world, zone: zone, slowdown: 1, started: started, accountedAt: world.clock.Now(),
	}
	world.servers = append(world.servers, added)
	world.byCookie[packet.Cookie(number)] = added
	return added
}

// run simulates the deployment with a pattern.
func (world *world) run(pattern Pattern) Result {
	world.exchangeLoads()
	world.clock.Every(world.config.ExchangeInterval, world.exchangeLoads)
	world.clock.Every(time.Second, world.sampleLoads)
	for index := range world.zones {
		world.scheduleArrival(index)
	}
	pattern.Apply(world)
	world.clock.RunFor(world.config.Warmup + world.config.Duration)
	// Stop new arrivals and give requests in flight time to end.
	for _, zone := range world.zones {
		zone.rate = 0
	}
	world.clock.RunFor(2 * time.Second)
	world.result.summarize(world)
	return world.result
}

func (world *world) sampleLoads() {
	for cookie, server := range world.byCookie {
		world.reported[cookie] = server.running + len(server.queue)
	}
}

// exchangeLoads sums the loads that all instances observed, passes the sums to each instance and publishes new tables.
func (world *world) exchangeLoads() {
	now := world.clock.Now()
	sums := make(map[packet.Cookie]fleet.Load)
	for _, instance := range world.instances {
		for _, observation := range instance.policy.Report(now) {
			sums[observation.Cookie] = fleet.LoadOf(observation).Add(sums[observation.Cookie])
		}
	}
	exchanged := world.nextWindow(slices.SortedFunc(maps.Values(sums), func(left, right fleet.Load) int {
		return cmp.Compare(left.Cookie, right.Cookie)
	}))
	for _, instance := range world.instances {
		instance.loads.Update(now, exchanged)
	}
	world.publishTables()
}

// nextWindow returns the loads for this exchange. The others follow in the next exchanges, in order.
func (world *world) nextWindow(loads []fleet.Load) []fleet.Load {
	size := world.config.LoadsPerExchange
	if size == 0 || len(loads) <= size {
		return loads
	}
	world.windowStart %= len(loads)
	end := min(world.windowStart+size, len(loads))
	loads = loads[world.windowStart:end]
	world.windowStart = end
	return loads
}

// publishTables passes the table of known servers to every instance.
func (world *world) publishTables() {
	now := world.clock.Now()
	for number := range world.zones {
		table := world.tableFor(number)
		for _, instance := range world.zones[number].instances {
			instance.policy.Update(now, instance.measuredTable(now, table))
		}
	}
}

func (world *world) tableFor(zoneIndex int) *steer.Table {
	now := world.clock.Now()
	table := &steer.Table{
		Version: 1, Routes: world.routes, IdleTimeout: 15 * time.Second, ConfirmedAt: now, AllRegistered: true,
		LiveInstances: world.zones[zoneIndex].Instances,
	}
	for number, server := range world.servers {
		cookie := packet.Cookie(number + 1)
		known := &steer.Server{
			Target: server.Target, Cookie: cookie, Condition: steer.Usable,
			Hash: uint64(number+1) * 0x9E3779B97F4A7C15,
			Warm: now-server.started >= world.config.ColdPeriod,
		}
		table.Add(known)
		switch {
		case world.knownCrashed[cookie]:
			known.Condition = steer.Dead
		case world.draining[cookie]:
			known.Condition = steer.Leaving
		default:
			table.AddToPool(known)
		}
	}
	table.PreferDomain(world.zones[zoneIndex].Domain)
	return table
}

// measuredTable returns the table with the loads that the instance knows.
func (instance *instance) measuredTable(now time.Duration, table *steer.Table) *steer.Table {
	return table.WithMeasures(now, &instance.typicals, func(server *steer.Server) steer.Measure {
		return instance.loads.Measure(now, server.Cookie)
	})
}
