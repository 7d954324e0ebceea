// Package tour demonstrates a deployment under planned work and faults, one step after the other. Instances run as
// separate processes or in this one; the platform, clients and backend servers are stand-ins in this process.
package tour

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/core/id"
	"azureshift/testbed"
)

// Config configures a tour.
type Config struct {
	// StepDuration is the duration of each step, without the recovery time after it.
	StepDuration time.Duration
	Steps        []Step
	Launcher     testbed.Launcher
	Seed         uint64
	// Progress receives the name of each step as it starts; nil discards it.
	Progress io.Writer
}

// Step is a fault or planned work that happens while clients send requests.
type Step interface {
	fmt.Stringer
	// Begin starts the step.
	Begin(testbed *testbed.Testbed) error
	// End ends the step and cleans up after it.
	End(testbed *testbed.Testbed) error
	// Lossless reports whether every request must be served during the step.
	Lossless() bool
}

const (
	_startLimit  = 20 * time.Second
	_instances   = 3
	_targets     = 4
	_slots       = 3
	_serviceTime = 8 * time.Millisecond
	_grace       = 6 * time.Second
	_evacuation  = 5 * time.Second
	// _recoveryTime is the time after a step within which the deployment must have recovered.
	_recoveryTime = 3 * time.Second
)

var _domains = []id.Domain{"morbegno", "tirano", "chiavenna"}

// Run runs every step and returns what clients observed. The error is only set if the tour could not be run.
func Run(config Config) (Report, error) {
	deployment, err := testbed.New(testbed.Config{
		Domains: _domains, Instances: _instances, Targets: _targets, Slots: _slots, ServiceTime: _serviceTime,
		Launcher: config.Launcher, Seed: config.Seed, Grace: _grace, Evacuation: _evacuation,
	})
	if err != nil {
		return Report{}, err
	}
	defer deployment.Close()
	if err := deployment.WaitReady(_startLimit); err != nil {
		return Report{}, err
	}
	load, err := deployment.StartLoad(testbed.LoadConfig{Feeds: 20, Orders: 10, Downloads: 3})
	if err != nil {
		return Report{}, err
	}
	time.Sleep(_recoveryTime)
	report := Report{startedAt: time.Now()}
	for _, step := range config.Steps {
		if config.Progress != nil {
			// Write errors are ignored: the report does not depend on the progress output.
			_, _ = fmt.Fprintf(config.Progress, "%s\n", step)
		}
		stepResult := stepResult{step: step, startedAt: time.Now()}
		if err := runStep(deployment, step, config.StepDuration); err != nil {
			load.Stop()
			return Report{}, eris.Wrapf(err, "run step %q", step)
		}
		stepResult.endedAt = time.Now()
		time.Sleep(_recoveryTime)
		stepResult.recoveredAt = time.Now()
		report.results = append(report.results, stepResult)
	}
	report.attempts = load.Stop()
	report.check(deployment)
	return report, nil
}

func runStep(deployment *testbed.Testbed, step Step, span time.Duration) error {
	end := time.Now().Add(span)
	if err := step.Begin(deployment); err != nil {
		return err
	}
	time.Sleep(time.Until(end))
	return step.End(deployment)
}

// NewProcessLauncher returns a launcher that runs the given command for each instance, with its settings files in a
// temporary folder, and a function that removes the folder.
func NewProcessLauncher(command []string, logs io.Writer) (launcher testbed.Launcher, remove func(), err error) {
	folder, err := os.MkdirTemp("", "azureshift-tour")
	if err != nil {
		return nil, nil, eris.Wrap(err, "create folder for settings")
	}
	// A folder that cannot be removed only costs some kilobytes of disk space.
	remove = func() { _ = os.RemoveAll(folder) }
	return testbed.ProcessLauncher{Command: command, Folder: folder, Output: logs}, remove, nil
}
