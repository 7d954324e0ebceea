package peer

import (
	"encoding/binary"
	"net/netip"

	"github.com/rotisserie/eris"
)

// KindForward is the message kind of Forward.
const KindForward Kind = 1

// MaxHops is the maximum number of times a datagram can be forwarded.
const MaxHops = _hopsMask

// Forward carries a caller's datagram to the entry instance that owns its flow.
type Forward struct {
	// Caller is the source address of the datagram before it reached the fabric.
	Caller netip.AddrPort
	// Service is the destination address that the caller used.
	Service netip.AddrPort
	// Hops is the number of times the datagram has been forwarded, including this one. It is at most MaxHops.
	Hops uint8
	// FromFormerHome reports that the request's former owner forwarded it because it has no record of the request.
	FromFormerHome bool
	// Payload is the datagram as the caller sent it.
	Payload []byte
}

var _ BinaryMessage = Forward{}

const (
	_ipv4Size = 4
	_ipv6Size = 16
	_portSize = 2
	// _prefixSize is the size of the flags byte and of the length prefix of an address.
	_prefixSize = 1

	// The flags byte holds Hops in its low four bits and FromFormerHome in its high bit.
	_hopsMask       = 0x0f
	_formerHomeFlag = 0x80
)

var (
	errForwardAddress   = eris.New("encode forwarded datagram: caller or service address is not set")
	errForwardHops      = eris.New("encode forwarded datagram: forwarded more than 15 times")
	errForwardFlags     = eris.New("decode forwarded datagram: unknown flags")
	errForwardTruncated = eris.New("decode forwarded datagram: truncated, or invalid address length")
)

// AppendBinary appends a flags byte, both addresses, each prefixed with its length, and the payload.
func (forward Forward) AppendBinary(buffer []byte) ([]byte, error) {
	if !forward.Caller.IsValid() || !forward.Service.IsValid() {
		return nil, errForwardAddress
	}
	if forward.Hops > MaxHops {
		return nil, errForwardHops
	}
	flags := forward.Hops
	if forward.FromFormerHome {
		flags |= _formerHomeFlag
	}
	buffer = append(buffer, flags)
	buffer = appendAddrPort(buffer, forward.Caller)
	buffer = appendAddrPort(buffer, forward.Service)
	return append(buffer, forward.Payload...), nil
}

// DecodeBinary decodes a Forward, whose payload is a copy.
func (Forward) DecodeBinary(body []byte) (any, error) {
	if len(body) < _prefixSize {
		return nil, errForwardTruncated
	}
	flags := body[0]
	if flags&^(_hopsMask|_formerHomeFlag) != 0 {
		return nil, errForwardFlags
	}
	caller, rest, err := cutAddrPort(body[_prefixSize:])
	if err != nil {
		return nil, err
	}
	service, rest, err := cutAddrPort(rest)
	if err != nil {
		return nil, err
	}
	payload := make([]byte, len(rest))
	copy(payload, rest)
	return Forward{
		Caller:         caller,
		Service:        service,
		Hops:           flags & _hopsMask,
		FromFormerHome: flags&_formerHomeFlag != 0,
		Payload:        payload,
	}, nil
}

func appendAddrPort(buffer []byte, address netip.AddrPort) []byte {
	addr := address.Addr().Unmap()
	if addr.Is4() {
		raw := addr.As4()
		buffer = append(append(buffer, _ipv4Size), raw[:]...)
	} else {
		raw := addr.As16()
		buffer = append(append(buffer, _ipv6Size), raw[:]...)
	}
	return binary.BigEndian.AppendUint16(buffer, address.Port())
}

func cutAddrPort(body []byte) (netip.AddrPort, []byte, error) {
	if len(body) < _prefixSize {
		return netip.AddrPort{}, nil, errForwardTruncated
	}
	length, rest := int(body[0]), body[_prefixSize:]
	if (length != _ipv4Size && length != _ipv6Size) || len(rest) < length+_portSize {
		return netip.AddrPort{}, nil, errForwardTruncated
	}
	addr, _ := netip.AddrFromSlice(rest[:length])
	port := binary.BigEndian.Uint16(rest[length:])
	return netip.AddrPortFrom(addr.Unmap(), port), rest[length+_portSize:], nil
}
