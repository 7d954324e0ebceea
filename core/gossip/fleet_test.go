package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"azureshift/core/gossip"
	"azureshift/core/id"
)

const (
	_step = 100 * time.Millisecond
	// _contactsPerStep is the number of digests that an instance gets with probes and their answers, 17 a second.
	_contactsPerStep = 1.7
)

// fleet connects the states of instances in steps of virtual time; each message takes one step.
type fleet struct {
	now            time.Time
	rand           *rand.Rand
	lossRate       float64
	states         []*gossip.State
	domains        int
	isCut          func(from, to int) bool
	inFlight       []arrival
	sentBytes      int
	longestMessage int
	fetches        int
}

type arrival struct {
	to    int
	event gossip.Event
}

func newFleet(seed uint64, size, domains int, disabled gossip.Disabled) *fleet {
	fleet := &fleet{now: time.Unix(0, 0), rand: rand.New(rand.NewPCG(seed, seed)), domains: domains}
	for number := range size {
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		config := gossip.Config{Domain: fleet.domain(number), Random: random, Disabled: disabled}
		fleet.states = append(fleet.states, gossip.New(config))
	}
	for number, state := range fleet.states {
		fleet.addPeers(number, state)
	}
	return fleet
}

// addPeers makes at most 300 random instances known to an instance. This eases no test: fewer peers
// spread values no better than all of them would.
func (fleet *fleet) addPeers(number int, state *gossip.State) {
	const known = 300
	others := fleet.rand.Perm(len(fleet.states))
	for _, other := range others[:min(known, len(others))] {
		if other != number {
			instance := id.Instance(fmt.Sprint(other))
			state.Reduce(gossip.PeerUp{Instance: instance, Domain: fleet.domain(other), Address: address(other)})
		}
	}
}

func (fleet *fleet) domain(number int) id.Domain {
	return id.Domain(fmt.Sprint(number % fleet.domains))
}

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 1)
}

func (fleet *fleet) run(span time.Duration) {
	for range span / _step {
		fleet.now = fleet.now.Add(_step)
		arrivals := fleet.inFlight
		fleet.inFlight = nil
		for _, arrival := range arrivals {
			fleet.deliver(arrival.to, arrival.event)
		}
		for number := range fleet.states {
			fleet.deliver(number, gossip.Tick{At: fleet.now})
		}
		for range int(_contactsPerStep * float64(len(fleet.states))) {
			fleet.contact(fleet.rand.IntN(len(fleet.states)))
		}
	}
}

// contact delivers the digest of one probe, in half of the cases from the receiver's domain.
func (fleet *fleet) contact(to int) {
	from := fleet.rand.IntN(len(fleet.states))
	if fleet.rand.IntN(2) == 0 {
		from -= from%fleet.domains - to%fleet.domains
	}
	if from >= len(fleet.states) || fleet.blocked(from, to) {
		return
	}
	digest := fleet.states[from].Digest()
	fleet.deliver(to, gossip.DigestReceived{At: fleet.now, From: address(from), Digest: digest})
}

func (fleet *fleet) blocked(from, to int) bool {
	return from == to || fleet.rand.Float64() < fleet.lossRate || (fleet.isCut != nil && fleet.isCut(from, to))
}

func (fleet *fleet) set(number int, value gossip.Value) {
	fleet.deliver(number, gossip.SetValue{At: fleet.now, Value: value})
}

func (fleet *fleet) deliver(number int, event gossip.Event) {
	for _, effect := range fleet.states[number].Reduce(event) {
		switch effect := effect.(type) {
		case gossip.Send:
			fleet.send(number, effect)
		case gossip.Fetch:
			fleet.fetch(number, effect)
		}
	}
}

func (fleet *fleet) send(from int, sending gossip.Send) {
	encoded, err := cbor.Marshal(sending.Message)
	if err != nil {
		panic(err)
	}
	fleet.sentBytes += len(encoded)
	fleet.longestMessage = max(fleet.longestMessage, len(encoded))
	to := instanceNumber(sending.To)
	if fleet.blocked(from, to) {
		return
	}
	messageReceived := gossip.MessageReceived{At: fleet.now, From: address(from), Message: sending.Message}
	fleet.inFlight = append(fleet.inFlight, arrival{to: to, event: messageReceived})
}

// fetch carries out a Fetch over a stream, which fails as often as a datagram is lost.
func (fleet *fleet) fetch(number int, fetch gossip.Fetch) {
	fleet.fetches++
	value, held := fleet.states[instanceNumber(fetch.From)].Get(fetch.Key)
	if held && !fleet.blocked(instanceNumber(fetch.From), number) {
		fleet.inFlight = append(fleet.inFlight, arrival{to: number, event: gossip.SetValue{At: fleet.now, Value: value}})
		return
	}
	failed := gossip.FetchFailed{At: fleet.now, Key: fetch.Key, Version: fetch.Version}
	fleet.inFlight = append(fleet.inFlight, arrival{to: number, event: failed})
}

func instanceNumber(address netip.AddrPort) int {
	octets := address.Addr().As4()
	return int(octets[2])<<8 | int(octets[3])
}

// countHolding counts the instances that hold a version of a key.
func (fleet *fleet) countHolding(key gossip.Key, version uint64) int {
	holding := 0
	for _, state := range fleet.states {
		value, _ := state.Get(key)
		if value.Version == version {
			holding++
		}
	}
	return holding
}
