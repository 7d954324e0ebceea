package core_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
	"azureshift/core"
	"azureshift/core/epoch"
	"azureshift/core/flow"
	"azureshift/core/id"
	"azureshift/core/membership"
	"azureshift/core/placement"
)

const (
	_perDomain    = 3
	_maxDelay     = 4 * time.Millisecond
	_maxLongDelay = 80 * time.Millisecond
	// _idleSpan is short, so that all instances have run for longer when bundles change.
	_idleSpan  = 20 * time.Second
	_startUnix = 1_800_000_000
)

var _domains = []id.Domain{"erba", "lecco", "varese"}

// options configures a simulation: its seed, the network and changes to the configuration of the instances.
type options struct {
	seed uint64
	// lossPercent is the percentage of datagrams that are lost, both between instances and from callers.
	lossPercent int
	configure   func(config *core.Config)
}

// sim simulates a fleet of control states in virtual time, with the network, the platform, targets and callers.
type sim struct {
	options
	c            *qt.C
	random       *rand.Rand
	now          time.Time
	queue        queue
	nodes        []*node
	key          bundle.SigningKey
	keyRing      bundle.KeyRing
	cut          map[id.Domain]bool
	views        map[id.Domain]epoch.View
	head         bundle.Head
	parts        map[bundle.Hash][]byte
	bundle       bundle.Bundle
	platformDown bool
	oracle       *oracle
}

// node is an instance across its restarts. The fields from state on belong to the current incarnation.
type node struct {
	member       id.Member
	domain       id.Domain
	address      netip.AddrPort
	state        *core.State
	routes       *core.Routes
	path         *placement.Datapath
	heldArrivals map[id.Flow][]arrival
	inFlight     int
	watching     bool
	handedOver   bool
	alive        bool
	left         bool
	startedAt    time.Time
	pausedUntil  time.Time
	lastExpiry   time.Time
	version      id.Version
}

func newSim(c *qt.C, options options) *sim {
	key, err := bundle.NewSigningKey()
	c.Assert(err, qt.IsNil)
	public, err := key.PublicPEM()
	c.Assert(err, qt.IsNil)
	ring, err := bundle.ParseKeyRing(public)
	c.Assert(err, qt.IsNil)
	sim := &sim{
		options: options, c: c, random: rand.New(rand.NewPCG(options.seed, 1)), now: time.Unix(_startUnix, 0),
		key: key, keyRing: ring, cut: make(map[id.Domain]bool), views: make(map[id.Domain]epoch.View),
		parts: make(map[bundle.Hash][]byte), oracle: newOracle(),
	}
	for index := range len(_domains) * _perDomain {
		node := &node{domain: _domains[index%len(_domains)]}
		node.member.Instance = id.Instance(fmt.Sprintf("entry-%d", index))
		node.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index + 1)}), 7000)
		sim.nodes = append(sim.nodes, node)
	}
	for _, node := range sim.nodes {
		sim.start(node)
	}
	sim.roll(firstBundle())
	sim.run(_idleSpan + 5*time.Second)
	return sim
}

// start starts a new incarnation with an empty state.
func (sim *sim) start(node *node) {
	node.member.Incarnation = max(node.member.Incarnation+1, id.Incarnation(sim.now.UnixNano()))
	config := core.DefaultConfig(node.member, node.domain, node.address)
	config.Random = rand.New(rand.NewPCG(sim.random.Uint64(), 2))
	config.Verifier = sim.keyRing
	config.Flows.IdleTimeout = _idleSpan
	if sim.configure != nil {
		sim.configure(&config)
	}
	node.state, node.routes = core.New(config), nil
	node.path = &placement.Datapath{Table: flow.NewTable(sim.now)}
	node.heldArrivals, node.inFlight, node.version = make(map[id.Flow][]arrival), 0, 0
	node.watching, node.handedOver, node.left, node.alive = false, false, false, true
	node.startedAt, node.pausedUntil = sim.now, sim.now
	sim.sendHint(node, node.member)
	sim.tick(node, node.member)
}

func (sim *sim) kill(node *node) { node.alive = false }

func (sim *sim) tick(node *node, member id.Member) {
	if !node.alive || node.member != member {
		return
	}
	sim.schedule(core.TickInterval, func() { sim.tick(node, member) })
	if !sim.now.Before(node.pausedUntil) {
		sim.reduce(node, core.Tick{At: sim.now})
		sim.expire(node)
	}
}

// expire removes idle flows from the flow table once a second.
func (sim *sim) expire(node *node) {
	if sim.now.Sub(node.lastExpiry) < time.Second {
		return
	}
	node.lastExpiry = sim.now
	if ended := node.path.Table.Expire(sim.now.Add(-_idleSpan)); len(ended) > 0 {
		sim.reduce(node, core.FlowEvent{Event: placement.FlowsExpired{At: sim.now, Flows: ended}})
	}
}

// sendHint periodically sends the platform's list of instances to the instance, more often after its start.
func (sim *sim) sendHint(node *node, member id.Member) {
	if !node.alive || node.member != member {
		return
	}
	wait := 5 * time.Second
	if sim.now.Sub(node.startedAt) < 10*time.Second {
		wait = 500 * time.Millisecond
	}
	sim.schedule(wait, func() { sim.sendHint(node, member) })
	if !sim.platformUp(node) {
		return
	}
	peerList := membership.PeerList{At: sim.now}
	for _, other := range sim.nodes {
		if other != node && other.alive {
			peerList.Peers = append(peerList.Peers, membership.Peer{Instance: other.member.Instance, Address: other.address})
		}
	}
	sim.post(node, core.MemberEvent{Event: peerList})
}

func (sim *sim) platformUp(node *node) bool { return !sim.platformDown && !sim.cut[node.domain] }

// deliver runs a function at the current incarnation of an instance after a delay, once the instance is not paused.
func (sim *sim) deliver(node *node, wait time.Duration, run func()) {
	member := node.member
	sim.schedule(wait, func() {
		switch {
		case !node.alive || node.member != member:
		case sim.now.Before(node.pausedUntil):
			sim.deliver(node, node.pausedUntil.Sub(sim.now), run)
		default:
			run()
		}
	})
}

// transmit delivers a datagram between instances with a random delay. It may lose or duplicate the datagram.
func (sim *sim) transmit(from, to *node, run func()) {
	if !sim.reaches(from, to) || sim.random.IntN(100) < sim.lossPercent {
		return
	}
	for range 1 + sim.random.IntN(50)/49 {
		wait := sim.randomDelay(_maxDelay)
		if sim.random.IntN(40) == 0 {
			wait = sim.randomDelay(_maxLongDelay)
		}
		sim.deliver(to, wait, run)
	}
}

func (sim *sim) reaches(from, to *node) bool {
	return to.alive && (from.domain == to.domain || !sim.cut[from.domain] && !sim.cut[to.domain])
}

func (sim *sim) nodeAt(address netip.AddrPort) *node {
	index := slices.IndexFunc(sim.nodes, func(node *node) bool { return node.address == address })
	return sim.nodes[index]
}

func (sim *sim) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(limit))) + 1
}

func (sim *sim) schedule(wait time.Duration, run func()) {
	sim.queue.count++
	heap.Push(&sim.queue, scheduled{at: sim.now.Add(wait), order: sim.queue.count, run: run})
}

func (sim *sim) run(span time.Duration) {
	end := sim.now.Add(span)
	for sim.queue.Len() > 0 && !sim.queue.items[0].at.After(end) {
		next := heap.Pop(&sim.queue).(scheduled)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

func (sim *sim) reduce(node *node, event core.Event) {
	for _, effect := range slices.Clone(node.state.Reduce(event)) {
		sim.execute(node, effect)
	}
}

// post delivers an event to an instance without delay, but not within the current call of Reduce.
func (sim *sim) post(node *node, event core.Event) {
	sim.deliver(node, 0, func() { sim.reduce(node, event) })
}

type scheduled struct {
	at    time.Time
	order int
	run   func()
}

type queue struct {
	items []scheduled
	count int
}

func (queue *queue) Len() int { return len(queue.items) }
func (queue *queue) Less(left, right int) bool {
	if queue.items[left].at.Equal(queue.items[right].at) {
		return queue.items[left].order < queue.items[right].order
	}
	return queue.items[left].at.Before(queue.items[right].at)
}

func (queue *queue) Swap(left, right int) {
	queue.items[left], queue.items[right] = queue.items[right], queue.items[left]
}
func (queue *queue) Push(item any) { queue.items = append(queue.items, item.(scheduled)) }
func (queue *queue) Pop() any {
	last := queue.items[len(queue.items)-1]
	queue.items = queue.items[:len(queue.items)-1]
	return last
}
