package membership

import "time"

// receive applies the records in a message and replies to it.
func (state *State) receive(event MessageReceived) {
	message := event.Message
	if message.Sender.Member.Instance == state.self.Member.Instance {
		state.apply(message.Sender)
		return
	}
	state.apply(message.Sender)
	state.recordContact(message)
	state.applyingBulk = message.Kind == Page || message.Kind == Push
	for _, record := range message.Records {
		state.apply(record)
	}
	state.applyingBulk = false
	state.reply(event)
}

// reply handles a message by its kind and sends the reply, if any.
func (state *State) reply(event MessageReceived) {
	message := event.Message
	switch message.Kind {
	case Probe:
		changes := state.takeChanges(message.Sender.Domain == state.ownDomain.name, MaxMessage-2*_messageOverhead)
		changes = append(changes, state.correction(message.Sender)...)
		state.send(event.From, Message{Kind: Ack, Sequence: message.Sequence, Records: changes})
	case Ack:
		state.completeProbe(message)
		state.recordAcknowledgement(message)
	case RelayRequest:
		state.relayProbe(event.From, message)
	case RelayAck:
		state.completeRelayedProbe(message)
	case SummaryRequest:
		state.sendSummary(event)
	case Summary:
		state.receiveSummary(message)
	case PageRequest:
		state.sendPage(event)
	case Page:
		state.receivePage(message)
	case Push:
		state.sendCorrections(event.From, message.Records)
	case Gossip:
	}
	if message.Kind == Probe || message.Kind == Ack {
		state.compareDigests(event)
	}
}

// recordContact records that a message came directly from its sender. If the sender is suspected, the suspicion
// timeout starts again.
func (state *State) recordContact(message Message) {
	held := state.members[message.Sender.Member.Instance]
	if held == nil || held.record.Member != message.Sender.Member {
		return
	}
	held.lastReceived = state.now
	if held.record.Status == Suspect {
		held.suspectedSince = state.now
	}
	state.recordReceived(state.domainOf(held.record.Domain))
	state.emit(Heartbeat{
		Member:      held.record.Member,
		ProbeSentAt: state.probeSentAt(message),
		Domain:      held.record.Domain,
		Address:     held.record.Address,
		Epoch:       message.Epoch,
		ValueDigest: message.ValueDigest,
	})
}

// probeSentAt returns when the probe that the message answers was first sent, or zero if it answers none.
func (state *State) probeSentAt(message Message) time.Time {
	if message.Kind != Ack {
		return time.Time{}
	}
	for _, probe := range state.probes {
		if probe.sequence == message.Sequence && probe.target == message.Sender.Member {
			return probe.sent
		}
	}
	return time.Time{}
}

// correction returns the known record of an instance that is suspected or has ended if it supersedes the given one,
// so that the instance can refute it.
func (state *State) correction(record Record) []Record {
	ended, known := state.tombstones.byInstance[record.Member.Instance]
	if known && ended.Member.Incarnation >= record.Member.Incarnation && ended.Supersedes(record) {
		return []Record{ended}
	}
	held := state.members[record.Member.Instance]
	if held != nil && held.record.Status == Suspect && held.record.Supersedes(record) {
		return []Record{held.record}
	}
	return nil
}
