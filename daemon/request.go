package daemon

import (
	"context"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/rotisserie/eris"

	"azureshift/core"
	"azureshift/core/health"
	"azureshift/core/request"
	"azureshift/event"
	"azureshift/exchange"
	"azureshift/io/coap"
	"azureshift/io/fabric"
)

const (
	_retransmitInterval = 100 * time.Millisecond
	// _lateAnswerWindow is how long an attempt is kept after its deadline, so that late answers still match it.
	_lateAnswerWindow = 30 * time.Second
)

// dispatch sends an attempt of a request to a target under a new token.
func (daemon *Daemon) dispatch(effect request.Dispatch) error {
	service, ok := daemon.serviceOf(effect.Key)
	if !ok {
		return eris.Errorf("dispatch to service %s, which the bundle no longer has", effect.Key.Service)
	}
	target, ok := service.Target(effect.Target)
	if !ok {
		return eris.Errorf("dispatch to target %s, which the bundle no longer has", effect.Target)
	}
	decoded, err := coap.Decode(effect.Payload)
	if err != nil {
		return err
	}
	token := daemon.requests.ReserveToken()
	messageID := daemon.messageIDs.next(target.Address)
	decoded.Token = token[:]
	decoded.Type = message.Confirmable
	decoded.MessageID = int32(messageID)
	packet, err := coap.Encode(decoded)
	if err != nil {
		return err
	}
	daemon.requests.Open(token, exchange.Request{
		AttemptNumber: effect.Attempt.Number, Service: service.Name, Target: target.Name, Address: target.Address,
		Deadline: effect.Deadline, Packet: packet, MessageID: messageID,
	}, time.Now())
	daemon.sendTarget(health.Target{Service: service.Name, Name: target.Name}, target.Address, packet)
	return nil
}

// cancel tells a target that its answer is no longer needed, with a Reset message for the request.
func (daemon *Daemon) cancel(effect request.CancelAttempt) {
	open, ok := daemon.requests.Cancel(effect.Attempt.Number)
	if !ok {
		return
	}
	if packet, err := coap.Encode(coap.NewReset(int32(open.MessageID))); err == nil {
		daemon.writeTarget(open.Address, packet)
	}
}

// answer sends the outcome of a request to its caller.
func (daemon *Daemon) answer(effect request.Reply) error {
	service, ok := daemon.serviceOf(effect.Key)
	if !ok {
		return eris.Errorf("answer for service %s, which the bundle no longer has", effect.Key.Service)
	}
	answer, err := daemon.outcomeMessage(effect)
	if err != nil {
		return err
	}
	addressed, err := coap.Tag(effect.Key.Tag).Correlate(answer)
	if err != nil {
		return err
	}
	return daemon.sendCaller(fabric.Datagram{Source: service.Address, Destination: effect.Key.Caller}, addressed)
}

func (daemon *Daemon) outcomeMessage(effect request.Reply) (coap.Message, error) {
	switch effect.Outcome {
	case request.Answered:
		return coap.Decode(effect.Payload)
	case request.NotRun:
		return coap.ServiceUnavailable(effect.RetryAfter), nil
	default:
		return coap.GatewayTimeout(), nil
	}
}

// sendCaller encodes an answer and sends it to the caller through the fabric.
func (daemon *Daemon) sendCaller(datagram fabric.Datagram, answer coap.Message) error {
	payload, err := coap.Encode(answer)
	if err != nil {
		return err
	}
	datagram.Payload = payload
	wrapped, err := fabric.Encode(datagram)
	if err != nil {
		return err
	}
	if _, err := daemon.fabric.WriteToUDPAddrPort(wrapped, daemon.settings.Fabric.Return); err != nil {
		daemon.log.LogError(event.FabricSendFailed, err, nil)
	}
	return nil
}

// retransmit resends requests that targets have not acknowledged. Targets detect duplicates by message ID.
func (daemon *Daemon) retransmit(ctx context.Context) {
	ticker := time.NewTicker(_retransmitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, retransmission := range daemon.requests.DueRetransmissions(now, _lateAnswerWindow) {
				daemon.writeTarget(retransmission.Address, retransmission.Packet)
			}
		}
	}
}

func (daemon *Daemon) serviceOf(key request.Key) (*core.Service, bool) {
	return daemon.routes.Load().ServiceNamed(key.Service)
}
