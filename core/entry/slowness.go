package entry

import (
	"time"

	"azureshift/core/detector"
	"azureshift/core/fleet"
	"azureshift/core/id"
)

// findSlowServers notes the servers of this instance's failure domain that have become slow or usual. Only the
// relay of a failure domain does so: most answers of a server go to clients of its own failure domain, and the
// relay adds up what all instances there saw.
func (state *State) findSlowServers(loads []fleet.Load) {
	table := state.publishing.published
	if table == nil {
		return
	}
	reported := make([]detector.Answers, 0, len(loads))
	for _, load := range loads {
		record, ok := state.catalog.Server(state.publishing.cookies[load.Cookie])
		if !ok || record.Domain != state.config.Self.Domain {
			continue
		}
		reported = append(reported, detector.Answers{
			Server: record.ID, Service: record.Service, Count: load.Answers, Latency: load.Latency,
		})
	}
	typical := func(service id.Service) time.Duration {
		if pool, ok := table.Pools[service]; ok {
			return table.TypicalServiceTime(pool)
		}
		return 0
	}
	for _, change := range state.slowness.Update(state.now, reported, typical) {
		kind := NoteServerUsual
		if change.Slow {
			kind = NoteServerSlow
		}
		state.emit(Note{
			Kind: kind, Server: change.Server, Domain: state.config.Self.Domain, Age: state.age(), Slowness: change,
		})
	}
}
