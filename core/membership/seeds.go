package membership

// setSeeds stores the listed instances that are not members as seeds to probe. The list may be out of date, so it
// neither adds nor removes a member.
func (state *State) setSeeds(event PeerList) {
	state.seeds = nil
	for _, peer := range event.Peers {
		if len(state.seeds) >= state.config.MaxMembers {
			return
		}
		if state.members[peer.Instance] == nil && peer.Instance != state.self.Member.Instance {
			state.seeds = append(state.seeds, peer)
		}
	}
}

// probeSeeds probes a few random seeds, each once per PeerList.
func (state *State) probeSeeds() {
	const probesPerRound = 3
	for range probesPerRound {
		if len(state.seeds) == 0 {
			return
		}
		index := state.config.Random.IntN(len(state.seeds))
		peer := state.seeds[index]
		state.seeds[index] = state.seeds[len(state.seeds)-1]
		state.seeds = state.seeds[:len(state.seeds)-1]
		if state.members[peer.Instance] == nil {
			state.sequence++
			state.send(peer.Address, Message{Kind: Probe, Sequence: state.sequence})
		}
	}
}
