package tour

import (
	"io"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/testbed"
)

// TestShortTour runs the steps that work without separate processes.
func TestShortTour(t *testing.T) {
	c := qt.New(t)
	report, err := Run(Config{
		StepDuration: time.Second,
		Steps:        []Step{&noFault{}, &configurationChange{}, &evacuation{}, &storeOutage{}, &serverCrash{}},
		Launcher:     testbed.InProcessLauncher{Output: io.Discard}, Seed: 1,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(report.Violations, qt.HasLen, 0)
	var printed strings.Builder
	c.Assert(report.Print(&printed), qt.IsNil)
	c.Assert(printed.String(), qt.Contains, "server crash and restart")
	c.Assert(printed.String(), qt.Contains, "no violations")
	c.Assert(report.Chart().Save(filepath.Join(c.TempDir(), "tour.svg")), qt.IsNil)
}

func TestLosslessSteps(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	result := stepResult{startedAt: start, endedAt: start.Add(2 * time.Second), recoveredAt: start.Add(5 * time.Second)}
	refusedAt := func(sent, ended time.Duration) testbed.Attempt {
		return testbed.Attempt{
			StartedAt: start.Add(sent), EndedAt: start.Add(ended), Request: "feed-1", Outcome: testbed.Refused,
		}
	}
	violations := func(step Step, attempts ...testbed.Attempt) []string {
		result.step = step
		report := Report{results: []stepResult{result}, attempts: attempts}
		report.checkSteps()
		return report.Violations
	}
	c.Run("must not fail a request", func(c *qt.C) {
		c.Assert(violations(&noFault{}, refusedAt(time.Second, 2*time.Second)), qt.HasLen, 1)
		c.Assert(violations(&noFault{}, refusedAt(3*time.Second, 4*time.Second)), qt.HasLen, 1)
	})
	c.Run("ignore attempts that start before the step or end after its recovery", func(c *qt.C) {
		c.Assert(violations(&noFault{}, refusedAt(-time.Second, time.Second)), qt.HasLen, 0)
		c.Assert(violations(&noFault{}, refusedAt(4*time.Second, 6*time.Second)), qt.HasLen, 0)
	})
	c.Run("are checked, unlike lossy steps", func(c *qt.C) {
		c.Assert(violations(&serverCrash{}, refusedAt(time.Second, 2*time.Second)), qt.HasLen, 0)
	})
}
