package membership

import (
	"net/netip"
	"slices"
	"time"

	"azureshift/core/id"
)

// sync is an anti-entropy exchange of member lists with one peer, domain by domain and page by page.
type sync struct {
	syncedOnce bool
	active     bool
	peer       netip.AddrPort
	domains    []id.Domain
	request    Message
	sent       time.Time
	tries      int
}

const (
	// _digestMismatchGrace is how long the digests from a domain must differ from the local one before the lists
	// are compared. Changes that are still being disseminated arrive in less time.
	_digestMismatchGrace = 2 * time.Second
	_syncRetryInterval   = 300 * time.Millisecond
	_maxSyncTries        = 4
	_maxPushesPerPage    = 2
)

// compareDigests starts a synchronization if the digests in messages from one domain keep differing from the local
// one. Until this instance has been in sync once, the first difference starts it.
func (state *State) compareDigests(event MessageReceived) {
	domain := state.domainOf(event.Message.Sender.Domain)
	if event.Message.MemberDigest == state.digest() {
		domain.differsSince = time.Time{}
		state.sync.syncedOnce = true
		return
	}
	if domain.differsSince.IsZero() {
		domain.differsSince = state.now
	}
	lasting := state.now.Sub(domain.differsSince) >= _digestMismatchGrace
	if state.sync.active || (state.sync.syncedOnce && !lasting) {
		return
	}
	domain.differsSince = time.Time{}
	state.sync.active = true
	state.sync.peer = event.From
	state.sendSyncRequest(Message{Kind: SummaryRequest})
}

// sendSyncRequest sends the next request of the synchronization.
func (state *State) sendSyncRequest(message Message) {
	state.sequence++
	message.Sequence = state.sequence
	state.sync.request = message
	state.sync.sent = state.now
	state.sync.tries = 1
	state.send(state.sync.peer, message)
}

// advanceSync repeats an unanswered request and aborts the synchronization after a few tries.
func (state *State) advanceSync() {
	if !state.sync.active || state.now.Sub(state.sync.sent) < _syncRetryInterval {
		return
	}
	if state.sync.tries >= _maxSyncTries {
		state.sync.active = false
		return
	}
	state.sync.tries++
	state.sync.sent = state.now
	state.send(state.sync.peer, state.sync.request)
}

// answersSyncRequest reports whether the message answers the pending request.
func (state *State) answersSyncRequest(message Message) bool {
	return state.sync.active && message.Sequence == state.sync.request.Sequence
}

func (state *State) sendSummary(event MessageReceived) {
	digests := make([]DomainDigest, 0, len(state.otherDomains)+1)
	digests = append(digests, DomainDigest{Domain: state.ownDomain.name, Digest: state.ownDomain.digest})
	for _, domain := range state.otherDomains {
		digests = append(digests, DomainDigest{Domain: domain.name, Digest: domain.digest})
	}
	state.send(event.From, Message{Kind: Summary, Sequence: event.Message.Sequence, Digests: digests})
}

func (state *State) receiveSummary(message Message) {
	if !state.answersSyncRequest(message) {
		return
	}
	state.sync.domains = nil
	for _, digest := range message.Digests {
		if state.domainOf(digest.Domain).digest != digest.Digest {
			state.sync.domains = append(state.sync.domains, digest.Domain)
		}
	}
	state.requestNextDomain()
}

func (state *State) requestNextDomain() {
	if len(state.sync.domains) == 0 {
		state.sync.active = false
		state.sync.syncedOnce = true
		return
	}
	name := state.sync.domains[0]
	state.sync.domains = state.sync.domains[1:]
	state.sendSyncRequest(Message{Kind: PageRequest, Domain: name})
}

// sendPage answers with as many members of a domain after the cursor as fit into a message.
func (state *State) sendPage(event MessageReceived) {
	domain := state.domainOf(event.Message.Domain)
	page := Message{Kind: Page, Sequence: event.Message.Sequence, Domain: domain.name}
	budget := MaxMessage - 2*_messageOverhead
	if domain == state.ownDomain && event.Message.Cursor == "" {
		page.Records = append(page.Records, state.self)
		budget -= state.self.size()
	}
	for _, member := range domain.members[domain.after(event.Message.Cursor):] {
		budget -= member.record.size()
		if budget < 0 {
			page.Cursor = page.Records[len(page.Records)-1].Member.Instance
			break
		}
		page.Records = append(page.Records, member.record)
	}
	state.send(event.From, page)
}

// receivePage sends the peer the members that the page lacked, and requests the next page. The records of the page
// have already been applied.
func (state *State) receivePage(message Message) {
	if !state.answersSyncRequest(message) {
		return
	}
	state.pushMissing(message)
	state.sendCorrections(state.sync.peer, message.Records)
	if message.Cursor == "" {
		state.requestNextDomain()
		return
	}
	state.sendSyncRequest(Message{Kind: PageRequest, Domain: message.Domain, Cursor: message.Cursor})
}

// pushMissing sends the members within the page's range of names that the page lacked.
func (state *State) pushMissing(message Message) {
	domain := state.domainOf(message.Domain)
	last := len(domain.members)
	if message.Cursor != "" {
		last = domain.after(message.Cursor)
	}
	first := min(domain.after(state.sync.request.Cursor), last)
	push := Message{Kind: Push}
	budget := MaxMessage - _messageOverhead
	pushes := 0
	for _, member := range domain.members[first:last] {
		if containsMember(message.Records, member.record.Member) {
			continue
		}
		budget -= member.record.size()
		if budget < 0 {
			pushes++
			state.send(state.sync.peer, push)
			push.Records = nil
			budget = MaxMessage - _messageOverhead - member.record.size()
		}
		if pushes >= _maxPushesPerPage {
			return
		}
		push.Records = append(push.Records, member.record)
	}
	if len(push.Records) > 0 {
		state.send(state.sync.peer, push)
	}
}

func containsMember(records []Record, member id.Member) bool {
	return slices.ContainsFunc(records, func(record Record) bool { return record.Member == member })
}

// sendCorrections sends a peer the newer records of instances that are suspected or have ended.
func (state *State) sendCorrections(peer netip.AddrPort, records []Record) {
	corrections := make([]Record, 0, len(records))
	for _, record := range records {
		corrections = append(corrections, state.correction(record)...)
	}
	if len(corrections) > 0 {
		state.send(peer, Message{Kind: Gossip, Records: corrections})
	}
}
