package membership

import (
	"net/netip"
	"slices"
	"time"

	"azureshift/core/id"
)

// probe is a probe sent by this instance that has not been answered.
type probe struct {
	sequence uint64
	target   id.Member
	domain   id.Domain
	address  netip.AddrPort
	sent     time.Time
	stage    stage
}

// stage is how far an unanswered probe has gone.
type stage uint8

const (
	_sent stage = iota + 1
	_repeated
	_relayed
)

// relay is a probe sent on behalf of another member.
type relay struct {
	sequence        uint64
	requestSequence uint64
	requester       netip.AddrPort
	sent            time.Time
}

const _maxRelays = 64

// startProbeRound probes the successor in the local domain, a random member of it, a member of each of the other
// domains that no message came from or that were not probed for longest, and some seeds.
func (state *State) startProbeRound() {
	next := state.successor()
	if next != nil {
		state.startProbe(next)
	}
	random := state.randomMember(state.ownDomain)
	if random != nil && random != next && random.record.Status != Suspect {
		state.startProbe(random)
	}
	for _, domain := range state.leastRecentDomains(state.config.CrossDomainProbes) {
		domain.lastProbed = state.now
		state.startProbe(state.randomMember(domain))
	}
	state.probeSeeds()
}

// successor returns the next member by name in the local domain that is not suspected, wrapping around. So each
// member is probed in every period, independent of the random selection.
func (state *State) successor() *member {
	const maxSkips = 8
	members := state.ownDomain.members
	start := state.ownDomain.after(state.self.Member.Instance)
	for skip := range min(maxSkips, len(members)) {
		candidate := members[(start+skip)%len(members)]
		if candidate.record.Status != Suspect {
			return candidate
		}
	}
	return nil
}

func (state *State) startProbe(target *member) {
	state.sequence++
	record := target.record
	state.probes = append(state.probes, probe{
		sequence: state.sequence,
		target:   record.Member,
		domain:   record.Domain,
		address:  record.Address,
		sent:     state.now,
		stage:    _sent,
	})
	state.sendProbe(record.Address, state.sequence, record.Domain)
}

func (state *State) sendProbe(to netip.AddrPort, sequence uint64, domain id.Domain) {
	changes := state.takeChanges(domain == state.ownDomain.name, MaxMessage-_messageOverhead)
	state.send(to, Message{Kind: Probe, Sequence: sequence, Records: changes})
}

// advanceProbes repeats unanswered probes, then has them relayed, then repeats them on each Tick until their
// deadline.
func (state *State) advanceProbes() {
	var failed []probe
	open := state.probes[:0]
	for _, probe := range state.probes {
		age := state.now.Sub(probe.sent)
		if age >= state.config.ProbeDeadline {
			failed = append(failed, probe)
			continue
		}
		switch {
		case probe.stage == _sent && age >= state.config.ProbeTimeout:
			probe.stage = _repeated
			state.sendProbe(probe.address, probe.sequence, probe.domain)
		case probe.stage == _repeated && age >= 2*state.config.ProbeTimeout:
			probe.stage = _relayed
			state.requestRelays(probe)
		case probe.stage == _relayed:
			state.sendProbe(probe.address, probe.sequence, probe.domain)
		}
		open = append(open, probe)
	}
	state.probes = open
	for _, probe := range failed {
		state.handleProbeFailure(probe)
	}
}

// handleProbeFailure raises a suspicion of a member of the local domain. For other domains it only counts the
// failed probes.
func (state *State) handleProbeFailure(probe probe) {
	if probe.domain != state.ownDomain.name {
		state.domainOf(probe.domain).failedProbes++
		return
	}
	held := state.members[probe.target.Instance]
	if held != nil && held.record.Member == probe.target && held.lastReceived.Before(probe.sent) {
		state.raiseSuspicion(held)
	}
}

// requestRelays asks members of the target's domain to probe the target. For a target in the local domain it also
// asks a member of another domain.
func (state *State) requestRelays(probe probe) {
	if state.config.Disabled.Relays {
		return
	}
	subject := Record{Member: probe.target, Domain: probe.domain, Address: probe.address}
	message := Message{Kind: RelayRequest, Sequence: probe.sequence, Subject: &subject}
	for _, relayMember := range state.chooseRelays(probe) {
		state.send(relayMember.record.Address, message)
	}
}

func (state *State) chooseRelays(probe probe) []*member {
	members := state.domainOf(probe.domain).members
	chosen := make([]*member, 0, state.config.Relays)
	if probe.domain == state.ownDomain.name {
		other := state.randomOtherMember()
		if other != nil {
			chosen = append(chosen, other)
		}
	}
	if len(members) == 0 {
		return chosen
	}
	start := state.config.Random.IntN(len(members))
	for offset := range min(state.config.Relays+1, len(members)) {
		candidate := members[(start+offset)%len(members)]
		if candidate.record.Member != probe.target && len(chosen) < state.config.Relays {
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}

// relayProbe probes the subject of a RelayRequest on behalf of the sender.
func (state *State) relayProbe(from netip.AddrPort, message Message) {
	if message.Subject == nil || len(state.relays) >= _maxRelays {
		return
	}
	state.sequence++
	state.relays = append(state.relays, relay{
		sequence:        state.sequence,
		requestSequence: message.Sequence,
		requester:       from,
		sent:            state.now,
	})
	state.sendProbe(message.Subject.Address, state.sequence, message.Subject.Domain)
}

// completeProbe ends the probe that an Ack answers and passes the Ack of a relayed probe on to its requester.
func (state *State) completeProbe(message Message) {
	state.probes = slices.DeleteFunc(state.probes, func(probe probe) bool {
		return probe.sequence == message.Sequence && probe.target == message.Sender.Member
	})
	for _, relay := range state.relays {
		if relay.sequence == message.Sequence {
			subject := message.Sender
			state.send(relay.requester, Message{Kind: RelayAck, Sequence: relay.requestSequence, Subject: &subject})
		}
	}
}

// completeRelayedProbe ends the probe that was answered through a relay.
func (state *State) completeRelayedProbe(message Message) {
	if message.Subject == nil {
		return
	}
	state.probes = slices.DeleteFunc(state.probes, func(probe probe) bool {
		return probe.sequence == message.Sequence && probe.target == message.Subject.Member
	})
	state.apply(*message.Subject)
}

func (state *State) expireRelays() {
	state.relays = slices.DeleteFunc(state.relays, func(relay relay) bool {
		return state.now.Sub(relay.sent) > state.config.ProbeInterval
	})
}
