package exchange

import (
	"net/netip"
	"sync"
	"time"

	"azureshift/core/health"
	"azureshift/core/id"
)

// Request is one attempt to send a request to a target.
type Request struct {
	// AttemptNumber is the number of the attempt in the control state.
	AttemptNumber uint64
	Service       id.Service
	Target        id.Target
	Address       netip.AddrPort
	// Deadline is when retransmission stops.
	Deadline time.Time
	// Packet is the encoded message, which is retransmitted until it is acknowledged.
	Packet []byte
	// MessageID is the message ID in Packet.
	MessageID uint16
}

// Retransmission is a message to send again.
type Retransmission struct {
	Address netip.AddrPort
	Packet  []byte
}

// Requests is the table of unanswered attempts. It is safe for concurrent use.
type Requests struct {
	incarnation id.Incarnation
	backoff     time.Duration

	mu        sync.Mutex
	counter   uint32
	open      map[Token]*attempt
	byNumber  map[uint64]Token
	byMessage map[messageKey]Token
}

type attempt struct {
	Request
	retransmitAt time.Time
	backoff      time.Duration
	acknowledged bool
}

type messageKey struct {
	address   netip.AddrPort
	messageID uint16
}

// NewRequests returns an empty table. A message is first retransmitted after backoff, which doubles with each
// retransmission.
func NewRequests(incarnation id.Incarnation, backoff time.Duration) *Requests {
	return &Requests{
		incarnation: incarnation,
		backoff:     backoff,
		open:        make(map[Token]*attempt),
		byNumber:    make(map[uint64]Token),
		byMessage:   make(map[messageKey]Token),
	}
}

// ReserveToken returns a new token for the next attempt.
func (requests *Requests) ReserveToken() Token {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	requests.counter++
	return newToken(requests.incarnation, requests.counter&^_feedBit)
}

// Open adds an attempt under its reserved token.
func (requests *Requests) Open(token Token, request Request, now time.Time) {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	requests.open[token] = &attempt{Request: request, retransmitAt: now.Add(requests.backoff), backoff: requests.backoff}
	requests.byNumber[request.AttemptNumber] = token
	requests.byMessage[messageKey{address: request.Address, messageID: request.MessageID}] = token
}

// Complete removes and returns the attempt that an answer from address belongs to. Duplicate answers and answers
// that do not come from the target's address match no attempt.
func (requests *Requests) Complete(token Token, address netip.AddrPort) (Request, bool) {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	found, ok := requests.open[token]
	if !ok || found.Address != address {
		return Request{}, false
	}
	requests.remove(token, found)
	return found.Request, true
}

// Acknowledge stops the retransmission of a message whose answer follows in a separate message, and returns the
// target.
func (requests *Requests) Acknowledge(address netip.AddrPort, messageID uint16) (health.Target, bool) {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	token, ok := requests.byMessage[messageKey{address: address, messageID: messageID}]
	if !ok {
		return health.Target{}, false
	}
	found := requests.open[token]
	found.acknowledged = true
	return health.Target{Service: found.Service, Name: found.Target}, true
}

// Cancel removes and returns the attempt with the given number.
func (requests *Requests) Cancel(number uint64) (Request, bool) {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	token, ok := requests.byNumber[number]
	if !ok {
		return Request{}, false
	}
	found := requests.open[token]
	requests.remove(token, found)
	return found.Request, true
}

// DueRetransmissions returns the messages to send again, with exponential backoff. It also removes the attempts whose
// deadline passed more than forgetAfter ago.
func (requests *Requests) DueRetransmissions(now time.Time, forgetAfter time.Duration) []Retransmission {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	var due []Retransmission
	for token, found := range requests.open {
		switch {
		case now.Sub(found.Deadline) > forgetAfter:
			requests.remove(token, found)
		case !found.acknowledged && now.After(found.retransmitAt) && now.Before(found.Deadline):
			found.backoff *= 2
			found.retransmitAt = now.Add(found.backoff)
			due = append(due, Retransmission{Address: found.Address, Packet: found.Packet})
		}
	}
	return due
}

// Len returns the number of unanswered attempts.
func (requests *Requests) Len() int {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	return len(requests.open)
}

// ByTarget returns the number of unanswered attempts at each target.
func (requests *Requests) ByTarget() map[health.Target]int {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	counts := make(map[health.Target]int)
	for _, found := range requests.open {
		counts[health.Target{Service: found.Service, Name: found.Target}]++
	}
	return counts
}

func (requests *Requests) remove(token Token, found *attempt) {
	delete(requests.open, token)
	delete(requests.byNumber, found.AttemptNumber)
	delete(requests.byMessage, messageKey{address: found.Address, messageID: found.MessageID})
}
