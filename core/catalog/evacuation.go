package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azureshift/core/id"
	"azureshift/core/store"
)

// _maxWithdrawn is the number of withdrawn evacuations that are retained for failure domains without servers. Anyone
// may write and remove any number of keys.
const _maxWithdrawn = 256

// Evacuation is the last known state of the operator's request that no new flow be sent to the backend servers of a
// failure domain.
type Evacuation struct {
	Domain   id.Domain
	Revision store.Revision
	// Withdrawn says that the operator no longer requests it.
	Withdrawn bool
	// ChangedAt is when the request, or its withdrawal, was learned.
	ChangedAt time.Duration
}

// Evacuations returns the evacuations that are requested, sorted by failure domain.
func (catalog *Catalog) Evacuations() []Evacuation {
	var requested []Evacuation
	for _, evacuation := range catalog.evacuations {
		if !evacuation.Withdrawn {
			requested = append(requested, evacuation)
		}
	}
	slices.SortFunc(requested, func(left, right Evacuation) int { return cmp.Compare(left.Domain, right.Domain) })
	return requested
}

// CountEvacuations returns the number of evacuations that are requested.
func (catalog *Catalog) CountEvacuations() int {
	return catalog.requested
}

// Evacuation returns the last known state of the evacuation of a failure domain, and false if none is known.
func (catalog *Catalog) Evacuation(domain id.Domain) (Evacuation, bool) {
	evacuation, ok := catalog.evacuations[domain]
	return evacuation, ok
}

// Evacuated reports whether the operator requests the evacuation of a failure domain.
func (catalog *Catalog) Evacuated(domain id.Domain) bool {
	evacuation, ok := catalog.evacuations[domain]
	return ok && !evacuation.Withdrawn
}

// Reopened returns when the last evacuation of a failure domain was learned to be withdrawn, and false if the failure
// domain is evacuated, or if no evacuation of it was withdrawn within the maximum duration of a flow.
func (catalog *Catalog) Reopened(domain id.Domain) (at time.Duration, ok bool) {
	evacuation := catalog.evacuations[domain]
	return evacuation.ChangedAt, evacuation.Withdrawn
}

// evacuationEntries returns the entries of the requested evacuations and of those that were withdrawn recently, sorted
// by failure domain. An instance that has missed a withdrawal would take servers in slow start to be warm.
func (catalog *Catalog) evacuationEntries(now time.Duration) []Entry {
	entries := make([]Entry, 0, len(catalog.evacuations))
	for _, domain := range slices.Sorted(maps.Keys(catalog.evacuations)) {
		entry := Entry{Revision: catalog.evacuations[domain].Revision}
		if evacuation := catalog.evacuations[domain]; evacuation.Withdrawn {
			entry.Reopened, entry.Age = domain, now-evacuation.ChangedAt
		} else {
			entry.Evacuated = domain
		}
		entries = append(entries, entry)
	}
	return entries
}

// withdrawnBy returns the withdrawals of the evacuations that a complete listing as of a revision lacks.
func (catalog *Catalog) withdrawnBy(listed []Entry, revision store.Revision) []Entry {
	requested := make(map[id.Domain]bool)
	for _, entry := range listed {
		if entry.Evacuated != "" {
			requested[entry.Evacuated] = true
		}
	}
	var withdrawals []Entry
	for _, evacuation := range catalog.Evacuations() {
		if !requested[evacuation.Domain] && evacuation.Revision <= revision {
			withdrawals = append(withdrawals, Entry{Revision: revision, Reopened: evacuation.Domain})
		}
	}
	return withdrawals
}

// evacuate records the request of an evacuation and reports whether the failure domain was not evacuated before.
func (catalog *Catalog) evacuate(interval Interval, domain id.Domain, revision store.Revision) bool {
	known, ok := catalog.evacuations[domain]
	if ok && known.Revision >= revision {
		return false
	}
	if ok && !known.Withdrawn {
		known.Revision = revision
		catalog.evacuations[domain] = known
		return false
	}
	catalog.evacuations[domain] = Evacuation{Domain: domain, Revision: revision, ChangedAt: interval.Now}
	catalog.requested++
	return true
}

// reopen records the withdrawal of an evacuation, also of one that was not known, as it may have begun and ended while
// this instance was out of touch. It reports whether the withdrawal is news.
func (catalog *Catalog) reopen(interval Interval, entry Entry) bool {
	known, ok := catalog.evacuations[entry.Reopened]
	if ok && known.Revision > entry.Revision {
		return false
	}
	changedAt := interval.Now - entry.Age
	if ok && known.Withdrawn {
		// Only views have ages. One with a later withdrawal shows that the failure domain was evacuated again meanwhile.
		if entry.Age == 0 || entry.Revision == known.Revision {
			return false
		}
		changedAt = max(changedAt, known.ChangedAt)
	}
	if ok && !known.Withdrawn {
		catalog.requested--
	}
	catalog.evacuations[entry.Reopened] = Evacuation{
		Domain: entry.Reopened, Revision: entry.Revision, Withdrawn: true, ChangedAt: changedAt,
	}
	return true
}

// forgetWithdrawn removes evacuations that were withdrawn longer ago than a flow may last. Until then, a message that
// is late cannot bring them back. Of failure domains without servers it retains only the last _maxWithdrawn.
func (catalog *Catalog) forgetWithdrawn(now time.Duration) {
	maps.DeleteFunc(catalog.evacuations, func(_ id.Domain, evacuation Evacuation) bool {
		return evacuation.Withdrawn && now-evacuation.ChangedAt > catalog.config.MaxFlowLife
	})
	if len(catalog.evacuations)-catalog.requested <= _maxWithdrawn {
		return
	}
	domains := make(map[id.Domain]bool)
	for _, record := range catalog.servers {
		domains[record.Domain] = true
	}
	var unused []Evacuation
	for _, evacuation := range catalog.evacuations {
		if evacuation.Withdrawn && !domains[evacuation.Domain] {
			unused = append(unused, evacuation)
		}
	}
	slices.SortFunc(unused, func(left, right Evacuation) int { return cmp.Compare(right.ChangedAt, left.ChangedAt) })
	for _, evacuation := range unused[min(_maxWithdrawn, len(unused)):] {
		delete(catalog.evacuations, evacuation.Domain)
	}
}
