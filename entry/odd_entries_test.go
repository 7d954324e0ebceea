package entry

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"azureshift/core/catalog"
	core "azureshift/core/entry"
	"azureshift/event"
	"azureshift/platform"
	"azureshift/standin/metastore"
)

// _maxLine is the greatest length in bytes of a log line that an odd entry may cause.
const _maxLine = 2048

// oddValues are values of other writers among the registrations, by key. None of them names a server or an instance.
func oddValues(c *qt.C) map[string][]byte {
	c.Helper()
	const server = `{"service":"a","address":"10.0.0.1:80","zone":"a","concurrency":1,"state":"ready"}`
	deep := strings.Repeat("[", platform.MaxRegistration/2)
	unreachable, err := cbor.Marshal(catalog.Instance{Name: "c-1"})
	c.Assert(err, qt.IsNil)
	return map[string][]byte{
		platform.TargetPrefix:                   []byte(server),
		platform.TargetPrefix + "i-00000001":    []byte(deep),
		platform.TargetPrefix + "i-00000002":    []byte(strings.Replace(server, "1,", `1,"x":`+deep, 1)),
		platform.TargetPrefix + "i-00000003":    []byte(strings.Replace(server, "80", "65536", 1)),
		platform.TargetPrefix + "i-00000004":    []byte(strings.Replace(server, "80", "0", 1)),
		platform.TargetPrefix + "i-00000005":    []byte(strings.Replace(server, "1,", "1e400,", 1)),
		platform.TargetPrefix + "i-00000006":    []byte(strings.Replace(server, "ready", deep, 1)),
		platform.TargetPrefix + "i-00000007":    []byte(strings.Repeat("[", 1<<20)),
		platform.TargetPrefix + "i-ffffffffff0": []byte("\xff\xfe"),
		_instancePrefix + "b-1":                 []byte(strings.Repeat("\x81", 1<<20)),
		_instancePrefix + "c-1":                 unreachable,
	}
}

// serveValues returns the address of a store that holds the values and lists two on a page.
func serveValues(c *qt.C, values map[string][]byte) netip.AddrPort {
	c.Helper()
	held := metastore.New(metastore.Config{PageItems: 2})
	for key, value := range values {
		held.Put(key, value, 0)
	}
	server := httptest.NewServer(held.Handler(""))
	c.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// TestOddEntries guards against an odd entry among the registrations that ends an instance or keeps it from reading the
// others.
func TestOddEntries(t *testing.T) {
	c := qt.New(t)
	odd := oddValues(c)
	values := maps.Clone(odd)
	values[platform.TargetPrefix+"i-7f3a91c2"] = []byte(
		`{"service":"a","address":"10.0.0.9:80","zone":"a","concurrency":1,"state":"ready"}`)
	var logged logOutput
	config := newSettings(c)
	config.Store.Address = serveValues(c, values)
	daemon := newDaemon(c, Config{Settings: config})
	log, err := event.NewLogger(event.Config{Output: &logged, JSON: true})
	c.Assert(err, qt.IsNil)
	daemon.log = log
	listed, ok := daemon.list(context.Background(), daemon.store, core.List{Limits: readLimits()}).(core.Listed)
	c.Assert(ok, qt.IsTrue)
	c.Run("leave the registration of the server", func(c *qt.C) {
		var servers []string
		for _, entry := range listed.Entries {
			c.Assert(entry.Instance, qt.IsNil)
			if entry.Server != nil {
				servers = append(servers, string(entry.Server.ID))
			}
		}
		c.Assert(servers, qt.DeepEquals, []string{"i-7f3a91c2"})
	})
	c.Run("are logged in short lines", func(c *qt.C) {
		lines := logged.lines(c, event.RegistrationUnreadable)
		c.Assert(lines, qt.HasLen, 1)
		c.Assert(lines[0]["Error"], qt.Not(qt.Equals), "")
		for line := range strings.Lines(logged.text.String()) {
			c.Assert(len(line) <= _maxLine, qt.IsTrue, qt.Commentf("%d bytes", len(line)))
		}
	})
	c.Run("are counted", func(c *qt.C) {
		eventually(c, func() bool {
			recorder := httptest.NewRecorder()
			daemon.metrics.page.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, _metricsPath, nil))
			for line := range strings.Lines(recorder.Body.String()) {
				if strings.HasPrefix(line, "azureshift_registrations_refused_total{") {
					return strings.HasSuffix(strings.TrimSpace(line), fmt.Sprintf(" %d", len(odd)))
				}
			}
			return false
		})
	})
}
