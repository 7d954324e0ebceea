package load

import (
	"math/rand/v2"
	"time"

	"azureshift/core/packet"
	"azureshift/core/steer"
)

// Policy decides at one instance which server gets each new flow.
type Policy interface {
	// Place returns the server for a new flow, or nil to refuse the flow.
	Place(now time.Duration, header packet.Header) *server
	// Observe is called with each packet that a client sends on an open flow.
	Observe(now time.Duration, header packet.Header)
	// Update replaces the table of servers, which includes the loads that all instances have exchanged.
	Update(now time.Duration, table *steer.Table)
	// Report returns what the instance observed since the last call.
	Report(now time.Duration) []steer.Observation
}

// PolicyName is the name of a policy.
type PolicyName string

// The policies that are compared.
const (
	// Steered places flows by package steer, as entry instances do.
	Steered PolicyName = "Steered"
	// Hashed picks a server by a hash of the flow.
	Hashed PolicyName = "Hashed"
	// InTurn picks servers round-robin.
	InTurn PolicyName = "InTurn"
	// LeastFlows picks the server on which the instance itself has placed the fewest flows so far.
	LeastFlows PolicyName = "LeastFlows"
	// TwoChoices picks the less loaded of two random servers, by the load that each last reported.
	TwoChoices PolicyName = "TwoChoices"
	// Ideal has a single queue for all servers and no flows. It is the upper bound for the others.
	Ideal PolicyName = "Ideal"
)

// PolicyNames returns the names of all policies, Ideal last.
func PolicyNames() []PolicyName {
	return []PolicyName{Steered, Hashed, InTurn, LeastFlows, TwoChoices, Ideal}
}

func newPolicy(policyName PolicyName, simulation *simulation) Policy {
	switch policyName {
	case Steered, Even:
		return &steeringPolicy{simulation: simulation, steering: steer.New(steer.Config{})}
	case Hashed, Ideal:
		return &choicePolicy{simulation: simulation, choose: chooseByHash}
	case InTurn:
		return &choicePolicy{simulation: simulation, choose: chooseInTurn}
	case LeastFlows:
		return &choicePolicy{simulation: simulation, choose: chooseLeastFlows, placedFlows: make(map[packet.Cookie]int)}
	case TwoChoices:
		return &choicePolicy{simulation: simulation, choose: chooseOfTwo}
	case SpeedShares, ExpectedWait, Corrected, AgedRandom, Subsets:
	}
	return newWeighedPolicy(policyName, simulation)
}

// steeringPolicy places flows by package steer, as entry instances do.
type steeringPolicy struct {
	simulation *simulation
	steering   *steer.Steering
}

var _ Policy = (*steeringPolicy)(nil)

// Place implements Policy.
func (policy *steeringPolicy) Place(now time.Duration, header packet.Header) *server {
	decision := policy.steering.Decide(now, header)
	if decision.Reason == steer.SlowStart {
		policy.simulation.result.RefusedSlowStart++
	}
	if decision.Action != steer.Forward {
		return nil
	}
	return policy.simulation.byCookie[decision.Server.Cookie]
}

// Observe implements Policy.
func (policy *steeringPolicy) Observe(now time.Duration, header packet.Header) {
	policy.steering.Decide(now, header)
}

// Update implements Policy.
func (policy *steeringPolicy) Update(now time.Duration, table *steer.Table) {
	policy.steering.SetTable(table)
	policy.steering.Expire(now)
}

// Report implements Policy.
func (policy *steeringPolicy) Report(now time.Duration) []steer.Observation {
	return policy.steering.Report(now)
}

// choicePolicy places flows by a function that picks one of the usable servers.
type choicePolicy struct {
	simulation  *simulation
	choose      func(policy *choicePolicy, header packet.Header, usable []*steer.Server) *steer.Server
	usable      []*steer.Server
	turn        int
	placedFlows map[packet.Cookie]int
}

var _ Policy = (*choicePolicy)(nil)

// Place implements Policy.
func (policy *choicePolicy) Place(_ time.Duration, header packet.Header) *server {
	if len(policy.usable) == 0 {
		return nil
	}
	chosen := policy.choose(policy, header, policy.usable)
	return policy.simulation.byCookie[chosen.Cookie]
}

// Observe implements Policy.
func (*choicePolicy) Observe(time.Duration, packet.Header) {}

// Update implements Policy.
func (policy *choicePolicy) Update(_ time.Duration, table *steer.Table) {
	policy.usable = policy.usable[:0]
	for _, zone := range table.Pools[_service].Zones {
		policy.usable = append(policy.usable, zone.Servers...)
	}
}

// Report implements Policy.
func (*choicePolicy) Report(time.Duration) []steer.Observation { return nil }

func chooseByHash(policy *choicePolicy, header packet.Header, usable []*steer.Server) *steer.Server {
	random := rand.New(rand.NewPCG(uint64(header.Sequence), uint64(header.Flow.Client.Port)+policy.simulation.config.Seed))
	return usable[random.IntN(len(usable))]
}

func chooseInTurn(policy *choicePolicy, _ packet.Header, usable []*steer.Server) *steer.Server {
	policy.turn++
	return usable[policy.turn%len(usable)]
}

func chooseLeastFlows(policy *choicePolicy, _ packet.Header, usable []*steer.Server) *steer.Server {
	best := usable[policy.simulation.random.IntN(len(usable))]
	for _, server := range usable {
		if policy.placedFlows[server.Cookie] < policy.placedFlows[best.Cookie] {
			best = server
		}
	}
	policy.placedFlows[best.Cookie]++
	return best
}

func chooseOfTwo(policy *choicePolicy, _ packet.Header, usable []*steer.Server) *steer.Server {
	left := usable[policy.simulation.random.IntN(len(usable))]
	right := usable[policy.simulation.random.IntN(len(usable))]
	if policy.simulation.reported[right.Cookie] < policy.simulation.reported[left.Cookie] {
		return right
	}
	return left
}
