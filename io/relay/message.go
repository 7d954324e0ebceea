// Package relay exchanges state between entry instances in front of the users' platform. Messages, sent as datagrams,
// carry updates that are soon repeated; views, fetched over HTTP, carry all that the requesting instance lacks. Both
// are encoded in CBOR.
package relay

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"azureshift/core/fleet"
)

// envelope holds one message of any kind; exactly one field is set.
type envelope struct {
	Update   *fleet.Update   `cbor:"1,keyasint,omitempty"`
	Report   *fleet.Report   `cbor:"2,keyasint,omitempty"`
	Evidence *fleet.Evidence `cbor:"3,keyasint,omitempty"`
}

// Encode encodes a message.
func Encode(message fleet.Message) ([]byte, error) {
	var wrapped envelope
	switch message := message.(type) {
	case fleet.Update:
		wrapped.Update = &message
	case fleet.Report:
		wrapped.Report = &message
	case fleet.Evidence:
		wrapped.Evidence = &message
	}
	raw, err := cbor.Marshal(wrapped)
	return raw, eris.Wrap(err, "encode a message to another instance")
}

// Decode decodes a message.
func Decode(raw []byte) (fleet.Message, error) {
	var wrapped envelope
	if err := _decoding.Unmarshal(raw, &wrapped); err != nil {
		return nil, eris.Wrap(err, "decode a message from another instance")
	}
	switch {
	case wrapped.Update != nil:
		return *wrapped.Update, nil
	case wrapped.Report != nil:
		return *wrapped.Report, nil
	case wrapped.Evidence != nil:
		return *wrapped.Evidence, nil
	}
	return nil, eris.New("message from another instance is of unknown kind; update this instance")
}
