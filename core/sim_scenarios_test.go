package core_test

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
	"azureshift/core"
)

// _singleRollInterval is a roll interval so long that a run has only one roll.
const _singleRollInterval = 85 * time.Second

// _shortFaultRun is how long faults are injected in the run without intents.
const _shortFaultRun = 30 * time.Second

// seeds returns the seeds to run: AZURESHIFT_WORLD_SEEDS overrides their number, AZURESHIFT_WORLD_SEED the first one.
func seeds(count int) []uint64 {
	first := uint64(1)
	if set, err := strconv.ParseUint(os.Getenv("AZURESHIFT_WORLD_SEED"), 10, 64); err == nil {
		first = set
	}
	if set, err := strconv.Atoi(os.Getenv("AZURESHIFT_WORLD_SEEDS")); err == nil {
		count = set
	}
	listed := make([]uint64, count)
	for index := range listed {
		listed[index] = first + uint64(index)
	}
	return listed
}

// scheduleOrders schedules an order every 200 ms over the span.
func (sim *sim) scheduleOrders(span time.Duration) {
	for index := range int(span / (200 * time.Millisecond)) {
		sim.schedule(time.Duration(index)*200*time.Millisecond, func() { sim.sendOrder(index) })
	}
}

// scheduleFeeds schedules feeds that open at random times in the first half of the span.
func (sim *sim) scheduleFeeds(span time.Duration) {
	for index := range 60 {
		sim.schedule(sim.randomDelay(span/2), func() { sim.openFeed(index) })
	}
}

// rollRandomChange rolls the next version, in which each service has a target added, drained or removed.
func (sim *sim) rollRandomChange() {
	next := sim.bundle
	next.Version++
	next.Services = slices.Clone(next.Services)
	for number := range next.Services {
		service := &next.Services[number]
		service.Targets = slices.Clone(service.Targets)
		index := sim.random.IntN(len(service.Targets))
		drained := slices.IndexFunc(service.Targets, func(target bundle.Target) bool { return !target.AcceptsNewWork() })
		switch kind := sim.random.IntN(3); {
		case kind == 0 && drained >= 0:
			service.Targets = slices.Delete(service.Targets, drained, drained+1)
		case kind == 1 && drained < 0:
			service.Targets[index].Mode = bundle.ModeDraining
		default:
			added := newTarget(service.Name, 20+int(next.Version), number)
			service.Targets = append(service.Targets, added)
		}
	}
	sim.roll(next.WithDefaults())
}

// replace stops an instance as planned and then starts its next incarnation.
func (sim *sim) replace(node *node) {
	if !node.alive || sim.now.Sub(node.startedAt) < 10*time.Second {
		return
	}
	sim.stop(node)
	sim.startOnceStopped(node)
}

func (sim *sim) startOnceStopped(node *node) {
	if node.alive {
		sim.schedule(time.Second, func() { sim.startOnceStopped(node) })
		return
	}
	sim.schedule(2*time.Second, func() { sim.start(node) })
}

func (sim *sim) randomNode() *node { return sim.nodes[sim.random.IntN(len(sim.nodes))] }

// plan is a schedule of planned changes. A zero interval leaves out that kind of change.
type plan struct {
	span      time.Duration
	rollEvery time.Duration
	stopEvery time.Duration
	kill      bool
	orders    bool
}

// runPlan runs a simulation with the changes of a plan and with feeds that must not move.
func runPlan(c *qt.C, options options, plan plan) *sim {
	sim := newSim(c, options)
	sim.oracle.feedsMustStay = true
	span := plan.span
	if span == 0 {
		span = 85 * time.Second
	}
	sim.scheduleFeeds(span)
	if plan.orders {
		sim.scheduleOrders(span)
	}
	sim.repeat(span, plan.rollEvery, sim.rollRandomChange)
	sim.repeat(span, plan.stopEvery, func() { sim.replace(sim.randomNode()) })
	if plan.kill {
		sim.schedule(sim.randomDelay(span), func() {
			if node := sim.randomNode(); node.alive {
				sim.kill(node)
			}
		})
	}
	sim.run(span + 40*time.Second)
	return sim
}

func (sim *sim) repeat(span, interval time.Duration, run func()) {
	for at := 3 * time.Second; interval > 0 && at < span; at += interval {
		sim.schedule(at+sim.randomDelay(3*time.Second), run)
	}
}

// TestOneRollKeepsOrders moves the homes of orders once while their callers retransmit them, until after the
// former homes have expired.
func TestOneRollKeepsOrders(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(1) {
		runPlan(c, options{seed: seed, lossPercent: 1}, plan{rollEvery: _singleRollInterval, orders: true}).check(c)
	}
}

// TestRollsAndStopsRunNoOrderTwice moves homes repeatedly while instances are replaced and one is killed.
func TestRollsAndStopsRunNoOrderTwice(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(1) {
		plan := plan{rollEvery: 20 * time.Second, stopEvery: 15 * time.Second, kill: true, orders: true}
		sim := runPlan(c, options{seed: seed, lossPercent: 1}, plan)
		for key, runs := range sim.oracle.runs {
			c.Check(runs <= 1, qt.IsTrue, qt.Commentf("seed %d: %s ran %d times", seed, key.Tag, runs))
		}
	}
}

func TestRollsKeepFeeds(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(1) {
		runPlan(c, options{seed: seed, lossPercent: 1}, plan{span: 25 * time.Second, rollEvery: 10 * time.Second}).check(c)
	}
}

func TestPlannedStopsCutNothing(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(1) {
		runPlan(c, options{seed: seed, lossPercent: 1}, plan{stopEvery: 15 * time.Second, kill: true, orders: true}).check(c)
	}
}

// runWithFaults runs a simulation with feeds and orders while random faults are injected.
func runWithFaults(c *qt.C, options options, span time.Duration) *sim {
	sim := newSim(c, options)
	sim.scheduleFeeds(span)
	sim.scheduleOrders(span)
	for at := 5 * time.Second; at < span; at += 7 * time.Second {
		sim.schedule(at+sim.randomDelay(5*time.Second), sim.injectFault)
	}
	sim.run(span + 20*time.Second)
	return sim
}

// TestStopsUnderFaultsEnd injects random faults and checks that planned stops end nevertheless.
func TestStopsUnderFaultsEnd(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(1) {
		runWithFaults(c, options{seed: seed, lossPercent: 2}, 85*time.Second).check(c)
	}
}

// injectFault injects one random fault that ends by itself.
func (sim *sim) injectFault() {
	sim.oracle.undisturbedSince = sim.now.Add(20 * time.Second)
	node, span := sim.randomNode(), 500*time.Millisecond+sim.randomDelay(8*time.Second)
	switch sim.random.IntN(5) {
	case 0:
		sim.cut[node.domain] = true
		sim.schedule(span, func() { sim.cut[node.domain] = false })
	case 1:
		node.pausedUntil = sim.now.Add(span)
	case 2:
		sim.platformDown = true
		sim.schedule(span, func() { sim.platformDown = false })
	case 3:
		sim.replace(node)
	default:
		if node.alive {
			sim.kill(node)
			sim.schedule(span, func() { sim.start(node) })
		}
	}
}

func (sim *sim) check(c *qt.C) {
	c.Helper()
	oracle := sim.oracle
	c.Logf("seed %d: %d orders, %d ran, %d with an outcome; %d feeds, %d moved", sim.seed,
		len(oracle.sent), len(oracle.runs), len(oracle.outcomes), len(oracle.feeds), oracle.feedMoves())
	for _, fault := range oracle.violations {
		c.Error(fault)
	}
	c.Check(2*len(oracle.outcomes) >= len(oracle.sent), qt.IsTrue)
}

func TestWithoutIntentOrdersRunTwice(t *testing.T) {
	c := qt.New(t)
	change := func(config *core.Config) { config.Requests.Disabled.Intent = true }
	sim := runWithFaults(c, options{seed: 1, lossPercent: 2, configure: change}, _shortFaultRun)
	c.Assert(sim.oracle.hasViolation("ran 2 times"), qt.IsTrue)
}

func TestWithoutFiltersFeedsMove(t *testing.T) {
	c := qt.New(t)
	change := func(config *core.Config) { config.Flows.Disabled.Filter = true }
	moved := 0
	for seed := uint64(1); moved == 0 && seed <= 10; seed++ {
		plan := plan{rollEvery: 10 * time.Second, stopEvery: 15 * time.Second, kill: true}
		moved = runPlan(c, options{seed: seed, lossPercent: 1, configure: change}, plan).oracle.feedMoves()
	}
	c.Assert(moved > 0, qt.IsTrue)
}
