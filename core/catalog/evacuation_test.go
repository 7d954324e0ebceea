package catalog

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/core/store"
	"azureshift/core/target"
	"azureshift/standin/budget"
)

func evacuated(domain id.Domain, revision store.Revision) Entry {
	return Entry{Revision: revision, Evacuated: domain}
}

func reopened(domain id.Domain, revision store.Revision) Entry {
	return Entry{Revision: revision, Reopened: domain}
}

// inEra returns the revision with a number in an era.
func inEra(c *qt.C, era store.Era, number uint64) store.Revision {
	c.Helper()
	revision, err := store.NewRevision(era, number)
	c.Assert(err, qt.IsNil)
	return revision
}

func assertEvacuated(c *qt.C, catalog *Catalog, domains ...id.Domain) {
	c.Helper()
	requested := catalog.Evacuations()
	held := make([]id.Domain, 0, len(requested))
	for _, evacuation := range requested {
		held = append(held, evacuation.Domain)
		c.Assert(catalog.Evacuated(evacuation.Domain), qt.IsTrue)
	}
	c.Assert(held, qt.DeepEquals, append([]id.Domain{}, domains...))
}

// TestEvacuations guards against an evacuation that is lost, or stays, although the store's content says otherwise.
func TestEvacuations(t *testing.T) {
	c := qt.New(t)
	c.Run("apply until they are withdrawn", func(c *qt.C) {
		catalog := newCatalog()
		changed, _ := catalog.ApplyChanges(Interval{}, 0, []Entry{evacuated("a", 1), evacuated("b", 2)}, 2)
		c.Assert(changed, qt.HasLen, 2)
		assertEvacuated(c, catalog, "a", "b")
		changed, _ = catalog.ApplyChanges(Interval{}, 2, []Entry{reopened("a", 3)}, 3)
		c.Assert(changed, qt.HasLen, 1)
		assertEvacuated(c, catalog, "b")
	})
	c.Run("are withdrawn by a listing that lacks them", func(c *qt.C) {
		catalog := newCatalog()
		catalog.ApplyListing(Interval{}, []Entry{evacuated("a", 1), evacuated("b", 2), evacuated("c", 9)}, 5)
		changed := catalog.ApplyListing(Interval{}, []Entry{evacuated("b", 2)}, 8)
		c.Assert(changed, qt.DeepEquals, []Entry{reopened("a", 8)})
		// A page that was read late showed c as of a later revision.
		assertEvacuated(c, catalog, "b", "c")
	})
	c.Run("are no news if the operator writes the key again", func(c *qt.C) {
		catalog := newCatalog()
		catalog.ApplyChanges(Interval{}, 0, []Entry{evacuated("a", 1)}, 1)
		changed, _ := catalog.ApplyChanges(Interval{}, 1, []Entry{evacuated("a", 2)}, 2)
		c.Assert(changed, qt.HasLen, 0)
		c.Assert(catalog.ApplyListing(Interval{}, []Entry{evacuated("a", 2)}, 3), qt.HasLen, 0)
		assertEvacuated(c, catalog, "a")
	})
	c.Run("are not brought back by a message that is late", func(c *qt.C) {
		catalog := newCatalog()
		catalog.ApplyChanges(Interval{}, 0, []Entry{evacuated("a", 1), reopened("a", 2)}, 2)
		changed, _ := catalog.ApplyChanges(Interval{}, 0, []Entry{evacuated("a", 1)}, 3)
		c.Assert(changed, qt.HasLen, 0)
		assertEvacuated(c, catalog)
	})
	c.Run("reach an instance with an empty catalog", func(c *qt.C) {
		catalog, started := newCatalog(), newCatalog()
		catalog.ApplyChanges(Interval{}, 0, []Entry{evacuated("b", 1), evacuated("a", 2), reopened("b", 3)}, 3)
		started.ApplyListing(Interval{}, catalog.Entries(0), catalog.Revision())
		assertEvacuated(c, started, "a")
	})
	c.Run("are not seen in entries whose fields an older instance has dropped", func(c *qt.C) {
		changed, ok := newCatalog().ApplyChanges(Interval{}, 0, []Entry{{Revision: 1}}, 1)
		c.Assert(ok, qt.IsTrue)
		c.Assert(changed, qt.HasLen, 0)
	})
	c.Run("follow a restored store", func(c *qt.C) {
		catalog := newCatalog()
		catalog.ApplyListing(Interval{}, []Entry{
			evacuated("a", inEra(c, 1, 3)), evacuated("b", inEra(c, 1, 5)),
		}, inEra(c, 1, 6))
		catalog.ApplyChanges(Interval{}, catalog.Revision(), []Entry{reopened("a", inEra(c, 1, 7))}, inEra(c, 1, 7))
		// The copy has a and not yet b.
		changed := catalog.ApplyListing(Interval{}, []Entry{evacuated("a", inEra(c, 2, 3))}, inEra(c, 2, 4))
		c.Assert(changed, qt.DeepEquals, []Entry{evacuated("a", inEra(c, 2, 3)), reopened("b", inEra(c, 2, 4))})
		assertEvacuated(c, catalog, "a")
	})
}

// TestReopened guards against servers that count as warm too early: those of a failure domain are cold for some time
// after its evacuation was withdrawn.
func TestReopened(t *testing.T) {
	c := qt.New(t)
	at := func(now time.Duration) Interval { return Interval{Now: now} }
	catalog := newCatalog()
	assertReopened := func(c *qt.C, since time.Duration, known bool) {
		c.Helper()
		reopenedAt, ok := catalog.Reopened("a")
		c.Assert(ok, qt.Equals, known)
		if ok {
			c.Assert(reopenedAt, qt.Equals, since)
		}
	}
	c.Run("is unknown of a failure domain that was not evacuated", func(c *qt.C) { assertReopened(c, 0, false) })
	catalog.ApplyChanges(at(time.Second), 0, []Entry{evacuated("a", 1)}, 1)
	c.Run("is unknown while the failure domain is evacuated", func(c *qt.C) { assertReopened(c, 0, false) })
	catalog.ApplyChanges(at(2*time.Second), 1, []Entry{reopened("a", 2)}, 2)
	catalog.ApplyChanges(at(3*time.Second), 2, []Entry{reopened("a", 3)}, 3)
	c.Run("is when the withdrawal was first learned", func(c *qt.C) { assertReopened(c, 2*time.Second, true) })
	c.Run("is forgotten after the longest flow", func(c *qt.C) {
		catalog.RemoveExpired(2*time.Second + time.Minute)
		assertReopened(c, 2*time.Second, true)
		catalog.RemoveExpired(2*time.Second + time.Minute + 1)
		assertReopened(c, 0, false)
	})
}

// TestReopenedInViews guards against an instance that starts, or was out of touch, shortly after the withdrawal of an
// evacuation and takes the servers of the failure domain to be warm.
func TestReopenedInViews(t *testing.T) {
	c := qt.New(t)
	// The clocks of instances differ.
	const clockStep = time.Hour
	informed, other := newCatalog(), newCatalog()
	show := func() {
		other.ApplyListing(Interval{Now: clockStep + 8*time.Second}, informed.Entries(8*time.Second), informed.Revision())
	}
	assertReopened := func(c *qt.C, since time.Duration) {
		c.Helper()
		reopenedAt, ok := other.Reopened("a")
		c.Assert(ok, qt.IsTrue)
		c.Assert(reopenedAt, qt.Equals, since)
	}
	informed.ApplyChanges(Interval{Now: time.Second}, 0, []Entry{evacuated("a", 1)}, 1)
	informed.ApplyChanges(Interval{Now: 5 * time.Second}, 1, []Entry{reopened("a", 2)}, 2)
	c.Run("of an instance that did not know of the evacuation", func(c *qt.C) {
		show()
		assertEvacuated(c, other)
		assertReopened(c, clockStep+5*time.Second)
	})
	c.Run("of an instance that knows of an earlier one", func(c *qt.C) {
		informed.ApplyChanges(Interval{Now: 6 * time.Second}, 2, []Entry{evacuated("a", 3)}, 3)
		informed.ApplyChanges(Interval{Now: 7 * time.Second}, 3, []Entry{reopened("a", 4)}, 4)
		show()
		assertReopened(c, clockStep+7*time.Second)
	})
	c.Run("among changes, some of which are from before a listing", func(c *qt.C) {
		other = newCatalog()
		other.ApplyListing(Interval{Now: clockStep}, nil, 3)
		other.ApplyChanges(Interval{Now: clockStep + time.Second}, 3, []Entry{reopened("a", 4)}, 4)
		assertReopened(c, clockStep+time.Second)
	})
}

// TestManyEvacuations guards against keys that anyone may write, for failure domains that have no servers, using up the
// memory of an instance, or its processor time whenever a table is built.
func TestManyEvacuations(t *testing.T) {
	c := qt.New(t)
	const count = 20_000
	name := func(number int) id.Domain { return id.Domain(fmt.Sprintf("%0200d", number)) }
	c.Run("withdrawn ones are forgotten, but not of failure domains with servers", func(c *qt.C) {
		catalog := newCatalog()
		registered := server("i-1", target.StateReady, 1)
		registered.Server.Domain = "a"
		catalog.ApplyListing(Interval{}, []Entry{registered, evacuated("a", 2)}, 2)
		catalog.ApplyChanges(Interval{Now: 1}, 2, []Entry{reopened("a", 3)}, 3)
		for number := range count {
			base := catalog.Revision()
			changes := []Entry{evacuated(name(number), base+1), reopened(name(number), base+2)}
			catalog.ApplyChanges(Interval{Now: time.Duration(number)}, base, changes, base+2)
		}
		catalog.RemoveExpired(count)
		c.Assert(len(catalog.evacuations) <= _maxWithdrawn+1, qt.IsTrue, qt.Commentf("%d", len(catalog.evacuations)))
		for _, domain := range []id.Domain{"a", name(count - 1)} {
			_, ok := catalog.Reopened(domain)
			c.Assert(ok, qt.IsTrue, qt.Commentf("%s", domain))
		}
	})
	c.Run("requested ones are counted at no cost", func(c *qt.C) {
		catalog := newCatalog()
		entries := make([]Entry, 0, count)
		for number := range count {
			entries = append(entries, evacuated(name(number), store.Revision(number+1)))
		}
		catalog.ApplyListing(Interval{}, entries, count)
		catalog.ApplyChanges(Interval{}, count, []Entry{reopened(name(0), count+1), evacuated(name(1), count+2)}, count+2)
		catalog.ApplyChanges(Interval{}, count+2, []Entry{reopened("a", count+3)}, count+3)
		c.Assert(catalog.CountEvacuations(), qt.Equals, len(catalog.Evacuations()))
		const tables = 1000
		budget.AssertCheap(c, func() {
			for range tables {
				catalog.CountEvacuations()
			}
		})
	})
}
