package coap

import (
	"encoding/binary"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// _defaultMaxAge is the Max-Age of a response without the option (RFC 7252, section 5.10.5).
const _defaultMaxAge = 60 * time.Second

// ServiceUnavailable returns a 5.03 (Service Unavailable) response for a request that did not run and may be retried
// after retryAfter, which is sent as Max-Age in whole seconds, rounded up, at least 1.
func ServiceUnavailable(retryAfter time.Duration) Message {
	seconds := uint32((retryAfter + time.Second - 1) / time.Second)
	value := binary.BigEndian.AppendUint32(nil, max(1, seconds))
	for value[0] == 0 {
		value = value[1:]
	}
	return Message{
		Code:    codes.ServiceUnavailable,
		Options: message.Options{{ID: message.MaxAge, Value: value}},
	}
}

// GatewayTimeout returns a 5.04 (Gateway Timeout) response for a request that may or may not have run.
func GatewayTimeout() Message {
	return Message{Code: codes.GatewayTimeout}
}

// NewAcknowledgement returns an empty message that acknowledges a confirmable message.
func NewAcknowledgement(messageID int32) Message {
	return Message{Code: codes.Empty, Type: message.Acknowledgement, MessageID: messageID}
}

// NewReset returns an empty message that rejects a message for which no state exists.
func NewReset(messageID int32) Message {
	return Message{Code: codes.Empty, Type: message.Reset, MessageID: messageID}
}

// IsEmptyAcknowledgement reports whether the message is an acknowledgement without a response.
func IsEmptyAcknowledgement(msg Message) bool {
	return msg.Code == codes.Empty && msg.Type == message.Acknowledgement
}

// IsConfirmable reports whether the message requires an acknowledgement.
func IsConfirmable(msg Message) bool {
	return msg.Type == message.Confirmable
}

// RetryAfter reports whether the answer is a 5.03 (Service Unavailable) response, which means that the request did not
// run, and returns the delay after which it may be retried.
func RetryAfter(answer Message) (time.Duration, bool) {
	if answer.Code != codes.ServiceUnavailable {
		return 0, false
	}
	seconds, err := answer.Options.GetUint32(message.MaxAge)
	if err != nil {
		return _defaultMaxAge, true
	}
	return time.Duration(seconds) * time.Second, true
}

// IsDeregistration reports whether a request cancels its feed, by the Observe option with the value 1 (deregister).
func IsDeregistration(request Message) bool {
	observe, err := request.Options.Observe()
	return err == nil && observe == _observeDeregister
}

// DeregistrationAnswer returns the response to a request that canceled a feed.
func DeregistrationAnswer() Message {
	return Message{Code: codes.Content}
}

// Deregistration returns the deregistration request that cancels the feed of a registration.
func Deregistration(registration Message) Message {
	registration.Type = message.Confirmable
	registration.Options = append(message.Options(nil), registration.Options...)
	registration.Options = registration.Options.Set(message.Option{ID: message.Observe, Value: []byte{_observeDeregister}})
	return registration
}
