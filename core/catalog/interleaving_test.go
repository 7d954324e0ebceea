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

// change is one change in the history of a small store: a server registers or its registration goes.
type change struct {
	revision store.Revision
	server   id.Target
	present  bool
}

// _history has two servers, one of which leaves and comes back. Revision 5 is a change of the configuration.
var _history = []change{
	{1, "i-a", true},
	{2, "i-b", true},
	{3, "i-a", false},
	{4, "i-a", true},
	{6, "i-b", false},
}

// _newest is the last revision of the history.
const _newest = store.Revision(6)

// truth returns the revision of a server's registration as of a revision of the store, or zero if there is none.
func truth(server id.Target, at store.Revision) store.Revision {
	registered := store.Revision(0)
	for _, change := range _history {
		if change.server != server || change.revision > at {
			continue
		}
		registered = 0
		if change.present {
			registered = change.revision
		}
	}
	return registered
}

func entryOf(server id.Target, revision store.Revision) Entry {
	return Entry{Revision: revision, Server: &target.Target{ID: server, State: target.StateReady}}
}

// message is something that an instance may learn from the store or another instance.
type message struct {
	name    string
	deliver func(catalog *Catalog)
}

// listing returns everything as of a revision or later: pages are read one after the other, so that each server is
// shown as of a revision of its own.
func listing(at, first, second store.Revision) message {
	name := fmt.Sprintf("listing of %d with pages of %d and %d", at, first, second)
	return message{name, func(catalog *Catalog) {
		var entries []Entry
		if revision := truth("i-a", first); revision > 0 {
			entries = append(entries, entryOf("i-a", revision))
		}
		if revision := truth("i-b", second); revision > 0 {
			entries = append(entries, entryOf("i-b", revision))
		}
		catalog.Replace(Moment{}, entries, at)
	}}
}

// changes returns what happened between two revisions.
func changes(base, until store.Revision) message {
	return message{fmt.Sprintf("changes from %d to %d", base, until), func(catalog *Catalog) {
		var entries []Entry
		for _, change := range _history {
			switch {
			case change.revision <= base || change.revision > until:
			case change.present:
				entries = append(entries, entryOf(change.server, change.revision))
			default:
				entries = append(entries, Entry{Revision: change.revision, Missing: change.server})
			}
		}
		catalog.Advance(Moment{}, base, entries, until)
	}}
}

func configured(version route.Version) message {
	return message{fmt.Sprintf("configuration %d", version), func(catalog *Catalog) {
		catalog.Configure(route.Config{Version: version})
	}}
}

// checkCatalog checks that what the catalog says of each server was true at its revision or later.
func checkCatalog(catalog *Catalog) error {
	for _, server := range []id.Target{"i-a", "i-b"} {
		said := store.Revision(0)
		if record, ok := catalog.Server(server); ok && !record.Missing {
			said = record.Revision
		}
		plausible := false
		for at := catalog.Revision(); at <= _newest; at++ {
			plausible = plausible || truth(server, at) == said
		}
		if !plausible {
			return fmt.Errorf("%s is registered at %d (zero is not), which is older than %d", server, said, catalog.Revision())
		}
	}
	return nil
}

// replay delivers messages in an order and checks the catalog after each, and that it never goes back.
func replay(messages []message, order []int) error {
	catalog := New(Config{Recent: 3, Deltas: 2, DeltaSize: 4})
	for step, index := range order {
		revision, version, records := catalog.Revision(), catalog.Routes().Version, revisions(catalog)
		messages[index].deliver(catalog)
		if catalog.Revision() < revision || catalog.Routes().Version < version {
			return fmt.Errorf("%s goes back", names(messages, order[:step+1]))
		}
		for server, known := range records {
			if record, _ := catalog.Server(server); record.Revision < known {
				return fmt.Errorf("%s goes back on %s", names(messages, order[:step+1]), server)
			}
		}
		if err := checkCatalog(catalog); err != nil {
			return fmt.Errorf("%s: %w", names(messages, order[:step+1]), err)
		}
	}
	listing(_newest, _newest, _newest).deliver(catalog)
	if err := checkCatalog(catalog); err != nil {
		return fmt.Errorf("%s, then the newest listing: %w", names(messages, order), err)
	}
	return nil
}

// revisions returns the revision up to which the catalog knows each server.
func revisions(catalog *Catalog) map[id.Target]store.Revision {
	known := make(map[id.Target]store.Revision)
	for _, record := range catalog.Servers() {
		known[record.ID] = record.Revision
	}
	return known
}

func names(messages []message, order []int) []string {
	listed := make([]string, 0, len(order))
	for _, index := range order {
		listed = append(listed, messages[index].name)
	}
	return listed
}

// permute calls visit with every order of the numbers from at on, and ends if it returns an error.
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

// TestEveryOrder delivers listings, changes and configurations, late, twice and out of order, in every order there is.
// Messages may also be lost: each state on the way is one in which all later ones are.
func TestEveryOrder(t *testing.T) {
	c := qt.New(t)
	for name, messages := range map[string][]message{
		"two followers": {
			listing(1, 1, 1), changes(1, 3), changes(3, 6), listing(2, 2, 2), changes(2, 4), changes(4, 5), configured(2),
			configured(1),
		},
		"pages that are not a snapshot": {
			listing(1, 4, 4), listing(2, 3, 6), changes(1, 2), changes(2, 3), changes(2, 6), changes(1, 5),
			listing(4, 5, 6), listing(0, 1, 2),
		},
		"twice": {
			changes(0, 2), changes(0, 2), changes(2, 4), changes(2, 4), changes(1, 6), listing(3, 3, 3),
			listing(3, 3, 3), configured(2),
		},
	} {
		c.Run(name, func(c *qt.C) {
			order := make([]int, len(messages))
			for index := range order {
				order[index] = index
			}
			c.Assert(permute(order, 0, func(order []int) error { return replay(messages, order) }), qt.IsNil)
		})
	}
}
