package entry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/catalog"
	core "azureshift/core/entry"
	"azureshift/core/id"
	"azureshift/core/steer"
	"azureshift/event"
	"azureshift/platform"
	"azureshift/settings"
	"azureshift/standin/metastore"
)

// evacuationWorld is a running instance with one backend server in each of the failure domains a and b.
type evacuationWorld struct {
	daemon *Daemon
	store  *metastore.Store
	log    *logOutput
}

func startEvacuationWorld(c *qt.C) evacuationWorld {
	c.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	config := newSettings(c)
	config.Bounds.Evacuation = settings.Duration(5 * time.Second)
	store := metastore.New(metastore.Config{})
	_, err := store.Serve(ctx, config.Store.Address.String(), "")
	c.Assert(err, qt.IsNil)
	writeConfig(store, 1)
	for number, domain := range []string{"a", "b"} {
		store.Put(fmt.Sprintf("%si-%08x", platform.TargetPrefix, number+1), fmt.Appendf(nil,
			`{"service":"chiosco","address":"127.0.0.1:%d","zone":"%s","concurrency":1,"state":"ready"}`,
			freeAddress(c).Port(), domain), 0)
	}
	world := evacuationWorld{store: store, log: &logOutput{}}
	world.daemon = newDaemon(c, Config{Settings: config, Output: world.log})
	stopped := make(chan struct{})
	go func() {
		world.daemon.Run(ctx)
		close(stopped)
	}()
	c.Cleanup(func() {
		cancel()
		<-stopped
	})
	return world
}

// conditions returns the conditions of the backend servers by failure domain, with their reasons.
func (world evacuationWorld) conditions() map[id.Domain]string {
	conditions := make(map[id.Domain]string)
	for _, server := range world.daemon.serversPage().Servers {
		conditions[server.Domain] = string(server.Condition) + " " + server.Reason
	}
	return conditions
}

func (world evacuationWorld) assertConditions(c *qt.C, expected map[id.Domain]string) {
	c.Helper()
	eventually(c, func() bool { return fmt.Sprint(world.conditions()) == fmt.Sprint(expected) })
}

func (world evacuationWorld) assertMetric(c *qt.C, name, value string) {
	c.Helper()
	eventually(c, func() bool {
		recorder := httptest.NewRecorder()
		world.daemon.metrics.page.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, _metricsPath, nil))
		for line := range strings.Lines(recorder.Body.String()) {
			if strings.HasPrefix(line, name+"{") {
				return strings.HasSuffix(strings.TrimSpace(line), " "+value)
			}
		}
		return false
	})
}

// TestEvacuation guards against an operator's request that is not obeyed, or not shown, whatever its value is.
func TestEvacuation(t *testing.T) {
	c := qt.New(t)
	world := startEvacuationWorld(c)
	usable := map[id.Domain]string{"a": "Usable Registration", "b": "Usable Registration"}
	world.assertConditions(c, usable)
	world.assertMetric(c, "azureshift_evacuated_domains", "0")
	world.store.Put(platform.EvacuationPrefix+"b", bytes.Repeat([]byte("["), 1<<20), 0)
	c.Run("shows the condition of the servers", func(c *qt.C) {
		world.assertConditions(c, map[id.Domain]string{"a": "Usable Registration", "b": "Evacuated OperatorRequest"})
	})
	c.Run("is logged with its revision and the age of the state", func(c *qt.C) {
		lines := world.log.lines(c, event.DomainEvacuated)
		c.Assert(lines, qt.HasLen, 1)
		c.Assert(lines[0]["ServerDomain"], qt.Equals, "b")
		c.Assert(lines[0]["Cause"], qt.Equals, "OperatorRequest")
		c.Assert(lines[0]["Revision"], qt.IsNotNil)
		c.Assert(lines[0]["AgeMs"], qt.IsNotNil)
	})
	c.Run("counts as a gauge", func(c *qt.C) { world.assertMetric(c, "azureshift_evacuated_domains", "1") })
	world.store.Delete(platform.EvacuationPrefix + "b")
	c.Run("ends when the key is removed", func(c *qt.C) {
		world.assertConditions(c, usable)
		c.Assert(world.log.lines(c, event.DomainReopened), qt.HasLen, 1)
	})
}

// TestOddEvacuations guards against names of failure domains that cost much memory or keep the others from being read.
func TestOddEvacuations(t *testing.T) {
	c := qt.New(t)
	values := map[string][]byte{
		platform.EvacuationPrefix:                            nil,
		platform.EvacuationPrefix + strings.Repeat("a", 201): nil,
		platform.EvacuationPrefix + strings.Repeat("b", 1e6): nil,
		platform.EvacuationPrefix + "c":                      nil,
		"op/evacuated":                                       nil,
	}
	config := newSettings(c)
	config.Store.Address = serveValues(c, values)
	var logged logOutput
	daemon := newDaemon(c, Config{Settings: config})
	log, err := event.NewLogger(event.Config{Output: &logged, JSON: true})
	c.Assert(err, qt.IsNil)
	daemon.log = log
	listed, ok := daemon.list(context.Background(), daemon.store, core.List{Limits: readLimits()}).(core.Listed)
	c.Assert(ok, qt.IsTrue)
	c.Assert(listed.Entries, qt.HasLen, 1)
	c.Assert(listed.Entries[0], qt.Equals, catalog.Entry{Revision: listed.Entries[0].Revision, Evacuated: "c"})
	c.Assert(logged.lines(c, event.RegistrationUnreadable), qt.Not(qt.HasLen), 0)
	for line := range strings.Lines(logged.text.String()) {
		c.Assert(len(line) <= _maxLine, qt.IsTrue, qt.Commentf("%d bytes", len(line)))
	}
}

// TestConditionOfEvacuatedServers guards against an evacuation that hides from the operator that a server has failed.
func TestConditionOfEvacuatedServers(t *testing.T) {
	c := qt.New(t)
	for condition, expected := range map[steer.Condition]ServerCondition{
		steer.Usable: ServerEvacuated, steer.Leaving: ServerDraining, steer.Suspect: ServerSilent,
		steer.Unreachable: ServerSilent, steer.Dead: ServerDead,
	} {
		opinion := steer.Opinion{Server: &steer.Server{Condition: condition, Evacuated: true}, Slow: true}
		shown, _ := conditionOf(opinion)
		c.Assert(shown, qt.Equals, expected)
	}
}
