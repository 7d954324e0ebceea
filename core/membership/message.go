package membership

import "azureshift/core/id"

// Kind is the type of a message.
type Kind uint8

// Message types.
const (
	// Probe asks the receiver for an Ack.
	Probe Kind = iota + 1
	// Ack answers a Probe.
	Ack
	// RelayRequest asks the receiver to probe Subject for the sender.
	RelayRequest
	// RelayAck tells the sender of a RelayRequest that Subject has answered.
	RelayAck
	// Gossip carries changes and expects no reply.
	Gossip
	// SummaryRequest asks for the digests of the receiver's member lists, one per domain.
	SummaryRequest
	// Summary answers a SummaryRequest.
	Summary
	// PageRequest asks for the members of Domain whose names follow Cursor.
	PageRequest
	// Page answers a PageRequest. An empty Cursor marks the last page.
	Page
	// Push carries members that a Page lacked. A receiver that has newer records of them answers with Gossip.
	Push
)

// MaxMessage is the maximum encoded length of a message in bytes, so that it fits into one datagram.
const MaxMessage = 1200

// _messageOverhead bounds the encoded length of a message without its changes, in bytes.
const _messageOverhead = 120

// Message is a message between members, sent in one datagram.
type Message struct {
	Kind     Kind   `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint,omitempty"`
	// Sender is the sender's own record.
	Sender Record `cbor:"3,keyasint"`
	// Epoch is the number of the view that the sender has adopted for its domain.
	Epoch id.Epoch `cbor:"4,keyasint,omitempty"`
	// MemberDigest is the digest of the sender's member lists of all domains.
	MemberDigest uint64 `cbor:"5,keyasint,omitempty"`
	// ValueDigest is the digest of the sender's gossip values.
	ValueDigest uint64         `cbor:"6,keyasint,omitempty"`
	Records     []Record       `cbor:"7,keyasint,omitempty"`
	Subject     *Record        `cbor:"8,keyasint,omitempty"`
	Domain      id.Domain      `cbor:"9,keyasint,omitempty"`
	Cursor      id.Instance    `cbor:"10,keyasint,omitempty"`
	Digests     []DomainDigest `cbor:"11,keyasint,omitempty"`
}

// DomainDigest is the digest of the members of one failure domain.
type DomainDigest struct {
	Domain id.Domain `cbor:"1,keyasint"`
	Digest uint64    `cbor:"2,keyasint"`
}
