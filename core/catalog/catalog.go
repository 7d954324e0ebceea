// Package catalog is an instance's local copy of the platform's store: the registrations of backend servers and entry
// instances, the operator's configuration and the evacuations of failure domains, with the revisions that they are
// from.
package catalog

import (
	"cmp"
	"slices"
	"time"

	"azureshift/core/id"
	"azureshift/core/route"
	"azureshift/core/store"
	"azureshift/core/target"
)

// Entry is one change of a registration or an evacuation. One of Server, MissingServer, Instance, MissingInstance,
// Evacuated and Reopened is set.
type Entry struct {
	Revision store.Revision `cbor:"1,keyasint"`
	// Server is the new registration of a backend server, and Created the revision at which it registered first.
	Server  *target.Target `cbor:"2,keyasint,omitempty"`
	Created store.Revision `cbor:"7,keyasint,omitempty"`
	// MissingServer names a backend server without a usable registration.
	MissingServer id.Target `cbor:"3,keyasint,omitempty"`
	// Instance is the new registration of an entry instance, and Lease the lease that it was written under.
	Instance *Instance   `cbor:"4,keyasint,omitempty"`
	Lease    store.Lease `cbor:"6,keyasint,omitempty"`
	// MissingInstance names an entry instance without a registration.
	MissingInstance id.Instance `cbor:"5,keyasint,omitempty"`
	// Evacuated names a failure domain whose backend servers get no new flows at the operator's request, and Reopened one
	// for which the operator has withdrawn that request.
	Evacuated id.Domain `cbor:"8,keyasint,omitempty"`
	Reopened  id.Domain `cbor:"9,keyasint,omitempty"`
	// Age is how long ago the sender of a view learned of the withdrawal that Reopened names. It is zero elsewhere.
	Age time.Duration `cbor:"10,keyasint,omitempty"`
}

// Record is the last known registration of a backend server and whether it still exists.
type Record struct {
	target.Target
	Revision store.Revision
	// Created is the revision at which this run of the server registered first, as far as that is known.
	Created store.Revision
	// LearnedAt is when the registration was learned; SlowStartLeft counts from then on.
	LearnedAt time.Duration
	// Missing is set if there is no usable registration any more. This was learned at MissingSince; at LastPresent the
	// registration was last known to exist.
	Missing      bool
	MissingSince time.Duration
	LastPresent  time.Duration
}

// confirm reports whether an entry of a later era than the record tells nothing new: it equals the known registration,
// or it is from a backup of the store and older than the server's announcement that it leaves, which is final for a run
// of a server. It gives the record the revision of the entry.
func (record *Record) confirm(entry Entry) bool {
	if entry.Revision.Era() == record.Revision.Era() {
		return false
	}
	sameRun := record.StartTime != 0 && record.StartTime == entry.Server.StartTime
	left := sameRun && record.State.Leaving() && !entry.Server.State.Leaving()
	unchanged := !record.Missing && record.Target == *entry.Server
	if left || unchanged {
		record.Revision = entry.Revision
	}
	return left || unchanged
}

// sameRun reports whether a registration is of the run of the server that the record is of, as far as can be told.
func (record *Record) sameRun(registered *target.Target) bool {
	return record.StartTime == registered.StartTime && record.Address == registered.Address
}

// Interval is the time in which changes happened: between LastConfirmed, when the catalog was last confirmed
// to be up to date, and Now.
type Interval struct {
	Now           time.Duration
	LastConfirmed time.Duration
}

// Config limits what a catalog retains.
type Config struct {
	// MaxFlowLife is the maximum duration of a flow, and so the time for which a server without a registration is
	// retained.
	MaxFlowLife time.Duration
	// MaxRecent is the number of changes that are retained for instances that lag behind.
	MaxRecent int
	// MaxDeltas is the number of changes of the configuration that are retained for other instances, and MaxDeltaSize the
	// maximum number of routes in one of them.
	MaxDeltas    int
	MaxDeltaSize int
}

// Catalog holds the copy. It is not safe for concurrent use.
type Catalog struct {
	config Config

	servers map[id.Target]*Record
	// sorted holds the servers by name, or nil if it has to be rebuilt.
	sorted    []*Record
	instances map[id.Instance]instanceRecord
	// evacuations holds the requested and, for a while, the withdrawn evacuations. requested is the number of the former.
	evacuations map[id.Domain]Evacuation
	requested   int

	routes   route.Config
	deltas   []route.Delta
	revision store.Revision
	// recent holds the last changes in ascending order of revisions: all of those after recentBase.
	recent     []Entry
	recentBase store.Revision
}

// instanceRecord is the last known registration of an entry instance and whether it still exists.
type instanceRecord struct {
	Instance
	lease    store.Lease
	revision store.Revision
	missing  bool
}

// New returns an empty catalog.
func New(config Config) *Catalog {
	return &Catalog{
		config:      config,
		servers:     make(map[id.Target]*Record),
		instances:   make(map[id.Instance]instanceRecord),
		evacuations: make(map[id.Domain]Evacuation),
	}
}

// Revision returns the store's revision up to which the catalog holds all registrations. It does not cover the
// configuration.
func (catalog *Catalog) Revision() store.Revision {
	return catalog.revision
}

// Routes returns the configuration in force; its version is zero if none is known.
func (catalog *Catalog) Routes() route.Config {
	return catalog.routes
}

// ApplyConfig puts a configuration in force and reports whether it did: it has to be newer than the one in force, or
// the complete one of the same version. Parts of it that could not be understood stay as they are.
func (catalog *Catalog) ApplyConfig(config route.Config) bool {
	completes := config.Version == catalog.routes.Version && catalog.routes.Incomplete && !config.Incomplete
	if config.Version <= catalog.routes.Version && !completes {
		return false
	}
	config = config.KeepUnreadable(catalog.routes)
	catalog.putInForce(config, route.Diff(catalog.routes, config))
	return true
}

// putInForce replaces the configuration in force, and retains the delta to the new one for other instances. A delta
// from or to an incomplete configuration is not retained: other instances may understand what this one does not, and
// would not read it from the store once they have the version.
func (catalog *Catalog) putInForce(config route.Config, delta route.Delta) {
	if catalog.routes.Version == 0 || catalog.routes.Incomplete || config.Incomplete {
		catalog.deltas = nil
	} else {
		catalog.keepDelta(delta)
	}
	catalog.routes = config
}

// ApplyDelta applies a delta to the configuration in force. It reports whether it did: the delta has to begin at the
// version in force and lead to a newer one. A configuration that was incomplete stays so, as the delta may lack what
// was not understood.
func (catalog *Catalog) ApplyDelta(delta route.Delta) bool {
	config, ok := delta.Apply(catalog.routes)
	if !ok || config.Version <= catalog.routes.Version {
		return false
	}
	catalog.putInForce(config, delta)
	return true
}

// keepDelta retains a delta for other instances. One that is too large ends the chain, so all earlier ones go too.
func (catalog *Catalog) keepDelta(delta route.Delta) {
	if delta.Size() > catalog.config.MaxDeltaSize {
		catalog.deltas = nil
		return
	}
	catalog.deltas = append(catalog.deltas, delta)
	if excess := len(catalog.deltas) - catalog.config.MaxDeltas; excess > 0 {
		catalog.deltas = slices.Clone(catalog.deltas[excess:])
	}
}

// DeltaSince returns the difference between a version and the configuration in force, and false if it is not retained
// or too large.
func (catalog *Catalog) DeltaSince(version route.Version) (route.Delta, bool) {
	var joined route.Delta
	found := false
	for _, delta := range catalog.deltas {
		switch {
		case delta.From == version:
			joined, found = delta, true
		case found:
			joined, found = joined.Compose(delta)
		}
	}
	return joined, found && joined.Size() <= catalog.config.MaxDeltaSize
}

// ApplyListing applies a complete listing as of a revision: registrations and evacuations that it lacks no longer
// exist. It returns the changes.
func (catalog *Catalog) ApplyListing(interval Interval, entries []Entry, revision store.Revision) []Entry {
	if revision < catalog.revision {
		return nil
	}
	listedServers := make(map[id.Target]bool)
	listedInstances := make(map[id.Instance]bool)
	for _, entry := range entries {
		if entry.Server != nil {
			listedServers[entry.Server.ID] = true
		}
		if entry.Instance != nil {
			listedInstances[entry.Instance.Name] = true
		}
	}
	for name, record := range catalog.servers {
		if !listedServers[name] && !record.Missing && record.Revision <= revision {
			entries = append(entries, Entry{Revision: revision, MissingServer: name})
		}
	}
	for name, instance := range catalog.instances {
		if !listedInstances[name] && !instance.missing && instance.revision <= revision {
			entries = append(entries, Entry{Revision: revision, MissingInstance: name})
		}
	}
	entries = append(entries, catalog.withdrawnBy(entries, revision)...)
	changed := catalog.apply(interval, entries)
	catalog.recent = nil
	catalog.revision, catalog.recentBase = revision, revision
	return changed
}

// ApplyChanges applies the changes after base up to and including revision. It returns those that were new to the
// catalog, and false if it lacks changes before base.
func (catalog *Catalog) ApplyChanges(interval Interval, base store.Revision, entries []Entry, revision store.Revision) (
	[]Entry, bool,
) {
	if base > catalog.revision {
		return nil, false
	}
	if revision <= catalog.revision {
		return nil, true
	}
	changed := catalog.apply(interval, entries)
	// Other instances may lack what this one has learned from a listing.
	for _, entry := range entries {
		if entry.Revision > catalog.revision {
			catalog.recent = append(catalog.recent, entry)
		}
	}
	if excess := len(catalog.recent) - catalog.config.MaxRecent; excess > 0 {
		catalog.recentBase = catalog.recent[excess-1].Revision
		catalog.recent = slices.Clone(catalog.recent[excess:])
	}
	catalog.revision = revision
	return changed, true
}

// ChangesSince returns the changes after a revision, and false if they are no longer retained.
func (catalog *Catalog) ChangesSince(base store.Revision) ([]Entry, bool) {
	if base < catalog.recentBase {
		return nil, false
	}
	for index, entry := range catalog.recent {
		if entry.Revision > base {
			return catalog.recent[index:], true
		}
	}
	return nil, true
}

// Entries returns all existing registrations, and all evacuations with those withdrawn recently, sorted by name, for an
// instance with an empty catalog.
func (catalog *Catalog) Entries(now time.Duration) []Entry {
	var entries []Entry
	for _, record := range catalog.Servers() {
		if !record.Missing {
			server := record.Target
			entries = append(entries, Entry{Revision: record.Revision, Server: &server, Created: record.Created})
		}
	}
	for _, name := range sortedKeys(catalog.instances) {
		if instance := catalog.instances[name]; !instance.missing {
			entries = append(entries, Entry{
				Revision: instance.revision, Instance: &instance.Instance, Lease: instance.lease,
			})
		}
	}
	return append(entries, catalog.evacuationEntries(now)...)
}

// Servers returns the backend servers that are registered or retained, sorted by name. The caller must not change
// the slice.
func (catalog *Catalog) Servers() []*Record {
	if catalog.sorted == nil {
		catalog.sorted = make([]*Record, 0, len(catalog.servers))
		for _, record := range catalog.servers {
			catalog.sorted = append(catalog.sorted, record)
		}
		slices.SortFunc(catalog.sorted, func(left, right *Record) int { return cmp.Compare(left.ID, right.ID) })
	}
	return catalog.sorted
}

// Server returns the record of a backend server.
func (catalog *Catalog) Server(name id.Target) (*Record, bool) {
	record, ok := catalog.servers[name]
	return record, ok
}

// RemoveExpired removes servers whose registration has been missing for longer than a flow may last, instances without
// a registration, and evacuations withdrawn longer ago than a flow may last. It reports whether it removed a server.
func (catalog *Catalog) RemoveExpired(now time.Duration) bool {
	catalog.forgetWithdrawn(now)
	removed := false
	for name, record := range catalog.servers {
		if record.Missing && now-record.MissingSince > catalog.config.MaxFlowLife {
			delete(catalog.servers, name)
			catalog.sorted = nil
			removed = true
		}
	}
	for name, instance := range catalog.instances {
		if instance.missing {
			delete(catalog.instances, name)
		}
	}
	return removed
}

// apply applies the entries that are newer than the catalog and returns them.
func (catalog *Catalog) apply(interval Interval, entries []Entry) []Entry {
	var changed []Entry
	for _, entry := range entries {
		if catalog.applyEntry(interval, entry) {
			changed = append(changed, entry)
		}
	}
	return changed
}

// applyEntry applies one entry and reports whether it was newer than the catalog.
func (catalog *Catalog) applyEntry(interval Interval, entry Entry) bool {
	switch {
	case entry.Server != nil:
		known, ok := catalog.servers[entry.Server.ID]
		if ok && (known.Revision >= entry.Revision || known.confirm(entry)) {
			return false
		}
		record := &Record{
			Target: *entry.Server, Revision: entry.Revision, Created: entry.Created, LearnedAt: interval.Now,
		}
		if ok && known.sameRun(entry.Server) {
			// The registration may have lapsed with the store.
			record.Created = min(record.Created, known.Created)
		}
		catalog.servers[entry.Server.ID] = record
		catalog.sorted = nil
	case entry.MissingServer != "":
		known, ok := catalog.servers[entry.MissingServer]
		if !ok || known.Missing || known.Revision > entry.Revision {
			return false
		}
		known.Missing, known.Revision = true, entry.Revision
		known.MissingSince, known.LastPresent = interval.Now, interval.LastConfirmed
	case entry.Instance != nil:
		known, ok := catalog.instances[entry.Instance.Name]
		if ok && known.revision >= entry.Revision {
			return false
		}
		registered := instanceRecord{Instance: *entry.Instance, lease: entry.Lease, revision: entry.Revision}
		catalog.instances[entry.Instance.Name] = registered
		known.revision = entry.Revision
		return known != registered
	case entry.MissingInstance != "":
		known, ok := catalog.instances[entry.MissingInstance]
		if !ok || known.missing || known.revision > entry.Revision {
			return false
		}
		known.missing, known.revision = true, entry.Revision
		catalog.instances[entry.MissingInstance] = known
	case entry.Evacuated != "":
		return catalog.evacuate(interval, entry.Evacuated, entry.Revision)
	case entry.Reopened != "":
		return catalog.reopen(interval, entry)
	default:
		// An instance of another version may have dropped a field that it does not know.
		return false
	}
	return true
}

func sortedKeys[V any](values map[id.Instance]V) []id.Instance {
	keys := make([]id.Instance, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
