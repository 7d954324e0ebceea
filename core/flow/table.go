// Package flow implements the flow table of an entry instance, an exact map from each flow to its target.
package flow

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"azureshift/core/id"
)

const (
	_shardBits   = 10
	_shardCount  = 1 << _shardBits
	_recordedBit = 1 << 31
)

// Target is the number of a backend server of a service in this process. It has no meaning elsewhere.
type Target uint32

// Entry is the table's entry for one flow.
type Entry struct {
	// Target is the backend server that the flow stands on.
	Target Target
	// HasRecord says that an exact record assigns the flow to its target.
	HasRecord bool
	// LastSeen is when the flow's last datagram arrived, truncated to the second.
	LastSeen time.Time
}

// Expired is an expired flow with its target.
type Expired struct {
	Flow   id.Flow
	Target Target
}

// Table maps flows to targets. It is sharded by the highest bits of the flow's hash and safe for concurrent use.
type Table struct {
	start  time.Time
	shards [_shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	fence uint64
	flows map[id.Flow]compactEntry
}

// compactEntry is an Entry in 8 bytes: the target with _recordedBit for HasRecord, and the seconds since the table's
// start.
type compactEntry struct {
	taggedTarget uint32
	seenSeconds  uint32
}

// NewTable returns an empty table that stores times relative to start.
func NewTable(start time.Time) *Table {
	table := &Table{start: start}
	for index := range table.shards {
		table.shards[index].flows = make(map[id.Flow]compactEntry)
	}
	return table
}

// Hash returns the hash that identifies the flow of a caller to a service.
func Hash(caller netip.AddrPort, service id.Service) id.Flow {
	var key [18]byte
	address := caller.Addr().As16()
	copy(key[:], address[:])
	binary.BigEndian.PutUint16(key[16:], caller.Port())
	digest := xxhash.Digest{}
	digest.ResetWithSeed(xxhash.Sum64String(string(service)))
	_, _ = digest.Write(key[:])
	return id.Flow(digest.Sum64())
}

// Find returns the target of the flow and updates when it was last seen.
func (table *Table) Find(flow id.Flow, now time.Time) (Target, bool) {
	shard := table.shard(flow)
	seconds := table.secondsSinceStart(now)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found, ok := shard.flows[flow]
	if !ok {
		return 0, false
	}
	if found.seenSeconds < seconds {
		found.seenSeconds = seconds
		shard.flows[flow] = found
	}
	return Target(found.taggedTarget &^ _recordedBit), true
}

// LastSeen returns when the flow was last seen, truncated to the second, and whether it is in the table.
func (table *Table) LastSeen(flow id.Flow) (time.Time, bool) {
	shard := table.shard(flow)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found, ok := shard.flows[flow]
	return table.start.Add(time.Duration(found.seenSeconds) * time.Second), ok
}

// Insert stores the entry unless the flow is in the table, and returns the flow's target. If the fence of the flow's
// shard is above the given one, it stores nothing and returns false: the entry was decided on an outdated snapshot, and
// must be decided again.
func (table *Table) Insert(flow id.Flow, entry Entry, fence uint64) (Target, bool) {
	shard := table.shard(flow)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if found, ok := shard.flows[flow]; ok {
		return Target(found.taggedTarget &^ _recordedBit), true
	}
	if fence < shard.fence {
		return 0, false
	}
	shard.flows[flow] = table.compactEntryOf(entry)
	return entry.Target, true
}

// Replace stores the entry whether or not the flow is in the table.
func (table *Table) Replace(flow id.Flow, entry Entry) {
	shard := table.shard(flow)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.flows[flow] = table.compactEntryOf(entry)
}

// RaiseFence makes Insert reject entries that were decided on a snapshot with a lower fence.
func (table *Table) RaiseFence(fence uint64) {
	for index := range table.shards {
		shard := &table.shards[index]
		shard.mu.Lock()
		shard.fence = max(shard.fence, fence)
		shard.mu.Unlock()
	}
}

// Range calls visit for every flow whose hash has the prefix in its highest bits. Other flows of the same shard are
// blocked while it visits the shard.
func (table *Table) Range(prefix uint64, bits int, visit func(id.Flow, Entry)) {
	first, last := prefix<<(64-bits), prefix<<(64-bits)|(1<<(64-bits)-1)
	for index := first >> (64 - _shardBits); index <= last>>(64-_shardBits); index++ {
		table.shards[index].forEach(func(flow id.Flow, found compactEntry) {
			if uint64(flow) >= first && uint64(flow) <= last {
				visit(flow, table.entryOf(found))
			}
		})
	}
}

// Expire removes the flows that were last seen before the given time, and returns those with an exact record.
func (table *Table) Expire(before time.Time) []Expired {
	var ended []Expired
	beforeSeconds := table.secondsSinceStart(before)
	for index := range table.shards {
		shard := &table.shards[index]
		shard.forEach(func(flow id.Flow, found compactEntry) {
			if found.seenSeconds >= beforeSeconds {
				return
			}
			delete(shard.flows, flow)
			if found.taggedTarget&_recordedBit != 0 {
				ended = append(ended, Expired{Flow: flow, Target: Target(found.taggedTarget &^ _recordedBit)})
			}
		})
	}
	return ended
}

// Len returns the number of flows.
func (table *Table) Len() int {
	total := 0
	for index := range table.shards {
		shard := &table.shards[index]
		shard.mu.Lock()
		total += len(shard.flows)
		shard.mu.Unlock()
	}
	return total
}

func (shard *shard) forEach(visit func(id.Flow, compactEntry)) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for flow, found := range shard.flows {
		visit(flow, found)
	}
}

func (table *Table) shard(flow id.Flow) *shard {
	return &table.shards[flow>>(64-_shardBits)]
}

func (table *Table) secondsSinceStart(at time.Time) uint32 {
	return uint32(max(0, at.Sub(table.start)/time.Second))
}

func (table *Table) compactEntryOf(entry Entry) compactEntry {
	target := uint32(entry.Target)
	if entry.HasRecord {
		target |= _recordedBit
	}
	return compactEntry{taggedTarget: target, seenSeconds: table.secondsSinceStart(entry.LastSeen)}
}

func (table *Table) entryOf(found compactEntry) Entry {
	return Entry{
		Target:    Target(found.taggedTarget &^ _recordedBit),
		HasRecord: found.taggedTarget&_recordedBit != 0,
		LastSeen:  table.start.Add(time.Duration(found.seenSeconds) * time.Second),
	}
}
