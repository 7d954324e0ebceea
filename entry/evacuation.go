package entry

import (
	"azureshift/core/catalog"
	"azureshift/core/store"
	"azureshift/platform"
)

// decodeEvacuation returns the request or the withdrawal of an evacuation, and false if the key names no failure
// domain.
func (daemon *Daemon) decodeEvacuation(change *store.Change) (catalog.Entry, bool) {
	domain, err := platform.DecodeEvacuation(change.Key)
	switch {
	case err != nil && !change.Removed:
		daemon.logUnreadable(err, change)
		return catalog.Entry{}, false
	case err != nil:
		return catalog.Entry{}, false
	case change.Removed:
		return catalog.Entry{Revision: change.Revision, Reopened: domain}, true
	}
	return catalog.Entry{Revision: change.Revision, Evacuated: domain}, true
}
