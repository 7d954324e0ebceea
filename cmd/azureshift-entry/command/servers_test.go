package command

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/cli"
	"azureshift/entry"
)

// startInstance serves the page of servers of an instance and returns its metrics address.
func startInstance(c *qt.C, page entry.ServersPage) string {
	c.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		c.Check(request.URL.Path, qt.Equals, entry.ServersPath)
		_ = json.NewEncoder(writer).Encode(page)
	}))
	c.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestServers(t *testing.T) {
	c := qt.New(t)
	first := startInstance(c, entry.ServersPage{Instance: "morbegno-1", Servers: []entry.ServerStatus{
		{Server: "i-slow", Service: "chiosco", Condition: entry.ServerSlow, ServiceTimeMs: 300, UsualMs: 40, Answers: 9},
		{Server: "i-usual", Service: "chiosco", Condition: entry.ServerUsable, ServiceTimeMs: 41, UsualMs: 40},
		{Server: "i-kept", Service: "chiosco", Condition: entry.ServerEvacuated, Reason: "OperatorRequest"},
	}})
	second := startInstance(c, entry.ServersPage{Instance: "tirano-1", Servers: []entry.ServerStatus{
		{Server: "i-slower", Service: "chiosco", Condition: entry.ServerSlow, ServiceTimeMs: 500, UsualMs: 40},
	}})
	run := func(args ...string) (int, string, string) {
		var stdout, stderr bytes.Buffer
		return Run(append([]string{"servers"}, args...), &stdout, &stderr), stdout.String(), stderr.String()
	}
	c.Run("prints the slowest servers of all instances first", func(c *qt.C) {
		status, stdout, _ := run("-from", first+","+second)
		c.Assert(status, qt.Equals, cli.ExitOK)
		lines := strings.Split(strings.TrimSpace(stdout), "\n")
		c.Assert(lines, qt.HasLen, 4)
		c.Assert(lines[1], qt.Matches, `i-slower .*Slow.* 12\.5 +500ms +40ms.*tirano-1`)
		c.Assert(lines[2], qt.Matches, `i-slow .*Slow.* 7\.5 +300ms +40ms.*morbegno-1`)
	})
	c.Run("prints evacuated servers", func(c *qt.C) {
		_, stdout, _ := run("-from", first)
		c.Assert(stdout, qt.Matches, `(?s).*i-kept .* Evacuated +OperatorRequest .*`)
	})
	c.Run("prints usable servers if asked to", func(c *qt.C) {
		_, stdout, _ := run("-from", first, "-all")
		c.Assert(stdout, qt.Contains, "i-usual")
	})
	c.Run("prints JSON", func(c *qt.C) {
		_, stdout, _ := run("-from", first, "-json")
		var page entry.ServersPage
		c.Assert(json.Unmarshal([]byte(stdout), &page), qt.IsNil)
		c.Assert(page.Servers, qt.HasLen, 3)
	})
	c.Run("prints what it can read and fails", func(c *qt.C) {
		status, stdout, stderr := run("-from", "127.0.0.1:1,"+first)
		c.Assert(status != cli.ExitOK, qt.IsTrue)
		c.Assert(stdout, qt.Contains, "i-slow")
		c.Assert(stderr, qt.Contains, "check that it is the Metrics.Listen of an instance")
	})
	c.Run("refuses a wrong address", func(c *qt.C) {
		status, _, stderr := run("-from", "morbegno")
		c.Assert(status, qt.Equals, cli.ExitUsage)
		c.Assert(stderr, qt.Contains, "write IP addresses and ports")
	})
}
