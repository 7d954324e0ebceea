package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"azureshift/core/id"
	"azureshift/core/route"
	"azureshift/core/steer"
)

// Demand is the demand for one service at one priority as one or more instances reported it.
type Demand struct {
	steer.Demand
	// DomainOffered is the part of the offered requests that comes from clients of the receiver's failure domain. It is
	// set in sums over all failure domains.
	DomainOffered int
	// Age is the time since the counts were made, on average over the requests.
	Age time.Duration
}

// DemandKey identifies the demand for one service at one priority, by flows that carry one request each or by others.
type DemandKey struct {
	Service  id.Service
	Priority route.Priority
	Single   bool
}

// Key returns the service and the priority.
func (demand Demand) Key() DemandKey {
	return DemandKey{Service: demand.Service, Priority: demand.Priority, Single: demand.Single}
}

// receivedDemand is a demand with the time at which its counts were made and the time at which it was received.
type receivedDemand struct {
	Demand
	madeAt     time.Duration
	receivedAt time.Duration
}

// _demandTTL is how long the demand that an instance of the same failure domain reported counts. It tolerates two lost
// reports. It is shorter than the time for loads, as the clients of an instance that has ended soon show up at others.
const _demandTTL = 1500 * time.Millisecond

// wireDemand is the encoding of a Demand. Fields that are zero are left out, and unknown ones ignored.
type wireDemand struct {
	Service       id.Service     `cbor:"1,keyasint"`
	Priority      route.Priority `cbor:"2,keyasint,omitempty"`
	AgeMillis     uint32         `cbor:"3,keyasint,omitempty"`
	Requests      uint32         `cbor:"4,keyasint,omitempty"`
	Opened        uint32         `cbor:"5,keyasint,omitempty"`
	Refused       uint32         `cbor:"6,keyasint,omitempty"`
	Answers       uint32         `cbor:"7,keyasint,omitempty"`
	LatencyMillis uint32         `cbor:"8,keyasint,omitempty"`
	DomainOffered uint32         `cbor:"9,keyasint,omitempty"`
	Single        bool           `cbor:"10,keyasint,omitempty"`
}

var (
	_ cbor.Marshaler   = Demand{}
	_ cbor.Unmarshaler = (*Demand)(nil)
)

// MarshalCBOR implements cbor.Marshaler.
func (demand Demand) MarshalCBOR() ([]byte, error) {
	raw, err := cbor.Marshal(wireDemand{
		Service: demand.Service, Priority: demand.Priority, AgeMillis: clampMillis(demand.Age),
		Requests: clampCount(demand.Requests), Opened: clampCount(demand.Opened), Refused: clampCount(demand.Refused),
		Answers: clampCount(demand.Answers), LatencyMillis: clampMillis(demand.Latency),
		DomainOffered: clampCount(demand.DomainOffered), Single: demand.Single,
	})
	return raw, eris.Wrap(err, "encode demand")
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (demand *Demand) UnmarshalCBOR(raw []byte) error {
	var wire wireDemand
	if err := cbor.Unmarshal(raw, &wire); err != nil {
		return eris.Wrap(err, "decode demand")
	}
	count := func(count uint32) int { return int(min(count, math.MaxInt32)) }
	*demand = Demand{
		Demand: steer.Demand{
			Service: wire.Service, Priority: wire.Priority, Single: wire.Single,
			DemandCounts: steer.DemandCounts{
				Requests: count(wire.Requests), Opened: count(wire.Opened), Refused: count(wire.Refused),
				Answers: count(wire.Answers), Latency: time.Duration(wire.LatencyMillis) * time.Millisecond,
			},
		},
		DomainOffered: count(wire.DomainOffered),
		Age:           time.Duration(wire.AgeMillis) * time.Millisecond,
	}
	return nil
}

func clampMillis(duration time.Duration) uint32 {
	return uint32(min(max(duration.Round(time.Millisecond).Milliseconds(), 0), math.MaxUint32))
}

// Add returns the total of two demands for the same service and priority. The age is averaged over the requests.
func (demand Demand) Add(other Demand) Demand {
	weight, otherWeight := float64(demand.Offered()+1), float64(other.Offered()+1)
	total := weight*float64(demand.Age) + otherWeight*float64(other.Age)
	demand.Age = time.Duration(total / (weight + otherWeight))
	demand.DemandCounts = demand.DemandCounts.Add(other.DemandCounts)
	demand.DomainOffered += other.DomainOffered
	return demand
}

// storeDemands stores the demands that the peer reported; a message may hold some of them only.
func (peer *peerState) storeDemands(now time.Duration, demands []Demand) {
	if peer.demands == nil && len(demands) > 0 {
		peer.demands = make(map[DemandKey]receivedDemand, len(demands))
	}
	for _, demand := range demands {
		peer.demands[demand.Key()] = receivedDemand{Demand: demand, madeAt: now - demand.Age, receivedAt: now}
	}
}

// DomainDemand returns the total demand at this instance and those that report to it, sorted by service and priority.
func (state *State) DomainDemand(now time.Duration, own []Demand) []Demand {
	sums := make(map[DemandKey]Demand, len(own))
	addDemands(sums, own)
	for _, peer := range state.peers {
		if peer.Domain != state.config.Self.Domain {
			continue
		}
		for key, received := range peer.demands {
			if now-received.receivedAt > _demandTTL {
				delete(peer.demands, key)
				continue
			}
			addDemands(sums, []Demand{received.aged(now)})
		}
	}
	return sortDemands(sums)
}

// RemoteDemand returns the total demand in the other failure domains, sorted by service and priority. Of two relays of
// one failure domain the one heard last counts: a relay that has lost the role reports old sums for a time.
func (state *State) RemoteDemand(now time.Duration) []Demand {
	newest := make(map[id.Domain]map[DemandKey]receivedDemand)
	for _, peer := range state.peers {
		if peer.Domain == state.config.Self.Domain {
			continue
		}
		for key, received := range peer.demands {
			if now-received.receivedAt > state.config.LivenessTimeout {
				delete(peer.demands, key)
				continue
			}
			if newest[peer.Domain] == nil {
				newest[peer.Domain] = make(map[DemandKey]receivedDemand)
			}
			if known, ok := newest[peer.Domain][key]; !ok || received.receivedAt > known.receivedAt {
				newest[peer.Domain][key] = received
			}
		}
	}
	sums := make(map[DemandKey]Demand)
	for _, demands := range newest {
		for _, received := range demands {
			addDemands(sums, []Demand{received.aged(now)})
		}
	}
	return sortDemands(sums)
}

// aged returns the demand with its current age.
func (receivedDemand receivedDemand) aged(now time.Duration) Demand {
	demand := receivedDemand.Demand
	demand.Age = now - receivedDemand.madeAt
	return demand
}

// SumDemands returns the totals of demands, sorted by service and priority.
func SumDemands(demands ...[]Demand) []Demand {
	sums := make(map[DemandKey]Demand)
	for _, summed := range demands {
		addDemands(sums, summed)
	}
	return sortDemands(sums)
}

func addDemands(sums map[DemandKey]Demand, demands []Demand) {
	for _, demand := range demands {
		if known, ok := sums[demand.Key()]; ok {
			demand = known.Add(demand)
		}
		sums[demand.Key()] = demand
	}
}

func sortDemands(sums map[DemandKey]Demand) []Demand {
	sorted := make([]Demand, 0, len(sums))
	for _, demand := range sums {
		sorted = append(sorted, demand)
	}
	slices.SortFunc(sorted, func(left, right Demand) int {
		single := 0
		if left.Single != right.Single {
			single = -1
			if left.Single {
				single = 1
			}
		}
		return cmp.Or(cmp.Compare(left.Service, right.Service), cmp.Compare(left.Priority, right.Priority), single)
	})
	return sorted
}
