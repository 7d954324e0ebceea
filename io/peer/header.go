package peer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/id"
)

// A datagram consists of a header, the encrypted messages and the authentication tag. The header, in network byte
// order:
//
//	offset  size  field
//	     0     1  version
//	     1     1  flags
//	     2     4  key id
//	     6     4  hash of the destination
//	    10     8  sender's incarnation
//	    18     8  sender's counter
//	    26     1  length of the sender's instance name
//	    27     n  sender's instance name
const (
	_wireVersion     = 1
	_fixedHeaderSize = 27
	_tagSize         = 16
	_nonceSize       = 12
	_cipherKeySize   = 32
	// _flagBound is set if the datagram is bound to the incarnation of its destination, not only to an address.
	_flagBound     = 1
	_maxHeaderSize = _fixedHeaderSize + MaxInstanceLength
)

type header struct {
	flags       byte
	keyID       [_keyIDSize]byte
	destination uint32
	incarnation id.Incarnation
	counter     uint64
}

func (header header) bound() bool {
	return header.flags&_flagBound != 0
}

func appendHeader(buffer []byte, header header, name id.Instance) []byte {
	buffer = append(buffer, _wireVersion, header.flags)
	buffer = append(buffer, header.keyID[:]...)
	buffer = binary.BigEndian.AppendUint32(buffer, header.destination)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(header.incarnation))
	buffer = binary.BigEndian.AppendUint64(buffer, header.counter)
	buffer = append(buffer, byte(len(name)))
	return append(buffer, name...)
}

// parseHeader decodes the header and the sender's instance name, which aliases packet.
func parseHeader(packet []byte) (header, []byte, DropReason) {
	switch {
	case len(packet) > MaxDatagram:
		return header{}, nil, DropOversized
	case len(packet) < _fixedHeaderSize:
		return header{}, nil, DropTruncated
	case packet[0] != _wireVersion:
		return header{}, nil, DropUnsupportedVersion
	}
	length := int(packet[_fixedHeaderSize-1])
	if length == 0 || length > MaxInstanceLength || len(packet) < _fixedHeaderSize+length+_tagSize {
		return header{}, nil, DropTruncated
	}
	parsed := header{
		flags:       packet[1],
		destination: binary.BigEndian.Uint32(packet[6:]),
		incarnation: id.Incarnation(binary.BigEndian.Uint64(packet[10:])),
		counter:     binary.BigEndian.Uint64(packet[18:]),
	}
	copy(parsed.keyID[:], packet[2:])
	return parsed, packet[_fixedHeaderSize : _fixedHeaderSize+length], 0
}

// appendDestination appends the destination as encoded in the associated data: its address, followed by its
// incarnation and name if the member is known.
func appendDestination(buffer []byte, to Address) []byte {
	buffer = appendAddrPort(buffer, to.AddrPort)
	if to.Member.Instance == "" {
		return buffer
	}
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(to.Member.Incarnation))
	buffer = append(buffer, byte(len(to.Member.Instance)))
	return append(buffer, to.Member.Instance...)
}

func hashDestination(destination []byte) uint32 {
	return uint32(xxhash.Sum64(destination))
}
