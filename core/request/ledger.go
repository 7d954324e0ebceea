package request

import (
	"time"

	"azureshift/core/id"
)

// entry is one request known to this instance.
type entry struct {
	key        Key
	class      Class
	status     Status
	dispatcher id.Member
	target     id.Target
	retryAfter time.Duration
	payload    []byte
	createdAt  time.Time
	// ackedStatus is the latest status that the runner-up of the current view has acknowledged.
	ackedStatus Status
	// attempted means that the request was sent to a target that has not refused it, or was passed on.
	attempted bool
	// moved means that the request was passed on to another failure domain, or is about to be.
	moved    bool
	buffered bool
	removed  bool
	pending  *pending
	// hold is the slot that an earlier owner's attempt occupies.
	hold *hold
}

// ledger holds the records of one shard in the order in which they were added.
type ledger struct {
	records     map[Key]*entry
	log         []*entry
	answerCache *answerCache
}

// answerCache holds the cached answers of all shards, oldest first.
type answerCache struct {
	entries []*entry
	bytes   int
}

func newLedger(answerCache *answerCache) ledger {
	return ledger{records: make(map[Key]*entry), answerCache: answerCache}
}

func (ledger *ledger) add(entry *entry) {
	ledger.records[entry.key] = entry
	ledger.log = append(ledger.log, entry)
}

func (ledger *ledger) remove(entry *entry) {
	if entry.removed {
		return
	}
	entry.removed = true
	entry.hold.release()
	delete(ledger.records, entry.key)
	ledger.answerCache.bytes -= len(entry.payload)
}

// store caches the answer of an entry if it is small enough, evicts the oldest answers beyond the limit and returns
// how many it evicted.
func (answerCache *answerCache) store(entry *entry, payload []byte, config Config) int {
	if len(payload) > config.MaxCachedAnswer || entry.payload != nil {
		return 0
	}
	entry.payload = payload
	answerCache.bytes += len(payload)
	answerCache.entries = append(answerCache.entries, entry)
	evicted := 0
	for answerCache.bytes > config.AnswerCacheBytes {
		oldest := answerCache.entries[0]
		answerCache.entries = answerCache.entries[1:]
		if oldest.removed {
			continue
		}
		answerCache.bytes -= len(oldest.payload)
		oldest.payload = nil
		evicted++
	}
	return evicted
}

// trim drops the oldest entries as long as their records have been removed.
func (answerCache *answerCache) trim() {
	for len(answerCache.entries) > 0 && answerCache.entries[0].removed {
		answerCache.entries[0] = nil
		answerCache.entries = answerCache.entries[1:]
	}
}

// expireRecords removes records older than the retention. A record with an open attempt stays.
func (state *State) expireRecords(shard *shard) {
	for len(shard.log) > 0 {
		oldest := shard.log[0]
		if !oldest.removed {
			if state.now.Sub(oldest.createdAt) < state.config.Retention || oldest.hasOpenAttempt() {
				return
			}
			shard.queue.remove(oldest)
			shard.remove(oldest)
		}
		shard.log[0] = nil
		shard.log = shard.log[1:]
	}
}

// hasOpenAttempt reports whether this instance waits for a target to answer the request.
func (entry *entry) hasOpenAttempt() bool {
	return entry.pending != nil && entry.pending.target != nil
}

func (entry *entry) toRecord(now time.Time) Record {
	return Record{
		Caller:     entry.key.Caller,
		Tag:        entry.key.Tag,
		Status:     entry.status,
		Dispatcher: entry.dispatcher,
		Target:     entry.target,
		RetryAfter: entry.retryAfter,
		Payload:    entry.payload,
		Age:        now.Sub(entry.createdAt),
	}
}

// merge adds a record that was reported by from to the ledger and returns the entry.
func (state *State) merge(shard *shard, record Record, from id.Member) *entry {
	key := Key{Caller: record.Caller, Service: shard.name.Service, Tag: record.Tag}
	known, ok := shard.records[key]
	if !ok {
		known = &entry{key: key, class: AtMostOnce, createdAt: state.now.Add(-record.Age)}
		shard.add(known)
	} else if known.hasOpenAttempt() || !supersedes(record, from, known) {
		return known
	}
	if record.Status != StatusIntended {
		known.hold.release()
	}
	known.status = record.Status
	known.dispatcher = record.Dispatcher
	known.target = record.Target
	known.retryAfter = record.RetryAfter
	if record.Payload != nil {
		for range shard.answerCache.store(known, record.Payload, state.config) {
			state.count(CountEvicted)
		}
	}
	return known
}

// supersedes reports whether the record replaces the state of the entry. The dispatcher's own report on whether a
// target has the request takes precedence; "not run" never overrides the attempt of another dispatcher.
func supersedes(record Record, from id.Member, known *entry) bool {
	if record.Status == StatusIntended && known.awaitsDispatch() && known.dispatcher == record.Dispatcher {
		return false
	}
	if known.dispatcher != record.Dispatcher {
		return statusPrecedence(record.Status) > statusPrecedence(known.status)
	}
	if known.status == StatusIntended && record.Status == StatusQueued {
		return from == record.Dispatcher
	}
	return record.Status > known.status
}

func statusPrecedence(status Status) int {
	switch status {
	case StatusQueued:
		return 1
	case StatusNotRun:
		return 2
	case StatusIntended:
		return 3
	case StatusUnknown:
		return 4
	case StatusAnswered:
		return 5
	default:
		return 0
	}
}
