package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/standin/metastore"
	"azureshift/standin/proxy"
	"azureshift/testbed"
)

// fault is something that goes wrong, or planned work. Begin returns what ends it, or nil if it cannot begin now.
type fault struct {
	name  string
	begin func(soak *soak, random *rand.Rand) func()
}

const (
	// _drainFor is how long a server serves on after it has said that it leaves.
	_drainFor = 3 * time.Second
	// _clockStep is how far a server's time of day is off after a step: over forty minutes, as clocks step on the
	// platform.
	_clockStep = 2500 * time.Second
)

func faults() []fault {
	return []fault{
		{"KillInstance", instanceFault(func(_ *soak, process *testbed.Program) { process.Kill() })},
		{"StopInstance", instanceFault(func(_ *soak, process *testbed.Program) { process.Stop() })},
		{"PauseInstance", pauseInstance},
		{"KillDomain", killDomain},
		{"ChangeSettings", changeSettings},
		{"StoreSilent", storeFault(metastore.Faults{Mode: metastore.Silent})},
		{"StoreBusyLapse", storeFault(metastore.Faults{Mode: metastore.Busy, Lapse: true})},
		{"StoreReset", storeFault(metastore.Faults{Mode: metastore.Reset})},
		{"StoreSlow", storeFault(metastore.Faults{Delay: 250 * time.Millisecond})},
		{"StoreLosesWrites", storeFault(metastore.Faults{LoseWrites: 0.5, LateWrites: 3 * time.Second})},
		{"StoreForgets", storeForgets},
		{"StoreRefusesInstance", storeRefuses},
		{"RegistrationsRevoked", revoke},
		{"StoreCut", networkFault(proxy.Fault{CutThere: true, CutBack: true})},
		{"StoreCutOneWay", networkFault(proxy.Fault{CutBack: true})},
		{"StoreResets", networkFault(proxy.Fault{Reset: true})},
		{"StoreConnectionsSilent", networkFault(proxy.Fault{Silenced: true})},
		{"StoreFar", networkFault(proxy.Fault{Delay: 150 * time.Millisecond})},
		{"CrashTarget", crashTarget},
		{"RestartTarget", restartTarget(0)},
		{"RestartTargetClockBack", restartTarget(-_clockStep)},
		{"RestartTargetClockAhead", restartTarget(_clockStep)},
		{"ReplaceTarget", replaceTarget},
		{"DrainTarget", drainTarget},
		{"CutTarget", cutTarget(proxy.Fault{CutThere: true, CutBack: true})},
		{"TargetFar", cutTarget(proxy.Fault{Delay: 30 * time.Millisecond})},
		{"Configure", configure},
		{"Garbage", garbage},
	}
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	names := make([]string, 0, len(faults()))
	for _, fault := range faults() {
		names = append(names, fault.name)
	}
	return names
}

// choose returns the faults that are named, or all if none is.
func choose(names []string) ([]fault, error) {
	all := faults()
	if len(names) == 0 {
		return all, nil
	}
	chosen := make([]fault, 0, len(names))
	for _, name := range names {
		index := slices.IndexFunc(all, func(fault fault) bool { return fault.name == name })
		if index < 0 {
			return nil, eris.Errorf("there is no fault %q; choose among %s", name, strings.Join(FaultNames(), ", "))
		}
		chosen = append(chosen, all[index])
	}
	return chosen, nil
}

// instance returns a random instance that no other fault has.
func (soak *soak) instance(random *rand.Rand) *testbed.Instance {
	instances := soak.bed.Instances()
	chosen := instances[random.IntN(len(instances))]
	if !soak.hold(chosen) {
		return nil
	}
	return chosen
}

// instanceFault ends an instance and starts it again.
func instanceFault(strike func(soak *soak, process *testbed.Program)) func(soak *soak, random *rand.Rand) func() {
	return func(soak *soak, random *rand.Rand) func() {
		instance := soak.instance(random)
		if instance == nil {
			return nil
		}
		healed := soak.facts.disturbInstance()
		done := make(chan struct{})
		go func() {
			strike(soak, instance.Process().(*testbed.Program))
			close(done)
		}()
		return func() {
			<-done
			soak.restart(instance)
			healed()
			soak.release(instance)
		}
	}
}

func (soak *soak) restart(instance *testbed.Instance) {
	if err := soak.bed.Start(instance); err != nil {
		soak.mu.Lock()
		defer soak.mu.Unlock()
		soak.names = append(soak.names, fmt.Sprintf("failed to start %s: %v", instance.Name, err))
	}
}

func pauseInstance(soak *soak, random *rand.Rand) func() {
	instance := soak.instance(random)
	if instance == nil {
		return nil
	}
	healed := soak.facts.disturbInstance()
	process := instance.Process().(*testbed.Program)
	process.Pause()
	return func() {
		process.Resume()
		healed()
		soak.release(instance)
	}
}

// killDomain kills all instances of one failure domain at once.
func killDomain(soak *soak, random *rand.Rand) func() {
	domain := random.IntN(len(_domains))
	var chosen []*testbed.Instance
	for index, instance := range soak.bed.Instances() {
		if index/soak.config.Instances == domain && soak.hold(instance) {
			chosen = append(chosen, instance)
		}
	}
	if len(chosen) == 0 {
		return nil
	}
	healed := soak.facts.disturbInstance()
	for _, instance := range chosen {
		instance.Process().Kill()
	}
	return func() {
		for _, instance := range chosen {
			soak.restart(instance)
			soak.release(instance)
		}
		healed()
	}
}

func changeSettings(soak *soak, random *rand.Rand) func() {
	instance := soak.instance(random)
	if instance == nil {
		return nil
	}
	defer soak.release(instance)
	if err := instance.Process().(*testbed.Program).Reload(random.IntN(2) == 0); err != nil {
		return nil
	}
	return func() {}
}

// storeFault disturbs the store for everyone.
func storeFault(faults metastore.Faults) func(soak *soak, random *rand.Rand) func() {
	return func(soak *soak, _ *rand.Rand) func() {
		if !soak.hold(soak.bed.Store) {
			return nil
		}
		healed := soak.facts.disturbStore()
		soak.bed.Store.SetFaults(faults)
		return func() {
			soak.bed.Store.SetFaults(metastore.Faults{})
			healed()
			soak.release(soak.bed.Store)
		}
	}
}

func storeForgets(soak *soak, _ *rand.Rand) func() {
	healed := soak.facts.disturbStore()
	soak.bed.Store.Compact()
	return healed
}

func storeRefuses(soak *soak, random *rand.Rand) func() {
	instance := soak.instance(random)
	if instance == nil {
		return nil
	}
	modes := []string{metastore.Busy, metastore.Limited, metastore.Reset, metastore.Silent}
	healed := soak.facts.disturbInstance()
	soak.bed.Store.SetFaultsOf(string(instance.Name), metastore.Faults{Mode: modes[random.IntN(len(modes))]})
	return func() {
		soak.bed.Store.SetFaultsOf(string(instance.Name), metastore.Faults{})
		healed()
		soak.release(instance)
	}
}

func revoke(soak *soak, _ *rand.Rand) func() {
	healed := soak.facts.disturbStore()
	soak.bed.Store.Revoke("azureshift/")
	return healed
}

// networkFault disturbs the network between an instance and the store.
func networkFault(fault proxy.Fault) func(soak *soak, random *rand.Rand) func() {
	return func(soak *soak, random *rand.Rand) func() {
		instance := soak.instance(random)
		if instance == nil {
			return nil
		}
		healed := soak.facts.disturbInstance()
		instance.Network.Set(fault)
		return func() {
			instance.Network.Set(proxy.Fault{})
			healed()
			soak.release(instance)
		}
	}
}

// target returns a random backend server of a service that has another one, if no other fault has it.
func (soak *soak) target(random *rand.Rand) *testbed.Server {
	servers := soak.bed.Targets()
	chosen := servers[random.IntN(len(servers))]
	others := 0
	soak.mu.Lock()
	for _, server := range servers {
		if server.Service() == chosen.Service() && server != chosen && !soak.held[server] {
			others++
		}
	}
	soak.mu.Unlock()
	if others < 2 || !soak.hold(chosen) {
		return nil
	}
	return chosen
}

func crashTarget(soak *soak, random *rand.Rand) func() {
	server := soak.target(random)
	if server == nil {
		return nil
	}
	soak.facts.disturb(server.ID())
	server.Crash()
	soak.bed.Forget(server)
	return func() { soak.replace(server) }
}

// replace starts another server at the address of one that has ended.
func (soak *soak) replace(server *testbed.Server) {
	_, err := soak.bed.Replace(server)
	for tries := 0; err != nil && tries < 20; tries++ {
		time.Sleep(100 * time.Millisecond)
		_, err = soak.bed.Replace(server)
	}
	soak.release(server)
}

// restartTarget lets a server crash and come back under its id, with its time of day ahead of true time.
func restartTarget(ahead time.Duration) func(soak *soak, random *rand.Rand) func() {
	return func(soak *soak, random *rand.Rand) func() {
		server := soak.target(random)
		if server == nil {
			return nil
		}
		healed := soak.facts.disturb(server.ID())
		server.Crash()
		soak.bed.Forget(server)
		return func() {
			if _, err := soak.bed.Restart(server, ahead); err == nil {
				healed()
			}
			soak.release(server)
		}
	}
}

// replaceTarget lets a server crash and another one take its address at once.
func replaceTarget(soak *soak, random *rand.Rand) func() {
	server := soak.target(random)
	if server == nil {
		return nil
	}
	soak.facts.disturb(server.ID())
	server.Crash()
	soak.bed.Forget(server)
	soak.replace(server)
	return func() {}
}

// drainTarget is planned work: a server leaves and another one comes.
func drainTarget(soak *soak, random *rand.Rand) func() {
	server := soak.target(random)
	if server == nil {
		return nil
	}
	server.Drain()
	soak.facts.mu.Lock()
	soak.facts.drained[server.ID()] = time.Now()
	soak.facts.mu.Unlock()
	return func() {
		time.Sleep(_drainFor)
		soak.facts.disturb(server.ID())
		server.End()
		soak.bed.Forget(server)
		soak.replace(server)
	}
}

// cutTarget disturbs the network between the instances and a server.
func cutTarget(fault proxy.Fault) func(soak *soak, random *rand.Rand) func() {
	return func(soak *soak, random *rand.Rand) func() {
		server := soak.target(random)
		if server == nil {
			return nil
		}
		healed := soak.facts.disturb(server.ID())
		server.Network.Set(fault)
		return func() {
			server.Network.Set(proxy.Fault{})
			healed()
			soak.release(server)
		}
	}
}

func configure(soak *soak, random *rand.Rand) func() {
	soak.bed.Configure(random.IntN(60))
	return func() {}
}

// garbage writes entries that name no server.
func garbage(soak *soak, random *rand.Rand) func() {
	values := []string{"", "{", "null", `{"service":7}`, "\xff\xfe", `{"service":"chiosco","state":"zombie"}`}
	key := fmt.Sprintf("servers/i-%08x", random.Uint32())
	soak.bed.Store.Put(key, []byte(values[random.IntN(len(values))]), 0)
	return func() { soak.bed.Store.Delete(key) }
}
