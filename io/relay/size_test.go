package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"azureshift/core/catalog"
	"azureshift/core/entry"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/target"
	"azureshift/standin/budget"
)

// The sizes that docs/CAPACITY.md expects in two years.
const (
	_laterServers   = 16_000
	_laterInstances = 2_000
	_laterRoutes    = 2_000
)

// largestView returns the view that a new instance gets in two years.
func largestView() entry.View {
	whole := entry.View{From: _self, Revision: 1 << 40, Version: 1 << 20}
	for number := range _laterServers {
		server := _server
		server.ID, server.Number = id.Target(fmt.Sprintf("i-%08x", number)), target.Number(number)
		server.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 8080)
		whole.Entries = append(whole.Entries, catalog.Entry{Revision: 1<<40 + 1, Server: &server})
	}
	for number := range _laterInstances {
		instance := _self
		instance.Name = id.Instance(fmt.Sprintf("edge-morbegno-%d", number))
		whole.Entries = append(whole.Entries, catalog.Entry{Revision: 1<<40 + 1, Instance: &instance, Lease: 1 << 30})
	}
	whole.Config = route.Config{Version: 1 << 20}
	for number := range _laterRoutes {
		configured := _route
		configured.Endpoint = packet.Endpoint{Address: [4]byte{198, 18, byte(number >> 8), byte(number)}, Port: 443}
		whole.Config.Routes = append(whole.Config.Routes, configured)
	}
	return whole
}

// TestLargestView checks that a view of the size that is expected in two years fits into the limits and the budget of
// an input.
func TestLargestView(t *testing.T) {
	c := qt.New(t)
	raw, err := cbor.Marshal(largestView())
	c.Assert(err, qt.IsNil)
	c.Assert(len(raw) < _maxViewSize/2, qt.IsTrue, qt.Commentf("%d bytes", len(raw)))
	budget.AssertSmall(c, func() {
		decoded, err := decodeView(raw)
		c.Assert(err, qt.IsNil)
		c.Assert(decoded.Entries, qt.HasLen, _laterServers+_laterInstances)
	})
	address := serve(c, func(context.Context, entry.StateID) (entry.View, error) { return largestView(), nil })
	fetched, err := NewClient().Fetch(context.Background(), fetchFrom(address, entry.StateID{}))
	c.Assert(err, qt.IsNil)
	c.Assert(fetched.Entries, qt.HasLen, _laterServers+_laterInstances)
}

// TestOddViews guards against a view or a message that takes more memory than an instance has.
func TestOddViews(t *testing.T) {
	c := qt.New(t)
	list := func(field byte, element string, count int) []byte {
		head := []byte{0xa1, field, 0x9a, byte(count >> 24), byte(count >> 16), byte(count >> 8), byte(count)}
		return slices.Concat(head, []byte(strings.Repeat(element, count)))
	}
	for name, raw := range map[string][]byte{
		"nested lists":        []byte(strings.Repeat("\x81", _maxViewSize)),
		"many empty entries":  list(0x03, "\xa0", _maxViewSize/2),
		"a list without end":  {0xa1, 0x03, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"a text without end":  {0xa1, 0x01, 0xa1, 0x01, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"an unclosed list":    append([]byte{0xa1, 0x03, 0x9f}, strings.Repeat("\xa0", _maxViewSize-3)...),
		"many members":        append([]byte{0xba, 0x00, 0x10, 0x00, 0x00}, strings.Repeat("\x20\x00", 1<<20)...),
		"the most entries":    list(0x03, "\xa1\x01\x00", _maxElements),
		"the most of a route": list(0x04, "\xa0", _maxElements),
	} {
		c.Run(name, func(c *qt.C) {
			budget.AssertSmall(c, func() {
				// The most entries are within the limits.
				_, _ = decodeView(raw)
			})
			budget.AssertCheap(c, func() {
				_, err := Decode(raw[:min(len(raw), _largestDatagram)])
				c.Assert(err, qt.IsNotNil)
			})
		})
	}
	c.Run("are refused by their announced length", func(c *qt.C) {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Length", strconv.Itoa(1<<30))
		}))
		c.Cleanup(server.Close)
		address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		_, err := NewClient().Fetch(context.Background(), fetchFrom(address, entry.StateID{}))
		c.Assert(err, qt.ErrorMatches, "fetch the view of .*: it has 1073741824 bytes, more than .*")
	})
}

// _largestDatagram is the size in bytes of the largest message that an instance reads.
const _largestDatagram = 16 << 10
