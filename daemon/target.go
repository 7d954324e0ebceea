package daemon

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"azureshift/core"
	"azureshift/core/health"
	"azureshift/core/request"
	"azureshift/event"
	"azureshift/exchange"
	"azureshift/io/coap"
	"azureshift/io/fabric"
	"azureshift/metrics"
)

func (daemon *Daemon) readTargets(ctx context.Context) {
	buffer := make([]byte, fabric.MaxDatagram)
	for ctx.Err() == nil {
		size, from, err := daemon.backend.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue
		}
		source := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if daemon.passes(source) {
			daemon.handleTargetMessage(buffer[:size], source)
		}
	}
}

// handleTargetMessage matches a message from a target to its request or feed.
func (daemon *Daemon) handleTargetMessage(packet []byte, source netip.AddrPort) {
	decoded, err := coap.Decode(packet)
	if err != nil {
		daemon.countDrop(metrics.SideBackend, "no valid message")
		return
	}
	if coap.IsEmptyAcknowledgement(decoded) {
		if target, ok := daemon.requests.Acknowledge(source, uint16(decoded.MessageID)); ok {
			daemon.observations.countReceived(target)
		}
		return
	}
	if decoded.Code == codes.Empty || coap.IsRequest(decoded) {
		daemon.countDrop(metrics.SideBackend, "no answer")
		return
	}
	token, ok := exchange.ParseToken(decoded.Token)
	matched := ok && (daemon.matchReply(token, source, decoded, packet) || daemon.matchFeed(token, source, decoded))
	daemon.acknowledge(source, decoded, matched)
}

// acknowledge acknowledges a confirmable message. A message that matches nothing is answered with a Reset, which ends a
// feed that is no longer open here.
func (daemon *Daemon) acknowledge(source netip.AddrPort, decoded coap.Message, matched bool) {
	var reply coap.Message
	switch {
	case !matched:
		daemon.countDrop(metrics.SideBackend, "late or stray answer")
		daemon.log.Log(event.LateAnswer, event.Fields{"Target": source})
		reply = coap.NewReset(decoded.MessageID)
	case coap.IsConfirmable(decoded):
		reply = coap.NewAcknowledgement(decoded.MessageID)
	default:
		return
	}
	if packet, err := coap.Encode(reply); err == nil {
		daemon.writeTarget(source, packet)
	}
}

// matchReply queues the answer to a request for the control thread. It reports whether the message answers an open
// request.
func (daemon *Daemon) matchReply(token exchange.Token, source netip.AddrPort, decoded coap.Message, raw []byte) bool {
	open, ok := daemon.requests.Complete(token, source)
	if !ok {
		return false
	}
	daemon.observations.countReceived(health.Target{Service: open.Service, Name: open.Target})
	replied := request.TargetReplied{
		At:      request.At{At: time.Now()},
		Attempt: request.Attempt{Member: daemon.self, Number: open.AttemptNumber},
		Result:  request.ResultAnswered,
		Payload: append([]byte(nil), raw...),
	}
	if retryAfter, refused := coap.RetryAfter(decoded); refused {
		replied.Result = request.ResultRefused
		replied.RetryAfter = retryAfter
		replied.Payload = nil
	}
	daemon.mailbox.put(core.RequestEvent{Event: replied})
	return true
}

// sendTarget sends a message that expects an answer to a target.
func (daemon *Daemon) sendTarget(target health.Target, address netip.AddrPort, packet []byte) {
	daemon.observations.countSent(target)
	daemon.writeTarget(address, packet)
}

func (daemon *Daemon) writeTarget(address netip.AddrPort, packet []byte) {
	if !daemon.passes(address) {
		return
	}
	if _, err := daemon.backend.WriteToUDPAddrPort(packet, address); err != nil {
		daemon.log.LogError(event.SendFailed, err, event.Fields{"Target": address})
	}
}
