package core_test

import (
	"fmt"
	"net/netip"
	"time"

	"azureshift/core"
	"azureshift/core/flow"
	"azureshift/core/id"
	"azureshift/core/placement"
	"azureshift/core/request"
)

const (
	// _fromFabric becomes 0 hops when the datagram is forwarded, so that the receiver handles it as if it came from
	// the fabric.
	_fromFabric      = -1
	_requestDeadline = 30 * time.Second
	_feedPeriod      = 3 * time.Second
)

// _transmitTimes are the times, from the first on, at which a caller transmits an order that is not answered.
var _transmitTimes = []time.Duration{0, 2 * time.Second, 6 * time.Second, 14 * time.Second, 30 * time.Second}

// arrival is a caller's datagram and the path by which it reached an instance.
type arrival struct {
	core.Datagram
	feed           *feed
	hops           int
	fromFormerHome bool
}

// feed is a caller that renews its registration periodically, and the target that serves it.
type feed struct {
	caller     netip.AddrPort
	service    netip.AddrPort
	target     id.Target
	holder     *node
	lastServed time.Time
	moves      int
}

func caller(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(index >> 8), byte(index)}), 5683)
}

// sendOrder sends an order from a caller and retransmits it until it is answered, sometimes also after that.
func (sim *sim) sendOrder(index int) {
	service := sim.bundle.Services[index%len(sim.bundle.Services)]
	key := request.Key{Caller: caller(index), Service: service.Name, Tag: fmt.Sprintf("order-%d", index)}
	sim.oracle.sent[key] = sim.now
	datagram := core.Datagram{Caller: key.Caller, Service: service.Address, Payload: []byte(key.Tag)}
	for _, wait := range _transmitTimes {
		jitter := sim.randomDelay(500 * time.Millisecond)
		sim.schedule(wait+jitter, func() {
			if !sim.oracle.answered(key) || sim.random.IntN(3) == 0 {
				sim.sendThroughFabric(arrival{Datagram: datagram})
			}
		})
	}
}

// sendThroughFabric delivers a datagram to a random live instance, and one in ten to a second one as well.
func (sim *sim) sendThroughFabric(arrival arrival) {
	for range 1 + sim.random.IntN(10)/9 {
		node := sim.randomNode()
		for !node.alive {
			node = sim.randomNode()
		}
		if sim.random.IntN(100) >= sim.lossPercent {
			sim.deliver(node, sim.randomDelay(_maxDelay), func() { sim.handleDatagram(node, arrival) })
		}
	}
}

func (sim *sim) handleDatagram(node *node, arrival arrival) {
	if node.routes == nil || node.routes.Version() == 0 {
		return
	}
	service, ok := node.routes.Service(arrival.Service)
	if !ok {
		return
	}
	if arrival.feed != nil {
		sim.handleFeed(node, arrival, service)
		return
	}
	key := request.Key{Caller: arrival.Caller, Service: service.Name, Tag: string(arrival.Payload)}
	if arrival.hops == 0 && !arrival.fromFormerHome {
		if delegate, ok := node.routes.RoutingDelegate(arrival.Caller); ok {
			arrival.hops = _fromFabric
			sim.forward(node, delegate, arrival)
			return
		}
		if service.IsUntraceable(key) {
			sim.recordReply(request.Reply{Key: key, Outcome: request.Unknown})
			return
		}
	}
	owner, ok := service.Owner(key, request.AtMostOnce)
	if !ok {
		return
	}
	if owner != node.member && arrival.hops == 0 && !arrival.fromFormerHome {
		sim.forward(node, owner, arrival)
		return
	}
	sim.post(node, core.RequestArrived{
		Arrived: request.Arrived{
			At: request.At{At: sim.now}, Key: key, Class: request.AtMostOnce,
			Deadline: sim.now.Add(_requestDeadline), Payload: arrival.Payload,
		},
		FromFormerHome: arrival.fromFormerHome,
	})
}

func (sim *sim) forward(node *node, to id.Member, arrival arrival) {
	address, ok := node.routes.Address(to)
	if !ok {
		return
	}
	other := sim.nodeAt(address)
	if other.member != to {
		return
	}
	arrival.hops++
	sim.transmit(node, other, func() { sim.handleDatagram(other, arrival) })
}

func (sim *sim) forwardMoved(node *node, effect core.ForwardMoved) {
	service, ok := node.routes.ServiceNamed(effect.Key.Service)
	if !ok {
		return
	}
	if owner, ok := service.CurrentOwner(effect.Key); ok {
		sim.forward(node, owner, arrival{Datagram: effect.Datagram, fromFormerHome: true})
	}
}

// openFeed opens a feed, which then renews its registration periodically.
func (sim *sim) openFeed(index int) {
	service := sim.bundle.Services[index%len(sim.bundle.Services)]
	opened := &feed{caller: caller(1000 + index), service: service.Address}
	sim.oracle.feeds = append(sim.oracle.feeds, opened)
	sim.refresh(opened)
}

func (sim *sim) refresh(feed *feed) {
	sim.sendThroughFabric(arrival{Datagram: core.Datagram{Caller: feed.caller, Service: feed.service}, feed: feed})
	sim.schedule(_feedPeriod+sim.randomDelay(time.Second), func() { sim.refresh(feed) })
}

func (sim *sim) handleFeed(node *node, arrival arrival, service *core.Service) {
	snapshot := node.path.Snapshot()
	if snapshot == nil {
		return
	}
	hash := flow.Hash(arrival.Caller, service.Name)
	index := snapshot.Service(service.Name)
	decision := node.path.Route(index, hash, arrival.hops, sim.now)
	switch decision.Action {
	case placement.ActionPlace:
		sim.serveFeed(node, arrival, decision.Target)
	case placement.ActionForward:
		sim.forward(node, decision.Member, arrival)
	case placement.ActionRefuse:
	case placement.ActionDefer:
		sim.deliver(node, 0, func() { sim.holdArrival(node, arrival, index, hash) })
	}
}

// holdArrival holds a datagram until its flow is placed.
func (sim *sim) holdArrival(node *node, arrival arrival, index int, hash id.Flow) {
	if known, ok := node.path.Table.Find(hash, sim.now); ok && node.path.Snapshot().Target(known).Alive {
		sim.serveFeed(node, arrival, known)
		return
	}
	waiting := node.heldArrivals[hash]
	node.heldArrivals[hash] = append(waiting, arrival)
	if len(waiting) == 0 {
		sim.reduce(node, core.FlowEvent{Event: placement.FlowArrived{
			At: sim.now, Service: index, Flow: hash, Hint: placement.HintNone, Hops: arrival.hops,
		}})
	}
}

func (node *node) release(hash id.Flow) []arrival {
	waiting := node.heldArrivals[hash]
	delete(node.heldArrivals, hash)
	return waiting
}

// dispatch runs a request at a target, which replies after its service time and does not deduplicate.
func (sim *sim) dispatch(node *node, effect request.Dispatch) {
	sim.oracle.recordRun(sim, node, effect)
	node.inFlight++
	sim.deliver(node, 20*time.Millisecond+sim.randomDelay(400*time.Millisecond), func() {
		node.inFlight--
		sim.reduce(node, core.RequestEvent{Event: request.TargetReplied{
			At: request.At{At: sim.now}, Attempt: effect.Attempt,
			Result: request.ResultAnswered, Payload: effect.Payload,
		}})
	})
}

// stop starts a planned stop of an instance, as the daemon does.
func (sim *sim) stop(node *node) {
	sim.reduce(node, core.Leave{At: sim.now})
	sim.finishStop(node, node.member, sim.now.Add(time.Minute))
}

func (sim *sim) finishStop(node *node, member id.Member, limit time.Time) {
	if !node.alive || node.member != member {
		return
	}
	if sim.now.Before(limit) && (!node.handedOver || node.inFlight > 0) {
		sim.schedule(20*time.Millisecond, func() { sim.finishStop(node, member, limit) })
		return
	}
	if !node.handedOver {
		sim.report("%s: no handover within the time limit of its stop", member.Instance)
	}
	for _, feed := range sim.oracle.feeds {
		if service, ok := node.routes.Service(feed.service); ok && feed.holder == node {
			datagram := core.Datagram{Caller: feed.caller, Service: feed.service}
			sim.handleFeed(node, arrival{Datagram: datagram, feed: feed}, service)
		}
	}
	sim.schedule(time.Second, func() { sim.post(node, core.WorkFinished{At: sim.now}) })
	sim.schedule(10*time.Second, func() {
		if node.alive && node.member == member {
			sim.report("%s: the stop does not end", member.Instance)
		}
	})
}

func (sim *sim) completeStop(node *node) {
	if node.inFlight > 0 {
		sim.report("%s: stop cuts off %d orders", node.member.Instance, node.inFlight)
	}
	node.left, node.alive = true, false
}
