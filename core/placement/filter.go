package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/bits-and-blooms/bloom/v3"

	"azureshift/core/flow"
	"azureshift/core/id"
)

const (
	// 7 hashes and 10 bits per flow give a false positive rate of about 0.8%.
	_filterHashes      = 7
	_filterBitsPerFlow = 10
	_wordBits          = 64
	_wordBytes         = 8
)

// Filter is a Bloom filter of flows: it contains every flow that was added and may have false positives. The zero value
// is empty.
type Filter struct{ bloom *bloom.BloomFilter }

// NewFilter returns a filter that contains the flows.
func NewFilter(flows []id.Flow) Filter {
	if len(flows) == 0 {
		return Filter{}
	}
	words := (len(flows)*_filterBitsPerFlow + _wordBits - 1) / _wordBits
	built := bloom.From(make([]uint64, words), _filterHashes)
	for _, flow := range flows {
		built.Add(filterKey(flow))
	}
	return Filter{bloom: built}
}

// Has reports whether the flow may be in the set.
func (filter Filter) Has(flow id.Flow) bool {
	return filter.bloom != nil && filter.bloom.Test(filterKey(flow))
}

func (filter Filter) encode() []byte {
	if filter.bloom == nil {
		return nil
	}
	var encoded []byte
	for _, word := range filter.bloom.BitSet().Words() {
		encoded = binary.BigEndian.AppendUint64(encoded, word)
	}
	return encoded
}

func decodeFilter(encoded []byte) Filter {
	if len(encoded) < _wordBytes {
		return Filter{}
	}
	words := make([]uint64, len(encoded)/_wordBytes)
	for index := range words {
		words[index] = binary.BigEndian.Uint64(encoded[index*_wordBytes:])
	}
	return Filter{bloom: bloom.From(words, _filterHashes)}
}

func filterKey(flow id.Flow) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(flow))
}

// BuildFilters fences the flow table and builds the requested filters from it. Once it returns, placements made from
// snapshots below the effect's fence cannot enter the table any more.
func BuildFilters(table *flow.Table, effect RequestFilters) []BuiltSlot {
	table.RaiseFence(effect.Fence)
	built := make([]BuiltSlot, len(effect.Slots))
	for index, query := range effect.Slots {
		built[index] = query.build(table)
	}
	return built
}

func (query SlotQuery) build(table *flow.Table) BuiltSlot {
	established := make([][]id.Flow, len(query.PreviousHomes))
	var atHome []id.Flow
	table.Range(uint64(query.Slot), query.SlotBits, func(flow id.Flow, entry flow.Entry) {
		if entry.Target == query.Home {
			atHome = append(atHome, flow)
			return
		}
		for index, previous := range query.PreviousHomes {
			if entry.Target == previous {
				established[index] = append(established[index], flow)
			}
		}
	})
	built := BuiltSlot{Service: query.Service, Slot: query.Slot}
	for index, previous := range query.PreviousHomes {
		built.Filters = append(built.Filters, BuiltFilter{
			Target: previous,
			Count:  len(established[index]),
			Filter: NewFilter(established[index]),
		})
	}
	for index, flows := range established {
		built.addCollisions(flows, query.PreviousHomes[index], built.Filters[:index])
	}
	built.addCollisions(atHome, query.Home, built.Filters)
	slices.SortFunc(built.Collisions, func(left, right Collision) int { return cmp.Compare(left.Flow, right.Flow) })
	return built
}

// addCollisions records the flows that match one of the filters although they are assigned to another target.
func (built *BuiltSlot) addCollisions(flows []id.Flow, target flow.Target, filters []BuiltFilter) {
	for _, flow := range flows {
		for _, filter := range filters {
			if filter.Filter.Has(flow) {
				built.Collisions = append(built.Collisions, Collision{Flow: flow, Target: target})
				break
			}
		}
	}
}
