package operator_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/io/operator"
)

type source struct {
	status  operator.Status
	live    bool
	reasons []operator.Reason
}

func (source source) Status() operator.Status     { return source.status }
func (source source) Live() bool                  { return source.live }
func (source source) NotReady() []operator.Reason { return source.reasons }
func (source) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "metric 1\n")
}

var _status = operator.Status{
	Instance: "morbegno-1", Incarnation: 7, Region: "sondrio", Domain: "morbegno", BundleVersion: 12, Flows: 3,
	Exceptions: 1,
	Epochs:     []operator.Epoch{{Domain: "morbegno", Number: 4, Members: 5}},
	Members:    operator.Members{Alive: 15, Suspect: 1},
	Targets:    []operator.Target{{Service: "chiosco", Name: "chiosco-1", State: "Active", InFlight: 2, Slots: 3}},
	Requests:   operator.Requests{Dispatched: 2, Answered: 40, NotRun: 1},
	Drops:      map[string]uint64{"replayed": 2, "forged": 1},
	Violations: map[string]uint64{},
}

func startServer(c *qt.C, source source) netip.AddrPort {
	server, err := operator.New(operator.Config{Source: source, Metrics: source})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { c.Check(server.Run(ctx), qt.IsNil) })
	c.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return server.Address()
}

func TestServer(t *testing.T) {
	c := qt.New(t)
	ready := startServer(c, source{status: _status, live: true})
	unready := startServer(c, source{reasons: []operator.Reason{operator.ReasonNoBundle, operator.ReasonStopping}})
	assertGet(c, ready, operator.PathMetrics, http.StatusOK, "metric 1")
	assertGet(c, ready, operator.PathLive, http.StatusOK, `{"Live":true}`)
	assertGet(c, ready, operator.PathReady, http.StatusOK, `{"Ready":true,"Reasons":[]}`)
	assertGet(c, unready, operator.PathLive, http.StatusServiceUnavailable, `{"Live":false}`)
	assertGet(c, unready, operator.PathReady, http.StatusServiceUnavailable, `"Reason":"NoBundle","Remedy":"roll a bundle`)
	assertGet(c, unready, operator.PathReady, http.StatusServiceUnavailable, `"Reason":"Stopping"`)
	assertGet(c, ready, "/other", http.StatusNotFound, "not found")
}

func assertGet(c *qt.C, address netip.AddrPort, path string, status int, bodyPart string) {
	response, err := http.Get("http://" + address.String() + path)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, status)
	c.Check(string(body), qt.Contains, bodyPart)
}

func TestFetch(t *testing.T) {
	c := qt.New(t)
	c.Run("status", func(c *qt.C) {
		got, err := operator.Fetch(context.Background(), startServer(c, source{status: _status}))
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, _status)
	})
	c.Run("nothing listens", func(c *qt.C) {
		_, err := operator.Fetch(context.Background(), netip.MustParseAddrPort("127.0.0.1:1"))
		c.Assert(err, qt.ErrorAs, new(operator.UnreachableError))
	})
}

func TestPrintIsStable(t *testing.T) {
	c := qt.New(t)
	var first, second strings.Builder
	c.Assert(operator.Print(&first, _status), qt.IsNil)
	c.Assert(operator.Print(&second, _status), qt.IsNil)
	c.Assert(first.String(), qt.Equals, second.String())
	c.Assert(strings.Index(first.String(), "forged") < strings.Index(first.String(), "replayed"), qt.IsTrue)
}

func ExamplePrint() {
	_ = operator.Print(os.Stdout, operator.Status{
		Instance: "morbegno-1", Domain: "morbegno", Region: "sondrio", Incarnation: 7, BundleVersion: 12,
		Targets: []operator.Target{{Service: id.Service("chiosco"), Name: "chiosco-1", State: "Active", Slots: 3}},
	})
	// Output:
	// INSTANCE    DOMAIN    REGION   INCARNATION  BUNDLE  FLOWS  EXCEPTIONS
	// morbegno-1  morbegno  sondrio  7            12      0      0
	//
	// MEMBERS  ALIVE  SUSPECT  DEAD  LEAVING
	//          0      0        0     0
	//
	// REQUESTS  QUEUED  DISPATCHED  ANSWERED  NOT RUN  UNKNOWN
	//           0       0           0         0        0
	//
	// TARGETS    SERVICE  STATE   IN FLIGHT  SLOTS  FLOWS
	// chiosco-1  chiosco  Active  0          3      0
}
