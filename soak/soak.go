// Package soak runs entry instances as separate processes under random faults from outside, and checks what clients
// and backend servers see all the while.
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

	"azureshift/core/id"
	"azureshift/testbed"
)

// Config says what to run.
type Config struct {
	Seed uint64
	// Span is how long faults are injected. Calm time before and after is added.
	Span time.Duration
	// Instances and Targets are numbers for each of the three failure domains.
	Instances int
	Targets   int
	Programs  testbed.Programs
	// Faults names the faults that are injected; empty for all.
	Faults []string
	// Keep keeps the logs of runs that broke no promise too.
	Keep bool
	// Progress gets a line for each fault; nil for none.
	Progress io.Writer
}

const (
	_startLimit = 20 * time.Second
	// _settle is the time after the last fault within which everything must be served again.
	_settle = 12 * time.Second
	_calm   = 3 * time.Second
	_grace  = 6 * time.Second
	_slots  = 3
	_work   = 8 * time.Millisecond
	_feeds  = 10
	_orders = 6
	_loads  = 2
	// _leastPause and _mostPause bound the time between the beginnings of two faults, which overlap.
	_leastPause = 150 * time.Millisecond
	_mostPause  = 1200 * time.Millisecond
	// _leastFault and _mostFault bound how long a fault lasts.
	_leastFault = 300 * time.Millisecond
	_mostFault  = 5 * time.Second
)

// Run runs one soak. Its error says that the soak could not be run; what it found is in the report.
func Run(config Config) (Report, error) {
	chosen, err := choose(config.Faults)
	if err != nil {
		return Report{}, err
	}
	folder, err := os.MkdirTemp("", "azureshift-soak")
	if err != nil {
		return Report{}, eris.Wrap(err, "make a folder for settings")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	config.Programs.Folder = folder
	logs, err := os.Create(filepath.Join(os.TempDir(), fmt.Sprintf("azureshift-soak-%d.log", config.Seed)))
	if err != nil {
		return Report{}, eris.Wrap(err, "make a file for logs")
	}
	defer func() { _ = logs.Close() }()
	config.Programs.Output = logs
	bed, err := testbed.New(testbed.Config{
		Domains: []id.Domain{"morbegno", "tirano", "chiavenna"}, Instances: config.Instances, Targets: config.Targets,
		Slots: _slots, Work: _work, Launcher: config.Programs, Seed: config.Seed, Grace: _grace, Proxied: true,
	})
	if err != nil {
		return Report{}, err
	}
	defer bed.Close()
	if err := bed.WaitReady(_startLimit); err != nil {
		return Report{}, err
	}
	load, err := bed.StartLoad(testbed.LoadConfig{Feeds: _feeds, Orders: _orders, Downloads: _loads})
	if err != nil {
		return Report{}, err
	}
	time.Sleep(_calm)
	soak := &soak{
		config: config, bed: bed, load: load, random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		facts: newFacts(), logs: logs.Name(),
	}
	soak.inject(chosen)
	return soak.finish(), nil
}

// soak is one run.
type soak struct {
	config Config
	bed    *testbed.Testbed
	load   *testbed.Load
	random *rand.Rand
	facts  *facts
	logs   string

	active sync.WaitGroup
	mu     sync.Mutex
	held   map[any]bool
	names  []string
}

// inject begins one fault after the other, each of which ends by itself.
func (soak *soak) inject(faults []fault) {
	soak.held = make(map[any]bool)
	for end := time.Now().Add(soak.config.Span); time.Now().Before(end); {
		fault := faults[soak.random.IntN(len(faults))]
		span := soak.between(_leastFault, _mostFault)
		seed := soak.random.Uint64()
		if heal := fault.begin(soak, rand.New(rand.NewPCG(seed, seed))); heal != nil {
			soak.note(fault.name, span)
			soak.active.Go(func() {
				time.Sleep(span)
				heal()
			})
		}
		time.Sleep(soak.between(_leastPause, _mostPause))
	}
	soak.active.Wait()
}

func (soak *soak) between(least, most time.Duration) time.Duration {
	return least + time.Duration(soak.random.Float64()*float64(most-least))
}

func (soak *soak) note(name string, span time.Duration) {
	soak.names = append(soak.names, name)
	if soak.config.Progress != nil {
		// Progress is for people; the report does not depend on it.
		_, _ = fmt.Fprintf(soak.config.Progress, "%s %s for %s\n", time.Now().Format("15:04:05.000"), name,
			span.Round(time.Millisecond))
	}
}

// hold takes something for one fault, so that another one does not end it too early. It returns false if it is taken.
func (soak *soak) hold(thing any) bool {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	if soak.held[thing] {
		return false
	}
	soak.held[thing] = true
	return true
}

func (soak *soak) release(thing any) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	delete(soak.held, thing)
}

// finish waits until everything must be served again and checks the whole run.
func (soak *soak) finish() Report {
	healed := time.Now()
	time.Sleep(_settle + _calm)
	events := soak.load.Stop()
	report := Report{Seed: soak.config.Seed, Logs: soak.logs, Faults: soak.names}
	report.count(events)
	soak.judge(&report, events, healed)
	if !soak.config.Keep && len(report.Broken) == 0 {
		// A file that is left over costs nothing but its space.
		_ = os.Remove(soak.logs)
		report.Logs = ""
	}
	return report
}
