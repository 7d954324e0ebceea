package membership

import (
	"slices"
	"time"

	"azureshift/core/id"
)

// announcement is an announcement of the instance's own status that awaits acknowledgements.
type announcement struct {
	pending bool
	since   time.Time
	// firstSequence is the sequence number of the first probe that carried the status.
	firstSequence uint64
	acks          []id.Instance
}

// announceStatus changes the instance's own status to Leaving or Left and announces it.
func (state *State) announceStatus(status Status) {
	if state.self.Status >= status {
		return
	}
	if state.self.Status == Alive {
		state.ownDomain.digest ^= fingerprint(state.self.Member, false) ^ fingerprint(state.self.Member, true)
	}
	state.self.Status = status
	state.self.Refutation++
	state.enqueue(state.self)
	state.announcement = announcement{pending: true, since: state.now, firstSequence: state.sequence + 1}
	state.advanceAnnouncement()
}

// advanceAnnouncement repeats the announcement until enough members have acknowledged it.
func (state *State) advanceAnnouncement() {
	if !state.announcement.pending {
		return
	}
	enough := len(state.announcement.acks) >= min(state.config.AnnouncementAcks, len(state.ownDomain.members))
	if enough || state.now.Sub(state.announcement.since) >= state.config.AnnouncementTimeout {
		state.announcement.pending = false
		state.emit(AnnouncementDone{Status: state.self.Status})
		return
	}
	for range state.config.AnnouncementAcks {
		state.sequence++
		state.sendProbe(state.randomMember(state.ownDomain).record.Address, state.sequence, state.ownDomain.name)
	}
}

// recordAcknowledgement records that a member has answered a probe that carried the announcement.
func (state *State) recordAcknowledgement(message Message) {
	if !state.announcement.pending || message.Sequence < state.announcement.firstSequence {
		return
	}
	instance := message.Sender.Member.Instance
	if !slices.Contains(state.announcement.acks, instance) {
		state.announcement.acks = append(state.announcement.acks, instance)
	}
}
