package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/bundle"
	"azureshift/core"
	"azureshift/core/gossip"
	"azureshift/core/id"
	"azureshift/core/placement"
	"azureshift/core/request"
	"azureshift/core/rollout"
	"azureshift/event"
	"azureshift/io/peer"
)

// Kinds of messages that are exchanged over streams. The numbers are part of the wire format.
const (
	_kindHeadRequest peer.Kind = 60 + iota
	_kindHeadAnswer
	_kindPartRequest
	_kindPartAnswer
	_kindValueRequest
	_kindValueAnswer
)

const _exchangeTimeout = 2 * time.Second

// headRequest requests the bundle head in force as a delta against version Base, which the sender holds.
type headRequest struct {
	Base id.Version `cbor:"1,keyasint"`
}

type headAnswer struct {
	Delta bundle.HeadDelta `cbor:"1,keyasint"`
}

// partRequest requests a part of a bundle.
type partRequest struct {
	Hash bundle.Hash `cbor:"1,keyasint"`
}

type partAnswer struct {
	Bytes []byte `cbor:"1,keyasint"`
}

// valueRequest requests a gossiped value that is too large for a datagram.
type valueRequest struct {
	Key gossip.Key `cbor:"1,keyasint"`
}

type valueAnswer struct {
	Value gossip.Value `cbor:"1,keyasint"`
}

var errNotHeld = eris.New("this instance does not hold the requested data; ask another instance")

func registerStreams(registry *peer.Registry) error {
	prototypes := []any{headRequest{}, headAnswer{}, partRequest{}, partAnswer{}, valueRequest{}, valueAnswer{}}
	for offset, prototype := range prototypes {
		if err := registry.RegisterUnbound(_kindHeadRequest+peer.Kind(offset), prototype); err != nil {
			return err
		}
	}
	return nil
}

// sendStream sends a message that does not fit into a datagram. It may be lost like a datagram; the caller repeats it.
func (daemon *Daemon) sendStream(ctx context.Context, to peer.Address, message any) {
	if _, err := daemon.exchange(ctx, to, message); err != nil && ctx.Err() == nil {
		daemon.log.LogError(event.ExchangeFailed, err, event.Fields{"Member": to.Member.Instance})
	}
}

// serveExchange answers a request of another instance, or queues a message that did not fit into a datagram.
func (daemon *Daemon) serveExchange(ctx context.Context, from id.Member, message any) (any, error) {
	if _, ok := message.(request.Message); ok {
		daemon.mailbox.put(core.MessageReceived{At: time.Now(), From: from, Message: message})
		return nil, nil
	}
	if placementMessage, ok := message.(placement.Message); ok {
		daemon.mailbox.put(core.MessageReceived{At: time.Now(), From: from, Message: placementMessage})
		return nil, nil
	}
	var answer any
	err := daemon.control.query(ctx, func(state *core.State) { answer = answerExchange(state, message) })
	if err != nil {
		return nil, err
	}
	if answer == nil {
		return nil, errNotHeld
	}
	return answer, nil
}

func answerExchange(state *core.State, message any) any {
	switch message := message.(type) {
	case headRequest:
		if state.Version() == 0 {
			return nil
		}
		return headAnswer{Delta: state.HeadDelta(message.Base)}
	case partRequest:
		if raw, held := state.Part(message.Hash); held {
			return partAnswer{Bytes: raw}
		}
	case valueRequest:
		if value, held := state.Value(message.Key); held {
			return valueAnswer{Value: value}
		}
	}
	return nil
}

// exchange sends a request to another instance and waits for the answer.
func (daemon *Daemon) exchange(ctx context.Context, to peer.Address, message any) (any, error) {
	if !daemon.passes(to.AddrPort) {
		return nil, eris.Errorf("exchange with %s: destination is blocked by the gate", to.AddrPort)
	}
	ctx, cancel := context.WithTimeout(ctx, _exchangeTimeout)
	defer cancel()
	return daemon.peers.Exchange(ctx, to, message)
}

func (daemon *Daemon) fetchHead(ctx context.Context, effect rollout.FetchHead) {
	if effect.From == rollout.Platform {
		daemon.fetchPlatformHead(ctx)
		return
	}
	answer, err := daemon.exchange(ctx, daemon.addressOf(effect.From.Member), headRequest{Base: effect.Base})
	answered, ok := answer.(headAnswer)
	if err != nil || !ok {
		daemon.mailbox.put(core.RolloutEvent{Event: rollout.HeadFailed{At: time.Now(), From: effect.From}})
		return
	}
	daemon.mailbox.put(core.RolloutEvent{Event: rollout.DeltaReceived{
		At: time.Now(), Delta: answered.Delta, From: effect.From,
	}})
}

func (daemon *Daemon) fetchPart(ctx context.Context, effect rollout.FetchPart) {
	raw, err := daemon.readPart(ctx, effect)
	if err != nil {
		daemon.log.LogError(event.BundlePartMissing, err, event.Fields{"Part": effect.Hash.String()})
		failed := rollout.PartFailed{At: time.Now(), Hash: effect.Hash, From: effect.From}
		daemon.mailbox.put(core.RolloutEvent{Event: failed})
		return
	}
	daemon.mailbox.put(core.RolloutEvent{Event: rollout.PartReceived{At: time.Now(), Hash: effect.Hash, Bytes: raw}})
}

func (daemon *Daemon) readPart(ctx context.Context, effect rollout.FetchPart) ([]byte, error) {
	answer, err := daemon.exchange(ctx, daemon.addressOf(effect.From.Member), partRequest{Hash: effect.Hash})
	if err != nil {
		return nil, err
	}
	answered, ok := answer.(partAnswer)
	if !ok {
		return nil, errNotHeld
	}
	return answered.Bytes, nil
}

// fetchValue requests a large value from another instance. If that fails, the gossip state requests it elsewhere.
func (daemon *Daemon) fetchValue(ctx context.Context, effect gossip.Fetch) {
	answer, err := daemon.exchange(ctx, peer.Address{AddrPort: effect.From}, valueRequest{Key: effect.Key})
	if answered, ok := answer.(valueAnswer); ok && err == nil {
		daemon.mailbox.put(core.GossipEvent{Event: gossip.SetValue{At: time.Now(), Value: answered.Value}})
		return
	}
	daemon.log.LogError(event.ExchangeFailed, err, event.Fields{"Key": effect.Key})
	failed := gossip.FetchFailed{At: time.Now(), Key: effect.Key, Version: effect.Version}
	daemon.mailbox.put(core.GossipEvent{Event: failed})
}

func (daemon *Daemon) addressOf(member id.Member) peer.Address {
	address := peer.Address{Member: member}
	if routes := daemon.routes.Load(); routes != nil {
		address.AddrPort, _ = routes.Address(member)
	}
	return address
}
