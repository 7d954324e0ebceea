// Package peer implements messaging between entry instances: small messages in encrypted, authenticated UDP datagrams,
// and larger ones in request-answer exchanges over TLS. Messages are registered by kind; other packages define their
// types and handle them.
package peer

import (
	"net/netip"

	"azureshift/core/id"
)

const (
	// MaxBatchDatagram is the maximum size in bytes of a datagram that carries more than one message.
	MaxBatchDatagram = 1200
	// MaxDatagram is the maximum size in bytes of a datagram.
	MaxDatagram = 2560
	// MaxBody is the maximum size in bytes of a message body in a datagram.
	MaxBody = 2304
	// MaxExchangeBody is the maximum size in bytes of a message body in an exchange.
	MaxExchangeBody = 4 << 20
	// MaxInstanceLength is the maximum length in bytes of an instance name.
	MaxInstanceLength = 64
)

// Address identifies a destination: a network address and the incarnation of the entry instance expected there. With
// an empty Member only the network address is known, which suffices for kinds registered with RegisterUnbound.
type Address struct {
	Member   id.Member
	AddrPort netip.AddrPort
}

// Received is a message that arrived in a datagram.
type Received struct {
	// From is the sender, authenticated by possession of the shared key.
	From id.Member
	// Source is the source address of the datagram. It is not authenticated: use it only to answer a sender
	// whose address is otherwise unknown, never to learn the address of an instance.
	Source netip.AddrPort
	// Message is a value of the type registered for the kind.
	Message any
}

// Observer is notified of peer traffic. Its methods are called concurrently on the goroutines that handle the traffic.
type Observer interface {
	// Sent is called per message sent, with its size in bytes: in a datagram its share of the datagram, header
	// included, in an exchange the size of its body.
	Sent(kind Kind, size int)
	// Received is called per message received, with the size in bytes as for Sent.
	Received(kind Kind, size int)
	// Dropped is called per rejected datagram, message, connection or exchange.
	Dropped(dropReason DropReason)
}

type nopObserver struct{}

var _ Observer = nopObserver{}

func (nopObserver) Sent(Kind, int)     {}
func (nopObserver) Received(Kind, int) {}
func (nopObserver) Dropped(DropReason) {}
