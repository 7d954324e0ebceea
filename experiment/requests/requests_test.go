package requests_test

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/experiment/requests"
)

// _dispatcherTolerance is the allowed ratio between the imbalances of two runs of the same dispatcher. They differ
// because messages change the order of dispatches.
const _dispatcherTolerance = 1.01

var _print = flag.Bool("print", false, "print the full comparison")

func config() requests.Config {
	config := requests.DefaultConfig()
	config.Duration = 8 * time.Second
	config.WarmUp = 3 * time.Second
	return config
}

func TestNinetyPercentLoad(t *testing.T) {
	c := qt.New(t)
	config := config()
	config.Loads = []float64{0.9}
	c.Run("targets without a backlog", func(c *qt.C) {
		assertBetter(c, requests.Run(config), 0.9)
	})
	c.Run("targets with a backlog", func(c *qt.C) {
		config.Backlog = 8
		report := requests.Run(config)
		assertBetter(c, report, 0.9)
		assertMoreEven(c, report, 0.9)
	})
}

func TestOneSlowAndOneLyingTarget(t *testing.T) {
	c := qt.New(t)
	config := config()
	config.Loads = []float64{0.9}
	config.SlowTargetFactor = 4
	config.MisreportingTarget = true
	config.Backlog = 8
	config.Services = config.Services[:2]
	report := requests.Run(config)
	assertBetter(c, report, 0.9)
	assertMoreEven(c, report, 0.9)
}

func TestOverloadKeepsGoodput(t *testing.T) {
	c := qt.New(t)
	config := config()
	config.Policies = []requests.Policy{requests.Sharded}
	report := requests.Run(config)
	for _, service := range config.Services {
		peak := 0.0
		for _, load := range config.Loads {
			peak = max(peak, find(c, report, service.Name, requests.Sharded, load).Goodput)
		}
		overload := find(c, report, service.Name, requests.Sharded, 2)
		c.Check(overload.Goodput >= 0.95*peak, qt.IsTrue, qt.Commentf("%+v, peak %.3f", overload, peak))
	}
}

func TestLendingReducesWaitOfSmallServices(t *testing.T) {
	c := qt.New(t)
	config := config()
	config.Loads = []float64{0.9}
	config.Policies = []requests.Policy{requests.Sharded}
	config.Services = config.Services[1:2]
	withLending := find(c, requests.Run(config), "stampa", requests.Sharded, 0.9)
	config.WithoutLending = true
	withoutLending := find(c, requests.Run(config), "stampa", requests.Sharded, 0.9)
	c.Assert(withLending.WaitP99 < withoutLending.WaitP99, qt.IsTrue, qt.Commentf("%v with, %v without",
		withLending.WaitP99, withoutLending.WaitP99))
}

func TestPrint(t *testing.T) {
	c := qt.New(t)
	report := requests.Report{Rows: []requests.Row{{Service: "stampa", Policy: requests.Sharded, Load: 0.9}}}
	var text strings.Builder
	c.Assert(report.Print(&text), qt.IsNil)
	c.Assert(text.String(), qt.Contains, "stampa   sharded  90 %")
	if !*_print {
		return
	}
	full := requests.DefaultConfig()
	c.Assert(requests.Run(full).Print(os.Stdout), qt.IsNil)
	full.Loads = []float64{0.3, 0.9}
	full.Backlog = 8
	c.Assert(requests.Run(full).Print(os.Stdout), qt.IsNil)
	full.SlowTargetFactor, full.MisreportingTarget = 4, true
	c.Assert(requests.Run(full).Print(os.Stdout), qt.IsNil)
}

// assertBetter checks that the sharded policy waits less than independent instances, has no refusals, and is as
// balanced as the dispatcher without intents.
func assertBetter(c *qt.C, report requests.Report, load float64) {
	c.Helper()
	for _, service := range report.Config.Services {
		sharded := find(c, report, service.Name, requests.Sharded, load)
		independent := find(c, report, service.Name, requests.Independent, load)
		noIntent := find(c, report, service.Name, requests.NoIntent, load)
		comment := qt.Commentf("sharded %+v, alone %+v, no intent %+v", sharded, independent, noIntent)
		c.Check(sharded.Violations, qt.Equals, 0, comment)
		c.Check(sharded.WaitP99 < independent.WaitP99, qt.IsTrue, comment)
		c.Check(sharded.Imbalance <= _dispatcherTolerance*noIntent.Imbalance, qt.IsTrue, comment)
		c.Check(sharded.RefusalsPerRequest, qt.Equals, 0.0, comment)
	}
}

func assertMoreEven(c *qt.C, report requests.Report, load float64) {
	c.Helper()
	for _, service := range report.Config.Services {
		sharded := find(c, report, service.Name, requests.Sharded, load)
		independent := find(c, report, service.Name, requests.Independent, load)
		comment := qt.Commentf("sharded %+v, alone %+v", sharded, independent)
		c.Check(sharded.Imbalance < independent.Imbalance, qt.IsTrue, comment)
		c.Check(sharded.InstantImbalance < independent.InstantImbalance, qt.IsTrue, comment)
	}
}

func find(c *qt.C, report requests.Report, service id.Service, policy requests.Policy, load float64) requests.Row {
	c.Helper()
	row, ok := report.Find(service, policy, load)
	c.Assert(ok, qt.IsTrue)
	return row
}
