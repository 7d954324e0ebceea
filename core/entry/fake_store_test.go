package entry

import (
	"maps"
	"slices"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/catalog"
	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/store"
)

// fakeStore is an in-memory store with injectable faults.
type fakeStore struct {
	revision  store.Revision
	entries   map[string]catalog.Entry
	config    route.Config
	history   []storeChange
	compacted store.Revision
	down      bool
	// delay is added to the time of a long poll's answer.
	delay time.Duration
	// resets says that calls fail at once while the store is down, rather than time out.
	resets  bool
	refused map[id.Instance]bool
	// maxChanges is the largest number of changes that an answer to a long poll may hold; zero means any.
	maxChanges int
	// silentReads holds the instances whose next read of the configuration gets no answer.
	silentReads map[id.Instance]bool
	calls       int
	// evacuatedAt is when the keys of the evacuated failure domains were written, and reopenedAt when the last key was
	// removed.
	evacuatedAt map[id.Domain]time.Duration
	reopenedAt  time.Duration
	// disruptedAt is the time of the last disruption, and configuredAt that of the last configuration change.
	disruptedAt  time.Duration
	configuredAt time.Duration
	waiters      []func()
}

// fakeCopy is the content of a fakeStore at one moment.
type fakeCopy struct {
	revision store.Revision
	entries  map[string]catalog.Entry
	config   route.Config
}

type storeChange struct {
	entry  catalog.Entry
	config *route.Config
}

func (cluster *cluster) reachesStore(node *node) bool {
	return !cluster.store.down && !cluster.store.refused[node.self.Name] && !cluster.partitioned(node.self.Domain, "")
}

// failRead fails a read after the call timeout, or at once if the store resets connections.
func (cluster *cluster) failRead(node *node) {
	delay := _callTimeout
	if cluster.store.resets {
		delay = _storeDelay
	}
	cluster.schedule(node, delay, func() Event { return ReadFailed{At: cluster.now} })
}

func (cluster *cluster) list(node *node) {
	cluster.store.calls++
	asked := cluster.now
	if !cluster.reachesStore(node) {
		cluster.failRead(node)
		return
	}
	listed := Listed{RequestedAt: asked, Revision: cluster.store.revision}
	for _, key := range slices.Sorted(maps.Keys(cluster.store.entries)) {
		listed.Entries = append(listed.Entries, cluster.store.entries[key])
	}
	if cluster.store.config.Version > 0 {
		listed.Config = node.decode(&cluster.store.config)
	}
	cluster.schedule(node, _storeDelay, func() Event {
		listed.At = cluster.now
		return listed
	})
}

func (cluster *cluster) follow(node *node, effect Follow) {
	cluster.store.calls++
	if !cluster.reachesStore(node) {
		cluster.failRead(node)
		return
	}
	if effect.After < cluster.store.compacted || effect.After > cluster.store.revision {
		cluster.schedule(node, _storeDelay, func() Event { return ReadFailed{At: cluster.now, HistoryLost: true} })
		return
	}
	asked, generation, answered := cluster.now, node.generation, false
	answer := func() {
		if answered || !node.alive || node.generation != generation {
			return
		}
		answered = true
		if !cluster.reachesStore(node) {
			cluster.failRead(node)
			return
		}
		if effect.After.Era() != cluster.store.revision.Era() {
			cluster.schedule(node, _storeDelay, func() Event { return ReadFailed{At: cluster.now, HistoryLost: true} })
			return
		}
		followed := Followed{RequestedAt: asked, After: effect.After, Revision: cluster.store.revision}
		for _, storeChange := range cluster.store.history {
			if storeChange.config != nil && storeChange.entry.Revision > effect.After {
				followed.Config = node.decode(storeChange.config)
				followed.Changes++
			} else if storeChange.entry.Revision > effect.After {
				followed.Entries = append(followed.Entries, storeChange.entry)
				followed.Changes++
			}
		}
		tooLarge := cluster.store.maxChanges > 0 && followed.Changes > cluster.store.maxChanges
		cluster.schedule(node, _storeDelay+cluster.store.delay, func() Event {
			if tooLarge {
				return ReadFailed{At: cluster.now, Unreadable: true}
			}
			followed.At = cluster.now
			return followed
		})
	}
	if effect.After < cluster.store.revision {
		answer()
		return
	}
	cluster.store.waiters = append(cluster.store.waiters, answer)
	cluster.after(effect.Wait, answer)
}

// write applies a change to the store and answers the waiting long polls.
func (cluster *cluster) write(key string, entry catalog.Entry, config *route.Config) {
	cluster.store.revision++
	entry.Revision = cluster.store.revision
	if config != nil {
		cluster.store.config = *config
		cluster.store.configuredAt = cluster.now
	} else {
		entry.Created = entry.Revision
		if known, ok := cluster.store.entries[key]; ok {
			entry.Created = known.Created
		}
		cluster.store.entries[key] = entry
		if entry.MissingServer != "" || entry.MissingInstance != "" || entry.Reopened != "" {
			delete(cluster.store.entries, key)
		}
	}
	cluster.store.history = append(cluster.store.history, storeChange{entry: entry, config: config})
	waiters := cluster.store.waiters
	cluster.store.waiters = nil
	for _, answer := range waiters {
		answer()
	}
}

func (cluster *cluster) configure(version route.Version) {
	cluster.configureRoute(version, time.Second)
}

// configureRoute writes a configuration with a route that has a timeout.
func (cluster *cluster) configureRoute(version route.Version, timeout time.Duration) {
	cluster.write("", catalog.Entry{}, &route.Config{
		Version: version, IdleTimeout: 15 * time.Second,
		Routes: []route.Route{{
			Endpoint: packet.Endpoint{Port: 443}, Kind: route.Idempotent, Timeout: timeout,
			Shares: []route.Share{{Service: "chiosco", Weight: 1}},
		}},
	})
}

// configureLarge writes a configuration with more changes than fit into a message.
func (cluster *cluster) configureLarge(version route.Version) {
	config := route.Config{Version: version, IdleTimeout: 15 * time.Second}
	for port := range uint16(_maxDeltaSize + 1) {
		config.Routes = append(config.Routes, route.Route{
			Endpoint: packet.Endpoint{Port: 443 + port}, Kind: route.Idempotent, Timeout: time.Duration(version) * time.Second,
			Shares: []route.Share{{Service: "chiosco", Weight: 1}},
		})
	}
	cluster.write("", catalog.Entry{}, &config)
}

// decode returns what the instance understands of a configuration.
func (node *node) decode(config *route.Config) *route.Config {
	decoded := *config
	if node.isEarlierVersion {
		for _, odd := range decoded.Routes {
			decoded.Unreadable.Routes = append(decoded.Unreadable.Routes, odd.Endpoint)
		}
		decoded.Routes, decoded.Incomplete = nil, true
	}
	return &decoded
}

// silenceConfigReads lets the next read of the configuration go unanswered at all instances but one.
func (cluster *cluster) silenceConfigReads(except *node) {
	for _, node := range cluster.orderedNodes() {
		cluster.store.silentReads[node.self.Name] = node != except
	}
}

func (cluster *cluster) readConfig(node *node, effect ReadConfig) {
	cluster.store.calls++
	silent := cluster.store.silentReads[node.self.Name]
	delete(cluster.store.silentReads, node.self.Name)
	if silent || !cluster.reachesStore(node) {
		cluster.schedule(node, _callTimeout, func() Event { return ConfigRead{At: cluster.now} })
		return
	}
	cluster.schedule(node, effect.Delay+_storeDelay, func() Event {
		return ConfigRead{At: cluster.now, Config: node.decode(&cluster.store.config)}
	})
}

func (cluster *cluster) register(node *node) {
	cluster.store.calls += 2
	if !cluster.reachesStore(node) {
		cluster.schedule(node, _callTimeout, func() Event { return RegisterFailed{At: cluster.now} })
		return
	}
	self := node.self
	// The lease has the number of the write, so that a restored store grants lost leases to others again.
	grant := store.Grant{
		Era: cluster.store.revision.Era(), Lease: store.Lease(cluster.store.revision.Number() + 1), TTL: 10 * time.Second,
	}
	cluster.write("instance/"+string(self.Name), catalog.Entry{Instance: &self, Lease: grant.Lease}, nil)
	cluster.schedule(node, _storeDelay, func() Event { return Registered{At: cluster.now, Grant: grant} })
}

func (cluster *cluster) renew(node *node, effect Renew) {
	if !cluster.reachesStore(node) {
		cluster.schedule(node, _callTimeout, func() Event { return RegisterFailed{At: cluster.now} })
		return
	}
	restored := effect.Grant.Era != cluster.store.revision.Era()
	cluster.schedule(node, _storeDelay, func() Event {
		if restored {
			return RegisterFailed{At: cluster.now}
		}
		return Registered{At: cluster.now, Grant: effect.Grant}
	})
}

func (cluster *cluster) copyStore() fakeCopy {
	return fakeCopy{
		revision: cluster.store.revision, entries: maps.Clone(cluster.store.entries), config: cluster.store.config,
	}
}

// restoreStore brings the store back from a copy, in a new era. The operator and the backend servers write again what
// is lost, in a random order within _rewriteTime.
func (cluster *cluster) restoreStore(copied fakeCopy) {
	lost, config := cluster.store.entries, cluster.store.config
	revision, err := store.NewRevision(cluster.store.revision.Era()+1, copied.revision.Number())
	cluster.c.Assert(err, qt.IsNil)
	cluster.store.revision, cluster.store.compacted = revision, revision
	cluster.store.entries, cluster.store.config = make(map[string]catalog.Entry), copied.config
	cluster.store.history = nil
	for key, entry := range copied.entries {
		entry.Revision, err = store.NewRevision(revision.Era(), entry.Revision.Number())
		cluster.c.Assert(err, qt.IsNil)
		entry.Created, err = store.NewRevision(revision.Era(), entry.Created.Number())
		cluster.c.Assert(err, qt.IsNil)
		cluster.store.entries[key] = entry
	}
	cluster.restoreEvacuations()
	cluster.store.disruptedAt = cluster.now
	pause := func() time.Duration { return time.Duration(cluster.random.Int64N(int64(_rewriteTime))) }
	if config.Version != copied.config.Version {
		cluster.after(pause(), func() {
			if config.Version > cluster.store.config.Version {
				cluster.write("", catalog.Entry{}, &config)
			}
		})
	}
	for _, server := range cluster.orderedServers() {
		key := "server/" + string(server.ID)
		_, registered := lost[key]
		_, restored := copied.entries[key]
		if registered || restored {
			cluster.after(pause(), func() { cluster.writeAgain(server) })
		}
	}
}

// writeAgain writes the registration of a server to a restored store, or removes that of a server that has ended.
func (cluster *cluster) writeAgain(server *backend) {
	entry, registered := cluster.store.entries["server/"+string(server.ID)]
	switch {
	case server.alive && (!registered || *entry.Server != server.Target):
		cluster.registerServer(server)
	case !server.alive && registered:
		cluster.lapseRegistration(server)
	}
}

// _rewriteTime is the time within which the operator and the servers write again what a restored store has lost.
const _rewriteTime = 2 * time.Second

// lapseRegistration ends the registration of a live server.
func (cluster *cluster) lapseRegistration(server *backend) {
	cluster.write("server/"+string(server.ID), catalog.Entry{MissingServer: server.ID}, nil)
}

func (cluster *cluster) setStoreDown(down bool) {
	cluster.store.down = down
	cluster.store.disruptedAt = cluster.now
}
