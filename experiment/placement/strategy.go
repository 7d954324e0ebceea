package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"azureshift/bundle"
	"azureshift/core/id"
	"azureshift/core/placement"
)

const (
	_entryBytes      = 16
	_maxRollDelay    = 2 * time.Second
	_minDetection    = 500 * time.Millisecond
	_maxDetection    = 1500 * time.Millisecond
	_minMessageDelay = 1500 * time.Microsecond
	_maxMessageDelay = 4 * time.Millisecond
)

// Strategy is a way to place flows. Its methods are called at the moment of a change; the strategy simulates
// the delay after which each instance learns of it.
type Strategy interface {
	Name() string
	Start(simulation *simulation)
	// Deliver handles a datagram that the fabric sent to an instance.
	Deliver(instance, service int, flow id.Flow)
	BundleRolled(bundle bundle.Bundle)
	InstanceLost(instance int)
	InstanceJoined(instance int)
	InstanceLeaving(instance int)
	TargetChanged(target id.Target, alive bool)
	PartitionChanged(partitioned bool)
	Cost() Cost
}

// Strategies returns the constructors of all strategies.
func Strategies(disabled placement.Disabled) []func() Strategy {
	return []func() Strategy{
		func() Strategy { return &baseline{name: "plain hash", pick: modulo} },
		func() Strategy { return &baseline{name: "consistent+table", pick: rendezvous, keepsTable: true} },
		func() Strategy {
			return &baseline{name: "full replication", pick: rendezvous, keepsTable: true, replicatesTable: true}
		},
		func() Strategy { return newSlotOwners(disabled) },
	}
}

// baseline places flows by a hash over the targets that an instance considers usable. The instances have no
// flow table, a table of their own, or a table that they replicate to each other.
type baseline struct {
	name            string
	pick            func(flow id.Flow, targets []id.Target) id.Target
	keepsTable      bool
	replicatesTable bool
	simulation      *simulation
	nodes           []*baselineNode
	cost            Cost
}

type baselineNode struct {
	bundle bundle.Bundle
	down   map[id.Target]bool
	table  map[id.Flow]id.Target
	usable [][]id.Target
}

var _ Strategy = (*baseline)(nil)

func (baseline *baseline) Name() string { return baseline.name }

func (baseline *baseline) Start(simulation *simulation) {
	baseline.simulation = simulation
	for range simulation.instances {
		baseline.addNode()
	}
}

func (baseline *baseline) addNode() {
	node := &baselineNode{bundle: baseline.simulation.bundle, down: map[id.Target]bool{}, table: map[id.Flow]id.Target{}}
	node.updateUsable()
	if baseline.replicatesTable && len(baseline.nodes) > 0 {
		for flow, target := range baseline.nodes[0].table {
			node.table[flow] = target
			baseline.cost.ControlBytes += _entryBytes
		}
	}
	baseline.nodes = append(baseline.nodes, node)
}

func (node *baselineNode) updateUsable() {
	node.usable = nil
	for _, service := range node.bundle.Services {
		var usable []id.Target
		for _, target := range service.Targets {
			if target.AcceptsNewWork() && !node.down[target.Name] {
				usable = append(usable, target.Name)
			}
		}
		node.usable = append(node.usable, usable)
	}
}

func (baseline *baseline) Deliver(instance, service int, flow id.Flow) {
	node := baseline.nodes[instance]
	target, known := node.table[flow]
	if !known || node.down[target] {
		target = baseline.pick(flow, node.usable[service])
		if baseline.keepsTable {
			node.table[flow] = target
		}
		if baseline.replicatesTable {
			baseline.replicate(instance, flow, target)
		}
	}
	baseline.simulation.delivered(instance, flow, target)
}

func (baseline *baseline) replicate(from int, flow id.Flow, target id.Target) {
	for to, node := range baseline.nodes {
		if to == from {
			continue
		}
		baseline.cost.ControlBytes += _entryBytes
		if baseline.simulation.random.Float64() < baseline.simulation.lossRate {
			continue
		}
		delay := baseline.simulation.jitter(_minMessageDelay, _maxMessageDelay)
		baseline.simulation.after(delay, func() {
			if _, known := node.table[flow]; !known {
				node.table[flow] = target
			}
		})
	}
}

func (baseline *baseline) BundleRolled(rolled bundle.Bundle) {
	for _, node := range baseline.nodes {
		baseline.simulation.after(baseline.simulation.jitter(0, _maxRollDelay), func() {
			if rolled.Version > node.bundle.Version {
				node.bundle = rolled
				node.updateUsable()
			}
		})
	}
}

func (baseline *baseline) InstanceLost(int) {}

func (baseline *baseline) InstanceJoined(int) { baseline.addNode() }

func (baseline *baseline) InstanceLeaving(int) {}

func (baseline *baseline) TargetChanged(target id.Target, alive bool) {
	for _, node := range baseline.nodes {
		baseline.simulation.after(baseline.simulation.jitter(_minDetection, _maxDetection), func() {
			node.down[target] = !alive
			node.updateUsable()
		})
	}
}

func (baseline *baseline) PartitionChanged(partitioned bool) {
	for index, node := range baseline.nodes {
		domain := baseline.simulation.instances[index].domain
		for _, target := range baseline.simulation.unreachableTargets(domain) {
			baseline.simulation.after(baseline.simulation.jitter(_minDetection, _maxDetection), func() {
				node.down[target] = partitioned
				node.updateUsable()
			})
		}
	}
}

func (baseline *baseline) Cost() Cost {
	for _, node := range baseline.nodes {
		baseline.cost.Entries += len(node.table)
	}
	return baseline.cost
}

// unreachableTargets returns the targets that the partition separates from a domain.
func (simulation *simulation) unreachableTargets(domain int) []id.Target {
	var across []id.Target
	for _, service := range simulation.bundle.Services {
		for _, target := range service.Targets {
			if !simulation.reachable(domain, simulation.domainOf[target.Name]) {
				across = append(across, target.Name)
			}
		}
	}
	return across
}

func modulo(flow id.Flow, targets []id.Target) id.Target {
	return targets[uint64(flow)%uint64(len(targets))]
}

func rendezvous(flow id.Flow, targets []id.Target) id.Target {
	var best id.Target
	var bestWeight uint64
	for _, target := range targets {
		weight := (xxhash.Sum64String(string(target)) ^ uint64(flow)) * 0x9e3779b97f4a7c15
		weight ^= weight >> 32
		weight *= 0x9e3779b97f4a7c15
		if best == _noTarget || weight > bestWeight {
			best, bestWeight = target, weight
		}
	}
	return best
}
