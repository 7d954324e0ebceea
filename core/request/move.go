package request

// admitMoved admits a request whose home a bundle has moved. Passing it on counts as this shard's dispatch: the
// runner-up records the intent first, so that a runner-up that has taken the shard over cannot run the request in
// addition to its new home.
func (state *State) admitMoved(shard *shard, event Arrived) {
	if state.now.Before(shard.uncertainUntil) && !state.config.Disabled.UncertaintyWindow {
		state.emit(Reply{Key: event.Key, Outcome: Unknown})
		return
	}
	entry := state.newEntry(event)
	entry.moved = true
	shard.add(entry)
	shard.pendingEntries = append(shard.pendingEntries, entry)
	if state.config.Disabled.Intent || !shard.replicates() {
		state.enqueue(shard, entry)
		return
	}
	state.replicate(shard, entry, true)
}

// forwardMoved passes on a request whose intent is recorded, if the fence allows a dispatch. The record stays, so
// that every further copy is passed on too.
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
	state.emit(ForwardMoved{Key: entry.key, Payload: payload})
}
