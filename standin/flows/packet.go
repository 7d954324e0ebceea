// Package flows simulates what surrounds entry instances on the users' platform: clients and backend servers that
// exchange flows of packets, and the routers between clients and instances.
package flows

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/packet"
)

// Layout of a packet on the wire.
const (
	_sequenceOffset   = 0
	_ackOffset        = 4
	_lengthOffset     = 8
	_checksumOffset   = 10
	_echoOffset       = 14
	_srcPortOffset    = 18
	_srcAddressOffset = 20
	_dstPortOffset    = 24
	_dstAddressOffset = 26
	_flagsOffset      = 30
	_headerSize       = 32
	_tagSize          = 8
	_maxData          = 1200
)

// Flags of a packet on the wire.
const (
	_syn byte = 4
	_ack byte = 2
	_fin byte = 128
	_rst byte = 16
)

// _checksumSeed seeds the checksum. Entry instances do not know it.
const _checksumSeed = 0x5eed_0f_f1a7

// segment is a decoded packet.
type segment struct {
	from, to      packet.Endpoint
	flags         byte
	echo          uint32
	sequence, ack uint32
	data          []byte
	// checksum is the one in the packet, and checksumValid says whether it is right. It is zero in a reset by an
	// entry instance.
	checksum      uint32
	checksumValid bool
}

func (segment segment) has(flags byte) bool {
	return segment.flags&flags == flags
}

// nextSequence is the sequence number after the segment; SYN and FIN count one each.
func (segment segment) nextSequence() uint32 {
	end := segment.sequence + uint32(len(segment.data))
	if segment.has(_syn) {
		end++
	}
	if segment.has(_fin) {
		end++
	}
	return end
}

func (segment segment) encode() []byte {
	raw := make([]byte, _headerSize, _headerSize+len(segment.data))
	byteOrder := binary.BigEndian
	byteOrder.PutUint32(raw[_sequenceOffset:], segment.sequence)
	byteOrder.PutUint32(raw[_ackOffset:], segment.ack)
	byteOrder.PutUint16(raw[_lengthOffset:], uint16(len(segment.data)))
	byteOrder.PutUint16(raw[_srcPortOffset:], segment.from.Port)
	copy(raw[_srcAddressOffset:], segment.from.Address[:])
	byteOrder.PutUint16(raw[_dstPortOffset:], segment.to.Port)
	copy(raw[_dstAddressOffset:], segment.to.Address[:])
	raw[_flagsOffset] = segment.flags
	raw = append(raw, segment.data...)
	byteOrder.PutUint32(raw[_checksumOffset:], checksum(raw))
	byteOrder.PutUint32(raw[_echoOffset:], segment.echo)
	return raw
}

func decode(raw []byte) (segment, bool) {
	if len(raw) < _headerSize {
		return segment{}, false
	}
	byteOrder := binary.BigEndian
	decoded := segment{
		from:     packet.Endpoint{Address: [4]byte(raw[_srcAddressOffset:]), Port: byteOrder.Uint16(raw[_srcPortOffset:])},
		to:       packet.Endpoint{Address: [4]byte(raw[_dstAddressOffset:]), Port: byteOrder.Uint16(raw[_dstPortOffset:])},
		flags:    raw[_flagsOffset],
		echo:     byteOrder.Uint32(raw[_echoOffset:]),
		sequence: byteOrder.Uint32(raw[_sequenceOffset:]),
		ack:      byteOrder.Uint32(raw[_ackOffset:]),
		data:     append([]byte(nil), raw[_headerSize:]...),
		checksum: byteOrder.Uint32(raw[_checksumOffset:]),
	}
	decoded.checksumValid = decoded.checksum == checksum(raw)
	return decoded, len(decoded.data) == int(byteOrder.Uint16(raw[_lengthOffset:]))
}

// checksum covers everything but the echo and the checksum itself.
func checksum(raw []byte) uint32 {
	digest := xxhash.NewWithSeed(_checksumSeed)
	// Writing to a digest does not fail.
	_, _ = digest.Write(raw[:_checksumOffset])
	_, _ = digest.Write(raw[_srcPortOffset:_headerSize])
	_, _ = digest.Write(raw[_headerSize:])
	return uint32(digest.Sum64())
}

// sequenceAfter reports whether sequence number left comes after right, with wraparound.
func sequenceAfter(left, right uint32) bool {
	return int32(left-right) > 0
}
