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

// change is one change in the history of a small store: a key is written or removed.
type change struct {
	revision store.Revision
	key      string
	written  bool
}

// _domain is the failure domain of the history, whose evacuation is a key of the same name.
const _domain = "a"

// _history has two servers, one of which is removed and registers again, and a failure domain that is evacuated twice.
// Revision 5 is a change of the configuration.
var _history = []change{
	{1, "i-a", true},
	{2, "i-b", true},
	{3, "i-a", false},
	{4, "i-a", true},
	{6, "i-b", false},
	{7, _domain, true},
	{8, _domain, false},
	{9, _domain, true},
}

// keys returns the keys of the history.
func keys() []string {
	return []string{"i-a", "i-b", _domain}
}

// _lastRevision is the last revision of the history.
const _lastRevision = store.Revision(9)

// writtenAt returns the revision of a key's value as of a revision of the store, or zero if there is none.
func writtenAt(key string, at store.Revision) store.Revision {
	revision := store.Revision(0)
	for _, change := range _history {
		if change.key != key || change.revision > at {
			continue
		}
		revision = 0
		if change.written {
			revision = change.revision
		}
	}
	return revision
}

// entry returns the entry of a key that was written or removed.
func entry(key string, written bool, revision store.Revision) Entry {
	switch {
	case key == _domain && written:
		return evacuated(_domain, revision)
	case key == _domain:
		return reopened(_domain, revision)
	case written:
		return server(id.Target(key), target.StateReady, revision)
	}
	return removal(id.Target(key), revision)
}

// message is a listing, a range of changes or a configuration, as an instance gets it from the store or another
// instance.
type message struct {
	name    string
	deliver func(catalog *Catalog)
}

// listing returns a complete listing as of a revision. Its pages are read one after the other, each with one key as of
// the same or a later revision. Those that are not given are as of that of the listing.
func listing(asOf store.Revision, pages ...store.Revision) message {
	return message{fmt.Sprintf("listing of %d with pages of %d", asOf, pages), func(catalog *Catalog) {
		var entries []Entry
		for index, key := range keys() {
			page := asOf
			if index < len(pages) {
				page = pages[index]
			}
			if revision := writtenAt(key, page); revision > 0 {
				entries = append(entries, entry(key, true, revision))
			}
		}
		catalog.ApplyListing(Interval{}, entries, asOf)
	}}
}

// changes returns the changes after base up to and including until.
func changes(base, until store.Revision) message {
	return message{fmt.Sprintf("changes from %d to %d", base, until), func(catalog *Catalog) {
		var entries []Entry
		for _, change := range _history {
			if change.revision > base && change.revision <= until {
				entries = append(entries, entry(change.key, change.written, change.revision))
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

// recordedAt returns the revision of a key's value in the catalog, or zero if there is none.
func recordedAt(catalog *Catalog, key string) store.Revision {
	if record, ok := catalog.Server(id.Target(key)); ok && !record.Missing {
		return record.Revision
	}
	if evacuation, ok := catalog.Evacuation(id.Domain(key)); ok && !evacuation.Withdrawn {
		return evacuation.Revision
	}
	return 0
}

// checkPlausible checks that each key in the catalog is as in the store as of the catalog's revision or a later one.
func checkPlausible(catalog *Catalog) error {
	for _, key := range keys() {
		recorded, plausible := recordedAt(catalog, key), false
		for at := catalog.Revision(); at <= _lastRevision; at++ {
			plausible = plausible || writtenAt(key, at) == recorded
		}
		if !plausible {
			return fmt.Errorf("%s has revision %d (0 if none), out of date at %d", key, recorded, catalog.Revision())
		}
	}
	return nil
}

// deliverInOrder delivers messages in an order. It checks the catalog after each, and that no revision decreases.
func deliverInOrder(messages []message, order []int) error {
	catalog := New(Config{MaxRecent: 3, MaxDeltas: 2, MaxDeltaSize: 4})
	for step, index := range order {
		revision, version, known := catalog.Revision(), catalog.Routes().Version, revisions(catalog)
		messages[index].deliver(catalog)
		if catalog.Revision() < revision || catalog.Routes().Version < version {
			return fmt.Errorf("%s: the catalog goes back", messageNames(messages, order[:step+1]))
		}
		after := revisions(catalog)
		for key, before := range known {
			if after[key] < before {
				return fmt.Errorf("%s: the catalog goes back on %s", messageNames(messages, order[:step+1]), key)
			}
		}
		if err := checkPlausible(catalog); err != nil {
			return fmt.Errorf("%s: %w", messageNames(messages, order[:step+1]), err)
		}
	}
	listing(_lastRevision).deliver(catalog)
	if err := checkPlausible(catalog); err != nil {
		return fmt.Errorf("%s, then the newest listing: %w", messageNames(messages, order), err)
	}
	return nil
}

// revisions returns the revision up to which the catalog knows each key.
func revisions(catalog *Catalog) map[string]store.Revision {
	known := make(map[string]store.Revision)
	for _, key := range keys() {
		record, isServer := catalog.Server(id.Target(key))
		if evacuation, ok := catalog.Evacuation(id.Domain(key)); ok {
			known[key] = evacuation.Revision
		} else if isServer {
			known[key] = record.Revision
		}
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
		"an evacuation that is withdrawn and requested again": {
			listing(6), changes(5, 8), changes(7, 9), listing(6, 6, 6, 7), listing(7, 7, 7, 8), listing(8, 8, 8, 9),
			changes(6, 7), changes(8, 9),
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
