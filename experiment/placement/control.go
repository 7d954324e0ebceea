package placement

import (
	"math/rand"
	"time"

	"github.com/fxamacker/cbor/v2"

	"azureshift/bundle"
	"azureshift/core/epoch"
	"azureshift/core/flow"
	"azureshift/core/id"
	"azureshift/core/placement"
)

const (
	_newFlowsPerSecond = 3000
	_establishedFlows  = 300_000
	_changesPerDay     = 1200
	_secondsPerDay     = 24 * 60 * 60
	_flowBatch         = 3000
)

// Traffic is the control traffic of one instance in bytes per second, measured with the real encodings,
// at 3,000 new flows per second and 300,000 established flows.
type Traffic struct {
	// BundleChanges is the traffic caused by 1,200 bundle changes a day. Each change adds a target to a service
	// with 14 targets and so changes the home of its share of the established flows.
	BundleChanges float64
	// FlowRecords is the traffic for new flows placed off their home while one of 14 targets refuses all new flows.
	FlowRecords float64
	// RecordBytes is the size of one record, its acknowledgement and its removal.
	RecordBytes float64
}

// Total returns the sum of all control traffic.
func (traffic Traffic) Total() float64 { return traffic.BundleChanges + traffic.FlowRecords }

// MeasureTraffic places flows on one instance of a pair and counts the bytes that both send.
func MeasureTraffic(seed int64) Traffic {
	harness := newHarness(seed)
	harness.openFlows()
	before := harness.bytes
	harness.addTarget()
	changed := harness.bytes - before
	before = harness.bytes
	refused := harness.refuseFlows()
	records := float64(harness.bytes-before) / float64(refused)
	moved := float64(changed) * _establishedFlows / float64(len(harness.flows))
	return Traffic{
		BundleChanges: moved * _changesPerDay / _secondsPerDay,
		FlowRecords:   records * _newFlowsPerSecond / 14,
		RecordBytes:   records,
	}
}

// MeasureImbalance returns the imbalance of each service of a workload when all flows are placed on their home.
func MeasureImbalance(workload Workload, seed int64) []Imbalance {
	balances := make([]Imbalance, 0, len(workload.Services))
	random := rand.New(rand.NewSource(seed))
	simulation := newSimulation(Config{Seed: seed}, workload, nil, &Result{})
	state := placement.New(placement.Config{Self: simulation.instances[0].member})
	path := &placement.Datapath{Table: flow.NewTable(simulation.now)}
	view := epoch.View{Domain: workload.Domains[0], Number: 1, Members: []id.Member{simulation.instances[0].member}}
	for _, event := range []placement.Event{
		placement.BundleApplied{At: simulation.now, Bundle: simulation.bundle},
		placement.ViewChanged{At: simulation.now, View: view},
	} {
		for _, effect := range state.Reduce(event) {
			if publish, ok := effect.(placement.Publish); ok {
				path.Publish(publish.Snapshot)
			}
		}
	}
	for index, service := range workload.Services {
		counts := map[flow.Target]int{}
		for range service.Targets * service.Connections {
			counts[path.Route(index, id.Flow(random.Uint64()), 0, simulation.now).Target]++
		}
		loads := make([]int, 0, len(counts))
		for _, count := range counts {
			loads = append(loads, count)
		}
		balances = append(balances, imbalanceOf(service.Name, loads))
	}
	return balances
}

// harness is a pair of instances; all flows arrive at the first.
type harness struct {
	now     time.Time
	random  *rand.Rand
	states  []*placement.State
	paths   []*placement.Datapath
	members []id.Member
	bundle  bundle.Bundle
	flows   []id.Flow
	bytes   int
	// records counts the flows placed off their home.
	records int
}

func newHarness(seed int64) *harness {
	harness := &harness{now: newClock(seed).now, random: rand.New(rand.NewSource(seed))}
	view := epoch.View{Domain: "morbegno", Number: 1}
	for _, name := range []id.Instance{"morbegno-0", "morbegno-1"} {
		harness.members = append(harness.members, id.Member{Instance: name, Incarnation: 1})
	}
	view.Members = harness.members
	service := bundle.Service{Name: "chiosco"}
	for _, name := range "abcdefghijklmn" {
		service.Targets = append(service.Targets, chioscoTarget(name))
	}
	harness.bundle = bundle.Bundle{Version: 1, Services: []bundle.Service{service}}
	for index := range harness.members {
		harness.states = append(harness.states, placement.New(placement.Config{Self: harness.members[index]}))
		harness.paths = append(harness.paths, &placement.Datapath{Table: flow.NewTable(harness.now)})
	}
	for index := range harness.members {
		harness.reduce(index, placement.BundleApplied{At: harness.now, Bundle: harness.bundle})
		harness.reduce(index, placement.ViewChanged{At: harness.now, View: view})
		harness.reduce(index, placement.MemberUp{At: harness.now, Member: harness.members[1-index]})
	}
	harness.advance(time.Minute)
	return harness
}

func chioscoTarget(name rune) bundle.Target {
	return bundle.Target{Name: id.Target("chiosco-" + string(name)), Domain: "morbegno", Connections: 4300}
}

// advance moves the clock in steps of a second and ticks both instances.
func (harness *harness) advance(span time.Duration) {
	for end := harness.now.Add(span); harness.now.Before(end); harness.now = harness.now.Add(time.Second) {
		for index := range harness.states {
			harness.reduce(index, placement.Tick{At: harness.now})
		}
	}
}

func (harness *harness) openFlows() {
	for range _flowBatch * 10 {
		harness.openFlow()
	}
}

func (harness *harness) openFlow() {
	flow := id.Flow(harness.random.Uint64())
	harness.flows = append(harness.flows, flow)
	harness.route(0, flow, 0)
}

// addTarget applies a bundle with one more target to both instances.
func (harness *harness) addTarget() {
	harness.bundle.Version++
	services := []bundle.Service{harness.bundle.Services[0]}
	services[0].Targets = append(append([]bundle.Target{}, services[0].Targets...), chioscoTarget('o'))
	harness.bundle.Services = services
	for index := range harness.states {
		harness.reduce(index, placement.BundleApplied{At: harness.now, Bundle: harness.bundle})
	}
	harness.advance(time.Minute)
}

// refuseFlows makes one target refuse all new flows and returns how many flows were placed off their home.
func (harness *harness) refuseFlows() int {
	for index := range harness.states {
		harness.reduce(index, placement.TargetHealthObserved{
			At: harness.now, Service: "chiosco", Target: "chiosco-c", Health: placement.HealthRefusing,
		})
	}
	for range _flowBatch * 10 {
		harness.now = harness.now.Add(time.Second / _newFlowsPerSecond)
		harness.openFlow()
	}
	harness.advance(time.Second)
	for index, path := range harness.paths {
		if ended := path.Table.Expire(harness.now.Add(time.Hour)); len(ended) > 0 {
			harness.reduce(index, placement.FlowsExpired{At: harness.now, Flows: ended})
		}
	}
	harness.advance(time.Second)
	return harness.records
}

func (harness *harness) route(index int, flow id.Flow, hops int) {
	decision := harness.paths[index].Route(0, flow, hops, harness.now)
	switch decision.Action {
	case placement.ActionForward:
		harness.route(1-index, flow, hops+1)
	case placement.ActionDefer:
		harness.reduce(index, placement.FlowArrived{At: harness.now, Flow: flow, Hint: placement.HintOpening, Hops: hops})
	case placement.ActionPlace, placement.ActionRefuse:
	}
}

func (harness *harness) reduce(index int, event placement.Event) {
	for _, effect := range harness.states[index].Reduce(event) {
		harness.apply(index, effect)
	}
}

func (harness *harness) apply(index int, effect placement.Effect) {
	switch effect := effect.(type) {
	case placement.Publish:
		harness.paths[index].Publish(effect.Snapshot)
	case placement.Count:
		if effect.Counter == placement.CountRecorded {
			harness.records += effect.Amount
		}
	case placement.Place:
		harness.paths[index].Place(effect, harness.now)
	case placement.RequestFilters:
		slots := placement.BuildFilters(harness.paths[index].Table, effect)
		harness.reduce(index, placement.FiltersBuilt{At: harness.now, Fence: effect.Fence, Slots: slots})
	case placement.Send:
		encoded, err := cbor.Marshal(effect.Message)
		if err != nil {
			panic(err)
		}
		harness.bytes += len(encoded)
		harness.reduce(1-index,
			placement.MessageReceived{At: harness.now, From: harness.members[index], Message: effect.Message})
	}
}
