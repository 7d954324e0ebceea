package placement

import (
	"net/netip"

	"azureshift/core/id"
)

// Message is what entry instances send each other. Exactly one field is set.
type Message struct {
	Replicate *Replicate `cbor:"1,keyasint,omitempty"`
	Ack       *Ack       `cbor:"2,keyasint,omitempty"`
	Acquire   *Acquire   `cbor:"3,keyasint,omitempty"`
	Released  *Released  `cbor:"4,keyasint,omitempty"`
}

// Replicate brings the state of slots of one service. It is repeated until it is acknowledged.
type Replicate struct {
	Sequence uint64           `cbor:"1,keyasint"`
	Service  id.Service       `cbor:"2,keyasint"`
	Targets  []TargetIdentity `cbor:"3,keyasint,omitempty"`
	Slots    []SlotRecord     `cbor:"4,keyasint"`
}

// TargetIdentity names a target for the numbers used in one message.
type TargetIdentity struct {
	_       struct{} `cbor:",toarray"`
	Name    id.Target
	Domain  id.Domain
	Address netip.AddrPort
}

// SlotRecord is the state of one slot, or an addition to it.
type SlotRecord struct {
	_    struct{} `cbor:",toarray"`
	Slot id.Slot
	// Home is the slot's home under the sender's bundle; a receiver of another bundle waits.
	Home int
	// Full says that links and records replace what the receiver holds.
	Full          bool
	PreviousHomes []PreviousHomeRecord
	Records       []FlowRecord
	Removed       []id.Flow
}

// PreviousHomeRecord is a previous home of a slot and the flows that stand on it.
type PreviousHomeRecord struct {
	_        struct{} `cbor:",toarray"`
	Target   int
	MatchAll bool
	Filter   []byte
}

// FlowRecord is the exact record of one flow.
type FlowRecord struct {
	_      struct{} `cbor:",toarray"`
	Flow   id.Flow
	Target int
}

// Ack acknowledges messages by their sequence numbers.
type Ack struct {
	Sequences []uint64 `cbor:"1,keyasint"`
}

// Acquire asks the instance that decided so far for the state of partitions or of slots of one
// service. It is repeated until Released comes. Partitions is a bit for each partition, the lowest
// bit of the first byte first; Slots are in rising order.
type Acquire struct {
	Sequence   uint64     `cbor:"1,keyasint"`
	Version    id.Version `cbor:"2,keyasint"`
	Domain     id.Domain  `cbor:"3,keyasint,omitempty"`
	Partitions []byte     `cbor:"4,keyasint,omitempty"`
	Service    id.Service `cbor:"5,keyasint,omitempty"`
	Slots      []id.Slot  `cbor:"6,keyasint,omitempty"`
}

// Released says that the receiver has all state that it asked for and decides alone from now on.
// Served holds the partitions on which the sender decided: what it sent of them is all there is.
type Released struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Acquire  uint64 `cbor:"2,keyasint"`
	Served   []byte `cbor:"3,keyasint,omitempty"`
}

// partitionSet holds a bit for each partition.
type partitionSet [_partitions / 8]byte

func (partitionSet *partitionSet) add(partition uint16) {
	partitionSet[partition/8] |= 1 << (partition % 8)
}

func (partitionSet *partitionSet) has(partition uint16) bool {
	return partitionSet[partition/8]&(1<<(partition%8)) != 0
}

func (partitionSet *partitionSet) bytes() []byte {
	last := len(partitionSet)
	for last > 0 && partitionSet[last-1] == 0 {
		last--
	}
	return append([]byte(nil), partitionSet[:last]...)
}
