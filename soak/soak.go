// Package soak runs entry instances as separate processes, injects random faults around them, and checks the guarantees
// that clients and backend servers rely on.
package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/testbed"
)

// Config configures a soak.
type Config struct {
	Seed uint64
	// FaultDuration is how long faults are injected. Time without faults is added before and after.
	FaultDuration time.Duration
	// Instances and Targets are counts per failure domain, of which there are three.
	Instances int
	Targets   int
	Launcher  testbed.ProcessLauncher
	// Faults names the faults to inject; empty for all.
	Faults []string
	// KeepLogs keeps the logs even if the run found no violation.
	KeepLogs bool
	// Progress receives a line for each injected fault; nil discards them.
	Progress io.Writer
}

const (
	_startLimit = 20 * time.Second
	// _recoveryLimit is the time after the end of the last fault by which all requests must be served again.
	_recoveryLimit = 12 * time.Second
	_faultFreeTime = 3 * time.Second
	_grace         = 6 * time.Second
	_slots         = 3
	_serviceTime   = 8 * time.Millisecond
	_feeds         = 10
	_orders        = 6
	_downloads     = 2
	// _minPause and _maxPause bound the time between the starts of two faults, so that faults overlap.
	_minPause = 150 * time.Millisecond
	_maxPause = 1200 * time.Millisecond
	// _minFaultDuration and _maxFaultDuration bound how long a fault lasts.
	_minFaultDuration = 300 * time.Millisecond
	_maxFaultDuration = 5 * time.Second
)

// Run runs one soak. Violations are in the report; the error is only set if the soak could not be run.
func Run(config Config) (Report, error) {
	chosen, err := selectFaults(config.Faults)
	if err != nil {
		return Report{}, err
	}
	folder, err := os.MkdirTemp("", "azureshift-soak")
	if err != nil {
		return Report{}, eris.Wrap(err, "create folder for settings")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	config.Launcher.Folder = folder
	logs, err := os.Create(filepath.Join(os.TempDir(), fmt.Sprintf("azureshift-soak-%d.log", config.Seed)))
	if err != nil {
		return Report{}, eris.Wrap(err, "create log file")
	}
	defer func() { _ = logs.Close() }()
	config.Launcher.Output = logs
	deployment, err := testbed.New(testbed.Config{
		Domains: _domains, Instances: config.Instances, Targets: config.Targets,
		Slots: _slots, ServiceTime: _serviceTime, Launcher: config.Launcher, Seed: config.Seed, Grace: _grace, Proxied: true,
		Evacuation: _evacuationLimit,
	})
	if err != nil {
		return Report{}, err
	}
	defer deployment.Close()
	if err := deployment.WaitReady(_startLimit); err != nil {
		return Report{}, err
	}
	load, err := deployment.StartLoad(testbed.LoadConfig{Feeds: _feeds, Orders: _orders, Downloads: _downloads})
	if err != nil {
		return Report{}, err
	}
	time.Sleep(_faultFreeTime)
	soak := &soak{
		config: config, deployment: deployment, load: load, random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		faultLog: newFaultLog(), logs: logs.Name(),
	}
	soak.inject(chosen)
	return soak.finish(), nil
}

// soak is the state of one run.
type soak struct {
	config     Config
	deployment *testbed.Testbed
	load       *testbed.Load
	random     *rand.Rand
	faultLog   *faultLog
	logs       string

	active sync.WaitGroup
	mu     sync.Mutex
	// locked holds the instances, servers and store that a running fault affects.
	locked map[any]bool
	// injected lists the names of the faults, and the errors of instances that failed to restart.
	injected []string
}

// inject starts random faults one after the other for the configured time and waits until all have ended.
func (soak *soak) inject(faults []fault) {
	soak.locked = make(map[any]bool)
	for end := time.Now().Add(soak.config.FaultDuration); time.Now().Before(end); {
		fault := faults[soak.random.IntN(len(faults))]
		duration := soak.randomDuration(_minFaultDuration, _maxFaultDuration)
		seed := soak.random.Uint64()
		if endFault := fault.begin(soak, rand.New(rand.NewPCG(seed, seed))); endFault != nil {
			soak.recordFault(fault.name, duration)
			soak.active.Go(func() {
				time.Sleep(duration)
				endFault()
			})
		}
		time.Sleep(soak.randomDuration(_minPause, _maxPause))
	}
	soak.active.Wait()
}

func (soak *soak) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(soak.random.Float64()*float64(maximum-minimum))
}

func (soak *soak) recordFault(name string, duration time.Duration) {
	soak.injected = append(soak.injected, name)
	if soak.config.Progress != nil {
		// Write errors are ignored: the report does not depend on the progress output.
		_, _ = fmt.Fprintf(soak.config.Progress, "%s %s for %s\n", time.Now().Format("15:04:05.000"), name,
			duration.Round(time.Millisecond))
	}
}

// lock reserves a resource for one fault, so that no other fault heals it too early. It returns false if the resource
// is already locked.
func (soak *soak) lock(resource any) bool {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	if soak.locked[resource] {
		return false
	}
	soak.locked[resource] = true
	return true
}

func (soak *soak) unlock(resource any) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	delete(soak.locked, resource)
}

// finish waits until the deployment must have recovered, stops the load and checks the whole run.
func (soak *soak) finish() Report {
	faultsEnded := time.Now()
	time.Sleep(_recoveryLimit + _faultFreeTime)
	attempts := soak.load.Stop()
	report := Report{Seed: soak.config.Seed, Logs: soak.logs, Faults: soak.injected}
	report.count(attempts)
	soak.check(&report, attempts, faultsEnded)
	if !soak.config.KeepLogs && len(report.Violations) == 0 {
		// A log file that cannot be removed only costs disk space.
		_ = os.Remove(soak.logs)
		report.Logs = ""
	}
	return report
}
