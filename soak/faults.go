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

// fault is a failure or planned work that a soak injects.
type fault struct {
	name string
	// begin starts the fault and returns a function that ends it, or nil if it cannot start now.
	begin func(soak *soak, random *rand.Rand) func()
}

const (
	// _drainDuration is how long a draining server continues to serve.
	_drainDuration = 3 * time.Second
	// _restoreOutage is how long the store is down before it comes back from a copy.
	_restoreOutage = 500 * time.Millisecond
	// _slowLink is the bandwidth of a slow link in bytes a second: 4 Mbit/s.
	_slowLink = 500_000
	// _silenceInterval is the time between two connections that go silent.
	_silenceInterval = 150 * time.Millisecond
	// _clockStep is the offset of a server's wall clock after a step: over forty minutes, as clocks on the platform
	// step.
	_clockStep = 2500 * time.Second
)

func faults() []fault {
	return []fault{
		{"KillInstance", instanceFault(func(_ *soak, process *testbed.ChildProcess) { process.Kill() })},
		{"StopInstance", instanceFault(func(_ *soak, process *testbed.ChildProcess) { process.Stop() })},
		{"PauseInstance", pauseInstance},
		{"KillDomain", killDomain},
		{"ChangeSettings", changeSettings},
		{"StoreSilent", storeFault(metastore.Faults{Mode: metastore.Silent})},
		{"StoreBusyLapse", storeFault(metastore.Faults{Mode: metastore.Busy, Lapse: true})},
		{"StoreReset", storeFault(metastore.Faults{Mode: metastore.Reset})},
		{"StoreSlow", storeFault(metastore.Faults{Delay: 250 * time.Millisecond})},
		{"StoreLosesWrites", storeFault(metastore.Faults{LoseWrites: 0.5, LateWrites: 3 * time.Second})},
		{"StoreForgets", compactStore},
		{"StoreRestored", restoreStore},
		{"StoreRefusesInstance", refuseInstance},
		{"RegistrationsRevoked", revokeRegistrations},
		{"StoreCut", storeNetworkFault(proxy.Fault{CutToTarget: true, CutFromTarget: true})},
		{"StoreCutOneWay", storeNetworkFault(proxy.Fault{CutFromTarget: true})},
		{"StoreResets", storeNetworkFault(proxy.Fault{Reset: true})},
		{"StoreConnectionsSilent", storeNetworkFault(proxy.Fault{SilenceOpen: true})},
		{"StoreConnectionsSilentEverywhere", silenceStoreEverywhere},
		{"StoreConnectionsSilentInTurn", silenceStoreInTurn},
		{"StoreLinkSlow", storeNetworkFault(proxy.Fault{BytesPerSecond: _slowLink})},
		{"StoreFar", storeNetworkFault(proxy.Fault{Delay: 150 * time.Millisecond})},
		{"CrashTarget", crashTarget},
		{"RestartTarget", restartTarget(0)},
		{"RestartTargetClockBack", restartTarget(-_clockStep)},
		{"RestartTargetClockAhead", restartTarget(_clockStep)},
		{"ReplaceTarget", replaceTarget},
		{"DrainTarget", drainTarget},
		{"EvacuateDomain", evacuateDomain},
		{"CutTarget", targetNetworkFault(proxy.Fault{CutToTarget: true, CutFromTarget: true})},
		{"TargetFar", targetNetworkFault(proxy.Fault{Delay: 30 * time.Millisecond})},
		{"Configure", changeConfiguration},
		{"ConfigureStorm", stormConfigurations},
		{"Garbage", writeMalformedEntries},
	}
}

// FaultNames returns the names of all faults that a soak can inject.
func FaultNames() []string {
	names := make([]string, 0, len(faults()))
	for _, fault := range faults() {
		names = append(names, fault.name)
	}
	return names
}

// selectFaults returns the faults with the given names, or all faults if names is empty.
func selectFaults(names []string) ([]fault, error) {
	all := faults()
	if len(names) == 0 {
		return all, nil
	}
	chosen := make([]fault, 0, len(names))
	for _, name := range names {
		index := slices.IndexFunc(all, func(fault fault) bool { return fault.name == name })
		if index < 0 {
			return nil, eris.Errorf("unknown fault %q; known faults: %s", name, strings.Join(FaultNames(), ", "))
		}
		chosen = append(chosen, all[index])
	}
	return chosen, nil
}

// lockInstance locks a random instance and returns it, or nil if another fault has locked it.
func (soak *soak) lockInstance(random *rand.Rand) *testbed.Instance {
	instances := soak.deployment.Instances()
	chosen := instances[random.IntN(len(instances))]
	if !soak.lock(chosen) {
		return nil
	}
	return chosen
}

// instanceFault stops an instance and starts it again when the fault ends.
func instanceFault(stop func(soak *soak, process *testbed.ChildProcess)) func(soak *soak, random *rand.Rand) func() {
	return func(soak *soak, random *rand.Rand) func() {
		instance := soak.lockInstance(random)
		if instance == nil {
			return nil
		}
		endDisturbance := soak.faultLog.disturbInstance()
		done := make(chan struct{})
		go func() {
			stop(soak, instance.Process().(*testbed.ChildProcess))
			close(done)
		}()
		return func() {
			<-done
			soak.restart(instance)
			endDisturbance()
			soak.unlock(instance)
		}
	}
}

func (soak *soak) restart(instance *testbed.Instance) {
	if err := soak.deployment.Start(instance); err != nil {
		soak.mu.Lock()
		defer soak.mu.Unlock()
		soak.injected = append(soak.injected, fmt.Sprintf("failed to start %s: %v", instance.Name, err))
	}
}

func pauseInstance(soak *soak, random *rand.Rand) func() {
	instance := soak.lockInstance(random)
	if instance == nil {
		return nil
	}
	endDisturbance, endPause := soak.faultLog.disturbInstance(), soak.faultLog.pauseInstance()
	process := instance.Process().(*testbed.ChildProcess)
	process.Pause()
	return func() {
		process.Resume()
		endDisturbance()
		endPause()
		soak.unlock(instance)
	}
}

// killDomain kills all instances of one failure domain at once.
func killDomain(soak *soak, random *rand.Rand) func() {
	domain := random.IntN(len(_domains))
	var chosen []*testbed.Instance
	for index, instance := range soak.deployment.Instances() {
		if index/soak.config.Instances == domain && soak.lock(instance) {
			chosen = append(chosen, instance)
		}
	}
	if len(chosen) == 0 {
		return nil
	}
	endDisturbance := soak.faultLog.disturbInstance()
	for _, instance := range chosen {
		instance.Process().Kill()
	}
	return func() {
		for _, instance := range chosen {
			soak.restart(instance)
			soak.unlock(instance)
		}
		endDisturbance()
	}
}

func changeSettings(soak *soak, random *rand.Rand) func() {
	instance := soak.lockInstance(random)
	if instance == nil {
		return nil
	}
	defer soak.unlock(instance)
	if err := instance.Process().(*testbed.ChildProcess).Reload(random.IntN(2) == 0); err != nil {
		return nil
	}
	return func() {}
}

// storeFault injects faults into the store for all its clients.
func storeFault(faults metastore.Faults) func(soak *soak, random *rand.Rand) func() {
	return func(soak *soak, _ *rand.Rand) func() {
		if !soak.lock(soak.deployment.Store) {
			return nil
		}
		endDisturbance := soak.faultLog.disturbStore()
		soak.deployment.Store.SetFaults(faults)
		return func() {
			soak.deployment.Store.SetFaults(metastore.Faults{})
			endDisturbance()
			soak.unlock(soak.deployment.Store)
		}
	}
}

func compactStore(soak *soak, _ *rand.Rand) func() {
	endDisturbance := soak.faultLog.disturbStore()
	soak.deployment.Store.Compact()
	return endDisturbance
}

// restoreStore takes a copy of the store, and brings the store back from it when the fault ends, after a short outage.
// The operator then repeats the configuration and the evacuations.
func restoreStore(soak *soak, _ *rand.Rand) func() {
	if !soak.lock(soak.deployment.Store) {
		return nil
	}
	copied := soak.deployment.Store.Copy()
	return func() {
		endDisturbance := soak.faultLog.disturbStore()
		soak.deployment.Store.SetFaults(metastore.Faults{Mode: metastore.Reset})
		time.Sleep(_restoreOutage)
		soak.deployment.Store.Restore(copied)
		soak.deployment.Store.SetFaults(metastore.Faults{})
		soak.deployment.RepeatRequests()
		endDisturbance()
		soak.unlock(soak.deployment.Store)
	}
}

func refuseInstance(soak *soak, random *rand.Rand) func() {
	instance := soak.lockInstance(random)
	if instance == nil {
		return nil
	}
	modes := []string{metastore.Busy, metastore.RateLimited, metastore.Reset, metastore.Silent}
	endDisturbance := soak.faultLog.disturbInstance()
	soak.deployment.Store.SetListenerFaults(string(instance.Name), metastore.Faults{Mode: modes[random.IntN(len(modes))]})
	return func() {
		soak.deployment.Store.SetListenerFaults(string(instance.Name), metastore.Faults{})
		endDisturbance()
		soak.unlock(instance)
	}
}

func revokeRegistrations(soak *soak, _ *rand.Rand) func() {
	endDisturbance := soak.faultLog.disturbStore()
	soak.deployment.Store.DeleteLeasedKeys("azureshift/")
	return endDisturbance
}

// storeNetworkFault injects a fault into the network between one instance and the store.
func storeNetworkFault(fault proxy.Fault) func(soak *soak, random *rand.Rand) func() {
	return func(soak *soak, random *rand.Rand) func() {
		instance := soak.lockInstance(random)
		if instance == nil {
			return nil
		}
		endDisturbance := soak.faultLog.disturbInstance()
		instance.Proxy.SetFault(fault)
		return func() {
			instance.Proxy.SetFault(proxy.Fault{})
			endDisturbance()
			soak.unlock(instance)
		}
	}
}

// silenceStoreEverywhere lets the open connections of all instances to the store go silent for good.
func silenceStoreEverywhere(soak *soak, _ *rand.Rand) func() {
	endDisturbance := soak.faultLog.disturbStore()
	for _, instance := range soak.deployment.Instances() {
		for instance.Proxy.SilenceNext() {
			continue
		}
	}
	return endDisturbance
}

// silenceStoreInTurn lets single connections of random instances to the store go silent for good, one after the other,
// until the fault ends.
func silenceStoreInTurn(soak *soak, random *rand.Rand) func() {
	endDisturbance := soak.faultLog.disturbStore()
	instances := soak.deployment.Instances()
	order := random.Perm(len(instances))
	ended, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for step := 0; ; step++ {
			instances[order[step%len(order)]].Proxy.SilenceNext()
			select {
			case <-ended:
				return
			case <-time.After(_silenceInterval):
			}
		}
	}()
	return func() {
		close(ended)
		<-stopped
		endDisturbance()
	}
}

// lockTarget locks a random backend server and returns it. It returns nil if another fault has locked the server or if
// fewer than two other servers of its service are unlocked.
func (soak *soak) lockTarget(random *rand.Rand) *testbed.Server {
	servers := soak.deployment.Targets()
	chosen := servers[random.IntN(len(servers))]
	others := 0
	soak.mu.Lock()
	for _, server := range servers {
		if server.Service() == chosen.Service() && server != chosen && !soak.locked[server] {
			others++
		}
	}
	soak.mu.Unlock()
	if others < 2 || !soak.lock(chosen) {
		return nil
	}
	return chosen
}

func crashTarget(soak *soak, random *rand.Rand) func() {
	server := soak.lockTarget(random)
	if server == nil {
		return nil
	}
	soak.faultLog.disturbServer(server.ID())
	server.Crash()
	soak.deployment.Remove(server)
	return func() { soak.replace(server) }
}

// replace starts a new server at the address of one that has ended, and unlocks the old one. It retries up to 20 times.
func (soak *soak) replace(server *testbed.Server) {
	_, err := soak.deployment.Replace(server)
	for tries := 0; err != nil && tries < 20; tries++ {
		time.Sleep(100 * time.Millisecond)
		_, err = soak.deployment.Replace(server)
	}
	soak.unlock(server)
}

// restartTarget crashes a server and restarts it under its id, with its wall clock off by clockOffset.
func restartTarget(clockOffset time.Duration) func(soak *soak, random *rand.Rand) func() {
	return func(soak *soak, random *rand.Rand) func() {
		server := soak.lockTarget(random)
		if server == nil {
			return nil
		}
		endDisturbance := soak.faultLog.disturbServer(server.ID())
		server.Crash()
		soak.deployment.Remove(server)
		return func() {
			if _, err := soak.deployment.Restart(server, clockOffset); err == nil {
				endDisturbance()
			}
			soak.unlock(server)
		}
	}
}

// replaceTarget crashes a server and immediately starts another one at its address.
func replaceTarget(soak *soak, random *rand.Rand) func() {
	server := soak.lockTarget(random)
	if server == nil {
		return nil
	}
	soak.faultLog.disturbServer(server.ID())
	server.Crash()
	soak.deployment.Remove(server)
	soak.replace(server)
	return func() {}
}

// drainTarget is planned work: it drains a server and replaces it by another one.
func drainTarget(soak *soak, random *rand.Rand) func() {
	server := soak.lockTarget(random)
	if server == nil {
		return nil
	}
	server.Drain()
	soak.faultLog.mu.Lock()
	soak.faultLog.drainedAt[server.ID()] = time.Now()
	soak.faultLog.mu.Unlock()
	return func() {
		time.Sleep(_drainDuration)
		soak.faultLog.disturbServer(server.ID())
		server.Shutdown()
		soak.deployment.Remove(server)
		soak.replace(server)
	}
}

// targetNetworkFault injects a fault into the network between the instances and a server.
func targetNetworkFault(fault proxy.Fault) func(soak *soak, random *rand.Rand) func() {
	return func(soak *soak, random *rand.Rand) func() {
		server := soak.lockTarget(random)
		if server == nil {
			return nil
		}
		endDisturbance := soak.faultLog.disturbServer(server.ID())
		server.Proxy.SetFault(fault)
		return func() {
			server.Proxy.SetFault(proxy.Fault{})
			endDisturbance()
			soak.unlock(server)
		}
	}
}
