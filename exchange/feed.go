package exchange

import (
	"net/netip"
	"sync"
	"time"

	"azureshift/core/health"
	"azureshift/core/id"
)

const (
	_feedShardBits = 6
	_feedShards    = 1 << _feedShardBits
	// _feedBit is set in the counter of feed tokens and clear in that of request tokens.
	_feedBit = 1 << 31
)

// FeedKey identifies a feed of a caller. Token is the token chosen by the caller.
type FeedKey struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	Token   string
}

// Feed is a caller's registration at a target.
type Feed struct {
	Key     FeedKey
	Flow    id.Flow
	Service id.Service
	Target  id.Target
	Address netip.AddrPort
	// Registration is the caller's latest registration message as received.
	Registration []byte
	// MessageID is the message ID of Registration.
	MessageID int32
	// Answered reports whether the target has answered the latest registration.
	Answered bool
	// RenewedAt is when the caller last sent a registration.
	RenewedAt time.Time
}

// Feeds is the table of open feeds of an entry instance. It is safe for concurrent use.
type Feeds struct {
	incarnation id.Incarnation
	shards      [_feedShards]feedShard
}

type feedShard struct {
	mu      sync.Mutex
	counter uint32
	open    map[Token]*Feed
	tokens  map[FeedKey]Token
}

// NewFeeds returns an empty table.
func NewFeeds(incarnation id.Incarnation) *Feeds {
	feeds := &Feeds{incarnation: incarnation}
	for index := range feeds.shards {
		feeds.shards[index].open = make(map[Token]*Feed)
		feeds.shards[index].tokens = make(map[FeedKey]Token)
	}
	return feeds
}

// Renew stores the registration and returns its token. The token stays the same while the feed stays at the same
// target. If the feed was at another target, the feed there is returned too, to be deregistered.
// firstRegistration reports whether the caller had no open feed under its token.
func (feeds *Feeds) Renew(feed Feed) (token Token, endedFeed *EndedFeed, firstRegistration bool) {
	shard := &feeds.shards[uint64(feed.Flow)%_feedShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if known, ok := shard.tokens[feed.Key]; ok {
		if shard.open[known].Address == feed.Address {
			shard.open[known] = &feed
			return known, nil, false
		}
		endedFeed = &EndedFeed{Token: known, Feed: *shard.open[known]}
		shard.remove(known)
	}
	shard.counter++
	count := _feedBit | shard.counter<<_feedShardBits&^_feedBit | uint32(uint64(feed.Flow)%_feedShards)
	token = newToken(feeds.incarnation, count)
	shard.open[token] = &feed
	shard.tokens[feed.Key] = token
	return token, endedFeed, endedFeed == nil
}

// EndedFeed is a feed that was removed from the table, with the token that identifies it at its target.
type EndedFeed struct {
	Token Token
	Feed  Feed
}

// MatchNotification returns the feed that a message from address belongs to. firstAnswer reports whether it
// answers the latest registration.
func (feeds *Feeds) MatchNotification(token Token, address netip.AddrPort) (feed Feed, firstAnswer, found bool) {
	shard := &feeds.shards[token.count()%_feedShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known, ok := shard.open[token]
	if !ok || known.Address != address {
		return Feed{}, false, false
	}
	firstAnswer = !known.Answered
	known.Answered = true
	return *known, firstAnswer, true
}

// End removes and returns the feed of a caller.
func (feeds *Feeds) End(key FeedKey, flow id.Flow) (EndedFeed, bool) {
	shard := &feeds.shards[uint64(flow)%_feedShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	token, ok := shard.tokens[key]
	if !ok {
		return EndedFeed{}, false
	}
	endedFeed := EndedFeed{Token: token, Feed: *shard.open[token]}
	shard.remove(token)
	return endedFeed, true
}

// Expire removes and returns the feeds that were last renewed before the given time.
func (feeds *Feeds) Expire(before time.Time) []EndedFeed {
	var expired []EndedFeed
	for index := range feeds.shards {
		shard := &feeds.shards[index]
		shard.mu.Lock()
		for token, feed := range shard.open {
			if feed.RenewedAt.Before(before) {
				expired = append(expired, EndedFeed{Token: token, Feed: *feed})
				shard.remove(token)
			}
		}
		shard.mu.Unlock()
	}
	return expired
}

// All returns a copy of every open feed.
func (feeds *Feeds) All() []Feed {
	var all []Feed
	for index := range feeds.shards {
		shard := &feeds.shards[index]
		shard.mu.Lock()
		for _, feed := range shard.open {
			all = append(all, *feed)
		}
		shard.mu.Unlock()
	}
	return all
}

// Len returns the number of open feeds.
func (feeds *Feeds) Len() int {
	total := 0
	for index := range feeds.shards {
		shard := &feeds.shards[index]
		shard.mu.Lock()
		total += len(shard.open)
		shard.mu.Unlock()
	}
	return total
}

// ByTarget returns the number of open feeds at each target.
func (feeds *Feeds) ByTarget() map[health.Target]int {
	counts := make(map[health.Target]int)
	for _, feed := range feeds.All() {
		counts[health.Target{Service: feed.Service, Name: feed.Target}]++
	}
	return counts
}

func (shard *feedShard) remove(token Token) {
	delete(shard.tokens, shard.open[token].Key)
	delete(shard.open, token)
}
