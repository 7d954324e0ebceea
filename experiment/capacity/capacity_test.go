package capacity_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/experiment/capacity"
)

func TestFitRecoversLine(t *testing.T) {
	c := qt.New(t)
	line := capacity.Fit([]capacity.Point{{Size: 10, Value: 25}, {Size: 100, Value: 205}, {Size: 1000, Value: 2005}})
	assertNear(c, line.Intercept, 5)
	assertNear(c, line.Slope, 2)
	assertNear(c, line.Residual, 0)
	assertNear(c, line.At(2000), 4005)
}

func TestFitReportsResidual(t *testing.T) {
	c := qt.New(t)
	square := capacity.Fit([]capacity.Point{{Size: 1, Value: 1}, {Size: 10, Value: 100}, {Size: 100, Value: 10_000}})
	c.Assert(square.Residual > 0.5, qt.IsTrue)
	flat := capacity.Fit([]capacity.Point{{Size: 7, Value: 2}, {Size: 7, Value: 2}})
	assertNear(c, flat.Slope, 0)
	assertNear(c, flat.Intercept, 2)
}

func TestRunSmallSizes(t *testing.T) {
	c := qt.New(t)
	config := capacity.Config{
		Target:  capacity.Size{Members: 32, Domains: 3, Services: 4, Targets: 48},
		Members: []int{8, 16, 32}, Services: []int{1, 2, 4}, Repetitions: 1,
	}
	report, err := capacity.Run(config)
	c.Assert(err, qt.IsNil)
	for _, measurement := range report.Measurements {
		c.Check(measurement.IdleSecond > 0 && measurement.Up > 0 && measurement.Bundle > 0 && measurement.Cut > 0, qt.IsTrue)
	}
	var printed strings.Builder
	c.Assert(report.Print(&printed), qt.IsNil)
	c.Assert(strings.Count(printed.String(), "domain cut"), qt.Equals, 3)
}

func TestOneSecondStallCausesNoFalseDeath(t *testing.T) {
	c := qt.New(t)
	stall := capacity.MeasureStall(27, 3, time.Second, 1)
	c.Assert(stall.Survivors, qt.Equals, 18)
	c.Assert(stall.FalselyDead, qt.Equals, 0)
}

func assertNear(c *qt.C, got, want float64) {
	c.Helper()
	const tolerance = 1e-6
	c.Assert(got > want-tolerance && got < want+tolerance, qt.IsTrue, qt.Commentf("got %g, want %g", got, want))
}
