// Package fabric encodes and decodes the datagrams exchanged with the network fabric, each of which starts with a PROXY
// protocol v2 header.
package fabric

import (
	"bufio"
	"bytes"
	"net"
	"net/netip"

	"github.com/pires/go-proxyproto"
	"github.com/rotisserie/eris"
)

// MaxDatagram is the maximum size in bytes of a datagram, including its header.
const MaxDatagram = 2048

const _protocolVersion = 2

// Datagram is a payload with the source and destination addresses from its header.
type Datagram struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Payload     []byte
}

// Encode returns the datagram in wire format: a PROXY protocol v2 header followed by the payload.
func Encode(datagram Datagram) ([]byte, error) {
	header := proxyproto.HeaderProxyFromAddrs(
		_protocolVersion,
		net.UDPAddrFromAddrPort(datagram.Source),
		net.UDPAddrFromAddrPort(datagram.Destination),
	)
	encoded, err := header.Format()
	if err != nil {
		return nil, eris.Wrapf(err, "encode header for %s to %s", datagram.Source, datagram.Destination)
	}
	return append(encoded, datagram.Payload...), nil
}

// Decode parses a datagram in wire format. The returned payload shares memory with packet.
func Decode(packet []byte) (Datagram, error) {
	reader := bytes.NewReader(packet)
	buffered := bufio.NewReaderSize(reader, MaxDatagram)
	header, err := proxyproto.Read(buffered)
	if err != nil {
		return Datagram{}, eris.Wrap(err, "decode PROXY protocol header; the fabric must send version 2")
	}
	source, destination, ok := header.UDPAddrs()
	if !ok {
		return Datagram{}, eris.New("PROXY protocol header contains no UDP addresses; the fabric must send them")
	}
	payloadSize := buffered.Buffered() + reader.Len()
	return Datagram{
		Source:      toAddrPort(source),
		Destination: toAddrPort(destination),
		Payload:     packet[len(packet)-payloadSize:],
	}, nil
}

func toAddrPort(address *net.UDPAddr) netip.AddrPort {
	addrPort := address.AddrPort()
	return netip.AddrPortFrom(addrPort.Addr().Unmap(), addrPort.Port())
}
