package steer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/route"
)

const (
	_typicalTime  = 40 * time.Millisecond
	_latencyLimit = 140 * time.Millisecond
)

// singleRequestDemand returns the demand of clients that open a flow for each request, half of them of each of two
// priorities.
func singleRequestDemand() *demand {
	demand := &demand{}
	for range 100 {
		demand.countOffered(0, 1)
		demand.countOffered(0, 2)
	}
	demand.countServed(0, &counters{opened: 100, answers: 100})
	return demand
}

// emptyDemand returns the demand before the first packet.
func emptyDemand() *demand { return &demand{} }

// saturated returns the totals of 14 servers with three slots each, which complete 525 requests per report interval,
// with a queue at the setpoint.
func saturated(refused float64) poolTotals {
	return poolTotals{capacity: 42, inProgress: 42 * _queueSetpoint * 3.5, answers: 525, refused: refused}
}

func assertShare(c *qt.C, got, want float64) {
	c.Helper()
	c.Assert(got > want-0.001 && got < want+0.001, qt.IsTrue, qt.Commentf("%.4f, want %.4f", got, want))
}

func TestAdmissionShare(t *testing.T) {
	c := qt.New(t)
	demand := singleRequestDemand()
	c.Run("is capacity divided by offered requests", func(c *qt.C) {
		assertShare(c, demand.admissionShare(saturated(0), _typicalTime, _latencyLimit), 1)
		assertShare(c, demand.admissionShare(saturated(525), _typicalTime, _latencyLimit), 0.5)
		assertShare(c, demand.admissionShare(saturated(3*525), _typicalTime, _latencyLimit), 0.25)
	})
	c.Run("decreases as the queue grows", func(c *qt.C) {
		long, short := saturated(525), saturated(525)
		long.inProgress *= 2
		short.inProgress = 0
		assertShare(c, demand.admissionShare(long, _typicalTime, _latencyLimit), 0.25)
		assertShare(c, demand.admissionShare(short, _typicalTime, _latencyLimit), 0.75)
	})
	c.Run("subtracts requests on persistent flows from the capacity", func(c *qt.C) {
		demand := singleRequestDemand()
		demand.countServed(0, &counters{answers: 100})
		assertShare(c, demand.singleRequestShare(), 0.5)
		assertShare(c, demand.admissionShare(saturated(262.5), _typicalTime, _latencyLimit), 0.5)
	})
	c.Run("is 1 while nothing is measured", func(c *qt.C) {
		empty := emptyDemand()
		assertShare(c, empty.admissionShare(poolTotals{capacity: 42}, _typicalTime, _latencyLimit), 1)
		assertShare(c, demand.admissionShare(poolTotals{answers: 5}, _typicalTime, _latencyLimit), 1)
		assertShare(c, empty.singleRequestShare(), 0)
	})
}

func TestDemandRetention(t *testing.T) {
	c := qt.New(t)
	steering := newSteering(tableOf(server(1, "a")))
	steering.Decide(0, syn(1, _feeds, 0))
	steering.Report(ReportInterval)
	c.Assert(steering.demands, qt.HasLen, 1)
	c.Run("is kept while the service has servers", func(c *qt.C) {
		steering.Report(2 * _demandRetention)
		c.Assert(steering.demands, qt.HasLen, 1)
	})
	c.Run("is removed when the service has no servers", func(c *qt.C) {
		steering.SetTable(&Table{})
		steering.Report(4 * _demandRetention)
		c.Assert(steering.demands, qt.HasLen, 0)
	})
}

func TestPriorityAdmissionShare(t *testing.T) {
	c := qt.New(t)
	demand := singleRequestDemand()
	for _, test := range []struct {
		admissionShare, urgent, other float64
	}{{0, 0, 0}, {0.25, 0.5, 0}, {0.5, 1, 0}, {0.75, 1, 0.5}, {1, 1, 1}, {1.5, 1, 1}, {-1, 0, 0}} {
		assertShare(c, demand.priorityAdmissionShare(1, test.admissionShare), test.urgent)
		assertShare(c, demand.priorityAdmissionShare(2, test.admissionShare), test.other)
	}
	c.Run("clamps priorities to the known levels", func(c *qt.C) {
		for _, priority := range []route.Priority{-3, 1000} {
			demand.countOffered(0, priority)
		}
		assertShare(c, demand.priorityAdmissionShare(-5, 0.1), 1)
		assertShare(c, demand.priorityAdmissionShare(99, 0.9), 0)
	})
	c.Run("decays old counts", func(c *qt.C) {
		demand := singleRequestDemand()
		demand.countOffered(10*_demandTimeConstant, 2)
		assertShare(c, demand.priorityAdmissionShare(2, 0.5), 0.4977)
	})
}
