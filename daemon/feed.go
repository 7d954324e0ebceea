package daemon

import (
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/rotisserie/eris"

	"azureshift/core"
	"azureshift/core/flow"
	"azureshift/core/health"
	"azureshift/core/id"
	"azureshift/exchange"
	"azureshift/io/coap"
	"azureshift/io/fabric"
	"azureshift/metrics"
)

// serveFeed registers a caller's feed at the target that its flow is placed on, or ends the feed.
func (daemon *Daemon) serveFeed(
	datagram core.Datagram, decoded coap.Message, service *core.Service, hash id.Flow, placed flow.Target,
) {
	target := daemon.datapath.Snapshot().Target(placed)
	key := exchange.FeedKey{Caller: datagram.Caller, Service: datagram.Service, Token: string(decoded.Token)}
	if coap.IsDeregistration(decoded) {
		daemon.endFeed(key, hash, decoded)
		return
	}
	token, endedFeed, firstRegistration := daemon.feeds.Renew(exchange.Feed{
		Key: key, Flow: hash, Service: service.Name, Target: target.Name, Address: target.Address,
		Registration: append([]byte(nil), datagram.Payload...), MessageID: decoded.MessageID, RenewedAt: time.Now(),
	})
	if endedFeed != nil {
		daemon.deregister(*endedFeed)
	}
	if firstRegistration {
		daemon.trafficMetrics(service.Customer, coap.ClassFeed.String()).FlowOpened()
	}
	daemon.register(health.Target{Service: service.Name, Name: target.Name}, target.Address, token, decoded)
}

// register sends a registration to a target under the given token.
func (daemon *Daemon) register(
	target health.Target, address netip.AddrPort, token exchange.Token, registration coap.Message,
) {
	registration.Token = token[:]
	registration.Type = message.Confirmable
	registration.MessageID = int32(daemon.messageIDs.next(address))
	packet, err := coap.Encode(registration)
	if err != nil {
		daemon.countDrop(metrics.SideFabric, "registration cannot be encoded")
		return
	}
	daemon.sendTarget(target, address, packet)
}

// endFeed deregisters a feed at its target and confirms this to the caller.
func (daemon *Daemon) endFeed(key exchange.FeedKey, hash id.Flow, request coap.Message) {
	if endedFeed, ok := daemon.feeds.End(key, hash); ok {
		daemon.deregister(endedFeed)
	}
	answer, err := coap.TagOf(request).Correlate(coap.DeregistrationAnswer())
	if err != nil {
		return
	}
	_ = daemon.sendCaller(fabric.Datagram{Source: key.Service, Destination: key.Caller}, answer)
}

// deregister sends the deregistration of an ended feed to its target.
func (daemon *Daemon) deregister(endedFeed exchange.EndedFeed) {
	registration, err := coap.Decode(endedFeed.Feed.Registration)
	if err != nil {
		return
	}
	ending := coap.Deregistration(registration)
	ending.Token = endedFeed.Token[:]
	ending.MessageID = int32(daemon.messageIDs.next(endedFeed.Feed.Address))
	if packet, err := coap.Encode(ending); err == nil {
		daemon.writeTarget(endedFeed.Feed.Address, packet)
	}
}

// matchFeed forwards a notification to the caller of its feed. It reports whether the message belongs to an open feed.
func (daemon *Daemon) matchFeed(token exchange.Token, source netip.AddrPort, decoded coap.Message) bool {
	feed, firstAnswer, ok := daemon.feeds.MatchNotification(token, source)
	if !ok {
		return false
	}
	daemon.observations.countReceived(health.Target{Service: feed.Service, Name: feed.Target})
	decoded.Token = []byte(feed.Key.Token)
	decoded.Type = message.NonConfirmable
	decoded.MessageID = int32(uint16(daemon.lastNotificationID.Add(1)))
	if firstAnswer {
		decoded.Type = message.Acknowledgement
		decoded.MessageID = feed.MessageID
	}
	datagram := fabric.Datagram{Source: feed.Key.Service, Destination: feed.Key.Caller}
	if err := daemon.sendCaller(datagram, decoded); err != nil {
		daemon.countDrop(metrics.SideBackend, "notification cannot be encoded")
	}
	return true
}

// expireFeeds ends feeds whose callers have not renewed their registration within Limits.FlowIdle.
func (daemon *Daemon) expireFeeds(now time.Time) {
	idle := daemon.settings.Limits.FlowIdle.Std()
	for _, endedFeed := range daemon.feeds.Expire(now.Add(-idle)) {
		daemon.deregister(endedFeed)
	}
}

// handOverFeeds has every open feed registered again by the instance that now owns its flow. It pauses after each
// batch.
func (daemon *Daemon) handOverFeeds(pause time.Duration, batch int) error {
	for index, feed := range daemon.feeds.All() {
		if index%batch == batch-1 {
			time.Sleep(pause)
		}
		service, ok := daemon.routes.Load().Service(feed.Key.Service)
		if !ok {
			continue
		}
		decoded, err := coap.Decode(feed.Registration)
		if err != nil {
			return eris.Wrap(err, "decode registration of feed to hand over")
		}
		daemon.handleFeed(arrival{Datagram: core.Datagram{
			Caller: feed.Key.Caller, Service: feed.Key.Service, Payload: feed.Registration,
		}}, decoded, service)
	}
	return nil
}
