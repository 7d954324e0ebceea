package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/event"
	"azureshift/platform"
	"azureshift/standin/metastore"
)

// writeConfig writes a version of the configuration, as the operator does.
func writeConfig(store *metastore.Store, version int) {
	store.Put(platform.ConfigKey, fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","hostname":"198.18.0.1",
		"prefix":"/%d/","type":"idempotent","timeout_ms":1200,"slo_ms":200,"service":"chiosco"}],
		"services":[{"name":"chiosco","health_path":"/health"}],"limits":{"idle_timeout_ms":15000}}`,
		version, 1000+version), 0)
}

// TestConfigWrittenUnderAReusedRevision restores the store from a copy that is two changes old. The operator repeats
// the last configuration, and the next one gets the revision that the instance already knows.
func TestConfigWrittenUnderAReusedRevision(t *testing.T) {
	c := qt.New(t)
	store := metastore.New(metastore.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	config := newSettings(c)
	_, err := store.Serve(ctx, config.Store.Address.String(), "")
	c.Assert(err, qt.IsNil)
	var log logOutput
	writeConfig(store, 1)
	start(c, Config{Settings: config, Output: &log})
	inForce := func(version int) bool {
		lines := log.lines(c, event.ConfigApplied)
		return len(lines) > 0 && lines[len(lines)-1]["Version"] == float64(version)
	}
	eventually(c, func() bool { return inForce(1) && len(store.Keys(_instancePrefix)) == 1 })
	copied := store.Copy()
	writeConfig(store, 2)
	eventually(c, func() bool { return inForce(2) })
	writeConfig(store, 4)
	eventually(c, func() bool { return inForce(4) })
	store.SetFaults(metastore.Faults{Mode: metastore.Reset})
	time.Sleep(time.Second)
	store.Restore(copied)
	store.SetFaults(metastore.Faults{})
	writeConfig(store, 4)
	time.Sleep(2 * time.Second)
	writeConfig(store, 5)
	time.Sleep(config.Bounds.Convergence.Std())
	c.Assert(inForce(5), qt.IsTrue, qt.Commentf("configurations in force: %v", log.lines(c, event.ConfigApplied)))
}
