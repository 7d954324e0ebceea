package requests

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"azureshift/core/id"
)

// outcome is the outcome of a job as reported to its caller.
type outcome int

const (
	outcomeAnswered outcome = iota + 1
	outcomeNotRun
	outcomeUnknown
)

const (
	_sampleInterval  = 20 * time.Millisecond
	_maxParallelRuns = 3
	// _windowSamples is the number of samples in one second.
	_windowSamples = 50
	_percent50     = 0.50
	_percent99     = 0.99
)

// entry is an entry instance that receives requests from the fabric.
type entry interface {
	arrive(job *job)
}

// simulation simulates one service under one policy and load.
type simulation struct {
	config  Config
	service Service
	policy  Policy
	load    float64
	clock   *clock
	random  *rand.Rand
	// arrivalRandom generates the arrivals. It is separate from random so that all policies get the same arrivals.
	arrivalRandom    *rand.Rand
	targets          []*target
	entries          []entry
	measureFrom      time.Time
	measureUntil     time.Time
	offered          int
	waits            []time.Duration
	answered         int
	notRun           int
	unknown          int
	windowLoads      []float64
	windowImbalance  imbalance
	instantImbalance imbalance
	samples          int
	messages         int
	violations       int
}

// Run simulates every service under every load and policy of the configuration.
func Run(config Config) Report {
	rows := make([]Row, len(config.Services)*len(config.Loads)*len(config.Policies))
	runs := pool.New().WithMaxGoroutines(_maxParallelRuns)
	next := 0
	for _, service := range config.Services {
		for _, load := range config.Loads {
			for _, policy := range config.Policies {
				row := &rows[next]
				next++
				runs.Go(func() { *row = newSimulation(config, service, policy, load).row() })
			}
		}
	}
	runs.Wait()
	return Report{Config: config, Rows: rows}
}

func newSimulation(config Config, service Service, policy Policy, load float64) *simulation {
	simulation := &simulation{
		config:        config,
		service:       service,
		policy:        policy,
		load:          load,
		clock:         &clock{now: time.Unix(0, 0)},
		random:        rand.New(rand.NewSource(config.Seed)),
		arrivalRandom: rand.New(rand.NewSource(config.Seed)),
	}
	simulation.measureFrom = simulation.clock.now.Add(config.WarmUp)
	simulation.measureUntil = simulation.measureFrom.Add(config.Duration)
	for index := range service.Targets {
		simulation.targets = append(simulation.targets, simulation.newTarget(index))
	}
	simulation.windowLoads = make([]float64, len(simulation.targets))
	simulation.startEntries()
	simulation.scheduleArrival(0)
	simulation.clock.every(_sampleInterval, simulation.sample)
	simulation.clock.runUntil(simulation.measureUntil.Add(2 * config.RequestTimeout))
	return simulation
}

func (simulation *simulation) newTarget(index int) *target {
	config := simulation.config
	target := &target{
		clock:           simulation.clock,
		name:            id.Target(fmt.Sprintf("%s-%d", simulation.service.Name, index)),
		domain:          config.Domains[index%len(config.Domains)],
		slots:           simulation.service.Slots,
		backlogLimit:    config.Backlog,
		meanServiceTime: config.MeanServiceTime,
		misreports:      config.MisreportingTarget && index == simulation.service.Targets-1,
	}
	if index == 0 && config.SlowTargetFactor > 0 {
		target.meanServiceTime = time.Duration(float64(target.meanServiceTime) * config.SlowTargetFactor)
	}
	simulation.clock.every(config.ReportInterval, func() { target.report(config.ReportLag) })
	return target
}

func (simulation *simulation) startEntries() {
	if simulation.policy == Independent {
		for index := range simulation.config.Instances {
			domain := simulation.config.Domains[index%len(simulation.config.Domains)]
			independent := &independentEntry{simulation: simulation, domain: domain, inFlight: make(map[*target]int)}
			simulation.entries = append(simulation.entries, independent)
		}
		return
	}
	for _, sharded := range newFleet(simulation).ordered {
		simulation.entries = append(simulation.entries, sharded)
	}
}

// capacity is the number of requests per second that the targets can process.
func (simulation *simulation) capacity() float64 {
	sum := 0.0
	for _, target := range simulation.targets {
		sum += float64(target.slots) / target.meanServiceTime.Seconds()
	}
	return sum
}

func (simulation *simulation) scheduleArrival(number int) {
	gap := simulation.arrivalRandom.ExpFloat64() / (simulation.load * simulation.capacity())
	simulation.clock.after(time.Duration(gap*float64(time.Second)), func() {
		if simulation.clock.now.After(simulation.measureUntil) {
			return
		}
		now := simulation.clock.now
		job := &job{
			number:   number,
			work:     simulation.arrivalRandom.ExpFloat64(),
			arrived:  now,
			deadline: now.Add(simulation.config.RequestTimeout),
		}
		if simulation.inMeasurement(job) {
			simulation.offered++
		}
		simulation.entries[simulation.arrivalRandom.Intn(len(simulation.entries))].arrive(job)
		simulation.scheduleArrival(number + 1)
	})
}

func (simulation *simulation) inMeasurement(job *job) bool {
	return !job.arrived.Before(simulation.measureFrom)
}

// finish records the first outcome reported to a caller. An answer after the deadline counts as unknown.
func (simulation *simulation) finish(job *job, outcome outcome) {
	if job.ended {
		return
	}
	job.ended = true
	if !simulation.inMeasurement(job) {
		return
	}
	switch outcome {
	case outcomeNotRun:
		simulation.notRun++
	case outcomeUnknown:
		simulation.unknown++
	case outcomeAnswered:
		if simulation.clock.now.After(job.deadline) {
			simulation.unknown++
			return
		}
		simulation.answered++
		simulation.waits = append(simulation.waits, job.started.Sub(job.arrived))
	}
}

// sample records the current load of each target and the imbalance between them.
func (simulation *simulation) sample() {
	if simulation.clock.now.Before(simulation.measureFrom) || simulation.clock.now.After(simulation.measureUntil) {
		return
	}
	loads := make([]float64, 0, len(simulation.targets))
	for index, target := range simulation.targets {
		loads = append(loads, target.load())
		simulation.windowLoads[index] += target.load()
	}
	simulation.instantImbalance.add(loads)
	simulation.samples++
	if simulation.samples%_windowSamples == 0 {
		simulation.windowImbalance.add(simulation.windowLoads)
		clear(simulation.windowLoads)
	}
}

// imbalance averages the ratio of the highest load to the mean load.
type imbalance struct {
	sum   float64
	count int
}

func (imbalance *imbalance) add(loads []float64) {
	sum := 0.0
	for _, load := range loads {
		sum += load
	}
	if sum == 0 {
		return
	}
	imbalance.sum += slices.Max(loads) * float64(len(loads)) / sum
	imbalance.count++
}

func (imbalance *imbalance) mean() float64 {
	return imbalance.sum / float64(max(1, imbalance.count))
}

func (simulation *simulation) hopDelay(from, to id.Domain) time.Duration {
	if from == to {
		return simulation.config.LocalHop
	}
	return simulation.config.CrossDomainHop
}

func (simulation *simulation) row() Row {
	slices.Sort(simulation.waits)
	return Row{
		Service:            simulation.service.Name,
		Policy:             simulation.policy,
		Load:               simulation.load,
		Offered:            simulation.offered,
		Answered:           simulation.answered,
		NotRun:             simulation.notRun,
		Unknown:            simulation.unknown,
		Goodput:            float64(simulation.answered) / simulation.config.Duration.Seconds() / simulation.capacity(),
		WaitP50:            percentile(simulation.waits, _percent50),
		WaitP99:            percentile(simulation.waits, _percent99),
		Imbalance:          simulation.windowImbalance.mean(),
		InstantImbalance:   simulation.instantImbalance.mean(),
		MessagesPerRequest: float64(simulation.messages) / float64(max(1, simulation.offered)),
		RefusalsPerRequest: float64(simulation.refusals()) / float64(max(1, simulation.offered)),
		Violations:         simulation.violations,
	}
}

func (simulation *simulation) refusals() int {
	sum := 0
	for _, target := range simulation.targets {
		sum += target.refusals
	}
	return sum
}

func percentile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(share*float64(len(sorted)-1))]
}
