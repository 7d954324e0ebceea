package coap

import (
	"encoding/base64"
	"encoding/binary"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/rotisserie/eris"
)

const (
	_tagTypeOffset  = 0
	_tagIDOffset    = 1
	_tagTokenOffset = 3
)

var errInvalidTag = eris.New("decode request tag: not a value returned by TagOf")

// _tagEncoding makes tags valid UTF-8, which the codecs of other packages require.
var _tagEncoding = base64.RawStdEncoding

// Tag identifies a request among those of one caller; retransmissions have the same tag. It holds the message type,
// message ID and token, from which the answer is addressed. It excludes the Request-Tag option (RFC 9175), as callers
// may reuse a value for another request.
type Tag string

// TagOf returns the tag of a request.
func TagOf(request Message) Tag {
	raw := make([]byte, _tagTokenOffset, _tagTokenOffset+len(request.Token))
	raw[_tagTypeOffset] = byte(request.Type)
	binary.BigEndian.PutUint16(raw[_tagIDOffset:], uint16(request.MessageID))
	return Tag(_tagEncoding.EncodeToString(append(raw, request.Token...)))
}

// Correlate returns the answer with the message ID and token of the tagged request. It is piggybacked on the
// acknowledgement if the request was confirmable, and non-confirmable otherwise.
func (tag Tag) Correlate(answer Message) (Message, error) {
	raw, err := _tagEncoding.DecodeString(string(tag))
	if err != nil || len(raw) < _tagTokenOffset {
		return Message{}, errInvalidTag
	}
	answer.Type = message.NonConfirmable
	if message.Type(raw[_tagTypeOffset]) == message.Confirmable {
		answer.Type = message.Acknowledgement
	}
	answer.MessageID = int32(binary.BigEndian.Uint16(raw[_tagIDOffset:_tagTokenOffset]))
	answer.Token = raw[_tagTokenOffset:]
	return answer, nil
}
