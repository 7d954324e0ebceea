package request

import (
	"time"

	"azureshift/core/id"
)

// sealing is the state of a runner-up that is about to serve without its owner. A majority of the view has to
// acknowledge the seal, so that a later owner, which asks a majority, cannot miss it.
type sealing struct {
	requestedAt time.Time
	acks        map[id.Member]bool
}

func (state *State) handleMemberDown(member id.Member) {
	state.down[member] = true
	for _, shard := range state.sortedShards {
		if shard.pair.Owner == member && shard.role == roleRunnerUp {
			state.startSeal(shard)
		}
	}
}

func (state *State) handleMemberUp(member id.Member) {
	delete(state.down, member)
	for _, shard := range state.sortedShards {
		if shard.pair.Owner == member && shard.role == roleRunnerUp && shard.sealed {
			state.emit(ProposeEpoch{After: state.view.Number})
			return
		}
	}
}

func (state *State) startSeal(shard *shard) {
	if !shard.ready || shard.sealed {
		return
	}
	if state.config.Disabled.Seal {
		shard.alone = true
		return
	}
	shard.sealed = true
	shard.sealAckedEpoch = max(shard.sealAckedEpoch, state.view.Number)
	shard.seal = &sealing{acks: map[id.Member]bool{state.config.Self: true}}
	state.tickSeal(shard)
}

func (state *State) tickSeal(shard *shard) {
	if shard.seal == nil || shard.alone || state.now.Sub(shard.seal.requestedAt) < state.config.ResendInterval {
		return
	}
	shard.seal.requestedAt = state.now
	for _, member := range state.view.Members {
		if !shard.seal.acks[member] {
			state.send(member, SealRequest{Epoch: state.view.Number, Shard: shard.name})
		}
	}
}

// handleSealRequest acknowledges a seal of the current epoch and stops this instance if it is the shard's owner.
func (state *State) handleSealRequest(from id.Member, message SealRequest) {
	if message.Epoch != state.view.Number || message.Shard.Domain != state.config.Domain {
		return
	}
	shard := state.shard(message.Shard.Service)
	if shard.pair.RunnerUp != from {
		return
	}
	shard.sealAckedEpoch = max(shard.sealAckedEpoch, message.Epoch)
	state.stopOwner(shard)
	state.send(from, SealAck(message))
}

func (state *State) handleSealAck(from id.Member, message SealAck) {
	shard, ok := state.shards[message.Shard]
	if !ok || shard.seal == nil || message.Epoch != state.view.Number || !state.view.Has(from) {
		return
	}
	shard.seal.acks[from] = true
	if len(shard.seal.acks) < state.view.Majority() || shard.alone {
		return
	}
	shard.alone = true
}
