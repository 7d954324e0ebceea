package soak

import (
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/cmd/azureshift-entry/command"
	"azureshift/testbed"
)

// _childVariable is set in processes of the test binary that run as entry instances.
const _childVariable = "AZURESHIFT_SOAK_INSTANCE"

var _span = flag.Duration("soakspan", 8*time.Second, "how long faults are injected for each seed")

// _regressionSeeds are run by every test run. A seed that ever failed stays in the list, with the cause of its failure.
var _regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{seed: 1, cause: "none; baseline seed"},
}

func TestMain(m *testing.M) {
	if os.Getenv(_childVariable) != "" {
		os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func TestSoak(t *testing.T) {
	c := qt.New(t)
	for _, each := range _regressionSeeds {
		report, err := Run(Config{
			Seed: each.seed, FaultDuration: *_span, Instances: 2, Targets: 4,
			Launcher: testbed.ProcessLauncher{Command: []string{os.Args[0]}, Environment: []string{_childVariable + "=1"}},
		})
		c.Assert(err, qt.IsNil)
		c.Assert(report.Violations, qt.HasLen, 0, qt.Commentf("seed %d (%s), logs in %s", each.seed, each.cause, report.Logs))
		c.Assert(report.Counts[testbed.Served] > 0, qt.IsTrue)
	}
}

func TestSelectFaults(t *testing.T) {
	c := qt.New(t)
	c.Run("selects every fault by default", func(c *qt.C) {
		chosen, err := selectFaults(nil)
		c.Assert(err, qt.IsNil)
		c.Assert(chosen, qt.HasLen, len(FaultNames()))
	})
	c.Run("selects faults by name", func(c *qt.C) {
		chosen, err := selectFaults([]string{"CrashTarget", "StoreSlow"})
		c.Assert(err, qt.IsNil)
		c.Assert(chosen, qt.HasLen, 2)
		c.Assert(chosen[0].name, qt.Equals, "CrashTarget")
	})
	c.Run("lists the known faults if one is unknown", func(c *qt.C) {
		_, err := Run(Config{Faults: []string{"Earthquake"}})
		c.Assert(err, qt.ErrorMatches, `unknown fault "Earthquake"; known faults: KillInstance, .*`)
	})
}

func TestUndisturbed(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	intervals := []interval{{begin: now, end: now.Add(time.Second)}, {begin: now.Add(10 * time.Second)}}
	c.Assert(undisturbed(intervals, now.Add(2*time.Second), now.Add(5*time.Second)), qt.IsTrue)
	c.Assert(undisturbed(intervals, now.Add(500*time.Millisecond), now.Add(5*time.Second)), qt.IsFalse)
	c.Assert(undisturbed(intervals, now.Add(20*time.Second), now.Add(30*time.Second)), qt.IsFalse)
}
