package entry

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"azureshift/core/catalog"
	core "azureshift/core/entry"
	"azureshift/core/id"
	"azureshift/event"
	"azureshift/platform"
)

// Size of a large deployment.
const (
	_instanceCount = 113
	_serverCount   = 150
)

// largeListing returns the body of the store's answer to a listing in a large deployment.
func largeListing(c *qt.C, routes int) string {
	var items []string
	add := func(key string, value []byte) {
		items = append(items, fmt.Sprintf(`{"key":%q,"value":%q,"revision":%d,"create_revision":1,"lease":0}`,
			key, base64.StdEncoding.EncodeToString(value), len(items)+1))
	}
	for index := range _instanceCount {
		name := id.Instance(fmt.Sprintf("edge-a-%d", index))
		address := netip.MustParseAddrPort("10.1.0.1:8080")
		raw, err := cbor.Marshal(catalog.Instance{Name: name, Domain: "a", Address: address})
		c.Assert(err, qt.IsNil)
		add(_instancePrefix+string(name), raw)
	}
	routeConfigs := make([]string, 0, routes)
	for index := range routes {
		routeConfigs = append(routeConfigs, fmt.Sprintf(`{"name":"r-%d","hostname":"198.18.%d.%d","prefix":"/8443/",
			"type":"idempotent","timeout_ms":1200,"slo_ms":200,"priority":2,"attempts":3,"service":"chiosco"}`,
			index, index/250, index%250))
	}
	add(platform.ConfigKey, []byte(`{"version":5,"routes":[`+strings.Join(routeConfigs, ",")+
		`],"services":[{"name":"chiosco","health_path":"/health"}],"limits":{"idle_timeout_ms":15000}}`))
	for index := range _serverCount {
		add(fmt.Sprintf("%si-%010x", platform.TargetPrefix, index+1), fmt.Appendf(nil, `{"born":1786000000000,
			"service":"chiosco","address":"10.3.64.%d:8367","zone":"a","version":"v1","concurrency":2,"state":"ready",
			"warmup_left_ms":0,"call_seq":12}`, index))
	}
	return `{"items":[` + strings.Join(items, ",") + `],"has_more":false,"store_revision":1000}`
}

// serveListing starts a store that answers every call with a large listing, and returns its address.
func serveListing(c *qt.C, routes int) netip.AddrPort {
	body := largeListing(c, routes)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, err := writer.Write([]byte(body))
		c.Check(err, qt.IsNil)
	}))
	c.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// applyListing feeds a listing to a new control state and logs its notes.
func (daemon *Daemon) applyListing(listed core.Event) *core.State {
	state := core.New(daemon.controlConfig())
	state.Start(1)
	for _, effect := range state.Reduce(listed) {
		if note, ok := effect.(core.Note); ok {
			daemon.logNote(note)
		}
	}
	return state
}

func TestFirstListing(t *testing.T) {
	c := qt.New(t)
	var logged logOutput
	config := newSettings(c)
	config.Store.Address = serveListing(c, 1)
	daemon := newDaemon(c, Config{Settings: config})
	log, err := event.NewLogger(event.Config{Output: &logged, JSON: true})
	c.Assert(err, qt.IsNil)
	daemon.log = log
	daemon.applyListing(daemon.list(context.Background(), daemon.store, core.List{Limits: readLimits()}))
	c.Run("logs one line", func(c *qt.C) {
		lines := logged.lines(c, event.StoreListed)
		c.Assert(lines, qt.HasLen, 1)
		c.Assert(lines[0]["Servers"], qt.Equals, float64(_serverCount))
		c.Assert(lines[0]["Instances"], qt.Equals, float64(_instanceCount))
	})
	c.Run("logs no line for each server or instance", func(c *qt.C) {
		c.Assert(logged.lines(c, event.ServerChanged), qt.HasLen, 0)
		c.Assert(logged.lines(c, event.InstanceChanged), qt.HasLen, 0)
	})
}

// BenchmarkFirstListing measures the work of an instance between its start and the first packet that it forwards.
func BenchmarkFirstListing(b *testing.B) {
	for _, routes := range []int{40, 2000} {
		b.Run(fmt.Sprintf("Routes%d", routes), func(b *testing.B) {
			c := qt.New(b)
			config := newSettings(c)
			config.Store.Address = serveListing(c, routes)
			daemon := newDaemon(c, Config{Settings: config})
			for b.Loop() {
				daemon.applyListing(daemon.list(context.Background(), daemon.store, core.List{Limits: readLimits()}))
			}
		})
	}
}
