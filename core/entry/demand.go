package entry

import (
	"time"

	"azureshift/core/fleet"
	"azureshift/core/steer"
)

const (
	// _demandHistory is the number of sums that a relay keeps of its failure domain: those of other failure domains are up
	// to _instanceTimeout older.
	_demandHistory = 6
	// _maxDemandSize is the size in bytes that demands may take in a message. The others follow in the next messages.
	_maxDemandSize = 480
	// _loadSize is the size in bytes of the longest load in a message, and _demandSize that of the longest demand without
	// the name of its service. Fewer loads are sent beside demands.
	_loadSize   = 21
	_demandSize = 48
)

// demanding is the state of the exchange of the demand with other instances.
type demanding struct {
	// own is what this instance counted in its last report interval, which ended at ownAt.
	own   []fleet.Demand
	ownAt time.Duration
	// history holds the sums of the failure domain in the last report intervals, the newest last, while this instance is
	// the relay.
	history []demandSums
	// sums is the demand over all instances by service and priority, as calculated here or received.
	sums map[fleet.DemandKey]datedDemand
	// The offsets are the indexes of the first demand in the next message.
	offset, remoteOffset, reportOffset int
}

// demandSums is the demand of a failure domain at a time.
type demandSums struct {
	at      time.Duration
	demands []fleet.Demand
}

// datedDemand is a demand and the time of its counts.
type datedDemand struct {
	fleet.Demand
	madeAt time.Duration
}

// observeDemand processes the demand that the traffic thread counted. It is not reported unless the settings base
// decisions on it; the sums of other instances travel in any case.
func (state *State) observeDemand(counted []steer.Demand) {
	demanding := &state.demanding
	demanding.own, demanding.ownAt = nil, state.now
	if state.config.Limits.Placement.FleetAdmission {
		for _, demand := range counted {
			demanding.own = append(demanding.own, fleet.Demand{Demand: demand})
		}
	}
	if !state.relaying.active {
		demanding.history = nil
		return
	}
	demanding.history = append(demanding.history, demandSums{at: state.now, demands: state.domainDemand()})
	if len(demanding.history) > _demandHistory {
		demanding.history = demanding.history[1:]
	}
	state.sumDemand()
}

// forgetDemand drops all sums after a suspension, as their ages do not count it.
func (state *State) forgetDemand() {
	state.demanding = demanding{}
	state.publishing.refreshed = true
}

// sumDemand calculates the demand over all instances if this instance is the relay. Counts of other failure domains
// arrive later, so those of this one are taken from the same time: where clients move between failure domains, they
// must not count twice.
func (state *State) sumDemand() {
	demanding := &state.demanding
	if !state.relaying.active || len(demanding.history) == 0 {
		return
	}
	domain := demanding.history[len(demanding.history)-1]
	remote := state.fleet.RemoteDemand(state.now)
	if wanted, ok := meanAge(remote); ok {
		domain = demanding.ofAge(state.now, wanted)
	}
	counted := make([]fleet.Demand, 0, len(domain.demands))
	for _, demand := range domain.demands {
		demand.Age += state.now - domain.at
		demand.DomainOffered = demand.Offered()
		counted = append(counted, demand)
	}
	for index := range remote {
		remote[index].DomainOffered = 0
	}
	demanding.sums = nil
	state.addDemands(fleet.SumDemands(counted, remote))
}

// meanAge returns the mean age of demands, weighted by requests.
func meanAge(demands []fleet.Demand) (time.Duration, bool) {
	total, weight := 0.0, 0.0
	for _, demand := range demands {
		offered := float64(demand.Offered() + 1)
		total += offered * float64(demand.Age)
		weight += offered
	}
	if weight == 0 {
		return 0, false
	}
	return time.Duration(total / weight), true
}

// ofAge returns the sums of the failure domain whose mean age is closest to the wanted one.
func (demanding *demanding) ofAge(now, wanted time.Duration) demandSums {
	var closest demandSums
	least := time.Duration(-1)
	for _, sums := range demanding.history {
		age, ok := meanAge(sums.demands)
		if !ok {
			continue
		}
		if distance := (age + now - sums.at - wanted).Abs(); least < 0 || distance <= least {
			closest, least = sums, distance
		}
	}
	return closest
}

// domainDemand returns the demand at this instance and those that report to it.
func (state *State) domainDemand() []fleet.Demand {
	own := make([]fleet.Demand, 0, len(state.demanding.own))
	for _, demand := range state.demanding.own {
		demand.Age = state.now - state.demanding.ownAt
		own = append(own, demand)
	}
	return state.fleet.DomainDemand(state.now, own)
}

// addDemands records demands over all instances.
func (state *State) addDemands(demands []fleet.Demand) {
	if len(demands) == 0 {
		return
	}
	if state.demanding.sums == nil {
		state.demanding.sums = make(map[fleet.DemandKey]datedDemand, len(demands))
	}
	for _, demand := range demands {
		state.demanding.sums[demand.Key()] = datedDemand{Demand: demand, madeAt: state.now - demand.Age}
	}
	state.publishing.refreshed = true
}

// totalDemand returns the demand over all instances that is not too old, sorted by service and priority.
func (state *State) totalDemand() []fleet.Demand {
	demands := make([]fleet.Demand, 0, len(state.demanding.sums))
	for key, dated := range state.demanding.sums {
		age := state.now - dated.madeAt
		if age > _instanceTimeout {
			delete(state.demanding.sums, key)
			continue
		}
		demand := dated.Demand
		demand.Age = age
		demands = append(demands, demand)
	}
	return fleet.SumDemands(demands)
}

// fleetDemand returns the demand for the traffic thread.
func (state *State) fleetDemand() steer.FleetDemand {
	var sums steer.FleetDemand
	for _, demand := range state.totalDemand() {
		sums.Add(state.now-demand.Age, demand.Demand, demand.DomainOffered)
	}
	return sums
}

// demandWindow returns the demands from offset on that fit into one message, and the offset for the next message.
func demandWindow(demands []fleet.Demand, offset int) ([]fleet.Demand, int) {
	if len(demands) == 0 {
		return nil, 0
	}
	offset %= len(demands)
	size, end := 0, offset
	for end < len(demands) && size+demandSize(demands[end]) <= _maxDemandSize {
		size += demandSize(demands[end])
		end++
	}
	return demands[offset:end], end
}

func demandSize(demand fleet.Demand) int {
	return _demandSize + len(demand.Service)
}

// loadsBeside returns the number of loads that fit into a message beside demands.
func loadsBeside(demands []fleet.Demand) int {
	size := 0
	for _, demand := range demands {
		size += demandSize(demand)
	}
	return _maxLoads - (size+_loadSize-1)/_loadSize
}
