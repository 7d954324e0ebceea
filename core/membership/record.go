package membership

import (
	"cmp"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/id"
)

// Status is the status of one incarnation of an instance.
type Status uint8

// Statuses. At the same refutation, each one supersedes those before it.
const (
	Alive Status = iota + 1
	Leaving
	Suspect
	Dead
	Left
)

// Record describes one incarnation of an entry instance. Members exchange records.
type Record struct {
	Member  id.Member      `cbor:"1,keyasint"`
	Domain  id.Domain      `cbor:"2,keyasint"`
	Address netip.AddrPort `cbor:"3,keyasint"`
	Status  Status         `cbor:"4,keyasint"`
	// Refutation counts how often this incarnation has refuted a suspicion or a death. Only the instance itself
	// increments it, so that it can rejoin without a new incarnation.
	Refutation uint32 `cbor:"5,keyasint,omitempty"`
}

// Supersedes reports whether record replaces old, another record of the same instance.
func (record Record) Supersedes(old Record) bool {
	byIncarnation := cmp.Compare(record.Member.Incarnation, old.Member.Incarnation)
	if byIncarnation != 0 {
		return byIncarnation > 0
	}
	if record.Status == Left || old.Status == Left {
		return old.Status != Left
	}
	return cmp.Or(cmp.Compare(record.Refutation, old.Refutation), cmp.Compare(record.Status, old.Status)) > 0
}

// ended reports whether the incarnation has ended.
func (record Record) ended() bool {
	return record.Status == Dead || record.Status == Left
}

// size returns an upper bound of the encoded length of the record in bytes.
func (record Record) size() int {
	const fixed = 48
	return fixed + len(record.Member.Instance) + len(record.Domain)
}

// fingerprint returns the hash of a member that is combined into the digest of a member list.
func fingerprint(member id.Member, leaving bool) uint64 {
	const mixer = 0x9e3779b97f4a7c15
	value := xxhash.Sum64String(string(member.Instance)) + uint64(member.Incarnation)*mixer
	if leaving {
		value++
	}
	value *= mixer
	return value ^ value>>31
}
