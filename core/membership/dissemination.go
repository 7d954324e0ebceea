package membership

import (
	"math/bits"
	"net/netip"
	"slices"
)

// change is a record that is piggybacked on messages until it has been sent often enough.
type change struct {
	record    Record
	sendsLeft int
}

// enqueue puts a record at the head of the queue of changes and removes an older one of the same instance.
func (state *State) enqueue(record Record) {
	for index := range state.queue {
		if state.queue[index].record.Member.Instance == record.Member.Instance {
			state.queue = slices.Delete(state.queue, index, index+1)
			break
		}
	}
	const retransmitMultiplier = 2
	sends := retransmitMultiplier * bits.Len(uint(len(state.members)+2))
	state.queue = slices.Insert(state.queue, 0, change{record: record, sendsLeft: sends})
}

// disseminate enqueues a record that was received as a change. Records of a Page or Push belong to whole lists and
// are not disseminated.
func (state *State) disseminate(record Record) {
	if !state.applyingBulk {
		state.enqueue(record)
	}
}

// takeChanges returns the changes that fit into the byte budget of a message, and counts them as sent. Suspicions
// are not sent to other domains.
func (state *State) takeChanges(inOwnDomain bool, budget int) []Record {
	var taken []Record
	var kept, sent []change
	for index, change := range state.queue {
		budget -= change.record.size()
		if budget < 0 {
			kept = append(kept, state.queue[index:]...)
			break
		}
		if !inOwnDomain && change.record.Status == Suspect {
			kept = append(kept, change)
			continue
		}
		taken = append(taken, change.record)
		change.sendsLeft--
		if change.sendsLeft > 0 {
			sent = append(sent, change)
		}
	}
	if len(taken) > 0 {
		state.queue = append(kept, sent...)
	}
	return taken
}

// spread sends queued changes to a few random members.
func (state *State) spread() {
	for range state.config.Fanout {
		state.spreadTo(state.randomMember(state.ownDomain))
	}
	state.spreadTo(state.randomOtherMember())
}

func (state *State) spreadTo(member *member) {
	if member == nil || len(state.queue) == 0 {
		return
	}
	message := Message{Kind: Gossip}
	message.Records = state.takeChanges(member.record.Domain == state.ownDomain.name, MaxMessage-_messageOverhead)
	if len(message.Records) > 0 {
		state.send(member.record.Address, message)
	}
}

// send adds the state of this instance to a message and sends it.
func (state *State) send(to netip.AddrPort, message Message) {
	message.Sender = state.self
	message.Epoch = state.epoch
	message.ValueDigest = state.values
	message.MemberDigest = state.digest()
	state.emit(Send{To: to, Message: message})
}
