package cmd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/cmd"
	"azureshift/io/operator"
	"azureshift/standin/platform"
)

func TestEveryCommandReportsInvalidArguments(t *testing.T) {
	c := qt.New(t)
	truncated := filepath.Join(c.TempDir(), "truncated.json")
	c.Assert(os.WriteFile(truncated, []byte(`{"Slots": "many"`), 0o600), qt.IsNil)
	assertUsage := func(want string, args ...string) {
		c.Helper()
		status, stdout, stderr := run(args...)
		c.Check(status, qt.Equals, 2)
		c.Check(stdout, qt.Equals, "")
		c.Check(strings.Count(stderr, "\n"), qt.Equals, 1, qt.Commentf("%s", stderr))
		c.Check(stderr, qt.Contains, want)
	}
	assertUsage(`unknown command "serv"; use serve`, "serv")
	assertUsage("-speed", "demo", "-speed", "2")
	assertUsage(`unknown fault "flood"; use cut-domain`, "demo", "-fault", "flood")
	assertUsage("absent.json: no such file or directory; check the path", "serve", "-settings", "absent.json")
	assertUsage("unexpected end of JSON input; correct the JSON", "serve", "-settings", truncated)
	assertUsage("name one of platform", "standin")
	assertUsage(`unknown stand-in "router"; use platform`, "standin", "router")
	assertUsage("flag -settings is missing", "standin", "fabric")
	assertUsage("absent.json: no such file", "standin", "backend", "-settings", "absent.json")
	assertUsage("correct the JSON", "standin", "backend", "-settings", truncated)
	assertUsage(`unknown kind "letter"; use order`, "standin", "caller", "-service", "127.0.0.1:9", "-kind", "letter")
	assertUsage("give either -address or -platform", "status")
	assertUsage("an IP address and a port", "status", "-address", "localhost")
	assertUsage("is not an HTTP URL", "status", "-platform", "nowhere")
	assertUsage(`unknown experiment "balance"; use placement`, "experiment", "balance")
	assertUsage("-scale 2 must be above 0", "experiment", "placement", "-scale", "2")
	assertUsage("-largest 3 is below", "experiment", "membership", "-largest", "3")
	assertUsage("unexpected", "version", "now")
}

func TestStatusShowsEachInstance(t *testing.T) {
	c := qt.New(t)
	address := serveStatus(c)
	status, stdout, _ := run("status", "-address", address, "-address", address)
	c.Assert(status, qt.Equals, 0)
	c.Assert(strings.Count(stdout, "morbegno-1"), qt.Equals, 2)
	status, stdout, stderr := run("status", "-json", "-address", "127.0.0.1:1", "-address", address)
	c.Assert(status, qt.Equals, 1)
	c.Assert(stderr, qt.Contains, "1 of 2 instances could not be read")
	var shown operator.Status
	c.Assert(json.Unmarshal([]byte(stdout), &shown), qt.IsNil)
	c.Assert(string(shown.Instance), qt.Equals, "morbegno-1")
}

func TestStatusWithoutInstancesFails(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(platform.New())
	c.Cleanup(server.Close)
	status, _, stderr := run("status", "-platform", server.URL)
	c.Assert(status, qt.Equals, 1)
	c.Assert(stderr, qt.Contains, "lists no instance; check the address, or use -address")
}

func TestVersionIncludesGoVersion(t *testing.T) {
	c := qt.New(t)
	status, stdout, _ := run("version")
	c.Assert(status, qt.Equals, 0)
	c.Assert(stdout, qt.Matches, `azureshift .*, revision .*, go1\..*\n`)
}

func TestExperimentPrintsATable(t *testing.T) {
	c := qt.New(t)
	status, stdout, stderr := run("experiment", "membership", "-largest", "16", "-seed", "3")
	c.Assert(status, qt.Equals, 0, qt.Commentf("%s", stderr))
	c.Assert(stdout, qt.Contains, "seed 3")
	c.Assert(stdout, qt.Contains, "false deaths")
}

// stubSource is a status source that reports only an instance name.
type stubSource struct{}

func (stubSource) Status() operator.Status     { return operator.Status{Instance: "morbegno-1"} }
func (stubSource) Live() bool                  { return true }
func (stubSource) NotReady() []operator.Reason { return nil }

func serveStatus(c *qt.C) string {
	server, err := operator.New(operator.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Source: stubSource{}})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-served, qt.IsNil)
	})
	return server.Address().String()
}

func run(args ...string) (status int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	status = cmd.Run(args, &out, &errOut)
	return status, out.String(), errOut.String()
}
