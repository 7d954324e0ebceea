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
	"azureshift/core/slowstart"
	"azureshift/core/steer"
	"azureshift/core/target"
	"azureshift/experiment/virtual"
)

const _service = id.Service("chiosco")

// simulation is the state of one run.
type simulation struct {
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
	// memberships holds what each instance knows of the others, if new flows to cold servers are limited.
	memberships []*slowstart.Membership
	zones       []*zone
	routes      map[packet.Endpoint]*route.Route
	// evacuated holds the failure domains whose servers get no new flows.
	evacuated map[int]bool
	// newerDemand and olderDemand are the last two reports of the demand that have arrived.
	newerDemand, olderDemand demandReport
	// lastPorts holds the last port of each client.
	lastPorts map[client]uint16
	// windowStart is the index of the first load in the next exchange, if an exchange does not include all loads.
	windowStart int
	result      Result
	lastPort    uint16
	// idealQueue is the single queue of the ideal policy.
	idealQueue []*request
	evenness   evenness
}

// zone is a failure domain with its instances and clients.
type zone struct {
	Zone
	instances []*instance
	// idle holds the open flows that carry no request, the most recently used last.
	idle map[flowPool][]*flow
	rate float64
}

// flowPool identifies the flows that one user reuses for one kind of request.
type flowPool struct {
	kind *Kind
	user int
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
	user    int
	started time.Duration
	retries int
	flow    *flow
	done    bool
	// reachedServer says that the request reached a server.
	reachedServer bool
}

func newSimulation(config Config, policyName PolicyName) *simulation {
	simulation := &simulation{
		config: config, policyName: policyName, random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		byCookie: make(map[packet.Cookie]*server), reported: make(map[packet.Cookie]int),
		knownCrashed: make(map[packet.Cookie]bool), draining: make(map[packet.Cookie]bool),
		evacuated: make(map[int]bool), lastPorts: make(map[client]uint16),
		routes: make(map[packet.Endpoint]*route.Route),
	}
	for index := range config.Kinds {
		kind := &config.Kinds[index]
		endpoint := packet.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: uint16(index + 1)}
		simulation.routes[endpoint] = &route.Route{
			Endpoint: endpoint, Kind: kind.Class, Timeout: kind.Timeout, Objective: kind.Objective,
			Priority: kind.Priority, Shares: []route.Share{{Service: _service, Weight: 1}},
		}
	}
	for number, described := range config.Zones {
		added := &zone{Zone: described, idle: make(map[flowPool][]*flow), rate: described.Rate}
		simulation.zones = append(simulation.zones, added)
		for range described.Servers {
			simulation.addServer(number, -config.ColdPeriod)
		}
		for range described.Instances {
			started := &instance{zone: number, policy: newPolicy(policyName, simulation)}
			started.loads.Slots = func(packet.Cookie) int { return config.Slots }
			started.loads.Seed = uint64(len(simulation.instances))
			simulation.instances = append(simulation.instances, started)
			added.instances = append(added.instances, started)
		}
	}
	simulation.createMemberships()
	return simulation
}

// addServer adds a server to a failure domain. It is cold until ColdPeriod after its start time.
func (simulation *simulation) addServer(zone int, started time.Duration) *server {
	number := len(simulation.servers) + 1
	added := &server{
		Target: target.Target{
			ID: id.Target(fmt.Sprintf("i-%08x", number)), Number: target.Number(number), Service: _service,
			Domain: simulation.config.Zones[zone].Domain, State: target.StateReady, Slots: simulation.config.Slots,
		},
		simulation: simulation, zone: zone, slowdown: 1, started: started, accountedAt: simulation.clock.Now(),
	}
	if speeds := simulation.config.Speeds; len(speeds) > 0 {
		added.slowdown = 1 / speeds[(number-1)%len(speeds)]
	}
	simulation.servers = append(simulation.servers, added)
	simulation.byCookie[packet.Cookie(number)] = added
	return added
}

// run simulates the deployment with a pattern.
func (simulation *simulation) run(pattern Pattern) Result {
	simulation.exchangeLoads()
	simulation.clock.Every(simulation.config.ExchangeInterval, simulation.exchangeLoads)
	simulation.clock.Every(time.Second, simulation.sampleLoads)
	simulation.clock.Every(_evennessWindow, simulation.closeWindow)
	for index := range simulation.zones {
		simulation.scheduleArrival(index)
	}
	pattern.Apply(simulation)
	simulation.clock.RunFor(simulation.config.Warmup + simulation.config.Duration)
	// Stop new arrivals and give requests in flight time to end.
	for _, zone := range simulation.zones {
		zone.rate = 0
	}
	simulation.clock.RunFor(2 * time.Second)
	simulation.result.summarize(simulation)
	return simulation.result
}

func (simulation *simulation) sampleLoads() {
	for cookie, server := range simulation.byCookie {
		simulation.reported[cookie] = server.running + len(server.queue)
	}
}

// exchangeLoads sums the loads that all instances observed, passes the sums to each instance and publishes new tables.
func (simulation *simulation) exchangeLoads() {
	now := simulation.clock.Now()
	sums := make(map[packet.Cookie]fleet.Load)
	for _, instance := range simulation.instances {
		for _, observation := range instance.policy.Report(now) {
			sums[observation.Cookie] = fleet.LoadOf(observation).Add(sums[observation.Cookie])
		}
	}
	exchanged := simulation.nextWindow(slices.SortedFunc(maps.Values(sums), func(left, right fleet.Load) int {
		return cmp.Compare(left.Cookie, right.Cookie)
	}))
	demand := simulation.collectDemand()
	simulation.clock.After(simulation.config.ExchangeDelay, func() {
		simulation.receiveDemand(demand)
		for _, instance := range simulation.instances {
			instance.loads.Update(simulation.clock.Now(), exchanged)
		}
		simulation.publishTables()
	})
}

// nextWindow returns the loads for this exchange. The others follow in the next exchanges, in order.
func (simulation *simulation) nextWindow(loads []fleet.Load) []fleet.Load {
	size := simulation.config.LoadsPerExchange
	if size == 0 || len(loads) <= size {
		return loads
	}
	simulation.windowStart %= len(loads)
	end := min(simulation.windowStart+size, len(loads))
	loads = loads[simulation.windowStart:end]
	simulation.windowStart = end
	return loads
}

// publishTables passes the table of known servers to every instance.
func (simulation *simulation) publishTables() {
	now := simulation.clock.Now()
	if simulation.config.SlowStartFlows > 0 {
		for number, instance := range simulation.instances {
			instance.policy.Update(now, instance.measuredTable(now, simulation.coldTableOf(number)))
		}
		return
	}
	for number := range simulation.zones {
		table := simulation.tableFor(number, func(*server, *steer.Server) {})
		for _, instance := range simulation.zones[number].instances {
			instance.policy.Update(now, instance.measuredTable(now, table))
		}
	}
}

// tableFor returns the table of the instances of a failure domain. The function adjusts each server of the table.
func (simulation *simulation) tableFor(
	zoneIndex int, adjust func(server *server, known *steer.Server),
) *steer.Table {
	now := simulation.clock.Now()
	table := &steer.Table{
		Version: 1, Routes: simulation.routes, IdleTimeout: 15 * time.Second, ConfirmedAt: now, AllRegistered: true,
		LiveInstances: len(simulation.zones[zoneIndex].instances),
		Placement:     simulation.config.Placement,
		Demand:        simulation.fleetDemand(zoneIndex),
	}
	for number, server := range simulation.servers {
		cookie := packet.Cookie(number + 1)
		known := &steer.Server{
			Target: server.Target, Cookie: cookie, Condition: steer.Usable,
			Hash: uint64(number+1) * 0x9E3779B97F4A7C15,
			Warm: now-server.started >= simulation.config.ColdPeriod,
		}
		adjust(server, known)
		table.Add(known)
		switch {
		case simulation.knownCrashed[cookie]:
			known.Condition = steer.Dead
		case simulation.draining[cookie]:
			known.Condition = steer.Leaving
		case simulation.evacuated[server.zone]:
		default:
			table.AddToPool(known)
		}
	}
	table.PreferDomain(simulation.zones[zoneIndex].Domain)
	return table
}

// measuredTable returns the table with the loads that the instance knows.
func (instance *instance) measuredTable(now time.Duration, table *steer.Table) *steer.Table {
	return table.WithMeasures(now, &instance.typicals, func(server *steer.Server) steer.Measure {
		return instance.loads.Measure(now, server.Cookie)
	})
}
