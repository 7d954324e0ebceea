package daemon

import (
	"time"

	"azureshift/core"
	"azureshift/core/gossip"
	"azureshift/core/membership"
	"azureshift/core/placement"
	"azureshift/core/request"
	"azureshift/io/peer"
)

// Kinds of messages between entry instances. The numbers are part of the wire format.
const (
	_kindMembership peer.Kind = 10 + iota
	_kindGossip
	_kindPlacement
)

// _kindRequest is the kind of the first message in request.Messages; the others follow.
const _kindRequest peer.Kind = 20

// newRegistry returns the registry of all messages between entry instances.
func newRegistry() (*peer.Registry, error) {
	registry, err := peer.NewRegistry()
	if err != nil {
		return nil, err
	}
	if err := registry.RegisterUnbound(_kindMembership, membership.Message{}); err != nil {
		return nil, err
	}
	if err := registry.RegisterUnbound(_kindGossip, gossip.Message{}); err != nil {
		return nil, err
	}
	if err := registry.Register(_kindPlacement, placement.Message{}); err != nil {
		return nil, err
	}
	for offset, message := range request.Messages() {
		if err := registry.Register(_kindRequest+peer.Kind(offset), message); err != nil {
			return nil, err
		}
	}
	return registry, registerStreams(registry)
}

// receivePeer processes a datagram from another instance.
func (daemon *Daemon) receivePeer(received peer.Received) {
	if !daemon.passes(received.Source) {
		return
	}
	if forwarded, ok := received.Message.(peer.Forward); ok {
		daemon.handleDatagram(arrival{
			Datagram:        core.Datagram{Caller: forwarded.Caller, Service: forwarded.Service, Payload: forwarded.Payload},
			hops:            int(forwarded.Hops),
			fromFormerOwner: forwarded.FromFormerHome,
		})
		return
	}
	daemon.mailbox.put(core.MessageReceived{
		At: time.Now(), From: received.From, Source: received.Source, Message: received.Message,
	})
}
