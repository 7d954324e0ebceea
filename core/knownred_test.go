//go:build knownred

package core_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The tests in this file fail because of the faults listed in KNOWN-RED.txt.

func TestRollsAndStopsKeepFeeds(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(1) {
		runPlan(c, options{seed: seed, lossPercent: 1}, plan{rollEvery: 10 * time.Second, stopEvery: 15 * time.Second}).
			check(c)
	}
}

// TestRollsStopsAndOneLossMoveNoFeed checks only that no feed moves, whatever other violations there are.
func TestRollsStopsAndOneLossMoveNoFeed(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(1) {
		plan := plan{rollEvery: 10 * time.Second, stopEvery: 15 * time.Second, kill: true}
		sim := runPlan(c, options{seed: seed, lossPercent: 1}, plan)
		c.Check(sim.oracle.feedMoves(), qt.Equals, 0, qt.Commentf("%v", sim.oracle.violations))
	}
}
