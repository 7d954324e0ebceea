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
	// ackedStatus is the last status that the runner-up of the current view has.
	ackedStatus Status
	// attempted means that a target has or had the request and did not refuse it.
	attempted bool
	// moved means that the request was passed on to another failure domain, or is about to be.
	moved    bool
	buffered bool
	removed  bool
	pending  *pending
	// reservation is the slot of an earlier owner's attempt.
	reservation *reservation
}

// ledger is the records of one shard in the order in which they came.
type ledger struct {
	records     map[Key]*entry
	log         []*entry
	answerCache *answerCache
}

// answerCache is the kept answers of all shards, oldest first.
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
	entry.reservation.release()
	delete(ledger.records, entry.key)
	ledger.answerCache.bytes -= len(entry.payload)
}

// store stores the answer of an entry if it is small enough, drops the oldest beyond the bound and returns
// how many it dropped.
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

// trim lets go of entries whose records are gone.
func (answerCache *answerCache) trim() {
	for len(answerCache.entries) > 0 && answerCache.entries[0].removed {
		answerCache.entries[0] = nil
		answerCache.entries = answerCache.entries[1:]
	}
}

// expireRecords drops records older than the retention. An open attempt keeps its record.
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

// hasOpenAttempt reports whether a target holds the request for this instance.
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

// merge adds what from says of a request to the ledger and returns the entry.
func (state *State) merge(shard *shard, record Record, from id.Member) *entry {
	key := Key{Caller: record.Caller, Service: shard.name.Service, Tag: record.Tag}
	known, ok := shard.records[key]
	if !ok {
		known = &entry{key: key, class: Once, createdAt: state.now.Add(-record.Age)}
		shard.add(known)
	} else if known.hasOpenAttempt() || !supersedes(record, from, known) {
		return known
	}
	if record.Status != StatusIntended {
		known.reservation.release()
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

// supersedes reports whether the record says more than the entry. The dispatcher knows best whether a
// target has the request; nobody's "not run" stands against another dispatcher's attempt.
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
