package request

import "azureshift/core/id"

// Messages returns a prototype of each message between entry instances, in the order of their kinds on
// the wire. New messages must be added at the end.
func Messages() []Message {
	return []Message{
		Replicate{},
		ReplicateAck{},
		ReplicateReject{},
		Sync{},
		SyncAck{},
		SealRequest{},
		SealAck{},
		ReportRequest{},
		Report{},
		HandOver{},
		ForwardedOutcome{},
		SlotRequest{},
		SlotGrant{},
		SlotUsed{},
		SlotReturn{},
	}
}

// Serves reports whether this instance decides the requests of a service in its failure domain.
func (state *State) Serves(service id.Service) bool {
	shard, ok := state.shards[state.shardName(service)]
	return ok && shard.serves()
}

// Queued returns how many requests wait for a slot.
func (state *State) Queued() int {
	queued := 0
	for _, shard := range state.sortedShards {
		queued += shard.queue.length
	}
	return queued
}
