package request_test

import (
	"flag"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc/pool"

	"azureshift/core/epoch"
	"azureshift/core/id"
	"azureshift/core/request"
)

var (
	_requests = flag.Int("requests", 30_000, "number of randomised requests")
	_seed     = flag.Int64("seed", 1, "first seed of the randomised runs")
)

const _requestsPerRun = 3000

func TestRandomisedRequestsRunAtMostOnce(t *testing.T) {
	c := qt.New(t)
	total := runSimulations(t, request.Disabled{}, *_seed, *_requests/_requestsPerRun, false)
	t.Logf("%+v", total)
	c.Assert(total.DoubleRuns, qt.Equals, 0)
	c.Assert(total.FalseNotRun, qt.Equals, 0)
	c.Assert(total.WrongAnswers, qt.Equals, 0)
	c.Assert(total.Violations, qt.Equals, 0)
}

func TestEachProtectionIsNeeded(t *testing.T) {
	c := qt.New(t)
	expectBroken := func(name string, seed int64, disabled request.Disabled) {
		c.Run(name, func(c *qt.C) {
			total := runSimulations(t, disabled, seed, 600, true)
			c.Logf("%+v", total)
			c.Assert(total.DoubleRuns+total.FalseNotRun > 0, qt.IsTrue)
		})
	}
	expectBroken("intent", 1, request.Disabled{Intent: true})
	expectBroken("epoch check", 88, request.Disabled{EpochCheck: true})
	expectBroken("seal", 13, request.Disabled{Seal: true})
	expectBroken("not-run record", 1, request.Disabled{NotRunRecord: true})
	expectBroken("contact fence", 363, request.Disabled{HeartbeatFence: true})
	expectBroken("pause check", 89, request.Disabled{PauseCheck: true})
	expectBroken("uncertainty window", 1, request.Disabled{UncertaintyWindow: true})
}

func TestPlannedStopsCutNothing(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(*_seed, request.Disabled{}, true)
	total := cluster.run(_requestsPerRun, 8*time.Millisecond)
	t.Logf("%+v", total)
	c.Assert(total.DoubleRuns+total.FalseNotRun+total.Unknown, qt.Equals, 0)
	c.Assert(total.RanUnanswered, qt.Equals, 0)
}

func TestOneDeathCostsAtMostWhatWasInProgress(t *testing.T) {
	c := qt.New(t)
	expectLimitedLoss := func(name string, maxUnknown int, victim func(epoch.Pair) id.Member) {
		c.Run(name, func(c *qt.C) {
			cluster := newCluster(*_seed, request.Disabled{}, true)
			cluster.noFaults = true
			cluster.after(5*time.Second, func() { cluster.killMember(victim(cluster.views[len(cluster.views)-1].Pair(_shard))) })
			total := cluster.run(_requestsPerRun, 8*time.Millisecond)
			c.Logf("%+v", total)
			c.Assert(total.DoubleRuns+total.FalseNotRun, qt.Equals, 0)
			c.Assert(total.Unknown <= maxUnknown && total.RanUnanswered <= maxUnknown, qt.IsTrue)
		})
	}
	expectLimitedLoss("runner-up", 0, func(pair epoch.Pair) id.Member { return pair.RunnerUp })
	expectLimitedLoss("owner", _totalSlots, func(pair epoch.Pair) id.Member { return pair.Owner })
}

// runSimulations runs simulations with consecutive seeds and sums their results. With stopAtFirst it starts no more
// after one that violated a guarantee.
func runSimulations(t *testing.T, disabled request.Disabled, seed int64, runs int, stopAtFirst bool) result {
	t.Helper()
	var broken atomic.Bool
	group := pool.NewWithResults[result]().WithMaxGoroutines(min(3, runtime.GOMAXPROCS(0)))
	for index := range runs {
		group.Go(func() result {
			if stopAtFirst && broken.Load() {
				return result{}
			}
			run := newCluster(seed+int64(index), disabled, false).run(_requestsPerRun, 8*time.Millisecond)
			if run.DoubleRuns+run.FalseNotRun+run.WrongAnswers+run.Violations > 0 {
				broken.Store(true)
				t.Logf("seed %d: %d double runs, %d false not run, %d violations",
					seed+int64(index), run.DoubleRuns, run.FalseNotRun, run.Violations)
			}
			return run
		})
	}
	total := result{Counts: make(map[request.Counter]int)}
	for _, run := range group.Wait() {
		total.add(run)
	}
	return total
}

func (total *result) add(run result) {
	total.Requests += run.Requests
	total.Runs += run.Runs
	total.DoubleRuns += run.DoubleRuns
	total.FalseNotRun += run.FalseNotRun
	total.WrongAnswers += run.WrongAnswers
	total.RanUnanswered += run.RanUnanswered
	total.Unknown += run.Unknown
	total.NotRun += run.NotRun
	total.Answered += run.Answered
	total.Violations += run.Violations
	for counter, count := range run.Counts {
		total.Counts[counter] += count
	}
}
