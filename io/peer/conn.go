package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Conn sends and receives messages between this instance and its peers. It is safe for concurrent use.
type Conn struct {
	config    Config
	self      Address
	udp       *net.UDPConn
	tcp       *net.TCPListener
	serverTLS *tls.Config
	pool      *connectionPool
	sealer    *sealer
	opener    *opener
	drops     dropCounts
	scratch   sync.Pool
}

// Listen opens the UDP and TCP sockets and returns a Conn that uses them.
func Listen(config Config) (*Conn, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	seal, err := newSealer(config)
	if err != nil {
		return nil, err
	}
	serverTLS, clientTLS, err := newTLS(config)
	if err != nil {
		return nil, err
	}
	tcp, udp, err := listenTCPAndUDP(config.Listen)
	if err != nil {
		return nil, err
	}
	_ = udp.SetReadBuffer(_udpReadBuffer)
	self := Address{Member: config.Member, AddrPort: config.Advertise}
	if !self.AddrPort.IsValid() {
		self.AddrPort = unmapAddrPort(udp.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return &Conn{
		config:    config,
		self:      self,
		udp:       udp,
		tcp:       tcp,
		serverTLS: serverTLS,
		pool:      newConnectionPool(config, clientTLS),
		sealer:    seal,
		opener:    newOpener(self, config),
		scratch:   sync.Pool{New: newScratch},
	}, nil
}

// Address returns the address at which peers reach this instance.
func (conn *Conn) Address() Address {
	return conn.self
}

// DropCounts returns the number of rejected datagrams, messages, connections and exchanges by reason.
func (conn *Conn) DropCounts() map[DropReason]uint64 {
	return conn.drops.snapshot()
}

// SenderCount returns the number of instances in the sender table.
func (conn *Conn) SenderCount() int {
	return conn.opener.senders.count()
}

// Close closes the sockets and cached connections, which makes Receive and Serve return.
func (conn *Conn) Close() error {
	errUDP := conn.udp.Close()
	errTCP := conn.tcp.Close()
	if errors.Is(errTCP, net.ErrClosed) {
		// Serve closed the listener when its context ended.
		errTCP = nil
	}
	// Errors of cached connections are ignored: the peer may have reset them already.
	_ = conn.pool.cached.Close()
	return eris.Wrap(errors.Join(errUDP, errTCP), "close peer sockets")
}

// Receive calls handler for each message that arrives in a datagram, until the context ends or the Conn is closed.
// Several goroutines may call Receive concurrently; each calls its handler on its own goroutine.
func (conn *Conn) Receive(ctx context.Context, handler func(Received)) {
	stop := context.AfterFunc(ctx, func() { _ = conn.udp.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	buffer := make([]byte, MaxDatagram+1)
	for ctx.Err() == nil {
		size, source, err := conn.udp.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil:
			// The context of a concurrent Receive ended and set the deadline; clear it and continue.
			_ = conn.udp.SetReadDeadline(time.Time{})
		case err == nil:
			conn.handleDatagram(buffer[:size], unmapAddrPort(source), handler)
		}
	}
}

func (conn *Conn) handleDatagram(packet []byte, source netip.AddrPort, handler func(Received)) {
	scratch := conn.scratch.Get().(*scratch)
	defer conn.scratch.Put(scratch)
	openedDatagram, dropReason := conn.opener.open(packet, scratch, time.Now())
	if dropReason != 0 {
		conn.recordDrop(dropReason)
		return
	}
	received := Received{From: openedDatagram.from, Source: source}
	batch := openedDatagram.batch
	overhead := len(packet) - len(batch)
	for len(batch) > 0 {
		before := len(batch)
		envelope, rest, err := cutFrame(batch)
		if err != nil {
			conn.recordDrop(DropMalformed)
			return
		}
		batch = rest
		conn.config.Observer.Received(envelope.Kind, before-len(rest)+overhead)
		overhead = 0
		conn.deliver(envelope, openedDatagram.bound, received, handler)
	}
}

func (conn *Conn) deliver(envelope Envelope, bound bool, received Received, handler func(Received)) {
	found, ok := conn.config.Registry.byKind[envelope.Kind]
	switch {
	case !ok:
		conn.recordDrop(DropUnknownKind)
		return
	case !bound && !found.allowUnbound:
		conn.recordDrop(DropUnbound)
		return
	}
	message, err := conn.config.Registry.Decode(envelope)
	if err != nil {
		conn.recordDrop(DropMalformedBody)
		return
	}
	received.Message = message
	handler(received)
}

func (conn *Conn) recordDrop(dropReason DropReason) {
	conn.drops.add(dropReason)
	conn.config.Observer.Dropped(dropReason)
}

func unmapAddrPort(addrPort netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addrPort.Addr().Unmap(), addrPort.Port())
}
