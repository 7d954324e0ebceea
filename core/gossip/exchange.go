package gossip

import (
	"net/netip"
	"slices"
)

// push sends the changes that have rounds left to a few random members.
func (state *State) push() {
	if len(state.pushes) == 0 || state.config.Disabled.Push {
		return
	}
	keys := make([]Key, 0, len(state.pushes))
	for index := range state.pushes {
		keys = append(keys, state.pushes[index].key)
		state.pushes[index].roundsLeft--
	}
	state.pushes = slices.DeleteFunc(state.pushes, func(push pendingPush) bool { return push.roundsLeft <= 0 })
	for range state.config.Fanout {
		state.pushTo(&state.peers.sameDomain, keys)
	}
	for range state.config.CrossDomainFanout {
		state.pushTo(&state.peers.otherDomains, keys)
	}
}

// pushTo sends the values to a random member of the group.
func (state *State) pushTo(group *group, keys []Key) {
	to, found := group.pick(state.config.Random)
	if found {
		state.sendValues(to, keys)
	}
}

// sendValues sends the values, packed in order into messages of at most MaxMessage bytes.
func (state *State) sendValues(to netip.AddrPort, keys []Key) {
	message := Message{}
	remaining := MaxMessage - _messageOverhead
	for _, key := range keys {
		value := state.values[key].datagramForm()
		if value.maxSize() > remaining {
			state.emit(Send{To: to, Message: message})
			message = Message{}
			remaining = MaxMessage - _messageOverhead
		}
		remaining -= value.maxSize()
		message.Values = append(message.Values, value)
	}
	if len(message.Values) > 0 {
		state.emit(Send{To: to, Message: message})
	}
}

// datagramForm returns the value as it is sent: marked as Large and without data if that does not fit.
func (value Value) datagramForm() Value {
	if value.maxSize() > MaxMessage-_messageOverhead {
		value.Data = nil
		value.Large = true
	}
	return value
}

// offerVersions starts an anti-entropy exchange with a member whose digest differs, at most once in
// Config.OfferInterval.
func (state *State) offerVersions(event DigestReceived) {
	if event.Digest == state.digest || state.config.Disabled.AntiEntropy {
		return
	}
	if state.now.Sub(state.lastOffer) < state.config.OfferInterval {
		return
	}
	state.lastOffer = state.now
	state.emit(Send{To: event.From, Message: state.nextOffer()})
}

// nextOffer lists the versions of as many keys as fit into a message. The next offer continues from there.
func (state *State) nextOffer() Message {
	message := Message{After: state.offerCursor}
	remaining := MaxMessage - 2*_messageOverhead - 2*len(state.offerCursor)
	first, found := slices.BinarySearch(state.keys, state.offerCursor)
	if found {
		first++
	}
	for _, key := range state.keys[first:] {
		remaining -= _valueOverhead + 2*len(key)
		if remaining < 0 {
			message.Last = message.Versions[len(message.Versions)-1].Key
			break
		}
		message.Versions = append(message.Versions, Value{Key: key, Version: state.values[key].Version})
	}
	state.offerCursor = message.Last
	return message
}

// receive handles a message: values, a request for values or an offer of versions.
func (state *State) receive(event MessageReceived) {
	message := event.Message
	for _, value := range message.Values {
		if value.Large {
			state.requestFetch(value, event.From)
			continue
		}
		state.accept(value)
	}
	if len(message.Wanted) > 0 {
		state.sendValues(event.From, state.heldKeys(message.Wanted))
		return
	}
	if len(message.Values) == 0 {
		state.answerOffer(event)
	}
}

// heldKeys returns the keys that have a value here.
func (state *State) heldKeys(keys []Key) []Key {
	held := make([]Key, 0, len(keys))
	for _, key := range keys {
		_, known := state.values[key]
		if known {
			held = append(held, key)
		}
	}
	return held
}

// answerOffer sends the values that are newer here and requests those that are newer at the sender.
func (state *State) answerOffer(event MessageReceived) {
	offered := make(map[Key]uint64, len(event.Message.Versions))
	var wanted []Key
	for _, version := range event.Message.Versions {
		offered[version.Key] = version.Version
		if version.Version > state.values[version.Key].Version {
			wanted = append(wanted, version.Key)
		}
	}
	var newer []Key
	for _, key := range state.keys {
		inRange := key > event.Message.After && (event.Message.Last == "" || key <= event.Message.Last)
		if inRange && state.values[key].Version > offered[key] {
			newer = append(newer, key)
		}
	}
	state.sendValues(event.From, newer)
	if len(wanted) > 0 {
		state.emit(Send{To: event.From, Message: Message{Wanted: wanted}})
	}
}

// requestFetch requests an announced value unless it is held or already requested.
func (state *State) requestFetch(value Value, from netip.AddrPort) {
	if value.Version <= state.values[value.Key].Version {
		return
	}
	pending, known := state.pendingFetches[value.Key]
	recent := state.now.Sub(pending.startedAt) < state.config.FetchTimeout
	if known && recent && pending.version >= value.Version {
		return
	}
	if !known && len(state.pendingFetches) >= state.config.MaxKeys {
		return
	}
	state.pendingFetches[value.Key] = pendingFetch{version: value.Version, startedAt: state.now}
	state.emit(Fetch{Key: value.Key, Version: value.Version, From: from})
}
