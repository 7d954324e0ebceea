package placement

import (
	"fmt"
	"time"

	"azureshift/bundle"
	"azureshift/core/id"
)

const (
	_instancesPerDomain = 5
	_fabricDelay        = 2 * time.Second
	_noTarget           = ""
)

// instance is the actual state of one entry instance.
type instance struct {
	member id.Member
	domain int
	alive  bool
	// receivesTraffic is set while the fabric sends it datagrams.
	receivesTraffic bool
}

// caller is one client with its current flow and the target of that flow.
type caller struct {
	flow    id.Flow
	service int
	domain  int
	target  id.Target
	broken  bool
	open    bool
}

// simulation holds the actual state of instances, targets and callers, independent of any strategy.
type simulation struct {
	*clock
	workload       Workload
	bundle         bundle.Bundle
	instances      []instance
	deadTargets    map[id.Target]bool
	domainOf       map[id.Target]int
	isolatedDomain int
	callers        []caller
	byFlow         map[id.Flow]int
	strategy       Strategy
	result         *Result
	steps          int
	lossRate       float64
}

const _noPartition = -1

func newSimulation(config Config, workload Workload, strategy Strategy, result *Result) *simulation {
	simulation := &simulation{
		clock: newClock(config.Seed), workload: workload, strategy: strategy, result: result,
		deadTargets: map[id.Target]bool{}, domainOf: map[id.Target]int{}, isolatedDomain: _noPartition,
		byFlow:   map[id.Flow]int{},
		lossRate: config.ControlLossRate,
	}
	for domain := range workload.Domains {
		for range _instancesPerDomain {
			simulation.addInstance(domain)
		}
	}
	simulation.bundle = bundle.Bundle{Version: 1}
	for _, service := range workload.Services {
		listed := bundle.Service{Name: service.Name}
		for index := range service.Targets {
			listed.Targets = append(listed.Targets, simulation.newTarget(service, index))
		}
		simulation.bundle.Services = append(simulation.bundle.Services, listed)
	}
	flows := newClock(config.Seed + 1).random
	for index, service := range workload.Services {
		for range int(float64(service.Targets*service.Connections) * config.Scale) {
			simulation.callers = append(simulation.callers, caller{flow: id.Flow(flows.Uint64()), service: index})
		}
	}
	flows.Shuffle(len(simulation.callers), func(left, right int) {
		simulation.callers[left], simulation.callers[right] = simulation.callers[right], simulation.callers[left]
	})
	for index := range simulation.callers {
		simulation.callers[index].domain = index % len(workload.Domains)
		simulation.byFlow[simulation.callers[index].flow] = index
	}
	return simulation
}

func (simulation *simulation) addInstance(domain int) int {
	index := len(simulation.instances)
	name := id.Instance(fmt.Sprintf("%s-%d", simulation.workload.Domains[domain], index))
	simulation.instances = append(simulation.instances, instance{
		member: id.Member{Instance: name, Incarnation: 1}, domain: domain, alive: true, receivesTraffic: true,
	})
	return index
}

func (simulation *simulation) newTarget(service Service, index int) bundle.Target {
	domain := index % len(simulation.workload.Domains)
	name := id.Target(fmt.Sprintf("%s-%d", service.Name, index))
	simulation.domainOf[name] = domain
	return bundle.Target{
		Name: name, Domain: simulation.workload.Domains[domain], Connections: service.Connections, Mode: bundle.ModeActive,
	}
}

// run simulates the scenario and collects its result.
func (simulation *simulation) run(scenario Scenario) {
	simulation.strategy.Start(simulation)
	for _, action := range scenario.Actions {
		simulation.after(action.At, func() { action.Do(simulation) })
	}
	start := simulation.now
	end := start.Add(scenario.Duration)
	stepsPerInterval := int(_sendInterval / _simulationStep)
	for simulation.now.Before(end) {
		phase := simulation.steps % stepsPerInterval
		for index := phase; index < len(simulation.callers); index += stepsPerInterval {
			simulation.sendDatagram(index)
		}
		simulation.steps++
		simulation.runUntil(start.Add(time.Duration(simulation.steps) * _simulationStep))
	}
	simulation.collectResult()
}

// sendDatagram sends the next datagram of a caller. With a probability of 1 in 50 the caller first replaces its
// flow by a new one.
func (simulation *simulation) sendDatagram(index int) {
	caller := &simulation.callers[index]
	if caller.open && simulation.random.Intn(50) == 0 {
		delete(simulation.byFlow, caller.flow)
		caller.flow = id.Flow(simulation.random.Uint64())
		caller.target, caller.broken, caller.open = _noTarget, false, false
		simulation.byFlow[caller.flow] = index
	}
	if !caller.open {
		simulation.result.Flows++
		caller.open = true
	}
	to := simulation.random.Intn(len(simulation.instances))
	for !simulation.instances[to].receivesTraffic ||
		simulation.isolatedDomain != _noPartition && !simulation.reachable(simulation.instances[to].domain, caller.domain) {
		to = simulation.random.Intn(len(simulation.instances))
	}
	if simulation.instances[to].alive {
		simulation.result.Datagrams++
		simulation.strategy.Deliver(to, caller.service, caller.flow)
	}
}

// reachable reports whether two failure domains can reach each other.
func (simulation *simulation) reachable(left, right int) bool {
	return simulation.isolatedDomain == _noPartition ||
		(left == simulation.isolatedDomain) == (right == simulation.isolatedDomain)
}

// delivered is called by the strategy when a datagram leaves an instance for a target.
func (simulation *simulation) delivered(from int, flow id.Flow, target id.Target) {
	index, known := simulation.byFlow[flow]
	if !known {
		return
	}
	caller := &simulation.callers[index]
	domain := simulation.instances[from].domain
	if simulation.deadTargets[target] || !simulation.reachable(domain, simulation.domainOf[target]) {
		return
	}
	if caller.target == target {
		return
	}
	if caller.target != _noTarget {
		if simulation.deadTargets[caller.target] || !simulation.reachable(domain, simulation.domainOf[caller.target]) {
			simulation.result.Lost++
		} else if !caller.broken {
			caller.broken = true
			simulation.result.Broken++
		}
	}
	caller.target = target
}

// collectResult measures the imbalance over the targets that accept new flows, and the cost of the strategy.
func (simulation *simulation) collectResult() {
	for index, service := range simulation.bundle.Services {
		counts := map[id.Target]int{}
		for _, caller := range simulation.callers {
			if caller.service == index {
				counts[caller.target]++
			}
		}
		var loads []int
		for _, target := range service.Targets {
			if target.AcceptsNewWork() && !simulation.deadTargets[target.Name] {
				loads = append(loads, counts[target.Name])
			}
		}
		simulation.result.Imbalances = append(simulation.result.Imbalances, imbalanceOf(service.Name, loads))
	}
	simulation.result.Cost = simulation.strategy.Cost()
}
