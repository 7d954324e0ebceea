package catalog

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/core/route"
	"azureshift/core/store"
	"azureshift/core/target"
)

// change is one change in the history of a small store: a server registers or its registration is removed.
type change struct {
	revision   store.Revision
	server     id.Target
	registered bool
}

// _history has two servers, one of which is removed and registers again. Revision 5 is a change of the configuration.
var _history = []change{
	{1, "i-a", true},
	{2, "i-b", true},
	{3, "i-a", false},
	{4, "i-a", true},
	{6, "i-b", false},
}

// _lastRevision is the last revision of the history.
const _lastRevision = store.Revision(6)

// registrationAt returns the revision of a server's registration as of a revision of the store, or zero if there is
// none.
func registrationAt(server id.Target, at store.Revision) store.Revision {
	revision := store.Revision(0)
	for _, change := range _history {
		if change.server != server || change.revision > at {
			continue
		}
		revision = 0
		if change.registered {
			revision = change.revision
		}
	}
	return revision
}

func readyEntry(server id.Target, revision store.Revision) Entry {
	return Entry{Revision: revision, Server: &target.Target{ID: server, State: target.StateReady}}
}

// message is a listing, a range of changes or a configuration, as an instance gets it from the store or another
// instance.
type message struct {
	name    string
	deliver func(catalog *Catalog)
}

// listing returns a complete listing as of a revision. Its pages are read one after the other, each with one server as
// of the same or a later revision.
func listing(asOf, first, second store.Revision) message {
	name := fmt.Sprintf("listing of %d with pages of %d and %d", asOf, first, second)
	return message{name, func(catalog *Catalog) {
		var entries []Entry
		if revision := registrationAt("i-a", first); revision > 0 {
			entries = append(entries, readyEntry("i-a", revision))
		}
		if revision := registrationAt("i-b", second); revision > 0 {
			entries = append(entries, readyEntry("i-b", revision))
		}
		catalog.ApplyListing(Interval{}, entries, asOf)
	}}
}

// changes returns the changes after base up to and including until.
func changes(base, until store.Revision) message {
	return message{fmt.Sprintf("changes from %d to %d", base, until), func(catalog *Catalog) {
		var entries []Entry
		for _, change := range _history {
			switch {
			case change.revision <= base || change.revision > until:
			case change.registered:
				entries = append(entries, readyEntry(change.server, change.revision))
			default:
				entries = append(entries, Entry{Revision: change.revision, MissingServer: change.server})
			}
		}
		catalog.ApplyChanges(Interval{}, base, entries, until)
	}}
}

func configuration(version route.Version) message {
	return message{fmt.Sprintf("configuration %d", version), func(catalog *Catalog) {
		catalog.ApplyConfig(route.Config{Version: version})
	}}
}

// checkPlausible checks that each server's registration in the catalog is the one in the store as of the catalog's
// revision or a later one.
func checkPlausible(catalog *Catalog) error {
	for _, server := range []id.Target{"i-a", "i-b"} {
		recorded := store.Revision(0)
		if record, ok := catalog.Server(server); ok && !record.Missing {
			recorded = record.Revision
		}
		plausible := false
		for at := catalog.Revision(); at <= _lastRevision; at++ {
			plausible = plausible || registrationAt(server, at) == recorded
		}
		if !plausible {
			return fmt.Errorf("%s has revision %d (0 if none), out of date at %d", server, recorded, catalog.Revision())
		}
	}
	return nil
}

// deliverInOrder delivers messages in an order. It checks the catalog after each, and that no revision decreases.
func deliverInOrder(messages []message, order []int) error {
	catalog := New(Config{MaxRecent: 3, MaxDeltas: 2, MaxDeltaSize: 4})
	for step, index := range order {
		revision, version, records := catalog.Revision(), catalog.Routes().Version, serverRevisions(catalog)
		messages[index].deliver(catalog)
		if catalog.Revision() < revision || catalog.Routes().Version < version {
			return fmt.Errorf("%s: the catalog goes back", messageNames(messages, order[:step+1]))
		}
		for server, known := range records {
			if record, _ := catalog.Server(server); record.Revision < known {
				return fmt.Errorf("%s: the catalog goes back on %s", messageNames(messages, order[:step+1]), server)
			}
		}
		if err := checkPlausible(catalog); err != nil {
			return fmt.Errorf("%s: %w", messageNames(messages, order[:step+1]), err)
		}
	}
	listing(_lastRevision, _lastRevision, _lastRevision).deliver(catalog)
	if err := checkPlausible(catalog); err != nil {
		return fmt.Errorf("%s, then the newest listing: %w", messageNames(messages, order), err)
	}
	return nil
}

// serverRevisions returns the revision up to which the catalog knows each server.
func serverRevisions(catalog *Catalog) map[id.Target]store.Revision {
	known := make(map[id.Target]store.Revision)
	for _, record := range catalog.Servers() {
		known[record.ID] = record.Revision
	}
	return known
}

func messageNames(messages []message, order []int) []string {
	listed := make([]string, 0, len(order))
	for _, index := range order {
		listed = append(listed, messages[index].name)
	}
	return listed
}

// permute calls visit with every permutation of the elements from index at on, and stops at the first error.
func permute(order []int, at int, visit func(order []int) error) error {
	if at == len(order) {
		return visit(order)
	}
	for index := at; index < len(order); index++ {
		order[at], order[index] = order[index], order[at]
		if err := permute(order, at+1, visit); err != nil {
			return err
		}
		order[at], order[index] = order[index], order[at]
	}
	return nil
}

// TestEveryOrder delivers late, duplicate and overlapping listings, changes and configurations in every possible order.
// The checks after each message also cover lost messages: each prefix is a run in which all later ones are lost.
func TestEveryOrder(t *testing.T) {
	c := qt.New(t)
	for name, messages := range map[string][]message{
		"two followers": {
			listing(1, 1, 1), changes(1, 3), changes(3, 6), listing(2, 2, 2), changes(2, 4), changes(4, 5), configuration(2),
			configuration(1),
		},
		"pages that are not a snapshot": {
			listing(1, 4, 4), listing(2, 3, 6), changes(1, 2), changes(2, 3), changes(2, 6), changes(1, 5),
			listing(4, 5, 6), listing(0, 1, 2),
		},
		"duplicate messages": {
			changes(0, 2), changes(0, 2), changes(2, 4), changes(2, 4), changes(1, 6), listing(3, 3, 3),
			listing(3, 3, 3), configuration(2),
		},
	} {
		c.Run(name, func(c *qt.C) {
			order := make([]int, len(messages))
			for index := range order {
				order[index] = index
			}
			c.Assert(permute(order, 0, func(order []int) error { return deliverInOrder(messages, order) }), qt.IsNil)
		})
	}
}
