package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"azureshift/core/id"
	core "azureshift/core/membership"
)

// Node is one instance on a Network.
type Node struct {
	State   *core.State
	Record  core.Record
	Killed  bool
	paused  bool
	backlog []core.Event
}

// Network connects membership reducers in virtual time. It drops, delays, duplicates and blocks datagrams.
type Network struct {
	Now   time.Time
	Nodes []*Node
	Rand  *rand.Rand
	// LossRate and DuplicateRate are the shares of datagrams that are dropped and delivered twice.
	LossRate      float64
	DuplicateRate float64
	MaxDelay      time.Duration
	// Blocked reports whether datagrams between two nodes are blocked; nil blocks none.
	Blocked func(from, to *Node) bool
	// OnEffect is called for every effect other than a sent datagram.
	OnEffect func(node *Node, effect core.Effect)
	// MeasureBytes enables the encoding of each datagram, which adds its length to BytesSent and updates LongestMessage.
	MeasureBytes   bool
	BytesSent      int
	LongestMessage int
	Messages       int
	Events         int

	byAddress    map[netip.AddrPort]*Node
	pending      queue
	sequence     uint64
	tickInterval time.Duration
}

// NewNetwork returns a network without instances.
func NewNetwork(seed uint64) *Network {
	return &Network{
		Now:          time.Unix(0, 0),
		Rand:         rand.New(rand.NewPCG(seed, seed)),
		MaxDelay:     4 * time.Millisecond,
		byAddress:    map[netip.AddrPort]*Node{},
		tickInterval: 100 * time.Millisecond,
	}
}

// Add starts an instance that knows no other member. Its name and address are derived from number.
func (network *Network) Add(number int, incarnation id.Incarnation, domain id.Domain, disabled core.Disabled) *Node {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7000)
	member := id.Member{Instance: id.Instance(fmt.Sprintf("%s-%04d", domain, number)), Incarnation: incarnation}
	random := rand.New(rand.NewPCG(network.Rand.Uint64(), uint64(number)))
	node := &Node{Record: core.Record{Member: member, Domain: domain, Address: address, Status: core.Alive}}
	node.State = core.New(core.Config{
		Self: member, Domain: domain, Address: address, Random: random, Disabled: disabled,
	})
	network.Nodes = append(network.Nodes, node)
	network.byAddress[address] = node
	offset := time.Duration(network.Rand.Int64N(int64(network.tickInterval)))
	network.schedule(network.Now.Add(offset), node, nil)
	return node
}

// Introduce gives every instance the records of all instances.
func (network *Network) Introduce() {
	records := make([]core.Record, 0, len(network.Nodes))
	for _, node := range network.Nodes {
		records = append(records, node.Record)
	}
	for index, node := range network.Nodes {
		neighbour := records[(index+1)%len(records)]
		message := core.Message{Kind: core.Push, Sender: neighbour, Records: records}
		node.State.Reduce(core.MessageReceived{At: network.Now, From: neighbour.Address, Message: message})
	}
}

// Run advances virtual time by span and delivers the events due within it.
func (network *Network) Run(span time.Duration) {
	until := network.Now.Add(span)
	for len(network.pending) > 0 && !network.pending[0].at.After(until) {
		next := heap.Pop(&network.pending).(scheduledEvent)
		network.Now = next.at
		network.deliver(next)
	}
	network.Now = until
}

// Apply applies an event to an instance immediately and sends the resulting datagrams.
func (network *Network) Apply(node *Node, event core.Event) {
	network.Events++
	for _, effect := range node.State.Reduce(event) {
		outgoing, isSend := effect.(core.Send)
		if isSend {
			network.send(node, outgoing)
			continue
		}
		if network.OnEffect != nil {
			network.OnEffect(node, effect)
		}
	}
}

// Pause suspends an instance. Events that arrive meanwhile are kept until Resume.
func (network *Network) Pause(node *Node) { node.paused = true }

// Resume continues a paused instance with a Tick, followed by the datagrams that arrived meanwhile.
func (network *Network) Resume(node *Node) {
	node.paused = false
	network.Apply(node, core.Tick{At: network.Now})
	backlog := node.backlog
	node.backlog = nil
	for _, event := range backlog {
		messageReceived := event.(core.MessageReceived)
		messageReceived.At = network.Now
		network.Apply(node, messageReceived)
	}
}

func (network *Network) deliver(next scheduledEvent) {
	if next.node.Killed {
		return
	}
	if next.event == nil {
		network.schedule(next.at.Add(network.tickInterval), next.node, nil)
		next.event = core.Tick{At: next.at}
	} else if next.node.paused {
		next.node.backlog = append(next.node.backlog, next.event)
	}
	if !next.node.paused {
		network.Apply(next.node, next.event)
	}
}

func (network *Network) send(from *Node, outgoing core.Send) {
	network.Messages++
	if network.MeasureBytes {
		encoded, err := cbor.Marshal(outgoing.Message)
		if err == nil {
			network.BytesSent += len(encoded)
			network.LongestMessage = max(network.LongestMessage, len(encoded))
		}
	}
	to := network.byAddress[outgoing.To]
	if to == nil || (network.Blocked != nil && network.Blocked(from, to)) {
		return
	}
	network.transmit(from, to, outgoing.Message)
	if network.Rand.Float64() < network.DuplicateRate {
		network.transmit(from, to, outgoing.Message)
	}
}

func (network *Network) transmit(from, to *Node, message core.Message) {
	if network.Rand.Float64() < network.LossRate {
		return
	}
	at := network.Now.Add(time.Duration(network.Rand.Int64N(int64(network.MaxDelay))))
	network.schedule(at, to, core.MessageReceived{At: at, From: from.Record.Address, Message: message})
}

func (network *Network) schedule(at time.Time, node *Node, event core.Event) {
	network.sequence++
	heap.Push(&network.pending, scheduledEvent{at: at, sequence: network.sequence, node: node, event: event})
}

// scheduledEvent is an event due at a time; a nil event stands for a Tick.
type scheduledEvent struct {
	at       time.Time
	sequence uint64
	node     *Node
	event    core.Event
}

// queue is a heap of events in the order of their time, then of their scheduling.
type queue []scheduledEvent

func (queue queue) Len() int { return len(queue) }

func (queue queue) Less(left, right int) bool {
	if !queue[left].at.Equal(queue[right].at) {
		return queue[left].at.Before(queue[right].at)
	}
	return queue[left].sequence < queue[right].sequence
}

func (queue queue) Swap(left, right int) {
	queue[left], queue[right] = queue[right], queue[left]
}

func (queue *queue) Push(value any) { *queue = append(*queue, value.(scheduledEvent)) }

func (queue *queue) Pop() any {
	last := len(*queue) - 1
	value := (*queue)[last]
	(*queue)[last] = scheduledEvent{}
	*queue = (*queue)[:last]
	return value
}
