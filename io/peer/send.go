package peer

import (
	"github.com/rotisserie/eris"
)

// Send sends messages to one instance, in order, batched into datagrams of up to MaxBatchDatagram bytes; a larger
// message gets a datagram of its own. Datagrams may be lost. If a message causes an error, those before it may already
// have been sent. Send is safe for concurrent use.
func (conn *Conn) Send(to Address, messages ...any) error {
	scratch := conn.scratch.Get().(*scratch)
	defer conn.scratch.Put(scratch)
	scratch.batch = scratch.batch[:0]
	to.AddrPort = unmapAddrPort(to.AddrPort)
	maxBatch := MaxBatchDatagram - _fixedHeaderSize - len(conn.sealer.member.Instance) - _tagSize
	for _, message := range messages {
		start := len(scratch.batch)
		kind, err := conn.appendMessage(scratch, to, message)
		if err != nil {
			return err
		}
		if start > 0 && len(scratch.batch) > maxBatch {
			if err := conn.flush(scratch, to, start); err != nil {
				return err
			}
			start = 0
		}
		size := len(scratch.batch) - start
		if start == 0 {
			size += MaxBatchDatagram - maxBatch
		}
		conn.config.Observer.Sent(kind, size)
	}
	return conn.flush(scratch, to, len(scratch.batch))
}

// appendMessage encodes a message and appends its frame to the batch in scratch.
func (conn *Conn) appendMessage(scratch *scratch, to Address, message any) (Kind, error) {
	registry := conn.config.Registry
	found, err := registry.lookup(message)
	if err != nil {
		return 0, err
	}
	if to.Member.Instance == "" && !found.allowUnbound {
		return 0, UnboundError{Kind: found.kind}
	}
	body, err := registry.appendBody(scratch.body[:0], found, message)
	if err != nil {
		return 0, err
	}
	if len(body) > MaxBody {
		return 0, TooLargeError{Kind: found.kind, Size: len(body), Limit: MaxBody}
	}
	scratch.body = body
	scratch.batch = appendFrame(scratch.batch, Envelope{Kind: found.kind, Body: body})
	return found.kind, nil
}

// flush sends the first size bytes of the batch as one datagram and keeps the rest in scratch.
func (conn *Conn) flush(scratch *scratch, to Address, size int) error {
	if size == 0 {
		return nil
	}
	batch := scratch.batch
	scratch.batch = batch[:size]
	packet := conn.sealer.seal(scratch, to)
	_, err := conn.udp.WriteToUDPAddrPort(packet, to.AddrPort)
	scratch.batch = append(batch[:0], batch[size:]...)
	return eris.Wrapf(err, "send to peer %s at %s", to.Member.Instance, to.AddrPort)
}
