package steer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/route"
)

const (
	_usualTime  = 40 * time.Millisecond
	_admittedIn = 140 * time.Millisecond
)

// ofSingleRequests is the demand of clients that open a flow for each request, with as many urgent ones as others.
func ofSingleRequests() *demand {
	demand := &demand{}
	for range 100 {
		demand.offer(0, 1)
		demand.offer(0, 2)
	}
	demand.count(0, &load{placed: 100, answers: 100})
	return demand
}

// unknownDemand is the demand before any packet.
func unknownDemand() *demand { return &demand{} }

// saturated is a service of 14 servers with three slots each, which run 525 requests in a report's span, with a queue
// as long as meant.
func saturated(refused float64) summary {
	return summary{capacity: 42, inProgress: 42 * _queueGoal * 3.5, answers: 525, refused: refused}
}

func assertShare(c *qt.C, got, want float64) {
	c.Helper()
	c.Assert(got > want-0.001 && got < want+0.001, qt.IsTrue, qt.Commentf("%.4f, want %.4f", got, want))
}

func TestAdmittedShare(t *testing.T) {
	c := qt.New(t)
	demand := ofSingleRequests()
	c.Run("is what the servers can run of what comes", func(c *qt.C) {
		assertShare(c, demand.admit(saturated(0), _usualTime, _admittedIn), 1)
		assertShare(c, demand.admit(saturated(525), _usualTime, _admittedIn), 0.5)
		assertShare(c, demand.admit(saturated(3*525), _usualTime, _admittedIn), 0.25)
	})
	c.Run("falls as the queue grows", func(c *qt.C) {
		long, empty := saturated(525), saturated(525)
		long.inProgress *= 2
		empty.inProgress = 0
		assertShare(c, demand.admit(long, _usualTime, _admittedIn), 0.25)
		assertShare(c, demand.admit(empty, _usualTime, _admittedIn), 0.75)
	})
	c.Run("leaves out what comes on flows that are kept", func(c *qt.C) {
		demand := ofSingleRequests()
		demand.count(0, &load{answers: 100})
		assertShare(c, demand.single(), 0.5)
		assertShare(c, demand.admit(saturated(262.5), _usualTime, _admittedIn), 0.5)
	})
	c.Run("is all while nothing is known", func(c *qt.C) {
		nothing := unknownDemand()
		assertShare(c, nothing.admit(summary{capacity: 42}, _usualTime, _admittedIn), 1)
		assertShare(c, demand.admit(summary{answers: 5}, _usualTime, _admittedIn), 1)
		assertShare(c, nothing.single(), 0)
	})
}

func TestDemandOfServices(t *testing.T) {
	c := qt.New(t)
	steering := with(tableOf(server(1, "a")))
	steering.Packet(0, syn(1, _feeds, 0))
	steering.Report(ReportSpan)
	c.Assert(steering.demands, qt.HasLen, 1)
	c.Run("is kept while it has servers", func(c *qt.C) {
		steering.Report(2 * _demandLife)
		c.Assert(steering.demands, qt.HasLen, 1)
	})
	c.Run("is forgotten when it has none", func(c *qt.C) {
		steering.Use(&Table{})
		steering.Report(4 * _demandLife)
		c.Assert(steering.demands, qt.HasLen, 0)
	})
}

func TestPortionOfAPriority(t *testing.T) {
	c := qt.New(t)
	demand := ofSingleRequests()
	for _, test := range []struct {
		admitted, urgent, other float64
	}{{0, 0, 0}, {0.25, 0.5, 0}, {0.5, 1, 0}, {0.75, 1, 0.5}, {1, 1, 1}, {1.5, 1, 1}, {-1, 0, 0}} {
		assertShare(c, demand.portion(1, test.admitted), test.urgent)
		assertShare(c, demand.portion(2, test.admitted), test.other)
	}
	c.Run("bounds priorities", func(c *qt.C) {
		for _, priority := range []route.Priority{-3, 1000} {
			demand.offer(0, priority)
		}
		assertShare(c, demand.portion(-5, 0.1), 1)
		assertShare(c, demand.portion(99, 0.9), 0)
	})
	c.Run("forgets what came long ago", func(c *qt.C) {
		demand := ofSingleRequests()
		demand.offer(10*_demandSpan, 2)
		assertShare(c, demand.portion(2, 0.5), 0.4977)
	})
}
