package load

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"azureshift/core/packet"
	"azureshift/core/steer"
)

// Policies that were weighed for even load. Each of them places flows in the instance's own failure domain and uses the
// speeds that package steer learns.
const (
	// Even places flows by package steer with even load.
	Even PolicyName = "Even"
	// SpeedShares gives each server a share by its speed, without regard to load.
	SpeedShares PolicyName = "SpeedShares"
	// ExpectedWait picks the server of the shortest expected wait among three, with the instance's own work added at
	// once.
	ExpectedWait PolicyName = "ExpectedWait"
	// Corrected is ExpectedWait with the flows added that the other instances have opened since, at the rate of the
	// instance's own.
	Corrected PolicyName = "Corrected"
	// AgedRandom picks the server of the shortest expected wait of all, or one by SpeedShares, the more often the older
	// the figures are.
	AgedRandom PolicyName = "AgedRandom"
	// Subsets gives each instance eight servers, to which it opens the same number of flows by speed.
	Subsets PolicyName = "Subsets"
)

// EvenPolicyNames returns the names of the policies that are compared for even load.
func EvenPolicyNames() []PolicyName {
	return []PolicyName{Steered, SpeedShares, ExpectedWait, Corrected, AgedRandom, Subsets, Even}
}

const (
	_subsetSize   = 8
	_waitChoices  = 3
	_ownFlowLoad  = 0.1
	_ownRetention = time.Second
	// _figuresHalfLife is the age of figures at which AgedRandom ignores them half of the time.
	_figuresHalfLife = time.Second
	// _minHabitAnswers is the number of answers from which on the policies use a learnt speed.
	_minHabitAnswers = 20
)

// weighedPolicy is a policy that was weighed for even load.
type weighedPolicy struct {
	steeringPolicy
	name   PolicyName
	random *rand.Rand
	// opened holds the recent flows of this instance by server, with their total, and flows all of them.
	opened      map[packet.Cookie]float64
	openedTotal float64
	flows       map[packet.Cookie]float64
	decayed     time.Duration
	updated     time.Duration
	subset      []*steer.Server
	speeds      map[packet.Cookie]float64
}

var _ Policy = (*weighedPolicy)(nil)

func newWeighedPolicy(name PolicyName, simulation *simulation) *weighedPolicy {
	return &weighedPolicy{
		steeringPolicy: steeringPolicy{simulation: simulation, steering: steer.New(steer.Config{})},
		name:           name,
		random:         rand.New(rand.NewPCG(simulation.config.Seed, uint64(len(simulation.instances)))),
		opened:         make(map[packet.Cookie]float64),
		flows:          make(map[packet.Cookie]float64),
	}
}

// Update implements Policy.
func (policy *weighedPolicy) Update(now time.Duration, table *steer.Table) {
	policy.steeringPolicy.Update(now, table)
	policy.updated = now
	usable := table.Pools[_service].Zones[0].Servers
	var latencies []time.Duration
	for _, server := range usable {
		if habit := table.Measure(server).Habit; habit.SampledAnswers >= _minHabitAnswers {
			latencies = append(latencies, habit.UsualLatency)
		}
	}
	slices.Sort(latencies)
	policy.speeds = make(map[packet.Cookie]float64)
	for _, server := range usable {
		habit := table.Measure(server).Habit
		policy.speeds[server.Cookie] = 1
		if habit.SampledAnswers >= _minHabitAnswers {
			policy.speeds[server.Cookie] = float64(latencies[len(latencies)/2]) / float64(habit.UsualLatency)
		}
	}
	if policy.subset == nil {
		shuffled := slices.Clone(usable)
		policy.random.Shuffle(len(shuffled), func(left, right int) {
			shuffled[left], shuffled[right] = shuffled[right], shuffled[left]
		})
		policy.subset = shuffled[:min(_subsetSize, len(shuffled))]
	}
}

// Place implements Policy.
func (policy *weighedPolicy) Place(now time.Duration, _ packet.Header) *server {
	if policy.subset == nil {
		return nil
	}
	left := math.Exp(-(now - policy.decayed).Seconds() / _ownRetention.Seconds())
	for cookie := range policy.opened {
		policy.opened[cookie] *= left
	}
	policy.openedTotal *= left
	policy.decayed = now
	chosen := policy.choose(now)
	policy.opened[chosen.Cookie]++
	policy.openedTotal++
	policy.flows[chosen.Cookie]++
	return policy.simulation.byCookie[chosen.Cookie]
}

func (policy *weighedPolicy) choose(now time.Duration) *steer.Server {
	usable := policy.steering.Table().Pools[_service].Zones[0].Servers
	switch policy.name {
	case ExpectedWait, Corrected:
		few := make([]*steer.Server, 0, _waitChoices)
		for range _waitChoices {
			few = append(few, usable[policy.random.IntN(len(usable))])
		}
		return slices.MinFunc(few, policy.compareWaits)
	case AgedRandom:
		age := now - policy.updated + policy.simulation.config.ExchangeDelay
		if policy.random.Float64() < math.Exp2(-age.Seconds()/_figuresHalfLife.Seconds()) {
			return slices.MinFunc(usable, policy.compareWaits)
		}
	case Hashed, InTurn, LeastFlows, TwoChoices, Ideal, Steered, Even, SpeedShares:
	case Subsets:
		return slices.MinFunc(policy.subset, func(left, right *steer.Server) int {
			return cmp.Compare(policy.flows[left.Cookie]/policy.speeds[left.Cookie],
				policy.flows[right.Cookie]/policy.speeds[right.Cookie])
		})
	}
	return policy.chooseBySpeed(usable)
}

func (policy *weighedPolicy) chooseBySpeed(usable []*steer.Server) *steer.Server {
	total := 0.0
	for _, server := range usable {
		total += policy.speeds[server.Cookie]
	}
	drawn := policy.random.Float64() * total
	for _, server := range usable {
		if drawn -= policy.speeds[server.Cookie]; drawn < 0 {
			return server
		}
	}
	return usable[0]
}

func (policy *weighedPolicy) compareWaits(left, right *steer.Server) int {
	return cmp.Compare(policy.wait(left), policy.wait(right))
}

// wait returns the expected wait at a server, as a multiple of the usual work of a request.
func (policy *weighedPolicy) wait(server *steer.Server) float64 {
	table := policy.steering.Table()
	inProgress := table.Measure(server).SmoothedInProgress + policy.opened[server.Cookie]*_ownFlowLoad
	if policy.name == Corrected {
		servers := len(table.Pools[_service].Zones[0].Servers)
		inProgress += policy.openedTotal * float64(table.LiveInstances-1) / float64(servers) * _ownFlowLoad
	}
	return (1 + inProgress/float64(server.Slots)) / policy.speeds[server.Cookie]
}
