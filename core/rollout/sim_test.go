package rollout_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
	"azureshift/core/id"
	"azureshift/core/rollout"
)

const (
	_tickPeriod   = 50 * time.Millisecond
	_gossipPeriod = 200 * time.Millisecond
	_gossipPeers  = 3
	_minLatency   = 1500 * time.Microsecond
)

// network simulates followers, the platform and gossip in virtual time.
type network struct {
	c             *qt.C
	random        *rand.Rand
	now           time.Time
	queue         queue
	key           bundle.SigningKey
	verifier      *verifier
	disabled      rollout.Disabled
	domains       []id.Domain
	nodes         []*node
	platformHead  bundle.Head
	platformParts map[bundle.Hash][]byte
	rolledAt      map[bundle.Digest]time.Time // of every head that the platform ever had
	lossRate      float64                     // of messages between members and of answers to watches of the platform
	forgeryRate   float64                     // of parts that members send
	partitioned   map[[2]id.Domain]bool       // pairs of failure domains
	platformCut   map[id.Domain]bool          // failure domains that cannot reach the platform
	platformCalls int
	partFetches   int
	bytesSent     int      // between members
	skipChecks    bool     // skips the content checks of applied bundles, which take more CPU time than the followers
	violations    []string // of invariants, found by the followers or by the simulation
	refusals      int
	applyDelays   []time.Duration // from the roll of the platform's head to its application, one for each node
}

// node is a simulated instance.
type node struct {
	member      id.Member
	domain      id.Domain
	state       *rollout.State
	watching    bool
	version     id.Version
	bytesServed int
}

// scheduledEvent is a call at a point of virtual time. Calls at the same time run in the order of sequence.
type scheduledEvent struct {
	at       time.Time
	sequence int
	run      func()
}

// queue is a heap of scheduled events, earliest first.
type queue struct {
	items        []scheduledEvent
	lastSequence int
}

func (queue *queue) Len() int { return len(queue.items) }
func (queue *queue) Less(left, right int) bool {
	if queue.items[left].at.Equal(queue.items[right].at) {
		return queue.items[left].sequence < queue.items[right].sequence
	}
	return queue.items[left].at.Before(queue.items[right].at)
}

func (queue *queue) Swap(left, right int) {
	queue.items[left], queue.items[right] = queue.items[right], queue.items[left]
}
func (queue *queue) Push(item any) { queue.items = append(queue.items, item.(scheduledEvent)) }
func (queue *queue) Pop() any {
	last := queue.items[len(queue.items)-1]
	queue.items = queue.items[:len(queue.items)-1]
	return last
}

func newNetwork(c *qt.C, seed uint64, domains, members int, disabled rollout.Disabled) *network {
	key, ring := newKey(c)
	network := &network{
		c: c, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0), key: key, verifier: newVerifier(ring),
		disabled: disabled, platformParts: make(map[bundle.Hash][]byte), rolledAt: make(map[bundle.Digest]time.Time),
		partitioned: make(map[[2]id.Domain]bool), platformCut: make(map[id.Domain]bool),
	}
	for index := range domains {
		network.domains = append(network.domains, id.Domain(fmt.Sprintf("domain-%d", index)))
	}
	for index := range members {
		node := &node{domain: network.domains[index%domains]}
		node.member = id.Member{Instance: id.Instance(fmt.Sprintf("entry-%04d", index)), Incarnation: 1}
		network.nodes = append(network.nodes, node)
	}
	for _, node := range network.nodes {
		network.replaceFollower(node)
		network.scheduleEvery(_tickPeriod, func() { network.deliver(node, rollout.Tick{At: network.now}) })
		network.scheduleEvery(_gossipPeriod, func() { network.gossip(node) })
	}
	return network
}

// newKey returns a signing key and a key ring that accepts it.
func newKey(c *qt.C) (bundle.SigningKey, bundle.KeyRing) {
	key, err := bundle.NewSigningKey()
	c.Assert(err, qt.IsNil)
	public, err := key.PublicPEM()
	c.Assert(err, qt.IsNil)
	ring, err := bundle.ParseKeyRing(public)
	c.Assert(err, qt.IsNil)
	return key, ring
}

// replaceFollower gives the node an empty follower, as if the instance had been replaced.
func (network *network) replaceFollower(node *node) {
	random := rand.New(rand.NewPCG(network.random.Uint64(), 2))
	config := rollout.DefaultConfig(node.member, network.verifier, random)
	config.Disabled = network.disabled
	node.state, node.watching, node.version = rollout.New(config), false, 0
	network.deliver(node, rollout.MembersChanged{At: network.now, Members: network.membersOf(node.domain)})
}

func (network *network) membersOf(domain id.Domain) []id.Member {
	var members []id.Member
	for _, node := range network.nodes {
		if node.domain == domain {
			members = append(members, node.member)
		}
	}
	return members
}

// schedule runs a function after a delay.
func (network *network) schedule(delay time.Duration, run func()) {
	network.queue.lastSequence++
	heap.Push(&network.queue, scheduledEvent{at: network.now.Add(delay), sequence: network.queue.lastSequence, run: run})
}

// scheduleEvery runs a function periodically, with a random phase.
func (network *network) scheduleEvery(period time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		network.schedule(period, again)
	}
	network.schedule(time.Duration(network.random.Int64N(int64(period))), again)
}

// run processes the scheduled events of the given duration.
func (network *network) run(duration time.Duration) {
	end := network.now.Add(duration)
	for network.queue.Len() > 0 && !network.queue.items[0].at.After(end) {
		next := heap.Pop(&network.queue).(scheduledEvent)
		network.now = next.at
		next.run()
	}
	network.now = end
}

// roll signs a bundle off, stores it at the platform and notifies the watching nodes.
func (network *network) roll(unsigned bundle.Bundle) bundle.Head {
	signed, err := network.key.Sign(unsigned, network.now)
	network.c.Assert(err, qt.IsNil)
	parts, err := signed.Parts()
	network.c.Assert(err, qt.IsNil)
	for _, part := range parts {
		network.platformParts[part.Hash] = part.Bytes
	}
	network.platformHead, network.applyDelays = signed.Head, nil
	network.rolledAt[signed.Head.Digest()] = network.now
	for _, node := range network.nodes {
		if node.watching {
			network.answerWatch(node)
		}
	}
	return signed.Head
}

// answerWatch sends the platform's head to a watching node. If the platform cannot be reached, the node tries again
// after a second.
func (network *network) answerWatch(node *node) {
	network.platformCalls++
	delay := network.randomDelay()
	if network.platformCut[node.domain] || network.random.Float64() < network.lossRate {
		delay = time.Second
		network.schedule(delay, func() {
			if node.watching {
				network.answerWatch(node)
			}
		})
		return
	}
	head := network.platformHead
	network.schedule(delay, func() {
		if head.Version > 0 {
			network.deliver(node, rollout.HeadReceived{At: network.now, Head: head, From: rollout.Platform})
		}
	})
}

// gossip advertises the node's version to random nodes.
func (network *network) gossip(node *node) {
	if node.state.Head().Version == 0 {
		return
	}
	for range _gossipPeers {
		peer := network.nodes[network.random.IntN(len(network.nodes))]
		if network.canExchange(node, peer) {
			event := rollout.VersionAdvertised{Member: node.member, Version: node.state.Head().Version}
			network.schedule(network.randomDelay(), func() {
				event.At = network.now
				network.deliver(peer, event)
			})
		}
	}
}

// canExchange reports whether two nodes can exchange messages and, at random, whether this message arrives.
func (network *network) canExchange(from, to *node) bool {
	return !network.partitioned[[2]id.Domain{from.domain, to.domain}] &&
		!network.partitioned[[2]id.Domain{to.domain, from.domain}] &&
		network.random.Float64() >= network.lossRate
}

// randomDelay returns a random one-way latency.
func (network *network) randomDelay() time.Duration {
	return _minLatency + time.Duration(network.random.Int64N(int64(_minLatency)))
}

func (network *network) findNode(member id.Member) *node {
	for _, node := range network.nodes {
		if node.member == member {
			return node
		}
	}
	return nil
}

// sampleBundle returns a valid bundle. Bundles of two versions differ in their first service only.
func sampleBundle(version id.Version, services, targets int) bundle.Bundle {
	sample := bundle.Bundle{Version: version}
	for index := range services {
		service := bundle.Service{Name: id.Service(fmt.Sprintf("service-%04d", index)), Customer: "Valtellina"}
		service.Address = netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(1001+index))
		for number := range targets {
			target := bundle.Target{Name: id.Target(fmt.Sprintf("%s-%02d", service.Name, number)), Domain: "morbegno"}
			address := netip.AddrFrom4([4]byte{10, byte(index >> 8), byte(index), byte(number + 1)})
			target.Address = netip.AddrPortFrom(address, 5683)
			service.Targets = append(service.Targets, target)
		}
		sample.Services = append(sample.Services, service)
	}
	sample.Services[0].Targets[0].Connections = int(version) + 1000
	return sample.WithDefaults()
}
