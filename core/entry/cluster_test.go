package entry

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/catalog"
	"azureshift/core/detector"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/steer"
	"azureshift/core/target"
	"azureshift/experiment/virtual"
)

const (
	_drainLimit = 3 * time.Second
	// _evacuationLimit is no stricter than the other limits, so that it changes no timing.
	_evacuationLimit = 3 * time.Second
	// _convergenceTime is how long an instance must have reached the store before it is checked.
	_convergenceTime = 4 * time.Second
	_storeDelay      = 4 * time.Millisecond
	_callTimeout     = time.Second
	_tickInterval    = 100 * time.Millisecond
	// _ticksPerObservation is the number of ticks between reports of the traffic thread.
	_ticksPerObservation = 5
)

// cluster simulates instances with a store, a network and backend servers in virtual time.
type cluster struct {
	// maxFetched is the largest number of entries in one fetch.
	maxFetched int
	c          *qt.C
	random     *rand.Rand
	clock      virtual.Clock
	now        time.Duration
	loss       float64
	nodes      map[netip.AddrPort]*node
	servers    map[id.Target]*backend
	store      fakeStore
	// partitioned reports whether two failure domains cannot reach each other. The empty domain is the store's.
	partitioned func(left, right id.Domain) bool
	// saturated holds instances whose link is saturated, so that their probes are lost.
	saturated map[id.Instance]bool
	// slowStart bounds new flows to servers in slow start, and slowStartLeft is the slow start of new servers.
	slowStart     SlowStartLimit
	slowStartLeft time.Duration
	// sentMessages is the number of messages between instances.
	sentMessages int
	// onSend, if set, is called for each message.
	onSend func(node *node, effect Send)
	// evacuationLimit is the limit of instances that start from now on; zero disables evacuations.
	evacuationLimit time.Duration
}

type backend struct {
	target.Target
	alive     bool
	startedAt time.Duration
	changedAt time.Duration
	// retired says that the server must get no new flows.
	retired bool
}

type node struct {
	self           catalog.Instance
	state          *State
	table          *steer.Table
	alive          bool
	ready          bool
	reachableSince time.Duration
	version        route.Version
	generation     int
	ticks          int
	// reduceTime is the time spent in Reduce, and observations and demands what the traffic thread reports.
	reduceTime   time.Duration
	observations []steer.Observation
	demands      []steer.Demand
	// notes are what the instance logged, and resets the servers whose flows it reset.
	notes  []Note
	resets []packet.Cookie
	// isEarlierVersion says that the instance understands no route that it reads from the store.
	isEarlierVersion bool
}

func newCluster(c *qt.C, seed uint64) *cluster {
	return &cluster{
		c:       c,
		random:  rand.New(rand.NewPCG(seed, seed)),
		nodes:   make(map[netip.AddrPort]*node),
		servers: make(map[id.Target]*backend),
		store: fakeStore{
			entries: make(map[string]catalog.Entry), refused: make(map[id.Instance]bool),
			silentReads: make(map[id.Instance]bool),
			disruptedAt: -time.Hour,
		},
		partitioned: func(id.Domain, id.Domain) bool { return false },
		saturated:   make(map[id.Instance]bool),

		evacuationLimit: _evacuationLimit,
	}
}

func (cluster *cluster) after(delay time.Duration, run func()) {
	cluster.clock.After(delay, func() {
		cluster.now = cluster.clock.Now()
		run()
	})
}

func (cluster *cluster) runFor(span time.Duration) {
	cluster.clock.RunFor(span)
	cluster.now = cluster.clock.Now()
}

// addNode starts an instance. The first instances of the failure domains a and b are the seeds.
func (cluster *cluster) addNode(domain id.Domain, number, capacity int) *node {
	name := id.Instance(fmt.Sprintf("%s-%d", domain, number))
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, domain[0], 0, byte(number)}), 8166)
	added := &node{self: catalog.Instance{Name: name, Domain: domain, Address: address, Capacity: capacity}}
	cluster.nodes[address] = added
	cluster.start(added)
	return added
}

func (cluster *cluster) start(node *node) {
	node.generation++
	node.alive, node.ready, node.table, node.version = true, false, nil, 0
	node.reachableSince = cluster.now
	node.self.Incarnation = id.Incarnation(cluster.now) + 1
	node.state = New(Config{
		Self: node.self,
		Limits: Limits{
			Drain: _drainLimit, Convergence: _drainLimit, MaxFlowLife: time.Minute, MinLease: time.Second,
			Evacuation: cluster.evacuationLimit,
			SlowStart:  cluster.slowStart,
		},
		Seeds:  []Address{netip.MustParseAddrPort("10.97.0.1:8166"), netip.MustParseAddrPort("10.98.0.1:8166")},
		Random: cluster.random.Float64,
	})
	cluster.execute(node, node.state.Start(cluster.now))
	cluster.scheduleTick(node, node.generation)
}

func (cluster *cluster) kill(node *node) {
	node.alive = false
}

func (cluster *cluster) scheduleTick(node *node, generation int) {
	cluster.after(_tickInterval, func() {
		if node.alive && node.generation == generation {
			cluster.reduce(node, Tick{At: cluster.now})
			if node.ticks++; node.ticks%_ticksPerObservation == 0 {
				cluster.reduce(node, Observed{At: cluster.now, Observations: node.observations, Demands: node.demands})
			}
			cluster.scheduleTick(node, generation)
		}
	})
}

func (cluster *cluster) reduce(node *node, event Event) {
	start := time.Now()
	effects := node.state.Reduce(event)
	node.reduceTime += time.Since(start)
	cluster.execute(node, effects)
}

// schedule delivers an event after a delay, unless the instance has ended or restarted by then.
func (cluster *cluster) schedule(node *node, delay time.Duration, event func() Event) {
	generation := node.generation
	cluster.after(delay, func() {
		if node.alive && node.generation == generation {
			cluster.reduce(node, event())
		}
	})
}

func (cluster *cluster) execute(node *node, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case List:
			cluster.list(node)
		case Follow:
			cluster.follow(node, effect)
		case Fetch:
			cluster.fetch(node, effect)
		case ReadConfig:
			cluster.readConfig(node, effect)
		case Register:
			cluster.register(node)
		case Renew:
			cluster.renew(node, effect)
		case Probe:
			cluster.probe(node, effect)
		case Send:
			cluster.send(node, effect)
		case Publish:
			node.table = effect.Table
			cluster.c.Assert(effect.Table.Version >= node.version, qt.IsTrue,
				qt.Commentf("%s published an older configuration", node.self.Name))
			node.version = effect.Table.Version
		case SetReady:
			node.ready = effect.Ready
		case Note:
			node.notes = append(node.notes, effect)
		case ResetFlows:
			node.resets = append(node.resets, effect.Cookies...)
		case Unregister:
		}
	}
}

func (cluster *cluster) fetch(node *node, effect Fetch) {
	other, ok := cluster.nodes[effect.From]
	if !ok || !other.alive || cluster.partitioned(node.self.Domain, other.self.Domain) {
		cluster.schedule(node, _callTimeout, func() Event { return FetchFailed{At: cluster.now, From: effect.From} })
		return
	}
	view := other.state.View(cluster.now, effect.Known)
	cluster.maxFetched = max(cluster.maxFetched, len(view.Entries))
	if view.Revision == 0 {
		cluster.schedule(node, _storeDelay, func() Event { return FetchFailed{At: cluster.now, From: effect.From} })
		return
	}
	cluster.schedule(node, _storeDelay, func() Event { return Fetched{At: cluster.now, From: effect.From, View: view} })
}

func (cluster *cluster) send(node *node, effect Send) {
	cluster.sentMessages++
	if cluster.onSend != nil {
		cluster.onSend(node, effect)
	}
	other, ok := cluster.nodes[effect.To]
	if !ok || cluster.partitioned(node.self.Domain, other.self.Domain) || cluster.random.Float64() < cluster.loss {
		return
	}
	delay := time.Duration(1+cluster.random.IntN(3)) * time.Millisecond
	cluster.after(delay, func() {
		if other.alive {
			cluster.reduce(other, MessageReceived{At: cluster.now, Message: effect.Message})
		}
	})
}

func (cluster *cluster) probe(node *node, effect Probe) {
	server := cluster.servers[effect.Server]
	probeResult, delay := detector.ProbeAnswered, 2*time.Millisecond
	switch {
	case cluster.partitioned(node.self.Domain, server.Domain) || cluster.saturated[node.self.Name]:
		probeResult, delay = detector.ProbeTimedOut, 150*time.Millisecond
	case !server.alive:
		probeResult = detector.ProbeRefused
	}
	cluster.schedule(node, delay,
		func() Event { return Probed{At: cluster.now, Server: effect.Server, Result: probeResult} })
}

// addServer starts a backend server and registers it.
func (cluster *cluster) addServer(domain id.Domain, number int) *backend {
	name := id.Target(fmt.Sprintf("i-%08x", number))
	added := &backend{
		Target: target.Target{
			ID: name, Number: target.Number(number), Service: "chiosco", Domain: domain, Slots: 3,
			State: target.StateReady, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 64, byte(number)}), 80),
			StartTime: target.StartTime(1 + cluster.now.Milliseconds()), SlowStartLeft: cluster.slowStartLeft,
		},
		alive: true, startedAt: cluster.now, changedAt: cluster.now,
	}
	cluster.servers[name] = added
	cluster.registerServer(added)
	return added
}

func (cluster *cluster) registerServer(server *backend) {
	registration := server.Target
	cluster.write("server/"+string(server.ID), catalog.Entry{Server: &registration}, nil)
}

func (cluster *cluster) drainServer(server *backend) {
	server.State, server.retired, server.changedAt = target.StateDraining, true, cluster.now
	cluster.registerServer(server)
}

func (cluster *cluster) endServer(server *backend) {
	server.alive, server.retired, server.changedAt = false, true, cluster.now
	cluster.write("server/"+string(server.ID), catalog.Entry{MissingServer: server.ID}, nil)
}

func (cluster *cluster) orderedServers() []*backend {
	servers := slices.Collect(maps.Values(cluster.servers))
	slices.SortFunc(servers, func(left, right *backend) int { return cmp.Compare(left.ID, right.ID) })
	return servers
}

func countFollowers(cluster *cluster) int {
	count := 0
	for _, node := range cluster.nodes {
		if node.alive && node.state.reading.active {
			count++
		}
	}
	return count
}

// check checks the instances that have reached the store without a disruption for _convergenceTime.
func (cluster *cluster) check() {
	cluster.c.Helper()
	if cluster.store.down || cluster.now-cluster.store.disruptedAt < _convergenceTime {
		return
	}
	for _, node := range cluster.nodes {
		if !cluster.reachesStore(node) {
			node.reachableSince = cluster.now
		}
		if node.alive && cluster.now-node.reachableSince >= _convergenceTime {
			cluster.checkNode(node)
		}
	}
}

func (cluster *cluster) checkNode(node *node) {
	cluster.c.Helper()
	cluster.c.Assert(node.table, qt.IsNotNil, qt.Commentf("%s has no table at %s", node.self.Name, cluster.now))
	if cluster.now-cluster.store.configuredAt > _drainLimit {
		cluster.c.Assert(node.table.Version, qt.Equals, cluster.store.config.Version,
			qt.Commentf("%s at %s", node.self.Name, cluster.now))
	}
	for _, pool := range node.table.Pools {
		for _, zone := range pool.Zones {
			for _, server := range zone.Servers {
				actual := cluster.servers[server.ID]
				late := actual.retired && cluster.now-actual.changedAt > _drainLimit
				cluster.c.Assert(late, qt.IsFalse, qt.Commentf("%s still offers flows to %s at %s",
					node.self.Name, server.ID, cluster.now))
				cluster.checkEvacuation(node, server)
			}
		}
	}
	cluster.checkReopened(node)
	for _, server := range node.table.Servers {
		if server.Condition == steer.Dead {
			cluster.c.Assert(cluster.servers[server.ID].alive, qt.IsFalse,
				qt.Commentf("%s is alive but counts as dead", server.ID))
		}
	}
}

// checkFor runs the cluster and calls check every 50 ms.
func (cluster *cluster) checkFor(span time.Duration) {
	cluster.c.Helper()
	for end := cluster.now + span; cluster.now < end; {
		cluster.runFor(50 * time.Millisecond)
		cluster.check()
	}
}

// startCluster returns a cluster with the given numbers of instances and servers in each of three failure domains.
func startCluster(c *qt.C, seed uint64, instances, servers int) *cluster {
	cluster := newCluster(c, seed)
	cluster.populate(instances, servers)
	return cluster
}

// populate starts the given numbers of instances and servers in each of three failure domains.
func (cluster *cluster) populate(instances, servers int) {
	cluster.configure(3)
	number := 0
	for _, domain := range []id.Domain{"a", "b", "c"} {
		for index := range instances {
			cluster.addNode(domain, index+1, 61)
		}
		for range servers {
			number++
			cluster.addServer(domain, number)
		}
	}
}

func (cluster *cluster) orderedNodes() []*node {
	var nodes []*node
	for _, domain := range []byte{'a', 'b', 'c'} {
		for number := 1; ; number++ {
			node, ok := cluster.nodes[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, domain, 0, byte(number)}), 8166)]
			if !ok {
				break
			}
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func relaysByDomain(cluster *cluster) map[id.Domain]int {
	counts := make(map[id.Domain]int)
	for _, node := range cluster.nodes {
		if node.alive && node.state.relaying.active {
			counts[node.self.Domain]++
		}
	}
	return counts
}

func leftEntry(node *node) catalog.Entry {
	return catalog.Entry{MissingInstance: node.self.Name}
}
