package gossip

import "github.com/cespare/xxhash/v2"

// Key names a value.
type Key string

// Value is one version of the data under a key. A greater version replaces a smaller one.
type Value struct {
	Key     Key    `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Data    []byte `cbor:"3,keyasint,omitempty"`
	// Large is set if Data is too long for a datagram and has to be fetched.
	Large bool `cbor:"4,keyasint,omitempty"`
}

// MaxMessage is the maximum encoded length of a message in bytes.
const MaxMessage = 1100

// Upper bounds in bytes for the encoding of a message without values, and of a value without key and data.
const (
	_messageOverhead = 32
	_valueOverhead   = 24
)

// maxSize returns an upper bound for the encoded length of the value in bytes.
func (value Value) maxSize() int {
	return _valueOverhead + len(value.Key) + len(value.Data)
}

// Message is sent between members in one datagram.
type Message struct {
	// Values are pushed changes, or values that the receiver lacks.
	Values []Value `cbor:"1,keyasint,omitempty"`
	// Versions offers versions that the sender holds, without data. The receiver answers with the
	// values that it holds in a greater version and requests those that it holds in a smaller one.
	Versions []Value `cbor:"2,keyasint,omitempty"`
	// After and Last bound the range of keys that Versions covers: greater than After and at most
	// Last. An empty Last means no upper bound.
	After Key `cbor:"3,keyasint,omitempty"`
	Last  Key `cbor:"4,keyasint,omitempty"`
	// Wanted are the keys whose values the sender requests.
	Wanted []Key `cbor:"5,keyasint,omitempty"`
}

// fingerprint returns the hash of a key and version; the digest is the XOR of those held.
func fingerprint(key Key, version uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	value := xxhash.Sum64String(string(key)) + version*multiplier
	value ^= value >> 29
	value *= multiplier
	return value ^ value>>32
}
