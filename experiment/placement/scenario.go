package placement

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"azureshift/bundle"
	"azureshift/core/id"
)

const (
	_changeAt         = 12 * time.Second
	_scenarioDuration = 32 * time.Second
)

// Service is a service of a workload, with its number of targets and of connections per target.
type Service struct {
	Name        id.Service
	Targets     int
	Connections int
}

// Workload is the set of failure domains and services of one customer.
type Workload struct {
	Name     string
	Domains  []id.Domain
	Services []Service
}

// Valtellina returns the workload of Azienda Servizi Comunali Valtellina.
func Valtellina() Workload {
	return Workload{
		Name:    "Valtellina",
		Domains: []id.Domain{"morbegno", "tirano", "chiavenna"},
		Services: []Service{
			{Name: "chiosco", Targets: 14, Connections: 4300},
			{Name: "stampa", Targets: 4, Connections: 4300},
		},
	}
}

// Anahuac returns the workload of Tesorería Nube Anáhuac.
func Anahuac() Workload {
	return Workload{
		Name:    "Anahuac",
		Domains: []id.Domain{"mxc-a", "mxc-b", "mxc-c"},
		Services: []Service{
			{Name: "tesoreria-live", Targets: 14, Connections: 4500},
			{Name: "estados-pool", Targets: 4, Connections: 4500},
		},
	}
}

// Action is a change of the simulation at a time after its start.
type Action struct {
	At time.Duration
	Do func(*simulation)
}

// Scenario is a sequence of actions and whether flows may break in it.
type Scenario struct {
	Name     string
	Duration time.Duration
	Actions  []Action
	// Planned is set if no flow may break.
	Planned bool
}

// Scenarios returns all scenarios. Where a name combines a bundle change with the loss or the leaving of an
// instance, the two are 300 ms apart, and 4 s apart if the name ends in "later".
func Scenarios() []Scenario {
	loss := _changeAt + 300*time.Millisecond
	after := _changeAt + 4*time.Second
	return []Scenario{
		scenario("steady", true),
		scenario("target added", true, Action{_changeAt, addTarget}),
		scenario("target removed", true, Action{_changeAt, removeTarget(2)}),
		scenario("target drained", true, Action{_changeAt, drainTarget(2)}),
		scenario("three changes in a row", true,
			Action{_changeAt, addTarget}, Action{_changeAt + time.Second, drainTarget(2)}, Action{after, addTarget}),
		scenario("instance lost", true, Action{_changeAt, loseInstance(1)}),
		scenario("instance lost and replaced", true, Action{_changeAt, loseInstance(1)}, Action{after, joinInstance}),
		scenario("instance joins", true, Action{_changeAt, joinInstance}),
		scenario("instance leaves", true, Action{_changeAt, leaveInstance(6)}),
		scenario("target added, instance lost", true, Action{_changeAt, addTarget}, Action{loss, loseInstance(1)}),
		scenario("target added, instance lost later", true, Action{_changeAt, addTarget}, Action{after, loseInstance(1)}),
		scenario("target drained, instance lost", true, Action{_changeAt, drainTarget(2)}, Action{loss, loseInstance(1)}),
		scenario("target drained, instance lost later", true,
			Action{_changeAt, drainTarget(2)}, Action{after, loseInstance(1)}),
		scenario("target drained, instance leaves", true, Action{_changeAt, drainTarget(2)}, Action{loss, leaveInstance(6)}),
		scenario("target killed", false, Action{_changeAt, killTarget}),
		scenario("target killed, instance lost", false, Action{_changeAt, killTarget}, Action{after, loseInstance(1)}),
		scenario("target killed and back, instance joins", false, Action{_changeAt, killTarget},
			Action{after, reviveTarget}, Action{after + 3*time.Second, joinInstance}),
		scenario("target killed and back, instance lost", false, Action{_changeAt, killTarget},
			Action{after, reviveTarget}, Action{after + 6*time.Second, loseInstance(1)}),
		scenario("domain cut and healed", false, Action{_changeAt, cutDomain}, Action{after + 8*time.Second, healDomain}),
	}
}

// Random returns a scenario of planned changes and the loss of one instance, all at random times.
func Random(seed int64) Scenario {
	random := rand.New(rand.NewSource(seed))
	at := func() time.Duration { return _changeAt + time.Duration(random.Int63n(int64(10*time.Second))) }
	actions := []Action{{at(), loseInstance(random.Intn(_instancesPerDomain))}}
	for range 1 + random.Intn(4) {
		switch random.Intn(5) {
		case 0:
			actions = append(actions, Action{at(), addTarget})
		case 1:
			actions = append(actions, Action{at(), removeTarget(random.Intn(8))})
		case 2:
			actions = append(actions, Action{at(), drainTarget(random.Intn(8))})
		case 3:
			actions = append(actions, Action{at(), joinInstance})
		case 4:
			actions = append(actions, Action{at(), leaveInstance(_instancesPerDomain + random.Intn(_instancesPerDomain))})
		}
	}
	return scenario(fmt.Sprintf("random %d", seed), true, actions...)
}

func scenario(name string, planned bool, actions ...Action) Scenario {
	return Scenario{Name: name, Duration: _scenarioDuration, Actions: actions, Planned: planned}
}

func addTarget(simulation *simulation) {
	service := simulation.workload.Services[0]
	simulation.rollBundle(func(listed *bundle.Service) {
		listed.Targets = append(listed.Targets, simulation.newTarget(service, len(simulation.domainOf)))
	})
}

func removeTarget(index int) func(*simulation) {
	return func(simulation *simulation) {
		simulation.rollBundle(func(listed *bundle.Service) { listed.Targets = slices.Delete(listed.Targets, index, index+1) })
	}
}

func drainTarget(index int) func(*simulation) {
	return func(simulation *simulation) {
		simulation.rollBundle(func(listed *bundle.Service) { listed.Targets[index].Mode = bundle.ModeDraining })
	}
}

// rollBundle rolls a new bundle in which the first service is changed.
func (simulation *simulation) rollBundle(change func(*bundle.Service)) {
	simulation.bundle.Version++
	simulation.bundle.Services = slices.Clone(simulation.bundle.Services)
	service := &simulation.bundle.Services[0]
	service.Targets = slices.Clone(service.Targets)
	change(service)
	simulation.strategy.BundleRolled(simulation.bundle)
}

func loseInstance(lost int) func(*simulation) {
	return func(simulation *simulation) {
		simulation.instances[lost].alive = false
		simulation.after(_fabricDelay, func() { simulation.instances[lost].receivesTraffic = false })
		simulation.strategy.InstanceLost(lost)
	}
}

func joinInstance(simulation *simulation) {
	joined := simulation.addInstance(0)
	simulation.instances[joined].receivesTraffic = false
	simulation.after(_fabricDelay, func() { simulation.instances[joined].receivesTraffic = true })
	simulation.strategy.InstanceJoined(joined)
}

func leaveInstance(leaving int) func(*simulation) {
	return func(simulation *simulation) {
		simulation.after(_fabricDelay, func() { simulation.instances[leaving].receivesTraffic = false })
		simulation.strategy.InstanceLeaving(leaving)
	}
}

func killTarget(simulation *simulation) {
	target := simulation.bundle.Services[0].Targets[3].Name
	simulation.deadTargets[target] = true
	for index := range simulation.callers {
		if simulation.callers[index].target == target {
			simulation.callers[index].target = _noTarget
			simulation.result.Lost++
		}
	}
	simulation.strategy.TargetChanged(target, false)
}

func reviveTarget(simulation *simulation) {
	target := simulation.bundle.Services[0].Targets[3].Name
	delete(simulation.deadTargets, target)
	simulation.strategy.TargetChanged(target, true)
}

func cutDomain(simulation *simulation) {
	simulation.isolatedDomain = 0
	simulation.strategy.PartitionChanged(true)
}

func healDomain(simulation *simulation) {
	simulation.strategy.PartitionChanged(false)
	simulation.isolatedDomain = _noPartition
}
