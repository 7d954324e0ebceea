package placement_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/core/placement"
	experiment "azureshift/experiment/placement"
)

const (
	_maxImbalance  = 1.05
	_announceScale = 0.3
)

var (
	_scale  = flag.Float64("scale", 0.03, "share of the flows that are simulated")
	_seed   = flag.Int64("seed", 1, "seed of the runs")
	_drop   = flag.Float64("drop", 0.05, "share of control messages that are lost")
	_only   = flag.String("only", "", "print the report of the scenarios whose names contain this text, or of all")
	_all    = flag.Bool("all", false, "include the baselines in the report")
	_random = flag.Int64("random", 0, "number of random scenarios to run")
)

func TestPlannedChangesAndOneLossBreakNoFlow(t *testing.T) {
	for _, scenario := range experiment.Scenarios() {
		if scenario.Planned {
			t.Run(scenario.Name, func(t *testing.T) {
				t.Parallel()
				assertNoFlowBroken(qt.New(t), run(placement.Disabled{}, scenario))
			})
		}
	}
}

func TestTargetLossBreaksOnlyItsFlows(t *testing.T) {
	for _, scenario := range scenariosNamed("target killed") {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			result := run(placement.Disabled{}, scenario)
			assertNoFlowBroken(c, result)
			c.Assert(result.Lost > 0, qt.IsTrue)
		})
	}
}

func TestWithoutFilterFlowsBreak(t *testing.T) {
	c := qt.New(t)
	assertFlowsBroken(c, run(placement.Disabled{Filter: true}, scenariosNamed("target added, instance lost later")[0]))
}

func TestWithoutAnnouncementFlowsBreak(t *testing.T) {
	c := qt.New(t)
	config := experiment.Config{
		Seed: *_seed, Scale: _announceScale, Scenarios: scenariosNamed("target added, instance lost later"),
		Strategies: slotOwners(placement.Disabled{ReplicaWait: true}),
	}
	assertFlowsBroken(c, experiment.Run(config).Results[0])
}

func TestWithoutRecordsFlowsBreak(t *testing.T) {
	c := qt.New(t)
	assertFlowsBroken(c,
		run(placement.Disabled{RecordReplication: true}, scenariosNamed("target killed and back, instance lost")[0]))
}

func TestWithoutHoldFlowsBreak(t *testing.T) {
	c := qt.New(t)
	scenario := scenariosNamed("target killed and back, instance joins")[0]
	assertFlowsBroken(c, run(placement.Disabled{RoutingDelay: true}, scenario))
	assertNoFlowBroken(c, run(placement.Disabled{}, scenario))
}

func TestFeedsAreBalancedAtTodaysSizes(t *testing.T) {
	c := qt.New(t)
	for _, workload := range []experiment.Workload{experiment.Valtellina(), experiment.Anahuac()} {
		for _, imbalance := range experiment.MeasureImbalance(workload, *_seed) {
			c.Assert(imbalance.Max <= _maxImbalance, qt.IsTrue, qt.Commentf("%s: %v, seed %d", workload.Name, imbalance, *_seed))
		}
	}
}

func TestControlOfBundleChangesStaysBelowFourKilobytesPerSecond(t *testing.T) {
	c := qt.New(t)
	traffic := experiment.MeasureTraffic(*_seed)
	c.Assert(traffic.BundleChanges <= 4000, qt.IsTrue, qt.Commentf("%+v", traffic))
}

func BenchmarkControl(b *testing.B) {
	for range b.N {
		traffic := experiment.MeasureTraffic(*_seed)
		b.ReportMetric(traffic.BundleChanges, "changes-B/s")
		b.ReportMetric(traffic.FlowRecords, "refusing-B/s")
		b.ReportMetric(traffic.RecordBytes, "B/record")
	}
}

// TestRandom runs the number of random scenarios set by the flag -random.
func TestRandom(t *testing.T) {
	c := qt.New(t)
	for index := range *_random {
		scenario := experiment.Random(*_seed*1000 + index)
		c.Run(scenario.Name, func(c *qt.C) { assertNoFlowBroken(c, run(placement.Disabled{}, scenario)) })
	}
}

// TestPrint prints the report of the scenarios selected by the flag -only.
func TestPrint(t *testing.T) {
	if *_only == "" {
		return
	}
	config := experiment.Config{Seed: *_seed, Scale: *_scale, ControlLossRate: *_drop, Scenarios: scenariosNamed(*_only)}
	if !*_all {
		config.Strategies = slotOwners(placement.Disabled{})
	}
	qt.New(t).Assert(experiment.Run(config).Print(os.Stdout), qt.IsNil)
}

func run(disabled placement.Disabled, scenario experiment.Scenario) experiment.Result {
	return experiment.Run(experiment.Config{
		Seed:            *_seed,
		Scale:           *_scale,
		ControlLossRate: *_drop,
		Scenarios:       []experiment.Scenario{scenario},
		Strategies:      slotOwners(disabled),
	}).Results[0]
}

// slotOwners returns only the constructor of the slot owners, which is the last strategy.
func slotOwners(disabled placement.Disabled) []func() experiment.Strategy {
	strategies := experiment.Strategies(disabled)
	return strategies[len(strategies)-1:]
}

func scenariosNamed(part string) []experiment.Scenario {
	var found []experiment.Scenario
	for _, scenario := range experiment.Scenarios() {
		if part == "all" || strings.Contains(scenario.Name, part) {
			found = append(found, scenario)
		}
	}
	return found
}

func assertNoFlowBroken(c *qt.C, result experiment.Result) {
	c.Assert(result.Broken, qt.Equals, 0, qt.Commentf("%s, seed %d", result.Scenario, *_seed))
	c.Assert(result.Cost.Violations, qt.Equals, 0, qt.Commentf("%s, seed %d", result.Scenario, *_seed))
}

func assertFlowsBroken(c *qt.C, result experiment.Result) {
	c.Logf("%s: %d broken flows", result.Scenario, result.Broken)
	c.Assert(result.Broken > 0, qt.IsTrue)
}
