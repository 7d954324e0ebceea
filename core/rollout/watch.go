package rollout

import (
	"github.com/cespare/xxhash/v2"

	"azureshift/core/epoch"
	"azureshift/core/id"
)

// handleMembers takes the new members of the failure domain and elects those that watch the platform: the first
// Watchers members by rendezvous hashing, so that members with the same list elect the same watchers without messages.
// It starts or stops the watch of this instance accordingly.
func (state *State) handleMembers(members []id.Member) []Effect {
	state.sources.domainMembers = make(map[id.Member]struct{}, len(members))
	for _, member := range members {
		state.sources.domainMembers[member] = struct{}{}
	}
	watching := state.config.Disabled.Election
	ranked := epoch.View{Members: members}.Order(xxhash.Sum64String("azureshift/Head"))
	for _, member := range ranked[:min(len(ranked), state.config.Watchers)] {
		watching = watching || member.Instance == state.config.Self.Instance
	}
	if watching == state.watching {
		return nil
	}
	state.watching = watching
	return []Effect{WatchHead{Enabled: watching}}
}
