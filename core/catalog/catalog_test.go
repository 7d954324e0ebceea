package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/store"
	"azureshift/core/target"
)

func newCatalog() *Catalog {
	return New(Config{MaxFlowLife: time.Minute, MaxRecent: 4, MaxDeltas: 3, MaxDeltaSize: 2})
}

func server(name id.Target, state target.State, revision store.Revision) Entry {
	return Entry{Revision: revision, Server: &target.Target{ID: name, State: state}}
}

func removal(name id.Target, revision store.Revision) Entry {
	return Entry{Revision: revision, MissingServer: name}
}

func assertServer(c *qt.C, catalog *Catalog, name id.Target, state target.State, missing bool) {
	c.Helper()
	record, ok := catalog.Server(name)
	c.Assert(ok, qt.IsTrue)
	c.Assert(record.State.String(), qt.Equals, state.String())
	c.Assert(record.Missing, qt.Equals, missing)
}

func TestApplyChanges(t *testing.T) {
	c := qt.New(t)
	c.Run("applies changes once", func(c *qt.C) {
		catalog := newCatalog()
		changes := []Entry{server("i-1", target.StateReady, 5), server("i-1", target.StateDraining, 7)}
		changed, ok := catalog.ApplyChanges(Interval{}, 0, changes, 7)
		c.Assert(ok, qt.IsTrue)
		c.Assert(changed, qt.HasLen, 2)
		assertServer(c, catalog, "i-1", target.StateDraining, false)
		changed, ok = catalog.ApplyChanges(Interval{}, 0, changes, 7)
		c.Assert(ok, qt.IsTrue)
		c.Assert(changed, qt.HasLen, 0)
	})
	c.Run("rejects changes after a gap", func(c *qt.C) {
		catalog := newCatalog()
		_, ok := catalog.ApplyChanges(Interval{}, 5, []Entry{server("i-1", target.StateReady, 6)}, 6)
		c.Assert(ok, qt.IsFalse)
		c.Assert(catalog.Revision(), qt.Equals, store.Revision(0))
	})
	c.Run("ignores an older registration from a relay that is behind", func(c *qt.C) {
		catalog := newCatalog()
		catalog.ApplyChanges(Interval{}, 0,
			[]Entry{server("i-1", target.StateReady, 5), server("i-1", target.StateDraining, 7)}, 7)
		catalog.ApplyChanges(Interval{}, 0, []Entry{server("i-1", target.StateReady, 5)}, 8)
		assertServer(c, catalog, "i-1", target.StateDraining, false)
	})
	c.Run("retains a server without registration for its flows", func(c *qt.C) {
		catalog := newCatalog()
		catalog.ApplyChanges(Interval{}, 0, []Entry{server("i-1", target.StateReady, 5)}, 5)
		catalog.ApplyChanges(Interval{Now: time.Second}, 5, []Entry{removal("i-1", 6)}, 6)
		assertServer(c, catalog, "i-1", target.StateReady, true)
		c.Assert(catalog.RemoveExpired(time.Minute), qt.IsFalse)
		c.Assert(catalog.RemoveExpired(time.Second+time.Minute+1), qt.IsTrue)
		_, ok := catalog.Server("i-1")
		c.Assert(ok, qt.IsFalse)
	})
	c.Run("accepts a server that registers again under its old ID", func(c *qt.C) {
		catalog := newCatalog()
		catalog.ApplyChanges(Interval{}, 0, []Entry{server("i-1", target.StateReady, 5), removal("i-1", 6)}, 6)
		catalog.ApplyChanges(Interval{}, 6, []Entry{server("i-1", target.StateReady, 9)}, 9)
		assertServer(c, catalog, "i-1", target.StateReady, false)
	})
}

func TestApplyListing(t *testing.T) {
	c := qt.New(t)
	c.Run("finds changes that were not received", func(c *qt.C) {
		catalog := newCatalog()
		catalog.ApplyChanges(Interval{}, 0,
			[]Entry{server("i-1", target.StateReady, 5), server("i-2", target.StateReady, 6)}, 6)
		changed := catalog.ApplyListing(Interval{}, []Entry{server("i-2", target.StateDraining, 9)}, 9)
		c.Assert(changed, qt.HasLen, 2)
		assertServer(c, catalog, "i-1", target.StateReady, true)
		assertServer(c, catalog, "i-2", target.StateDraining, false)
	})
	c.Run("ignores an older listing", func(c *qt.C) {
		catalog := newCatalog()
		catalog.ApplyChanges(Interval{}, 0, []Entry{server("i-1", target.StateReady, 5)}, 5)
		c.Assert(catalog.ApplyListing(Interval{}, nil, 4), qt.HasLen, 0)
		assertServer(c, catalog, "i-1", target.StateReady, false)
	})
	c.Run("keeps a server that registered while the pages were read", func(c *qt.C) {
		catalog := newCatalog()
		catalog.ApplyListing(Interval{}, []Entry{server("i-1", target.StateReady, 12)}, 10)
		catalog.ApplyListing(Interval{}, nil, 11)
		assertServer(c, catalog, "i-1", target.StateReady, false)
	})
}

func TestChangesSince(t *testing.T) {
	c := qt.New(t)
	catalog := newCatalog()
	for revision := store.Revision(1); revision <= 6; revision++ {
		name := id.Target(fmt.Sprintf("i-%d", revision))
		catalog.ApplyChanges(Interval{}, revision-1, []Entry{server(name, target.StateReady, revision)}, revision)
	}
	c.Run("returns the last changes", func(c *qt.C) {
		entries, ok := catalog.ChangesSince(4)
		c.Assert(ok, qt.IsTrue)
		c.Assert(entries, qt.HasLen, 2)
	})
	c.Run("reports that changes are no longer retained", func(c *qt.C) {
		_, ok := catalog.ChangesSince(1)
		c.Assert(ok, qt.IsFalse)
	})
}

func TestApplyConfig(t *testing.T) {
	c := qt.New(t)
	catalog := newCatalog()
	c.Assert(catalog.ApplyConfig(route.Config{Version: 5}), qt.IsTrue)
	c.Assert(catalog.ApplyConfig(route.Config{Version: 4}), qt.IsFalse)
	c.Assert(catalog.ApplyConfig(route.Config{Version: 5}), qt.IsFalse)
	c.Assert(catalog.Routes().Version, qt.Equals, route.Version(5))
}

func TestDeltaSince(t *testing.T) {
	c := qt.New(t)
	config := func(version route.Version, routes uint16) route.Config {
		result := route.Config{Version: version}
		for port := range routes {
			result.Routes = append(result.Routes, route.Route{Endpoint: packet.Endpoint{Port: port}})
		}
		return result
	}
	catalog := newCatalog()
	for version := range route.Version(4) {
		catalog.ApplyConfig(config(2*version+1, uint16(version)))
	}
	c.Run("joins the deltas of several versions", func(c *qt.C) {
		delta, ok := catalog.DeltaSince(3)
		c.Assert(ok, qt.IsTrue)
		other := newCatalog()
		other.ApplyConfig(config(3, 1))
		c.Assert(other.ApplyDelta(delta), qt.IsTrue)
		c.Assert(other.Routes(), qt.DeepEquals, catalog.Routes())
	})
	c.Run("returns none from a version that was never in force", func(c *qt.C) {
		_, ok := catalog.DeltaSince(2)
		c.Assert(ok, qt.IsFalse)
	})
	c.Run("returns none after a change that is too large", func(c *qt.C) {
		catalog.ApplyConfig(config(20, 100))
		_, ok := catalog.DeltaSince(7)
		c.Assert(ok, qt.IsFalse)
	})
	c.Run("rejects a delta from another version", func(c *qt.C) {
		c.Assert(newCatalog().ApplyDelta(route.Delta{From: 5, To: 6}), qt.IsFalse)
	})
}

// TestIncompleteConfig guards against an instance that does not understand a part of a configuration and passes its
// version of that part on to instances that do, such as newer ones during a release.
func TestIncompleteConfig(t *testing.T) {
	c := qt.New(t)
	config := func(version route.Version, priority route.Priority) route.Config {
		return route.Config{Version: version, Routes: []route.Route{{Endpoint: packet.Endpoint{Port: 1}, Priority: priority}}}
	}
	incomplete := func(version route.Version) route.Config {
		return route.Config{
			Version: version, Incomplete: true,
			Unreadable: route.Unreadable{Routes: []packet.Endpoint{{Port: 1}}},
		}
	}
	behind := newCatalog()
	behind.ApplyConfig(config(4, 4))
	behind.ApplyConfig(incomplete(5))
	behind.ApplyConfig(incomplete(6))
	c.Run("keeps the part as it was", func(c *qt.C) {
		c.Assert(behind.Routes().Routes, qt.DeepEquals, config(4, 4).Routes)
	})
	c.Run("is not passed on as a delta", func(c *qt.C) {
		for _, version := range []route.Version{4, 5} {
			_, ok := behind.DeltaSince(version)
			c.Assert(ok, qt.IsFalse, qt.Commentf("version %d", version))
		}
	})
	c.Run("stays incomplete after a delta", func(c *qt.C) {
		updated := newCatalog()
		updated.ApplyConfig(incomplete(5))
		c.Assert(updated.ApplyDelta(route.Diff(config(5, 5), config(6, 5))), qt.IsTrue)
		c.Assert(updated.Routes().Incomplete, qt.IsTrue)
		_, ok := updated.DeltaSince(5)
		c.Assert(ok, qt.IsFalse)
	})
	c.Run("is replaced by the complete one of the same version, but not the reverse", func(c *qt.C) {
		c.Assert(behind.ApplyConfig(incomplete(6)), qt.IsFalse)
		c.Assert(behind.ApplyConfig(config(6, 6)), qt.IsTrue)
		c.Assert(behind.ApplyConfig(incomplete(6)), qt.IsFalse)
		c.Assert(behind.Routes(), qt.DeepEquals, config(6, 6))
	})
	c.Run("is followed by deltas again once it is complete", func(c *qt.C) {
		behind.ApplyConfig(config(7, 7))
		_, ok := behind.DeltaSince(6)
		c.Assert(ok, qt.IsTrue)
	})
}

// TestAnyOrder checks that a catalog which gets a history in overlapping parts ends like one that gets it at once.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 7), 1, 20).Draw(t, "steps")
		var history []Entry
		for index, step := range steps {
			name, revision := id.Target(fmt.Sprintf("i-%d", step%3)), store.Revision(index+1)
			switch step {
			case 0, 1, 2:
				history = append(history, server(name, target.StateReady, revision))
			case 3, 4, 5:
				history = append(history, removal(name, revision))
			case 6:
				history = append(history, evacuated("a", revision))
			case 7:
				history = append(history, reopened("a", revision))
			}
		}
		last := store.Revision(len(history))
		whole, parts := newCatalog(), newCatalog()
		whole.ApplyChanges(Interval{}, 0, history, last)
		for parts.Revision() < last {
			base := store.Revision(rapid.Uint64Range(0, uint64(parts.Revision())).Draw(t, "base"))
			end := store.Revision(rapid.Uint64Range(uint64(base), uint64(last)).Draw(t, "end"))
			parts.ApplyChanges(Interval{}, base, slices.Clone(history[base:end]), end)
		}
		if left, right := presentServers(whole), presentServers(parts); !slices.Equal(left, right) {
			t.Fatalf("whole history %v, parts %v", left, right)
		}
		if whole.Evacuated("a") != parts.Evacuated("a") {
			t.Fatalf("evacuated after the whole history: %t, after parts: %t", whole.Evacuated("a"), parts.Evacuated("a"))
		}
	})
}

func presentServers(catalog *Catalog) []id.Target {
	var names []id.Target
	for _, record := range catalog.Servers() {
		if !record.Missing {
			names = append(names, record.ID)
		}
	}
	return names
}

// TestRemovalThatIsKnownFromAListing passes a removal on that the instance itself has learned from a listing whose
// pages were not a snapshot.
func TestRemovalThatIsKnownFromAListing(t *testing.T) {
	c := qt.New(t)
	ahead, behind := New(Config{MaxRecent: 3}), New(Config{MaxRecent: 3})
	registered := Entry{Revision: 1, Server: &target.Target{ID: "i-a"}}
	removed := Entry{Revision: 3, MissingServer: "i-a"}
	for _, catalog := range []*Catalog{ahead, behind} {
		catalog.ApplyListing(Interval{}, []Entry{registered}, 1)
	}
	ahead.ApplyListing(Interval{}, []Entry{removed}, 2)
	behind.ApplyChanges(Interval{}, 1, nil, 2)
	ahead.ApplyChanges(Interval{}, 2, []Entry{removed}, 3)
	changes, ok := ahead.ChangesSince(2)
	c.Assert(ok, qt.IsTrue)
	behind.ApplyChanges(Interval{}, 2, changes, 3)
	record, ok := behind.Server("i-a")
	c.Assert(ok, qt.IsTrue)
	c.Assert(record.Missing, qt.IsTrue)
}
