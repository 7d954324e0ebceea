package entry

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"azureshift/core/catalog"
	"azureshift/core/fleet"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/steer"
	"azureshift/core/target"
)

// _longName is slightly longer than the longest name in the users' deployments, which has 17 letters.
var _longName = strings.Repeat("a", 20)

func longInstance() catalog.Instance {
	return catalog.Instance{
		Name: id.Instance(_longName), Domain: id.Domain(_longName),
		Address: netip.MustParseAddrPort("203.0.113.254:65535"), Incarnation: math.MaxInt64, Capacity: 64_000,
	}
}

// longUpdate returns the longest update without changes.
func longUpdate() fleet.Update {
	return fleet.Update{
		From: longInstance(), Relay: true, Source: longInstance(), Connected: true, Base: math.MaxInt64,
		Revision: math.MaxInt64, Config: math.MaxInt64, Age: math.MaxInt64, StableFor: math.MaxInt64,
	}
}

func longEntry() catalog.Entry {
	return catalog.Entry{Revision: math.MaxInt64, Server: &target.Target{
		ID: id.Target(_longName), Number: math.MaxUint64, Service: id.Service(_longName),
		Address: longInstance().Address, Domain: id.Domain(_longName), State: target.StateReady, Slots: 4096,
		SlowStartLeft: time.Minute, StartTime: math.MaxInt64,
	}}
}

func longRoute() route.Route {
	return route.Route{
		Endpoint: packet.Endpoint{Address: [4]byte{255, 255, 255, 255}, Port: 65535}, Kind: route.NonIdempotent,
		Timeout: time.Minute, Objective: time.Minute, Priority: 9,
		Shares: []route.Share{{Service: id.Service(_longName), Weight: 100}},
	}
}

func repeated[Element any](element Element, count int) []Element {
	elements := make([]Element, count)
	for index := range elements {
		elements[index] = element
	}
	return elements
}

// TestLongestMessages checks that the longest messages fit into one datagram.
func TestLongestMessages(t *testing.T) {
	c := qt.New(t)
	fits := func(c *qt.C, message fleet.Message) {
		c.Helper()
		raw, err := cbor.Marshal(message)
		c.Assert(err, qt.IsNil)
		c.Assert(len(raw) <= fleet.MaxMessage, qt.IsTrue, qt.Commentf("%d bytes", len(raw)))
	}
	c.Run("changes of servers and routes", func(c *qt.C) {
		update := longUpdate()
		update.Entries = repeated(longEntry(), _maxEntries)
		update.Delta = &route.Delta{From: math.MaxInt64, To: math.MaxInt64, Upserted: repeated(longRoute(), _maxDeltaSize)}
		fits(c, update)
	})
	c.Run("changes of servers and services", func(c *qt.C) {
		update := longUpdate()
		update.Entries = repeated(longEntry(), _maxEntries)
		service := route.Service{Name: id.Service(_longName), HealthPath: _longName, MaxConnections: 100_000}
		update.Delta = &route.Delta{
			From: math.MaxInt64, To: math.MaxInt64, Settings: &route.Config{Services: repeated(service, _maxDeltaSize)},
		}
		fits(c, update)
	})
	c.Run("loads", func(c *qt.C) {
		update, report := longUpdate(), fleet.Report{From: longInstance(), Revision: math.MaxInt64, Config: math.MaxInt64}
		update.Loads = repeated(fleet.Load{
			Cookie: math.MaxUint32, InProgress: 1.1, Latency: time.Minute, Answers: 100_000, Refused: 100_000,
			Held: math.MaxUint16, UsualLatency: time.Minute,
		}, _maxLoads)
		report.Loads = update.Loads
		fits(c, update)
		fits(c, report)
	})
	c.Run("findings", func(c *qt.C) {
		finding := fleet.Finding{
			Server: id.Target(_longName), Condition: steer.Dead, Observer: id.Instance(_longName),
			Domain: id.Domain(_longName),
		}
		fits(c, fleet.Evidence{From: longInstance(), Findings: repeated(finding, _maxFindings)})
	})
}
