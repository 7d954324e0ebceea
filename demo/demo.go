package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"azureshift/core/id"
	"azureshift/standin/backend"
	"azureshift/standin/caller"
)

const (
	_notifyPeriod     = 500 * time.Millisecond
	_feedLifetime     = 10 * time.Second
	_feedRefresh      = 3 * time.Second
	_feedSilence      = 1500 * time.Millisecond
	_freezeLimit      = 8 * time.Second
	_exportBlocks     = 8
	_flowIdle         = 8 * time.Second
	_deadline         = 10 * time.Second
	_settleTime       = 500 * time.Millisecond
	_progressInterval = 2 * time.Second
)

// Config configures a run.
type Config struct {
	Deployments []Deployment
	Duration    time.Duration
	// Scale is the share of the deployments' connections that are opened.
	Scale  float64
	Seed   uint64
	Faults []Fault
	Output io.Writer
	// Log receives the log lines of the instances at LogLevel or above.
	Log      io.Writer
	LogLevel string
}

// Run runs the deployments one after the other and reports on them.
func Run(ctx context.Context, config Config) (Report, error) {
	report := Report{Seed: config.Seed}
	for _, deployment := range config.Deployments {
		services, inForce, err := runDeployment(ctx, config, deployment)
		if err != nil {
			return Report{}, err
		}
		report.Services = append(report.Services, services...)
		report.SlowestRoll = max(report.SlowestRoll, inForce)
	}
	for _, service := range report.Services {
		report.Violations = append(report.Violations, service.violations()...)
	}
	return report, nil
}

func runDeployment(ctx context.Context, config Config, deployment Deployment) ([]ServiceReport, time.Duration, error) {
	servingCtx, stop := context.WithCancel(ctx)
	defer stop()
	system, err := newSystem(config, deployment)
	if err != nil {
		return nil, 0, err
	}
	if err := system.start(servingCtx); err != nil {
		return nil, 0, err
	}
	recorder := newRecorder(_freezeLimit)
	system.recorder = recorder
	callersCtx, stopCallers := context.WithTimeout(ctx, config.Duration)
	defer stopCallers()
	var group conc.WaitGroup
	for index, service := range deployment.Services {
		recorder.addService(deployment.Customer, service.Name, system.targetNames(service.Name))
		generator := system.newGenerator(index, service)
		group.Go(func() { generator.run(callersCtx) })
	}
	var faultErr error
	group.Go(func() { faultErr = system.injectFaults(callersCtx) })
	group.Go(func() { system.printProgress(callersCtx) })
	<-callersCtx.Done()
	recorder.countSilentFeeds(time.Now())
	group.Wait()
	time.Sleep(_settleTime)
	reports := system.report()
	stop()
	if err := system.stop(); err != nil {
		return nil, 0, err
	}
	return reports, recorder.slowestRoll, faultErr
}

func (system *system) newGenerator(index int, service Service) *generator {
	return &generator{
		service:   service,
		address:   system.bundle.Services[index].Address,
		feeds:     int(float64(service.Connections*service.Targets) * system.config.Scale),
		freshness: caller.FeedTiming{MaxSilence: _feedSilence, RefreshInterval: _feedRefresh},
		blocks:    _exportBlocks,
		seed:      system.config.Seed + uint64(index),
		recorder:  system.recorder,
	}
}

func (system *system) printProgress(ctx context.Context) {
	start := time.Now()
	for pause(ctx, _progressInterval) {
		system.recorder.mu.Lock()
		for _, service := range system.deployment.Services {
			record := system.recorder.services[service.Name]
			_, _ = fmt.Fprintf(system.config.Output, "%4.0fs %-15s feeds %d broken %d frozen %d requests %v\n",
				time.Since(start).Seconds(), service.Name, len(record.feeds), record.broken, record.frozen, record.outcomes)
		}
		system.recorder.mu.Unlock()
	}
}

func (system *system) targetNames(service id.Service) []id.Target {
	var names []id.Target
	for _, target := range system.targets {
		if target.service == service {
			names = append(names, target.bundle.Name)
		}
	}
	return names
}

func (system *system) report() []ServiceReport {
	reports := make([]ServiceReport, 0, len(system.deployment.Services))
	for _, service := range system.deployment.Services {
		reports = append(reports, system.reportService(service))
	}
	return reports
}

func (system *system) reportService(service Service) ServiceReport {
	record := system.recorder.services[service.Name]
	report := ServiceReport{
		Customer: record.customer, Service: service.Name, Feeds: len(record.feeds),
		Broken: record.broken, Moved: record.moved, MovedByCut: record.movedByCut, Frozen: record.frozen,
		Imbalance: imbalance(record), Outcomes: record.outcomes,
		CrossedAnswers: record.crossedAnswers, CorruptExports: record.corruptExports,
	}
	runs := make(map[string]int)
	for _, target := range system.targets {
		if target.service == service.Name {
			report.addTotals(target.backend.Totals(), runs, service.Slots)
		}
	}
	for _, count := range runs {
		report.RunTwice += count - 1
	}
	for _, order := range record.notRun {
		if runs[order] > 0 {
			report.FalseNotRun++
		}
	}
	for _, class := range slices.Sorted(maps.Keys(record.latencies)) {
		report.Latencies = append(report.Latencies, summarise(class, record.latencies[class]))
	}
	return report
}

func (service *ServiceReport) addTotals(totals backend.Totals, runs map[string]int, slots int) {
	service.Misrouted += totals.Misrouted
	service.OverSlots += max(0, totals.MaxBusySlots-slots)
	service.Refused += totals.Refused
	for order, count := range totals.RunsByPayload {
		runs[order] += count
	}
}
