package platform_test

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/io/platform"
	"azureshift/standin/loopback"
	standin "azureshift/standin/platform"
	"azureshift/standin/proxy"
)

// TestSilentConnections guards against calls that fail one after the other, each on the next open connection that has
// gone silent, until a lease runs out.
func TestSilentConnections(t *testing.T) {
	c := qt.New(t)
	const (
		timeout     = 300 * time.Millisecond
		connections = 6
	)
	server := httptest.NewServer(standin.New())
	c.Cleanup(server.Close)
	target := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	block, err := loopback.Reserve(2)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = block.Close() })
	listen, err := block.Next()
	c.Assert(err, qt.IsNil)
	between, err := proxy.Start(listen, target)
	c.Assert(err, qt.IsNil)
	c.Cleanup(between.Close)
	client, err := platform.New(platform.Config{Address: "http://" + listen.String(), Timeout: timeout})
	c.Assert(err, qt.IsNil)
	var calls sync.WaitGroup
	between.SetFault(proxy.Fault{Delay: timeout / 10})
	for range connections {
		calls.Go(func() { _, _ = client.Get(t.Context(), _key) })
	}
	calls.Wait()
	between.SetFault(proxy.Fault{SilenceOpen: true})
	between.SetFault(proxy.Fault{})
	_, err = client.Get(t.Context(), _key)
	c.Assert(err, qt.IsNotNil)
	_, err = client.Get(t.Context(), _key)
	c.Assert(err, qt.IsNil)
}
