package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	core "azureshift/core/entry"
	"azureshift/core/store"
)

// readLimits returns limits of a read of the store.
func readLimits() store.ReadLimits {
	return store.ReadLimits{OpenSilence: time.Second, NewSilence: time.Second, Total: 3 * time.Second}
}

// TestUnreadableChanges guards against a watch that is repeated although its answer cannot be read.
func TestUnreadableChanges(t *testing.T) {
	c := qt.New(t)
	for name, answer := range map[string]http.HandlerFunc{
		"too large": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Length", strconv.Itoa(1<<30))
			_, _ = writer.Write([]byte("{"))
		},
		"not complete JSON": func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte(`{"events":[`)) },
		"nested too deeply": func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte(strings.Repeat("[", 1<<20)))
		},
	} {
		c.Run(name, func(c *qt.C) {
			server := httptest.NewServer(answer)
			c.Cleanup(server.Close)
			config := newSettings(c)
			config.Store.Address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
			daemon := newDaemon(c, Config{Settings: config})
			effect := core.Follow{After: 1, Limits: readLimits(), MaxSize: 4 << 20}
			failed, ok := daemon.follow(context.Background(), daemon.store, effect).(core.ReadFailed)
			c.Assert(ok, qt.IsTrue)
			c.Assert(failed.Unreadable, qt.IsTrue)
		})
	}
}
