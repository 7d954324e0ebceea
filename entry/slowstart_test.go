package entry

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/steer"
	"azureshift/core/store"
	"azureshift/core/target"
)

// TestSlowStartMetrics guards against refusals and cold servers that no metric shows. A dropped copy of an opening
// packet is no refused flow.
func TestSlowStartMetrics(t *testing.T) {
	c := qt.New(t)
	metrics := newMetrics("a-1", "a")
	defer func() { c.Check(metrics.closer.Close(), qt.IsNil) }()
	metrics.serversCold.Update(3)
	metrics.count(steer.Decision{Action: steer.Reset, Reason: steer.SlowStart})
	metrics.count(steer.Decision{Action: steer.Reset, Reason: steer.Overloaded})
	metrics.count(steer.Decision{Action: steer.Drop, Reason: steer.SlowStart})
	shows := func(name, value string) bool {
		recorder := httptest.NewRecorder()
		metrics.page.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, _metricsPath, nil))
		for line := range strings.Lines(recorder.Body.String()) {
			if strings.HasPrefix(line, name+"{") && strings.HasSuffix(strings.TrimSpace(line), " "+value) {
				return true
			}
		}
		return false
	}
	eventually(c, func() bool {
		return shows("azureshift_servers_in_slow_start", "3") && shows("azureshift_flows_refused_slow_start_total", "1")
	})
}

// TestColdServerAfterASuspension guards against a flow to a server in slow start by a share that another instance may
// have taken over while the machine was suspended.
func TestColdServerAfterASuspension(t *testing.T) {
	c := qt.New(t)
	daemon := newDaemon(c, Config{Settings: newSettings(c)})
	table := tableWith(target.Target{ID: "i-1", Number: 1, Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 2})
	cold := table.Servers[1]
	cold.ColdUntil, cold.SlowStartShare, table.SharesUntil = time.Hour, 5, time.Hour
	header := packet.Header{Flags: packet.SYN}
	for endpoint, configured := range table.Routes {
		configured.Shares = []route.Share{{Weight: 1}}
		header.Flow.Service = endpoint
	}
	table.AddToPool(cold)
	table.LimitSlowStarts()
	daemon.steering.SetTable(table)
	decided := func(port uint16) steer.Decision {
		header.Flow.Client.Port = port
		decision, _ := daemon.decide(daemon.clock.now(), header)
		return decision
	}
	c.Assert(decided(1).Action.String(), qt.Equals, steer.Forward.String())
	daemon.clock.bootOffset.Add(-int64(10 * time.Second))
	c.Assert(decided(2).Action.String(), qt.Equals, steer.Drop.String())
	daemon.clock.suspended()
	c.Assert(decided(3).Action.String(), qt.Equals, steer.Forward.String())
	cold.ColdUntil = 0
	daemon.clock.bootOffset.Add(-int64(10 * time.Second))
	c.Assert(decided(4).Action.String(), qt.Equals, steer.Forward.String())
}

// TestOwnRegistration guards against a registration in the store that does not name the run that wrote it: an instance
// uses shares only while its own run is registered.
func TestOwnRegistration(t *testing.T) {
	c := qt.New(t)
	daemon := newDaemon(c, Config{Settings: newSettings(c)})
	self := daemon.controlConfig().Self
	value, err := cbor.Marshal(self)
	c.Assert(err, qt.IsNil)
	entry := daemon.decodeInstance(&store.Change{
		Item: store.Item{Key: _instancePrefix + string(self.Name), Value: value},
	})
	c.Assert(entry.Instance, qt.IsNotNil)
	c.Assert(entry.Instance.Incarnation, qt.Equals, self.Incarnation)
}
