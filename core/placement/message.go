package placement

import (
	"net/netip"

	"azureshift/core/id"
)

// Message is a message between entry instances. Exactly one field is set.
type Message struct {
	Replicate *Replicate `cbor:"1,keyasint,omitempty"`
	Ack       *Ack       `cbor:"2,keyasint,omitempty"`
	Acquire   *Acquire   `cbor:"3,keyasint,omitempty"`
	Released  *Released  `cbor:"4,keyasint,omitempty"`
}

// Replicate carries the state of slots of one service. It is repeated until it is acknowledged.
type Replicate struct {
	Sequence uint64           `cbor:"1,keyasint"`
	Service  id.Service       `cbor:"2,keyasint"`
	Targets  []TargetIdentity `cbor:"3,keyasint,omitempty"`
	Slots    []SlotRecord     `cbor:"4,keyasint"`
}

// TargetIdentity identifies a target. The other parts of a message refer to targets by their index in its list.
type TargetIdentity struct {
	_       struct{} `cbor:",toarray"`
	Name    id.Target
	Domain  id.Domain
	Address netip.AddrPort
}

// SlotRecord is the state of one slot, or an update to it.
type SlotRecord struct {
	_    struct{} `cbor:",toarray"`
	Slot id.Slot
	// Home is the slot's home under the sender's bundle. A receiver whose bundle gives the slot another home does not
	// acknowledge the message.
	Home int
	// Full reports that previous homes and records replace those that the receiver holds.
	Full          bool
	PreviousHomes []PreviousHomeRecord
	Records       []FlowRecord
	Removed       []id.Flow
}

// PreviousHomeRecord is a previous home of a slot and the filter of the flows that are assigned to it.
type PreviousHomeRecord struct {
	_        struct{} `cbor:",toarray"`
	Target   int
	MatchAll bool
	Filter   []byte
}

// FlowRecord is the exact record of one flow: its target.
type FlowRecord struct {
	_      struct{} `cbor:",toarray"`
	Flow   id.Flow
	Target int
}

// Ack acknowledges messages by their sequence numbers.
type Ack struct {
	Sequences []uint64 `cbor:"1,keyasint"`
}

// Acquire requests from the present owner the state of partitions of a failure domain, or of slots of one service. It
// is repeated until Released comes. Partitions holds a bit for each partition, beginning with the lowest bit of the
// first byte; Slots are in ascending order.
type Acquire struct {
	Sequence   uint64     `cbor:"1,keyasint"`
	Version    id.Version `cbor:"2,keyasint"`
	Domain     id.Domain  `cbor:"3,keyasint,omitempty"`
	Partitions []byte     `cbor:"4,keyasint,omitempty"`
	Service    id.Service `cbor:"5,keyasint,omitempty"`
	Slots      []id.Slot  `cbor:"6,keyasint,omitempty"`
}

// Released reports that the receiver has all the state that it requested and is the only owner from now on. Served
// holds the partitions that the sender owned: for these, the state it sent is complete.
type Released struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Acquire  uint64 `cbor:"2,keyasint"`
	Served   []byte `cbor:"3,keyasint,omitempty"`
}

// partitionSet is a set of partitions, one bit each.
type partitionSet [_partitions / 8]byte

func (partitionSet *partitionSet) add(partition uint16) {
	partitionSet[partition/8] |= 1 << (partition % 8)
}

func (partitionSet *partitionSet) has(partition uint16) bool {
	return partitionSet[partition/8]&(1<<(partition%8)) != 0
}

// bytes returns the set without trailing zero bytes.
func (partitionSet *partitionSet) bytes() []byte {
	last := len(partitionSet)
	for last > 0 && partitionSet[last-1] == 0 {
		last--
	}
	return append([]byte(nil), partitionSet[:last]...)
}
