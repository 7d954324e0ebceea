// Package coap encodes and decodes CoAP messages (RFC 7252) and classifies requests.
package coap

import (
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/rotisserie/eris"
)

// Message is a decoded CoAP message.
type Message = message.Message

// Class is the category of a request, which determines how it is handled.
type Class int

const (
	// ClassFeed is a GET with Observe (RFC 7641), which is answered by a long-lived series of notifications.
	ClassFeed Class = iota + 1
	// ClassExport is an idempotent request without Observe.
	ClassExport
	// ClassOrder is a request that is not idempotent and must not run twice.
	ClassOrder
)

// String returns the label used in metrics and reports.
func (class Class) String() string {
	switch class {
	case ClassFeed:
		return "feed"
	case ClassExport:
		return "export"
	case ClassOrder:
		return "order"
	default:
		return "unknown"
	}
}

const (
	_maxOptions        = 32
	_observeDeregister = 1
)

// Decode decodes a CoAP message. The message aliases packet.
func Decode(packet []byte) (Message, error) {
	decoded := Message{Options: make(message.Options, 0, _maxOptions)}
	if _, err := coder.DefaultCoder.Decode(packet, &decoded); err != nil {
		return Message{}, eris.Wrapf(err, "decode CoAP message of %d bytes", len(packet))
	}
	return decoded, nil
}

// Encode encodes a CoAP message.
func Encode(msg Message) ([]byte, error) {
	size, err := coder.DefaultCoder.Size(msg)
	if err != nil {
		return nil, eris.Wrap(err, "compute size of CoAP message")
	}
	packet := make([]byte, size)
	written, err := coder.DefaultCoder.Encode(msg, packet)
	if err != nil {
		return nil, eris.Wrap(err, "encode CoAP message")
	}
	return packet[:written], nil
}

// IsRequest reports whether the message carries a request method.
func IsRequest(msg Message) bool {
	return msg.Code >= codes.GET && msg.Code <= codes.Code(7)
}

// IsResponse reports whether the message carries a response code.
func IsResponse(msg Message) bool {
	return msg.Code >= codes.Created
}

// Classify returns the class of a request.
func Classify(request Message) Class {
	switch {
	case request.Code == codes.GET && request.Options.HasOption(message.Observe):
		return ClassFeed
	case request.Code == codes.GET, request.Code == codes.PUT, request.Code == codes.DELETE:
		return ClassExport
	default:
		return ClassOrder
	}
}
