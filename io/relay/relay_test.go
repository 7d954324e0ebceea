package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"azureshift/core/catalog"
	"azureshift/core/entry"
	"azureshift/core/fleet"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/steer"
	"azureshift/core/target"
)

var (
	_self = catalog.Instance{
		Name: "edge-morbegno-1", Domain: "morbegno", Address: netip.MustParseAddrPort("10.0.0.1:8166"), Incarnation: 7,
		Capacity: 61,
	}
	_server = target.Target{
		ID: "i-0a1b2c3d", Number: 0x0a1b2c3d, Service: "chiosco", Domain: "morbegno", State: target.StateDraining,
		Address: netip.MustParseAddrPort("10.0.1.1:8080"), Slots: 3, SlowStartLeft: time.Second, StartTime: 1,
	}
	_route = route.Route{
		Endpoint: packet.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: 443}, Kind: route.NonIdempotent,
		Timeout: time.Second, Objective: time.Second, Priority: 1, Shares: []route.Share{{Service: "chiosco", Weight: 1}},
	}
)

// cmpAddresses returns an option that compares addresses by value.
func cmpAddresses() cmp.Option {
	return cmp.Comparer(func(left, right netip.AddrPort) bool { return left == right })
}

// messages returns one message of each kind with every field set.
func messages() map[string]fleet.Message {
	loads := []fleet.Load{{Cookie: 9, InProgress: 1.5, Latency: 40 * time.Millisecond, Answers: 3}}
	return map[string]fleet.Message{
		"update": fleet.Update{
			From: _self, Relay: true, Connected: true, Source: _self, Leaving: true, Base: 3, Revision: 5, Config: 2,
			Entries: []catalog.Entry{
				{Revision: 4, Server: &_server},
				{Revision: 5, MissingServer: "i-1"},
				{Revision: 5, Instance: &_self},
				{Revision: 5, MissingInstance: "edge-tirano-1"},
				{Revision: 5, Evacuated: "tirano"},
				{Revision: 5, Reopened: "morbegno"},
			},
			Delta: &route.Delta{
				From: 1, To: 2, Upserted: []route.Route{_route}, Removed: []packet.Endpoint{_route.Endpoint},
				Settings: &route.Config{IdleTimeout: time.Minute, Services: []route.Service{{Name: "chiosco", HealthPath: "/"}}},
			},
			Age: time.Second, StableFor: time.Minute, Loads: loads,
		},
		"report": fleet.Report{From: _self, Revision: 5, Loads: loads, Config: 2},
		"evidence": fleet.Evidence{From: _self, Findings: []fleet.Finding{
			{Server: "i-1", Condition: steer.Dead, Observer: "edge-tirano-1", Domain: "tirano"},
		}},
	}
}

func TestMessages(t *testing.T) {
	c := qt.New(t)
	for name, message := range messages() {
		c.Run(name+" is unchanged after encoding and decoding", func(c *qt.C) {
			raw, err := Encode(message)
			c.Assert(err, qt.IsNil)
			decoded, err := Decode(raw)
			c.Assert(err, qt.IsNil)
			c.Assert(decoded, qt.CmpEquals(cmpAddresses()), message)
		})
	}
	c.Run("of unknown kind are refused with a remedy", func(c *qt.C) {
		_, err := Decode([]byte{0xa0})
		c.Assert(err, qt.ErrorMatches, ".*update this instance")
	})
	c.Run("that are truncated are refused", func(c *qt.C) {
		raw, err := Encode(messages()["update"])
		c.Assert(err, qt.IsNil)
		for size := range raw {
			_, err := Decode(raw[:size])
			c.Assert(err, qt.IsNotNil)
		}
	})
}

// view returns a view with everything that an instance knows.
func view() entry.View {
	return entry.View{
		From: _self, Revision: 5, Entries: []catalog.Entry{{Revision: 4, Server: &_server}},
		Config: route.Config{Version: 2, Routes: []route.Route{_route}, IdleTimeout: time.Minute},
		Age:    time.Second, StableFor: time.Minute, Source: _self,
	}
}

// serve starts a server of views that calls respond, and returns its address.
func serve(c *qt.C, respond func(context.Context, entry.StateID) (entry.View, error)) netip.AddrPort {
	server := httptest.NewServer(Handler(HandlerConfig{View: respond, Transfers: _transfers}))
	c.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// _transfers is the number of large views that the tested handler sends at a time.
const _transfers = 2

// TestConcurrentViewRequests covers many instances that request views at once, as when a failure domain starts.
func TestConcurrentViewRequests(t *testing.T) {
	c := qt.New(t)
	large := view()
	large.Entries = make([]catalog.Entry, _maxSmallView+1)
	for _, test := range []struct {
		name       string
		query      string
		view       entry.View
		idle, busy int
	}{
		{"few changes are always served", "?Revision=5", view(), http.StatusOK, http.StatusOK},
		{"many changes are refused when busy", "?Revision=5", large, http.StatusOK, http.StatusServiceUnavailable},
		{"whole views are refused when busy", "", view(), http.StatusOK, http.StatusServiceUnavailable},
	} {
		c.Run(test.name, func(c *qt.C) {
			handler := viewHandler{
				HandlerConfig: HandlerConfig{
					View: func(context.Context, entry.StateID) (entry.View, error) { return test.view, nil },
				},
				transfers: make(chan struct{}, _transfers),
			}
			for range 2 * _transfers {
				c.Assert(requestView(handler, test.query), qt.Equals, test.idle)
			}
			for range _transfers {
				c.Assert(handler.acquire(), qt.IsTrue)
			}
			c.Assert(requestView(handler, test.query), qt.Equals, test.busy)
		})
	}
}

func requestView(handler http.Handler, query string) int {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, _viewPath+query, nil))
	return recorder.Code
}

func fetchFrom(address netip.AddrPort, known entry.StateID) entry.Fetch {
	return entry.Fetch{From: address, Known: known, Timeout: time.Second}
}

func TestViews(t *testing.T) {
	c := qt.New(t)
	c.Run("are fetched whole", func(c *qt.C) {
		address := serve(c, func(context.Context, entry.StateID) (entry.View, error) { return view(), nil })
		fetched, err := NewClient().Fetch(context.Background(), fetchFrom(address, entry.StateID{}))
		c.Assert(err, qt.IsNil)
		c.Assert(fetched, qt.CmpEquals(cmpAddresses()), view())
	})
	c.Run("are requested with what is known", func(c *qt.C) {
		var received entry.StateID
		address := serve(c, func(_ context.Context, stateID entry.StateID) (entry.View, error) {
			received = stateID
			return view(), nil
		})
		stateID := entry.StateID{Revision: 1 << 60, Config: 7}
		_, err := NewClient().Fetch(context.Background(), fetchFrom(address, stateID))
		c.Assert(err, qt.IsNil)
		c.Assert(received, qt.Equals, stateID)
	})
	c.Run("are refused if a parameter is not a number", func(c *qt.C) {
		address := serve(c, func(context.Context, entry.StateID) (entry.View, error) { return view(), nil })
		response, err := http.Get("http://" + address.String() + _viewPath + "?" + _revision + "=many")
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusBadRequest)
	})
	c.Run("are refused by an instance that knows nothing", func(c *qt.C) {
		address := serve(c, func(context.Context, entry.StateID) (entry.View, error) { return entry.View{From: _self}, nil })
		_, err := NewClient().Fetch(context.Background(), fetchFrom(address, entry.StateID{}))
		c.Assert(err, qt.ErrorMatches, "fetch the view of .*: status 503")
	})
	c.Run("are refused if the control thread does not respond", func(c *qt.C) {
		address := serve(c, func(context.Context, entry.StateID) (entry.View, error) { return view(), eris.New("no answer") })
		_, err := NewClient().Fetch(context.Background(), fetchFrom(address, entry.StateID{}))
		c.Assert(err, qt.ErrorMatches, "fetch the view of .*: status 503")
	})
	c.Run("that are not CBOR are refused", func(c *qt.C) {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte("hello"))
		}))
		c.Cleanup(server.Close)
		address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		_, err := NewClient().Fetch(context.Background(), fetchFrom(address, entry.StateID{}))
		c.Assert(err, qt.ErrorMatches, "decode the view of .*")
	})
	c.Run("are given up after the timeout", func(c *qt.C) {
		address := serve(c, func(ctx context.Context, _ entry.StateID) (entry.View, error) {
			<-ctx.Done()
			return entry.View{}, ctx.Err()
		})
		started := time.Now()
		_, err := NewClient().Fetch(context.Background(), fetchFrom(address, entry.StateID{}))
		c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
		c.Assert(time.Since(started) >= fetchFrom(address, entry.StateID{}).Timeout, qt.IsTrue)
	})
}

// FuzzDecode checks that arbitrary bytes cause no panic, and that a decoded message encodes to a decodable one.
func FuzzDecode(f *testing.F) {
	for _, message := range messages() {
		raw, err := Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		message, err := Decode(raw)
		if err != nil {
			return
		}
		again, err := Encode(message)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatal(err)
		}
	})
}
