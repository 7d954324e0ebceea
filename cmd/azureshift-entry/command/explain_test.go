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
	"azureshift/core/steer"
	"azureshift/entry"
)

// TestExplain guards against a command that leaves out why, or that passes a wrong question on.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		c.Check(request.URL.Path, qt.Equals, entry.ExplainPath)
		c.Check(request.URL.Query().Get("Client"), qt.Equals, "100.64.0.7")
		_ = json.NewEncoder(writer).Encode(entry.Explanation{
			Instance: "morbegno-1", Domain: "morbegno", Version: 7, BackendService: "chiosco",
			Outcomes: []entry.Outcome{
				{Action: "Forward", Reason: "Offered", Samples: 12, Server: "i-1"},
				{Action: "Reset", Reason: "Overloaded", Samples: 4},
			},
			Domains:    []steer.Domain{{Domain: "morbegno", Servers: 5, Slow: 1, Utilisation: 0.5}},
			Excluded:   []entry.ExcludedServers{{Condition: entry.ServerEvacuated, Servers: 3}},
			AdmittedMs: 180, ExpectedMs: 200, RefusedShare: 0.25,
		})
	}))
	c.Cleanup(server.Close)
	from := strings.TrimPrefix(server.URL, "http://")
	run := func(args ...string) (int, string, string) {
		var stdout, stderr bytes.Buffer
		return Run(append([]string{"explain"}, args...), &stdout, &stderr), stdout.String(), stderr.String()
	}
	question := []string{"-from", from, "-client", "100.64.0.7", "-service", "198.18.0.1:443"}
	c.Run("prints decisions and causes", func(c *qt.C) {
		status, stdout, _ := run(question...)
		c.Assert(status, qt.Equals, cli.ExitOK)
		for _, part := range []string{
			"morbegno-1", "Offered", "Overloaded", "25 % of such flows are refused", "5 servers take new flows, of these 1 slow",
			"3 servers take no new flows: Evacuated",
		} {
			c.Check(stdout, qt.Contains, part)
		}
	})
	c.Run("prints JSON", func(c *qt.C) {
		_, stdout, _ := run(append(question, "-json")...)
		var explanation entry.Explanation
		c.Assert(json.Unmarshal([]byte(stdout), &explanation), qt.IsNil)
		c.Assert(explanation.Outcomes, qt.HasLen, 2)
	})
	c.Run("refuses a wrong client", func(c *qt.C) {
		status, _, stderr := run("-from", from, "-client", "here", "-service", "198.18.0.1:443")
		c.Assert(status, qt.Equals, cli.ExitUsage)
		c.Assert(stderr, qt.Contains, "write an IP address")
	})
	c.Run("fails if an instance cannot be read", func(c *qt.C) {
		status, _, stderr := run("-from", "127.0.0.1:1", "-client", "100.64.0.7", "-service", "198.18.0.1:443")
		c.Assert(status != cli.ExitOK, qt.IsTrue)
		c.Assert(stderr, qt.Contains, "check that it is the Metrics.Listen of an instance")
	})
}
