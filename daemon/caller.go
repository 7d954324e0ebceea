package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"azureshift/core"
	"azureshift/core/flow"
	"azureshift/core/id"
	"azureshift/core/placement"
	"azureshift/core/request"
	"azureshift/event"
	"azureshift/io/coap"
	"azureshift/io/fabric"
	"azureshift/io/peer"
	"azureshift/metrics"
)

// _maxHops limits how often a datagram is forwarded. After that the instance that received it decides.
const _maxHops = 2

// _hopsFromFabric is incremented on forwarding, so that the receiver sees no hops, as if the datagram came from the
// fabric.
const _hopsFromFabric = -1

// arrival is a caller's datagram and the way it reached this instance. fromFormerOwner reports that the former owner of
// the request forwarded it, having never handled it.
type arrival struct {
	core.Datagram
	hops            int
	fromFormerOwner bool
}

func (daemon *Daemon) readFabric(ctx context.Context) {
	buffer := make([]byte, fabric.MaxDatagram)
	for ctx.Err() == nil {
		size, _, err := daemon.fabric.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue
		}
		datagram, err := fabric.Decode(buffer[:size])
		if err != nil {
			daemon.countDrop(metrics.SideFabric, "no valid header")
			daemon.log.LogError(event.FabricMalformed, err, nil)
			continue
		}
		daemon.handleDatagram(arrival{Datagram: core.Datagram{
			Caller: datagram.Source, Service: datagram.Destination, Payload: datagram.Payload,
		}})
	}
}

// handleDatagram processes a caller's datagram, or forwards it to the instance that owns it. The payload is only valid
// until handleDatagram returns.
func (daemon *Daemon) handleDatagram(arrival arrival) {
	message, err := coap.Decode(arrival.Payload)
	if err != nil {
		daemon.countDrop(metrics.SideFabric, "no valid message")
		daemon.log.LogError(event.CallerMalformed, err, event.Fields{"Caller": arrival.Caller})
		return
	}
	if !coap.IsRequest(message) {
		daemon.countDrop(metrics.SideFabric, "no request")
		return
	}
	routes := daemon.routes.Load()
	if routes == nil || routes.Version() == 0 {
		daemon.countDrop(metrics.SideFabric, "no bundle in force")
		daemon.log.Log(event.TrafficWithoutBundle, nil)
		return
	}
	service, ok := routes.Service(arrival.Service)
	if !ok {
		daemon.countDrop(metrics.SideFabric, "no such service")
		daemon.log.Log(event.ServiceUnknown, event.Fields{"Service": arrival.Service})
		return
	}
	if coap.Classify(message) == coap.ClassFeed {
		daemon.handleFeed(arrival, message, service)
		return
	}
	daemon.handleRequest(arrival, message, service)
}

func (daemon *Daemon) handleFeed(arrival arrival, message coap.Message, service *core.Service) {
	now := time.Now()
	hash := flow.Hash(arrival.Caller, service.Name)
	snapshot := daemon.datapath.Snapshot()
	if snapshot == nil {
		daemon.countDrop(metrics.SideFabric, "no placement yet")
		return
	}
	if daemon.flowsFull.Load() {
		if _, known := daemon.datapath.Table.Find(hash, now); !known {
			daemon.countDrop(metrics.SideFabric, "table of flows is full")
			daemon.log.Log(event.FlowsFull, nil)
			return
		}
	}
	index := snapshot.Service(service.Name)
	decision := daemon.datapath.Route(index, hash, arrival.hops, now)
	switch decision.Action {
	case placement.ActionPlace:
		daemon.serveFeed(arrival.Datagram, message, service, hash, decision.Target)
	case placement.ActionForward:
		daemon.forward(decision.Member, arrival)
	case placement.ActionDefer:
		daemon.requestPlacement(arrival, placement.FlowArrived{
			At: now, Service: index, Flow: hash, Hint: placement.HintNone, Hops: arrival.hops, Stale: decision.Stale,
		})
	case placement.ActionRefuse:
		daemon.countDrop(metrics.SideFabric, "no target")
		daemon.log.Log(event.NoTarget, event.Fields{"Service": service.Name})
	}
}

// requestPlacement has the control thread place a flow. The datagram waits until then.
func (daemon *Daemon) requestPlacement(arrival arrival, arrived placement.FlowArrived) {
	cloned := arrival.cloneDatagram()
	if !daemon.mailbox.offer(mailboxItem{event: core.FlowEvent{Event: arrived}, datagram: &cloned, hops: arrival.hops}) {
		daemon.countDrop(metrics.SideFabric, "control thread is full")
	}
}

func (daemon *Daemon) handleRequest(arrival arrival, message coap.Message, service *core.Service) {
	class := request.Idempotent
	if coap.Classify(message) == coap.ClassOrder {
		class = request.AtMostOnce
	}
	key := request.Key{Caller: arrival.Caller, Service: service.Name, Tag: string(coap.TagOf(message))}
	if class == request.AtMostOnce && arrival.hops == 0 {
		if delegate, ok := daemon.routes.Load().RoutingDelegate(arrival.Caller); ok {
			arrival.hops = _hopsFromFabric
			daemon.forward(delegate, arrival)
			return
		}
		if service.IsUntraceable(key) {
			daemon.answerUnknown(key)
			return
		}
	}
	owner, ok := service.Owner(key, class)
	if !ok {
		daemon.countDrop(metrics.SideFabric, "no owner known")
		return
	}
	if owner != daemon.self && arrival.mayBeForwarded(class) {
		daemon.forward(owner, arrival)
		return
	}
	daemon.submitRequest(arrival, key, class)
}

// mayBeForwarded reports whether a request may be forwarded to another owner. A non-repeatable request is decided by
// the instance that it was forwarded to, as only its sender may know which homes bundles have moved.
func (arrival arrival) mayBeForwarded(class request.Class) bool {
	if class == request.AtMostOnce {
		return arrival.hops == 0 && !arrival.fromFormerOwner
	}
	return arrival.hops < _maxHops
}

// submitRequest queues a request for the control thread.
func (daemon *Daemon) submitRequest(arrival arrival, key request.Key, class request.Class) {
	now := time.Now()
	requestArrived := core.RequestArrived{
		Arrived: request.Arrived{
			At: request.At{At: now}, Key: key, Class: class,
			Deadline: now.Add(daemon.settings.Limits.RequestDeadline.Std()), Payload: arrival.cloneDatagram().Payload,
		},
		FromFormerHome: arrival.fromFormerOwner,
	}
	if !daemon.mailbox.offer(mailboxItem{event: requestArrived}) {
		daemon.countDrop(metrics.SideFabric, "control thread is full")
	}
}

func (daemon *Daemon) answerUnknown(key request.Key) {
	if err := daemon.answer(request.Reply{Key: key, Outcome: request.Unknown}); err != nil {
		daemon.countDrop(metrics.SideFabric, "answer cannot be sent")
	}
}

// forward sends a datagram to another instance.
func (daemon *Daemon) forward(to id.Member, arrival arrival) {
	address, ok := daemon.routes.Load().Address(to)
	if !ok || !daemon.passes(address) {
		daemon.countDrop(metrics.SidePeer, "owner not reachable")
		return
	}
	err := daemon.peers.Send(peer.Address{Member: to, AddrPort: address}, peer.Forward{
		Caller:         arrival.Caller,
		Service:        arrival.Service,
		Hops:           uint8(arrival.hops + 1),
		FromFormerHome: arrival.fromFormerOwner,
		Payload:        arrival.Payload,
	})
	if err != nil {
		daemon.log.LogError(event.PeerSendFailed, err, event.Fields{"Member": to.Instance})
	}
}

// cloneDatagram returns the datagram with a copy of its payload.
func (arrival arrival) cloneDatagram() core.Datagram {
	cloned := arrival.Datagram
	cloned.Payload = append([]byte(nil), arrival.Payload...)
	return cloned
}
