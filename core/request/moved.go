package request

// admitMoved takes in a request whose home a bundle has moved. Passing it on is the dispatch of this shard: the
// runner-up records the intent first, so that one that has taken the shard over cannot run the request
// beside its new home.
func (state *State) admitMoved(shard *shard, event Arrived) {
	if state.now.Before(shard.uncertainUntil) && !state.config.Without.UncertaintyWindow {
		state.emit(Reply{Key: event.Key, Outcome: Unknown})
		return
	}
	entry := state.newEntry(event)
	entry.moved = true
	shard.add(entry)
	shard.pendingEntries = append(shard.pendingEntries, entry)
	if state.config.Without.Intent || !shard.replicates() {
		state.enqueue(shard, entry)
		return
	}
	state.replicate(shard, entry, true)
}

// forwardMoved passes a request on whose intent is safe, where the fence allows a dispatch. The record stays,
// so that every copy is passed on too.
func (state *State) forwardMoved(shard *shard, entry *entry) {
	shard.queue.remove(entry)
	payload := entry.pending.payload
	entry.pending = nil
	entry.status = StatusIntended
	entry.dispatcher = state.config.Self
	entry.attempted = true
	state.forward(entry, payload)
}

func (state *State) forward(entry *entry, payload []byte) {
	state.emit(PassOn{Key: entry.key, Payload: payload})
}
