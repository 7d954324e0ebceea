package request

import (
	"math/rand"
	"time"

	"azureshift/core/id"
)

// Config holds the settings of one entry instance.
type Config struct {
	Self   id.Member
	Domain id.Domain
	// Random is the source of retry jitter.
	Random *rand.Rand

	// HeartbeatLease is how long a heartbeat counts as contact. HeartbeatLease plus the longest delay of a heartbeat
	// must be less than FenceWait.
	HeartbeatLease time.Duration
	// FenceWait is how long a new owner waits for dispatchers of an earlier epoch to stop.
	FenceWait time.Duration
	// RetransmitWindow is how long copies of one request may keep arriving. For as long after a takeover without
	// records, requests that have no record are answered Unknown.
	RetransmitWindow time.Duration
	// QuorumLossWait is how long after a view change a takeover without records waits if too few of the earlier
	// members confirm the epoch or are proved dead. It is safe only if it is longer than any majority can be
	// disconnected from the platform; 0 waits for proof.
	QuorumLossWait time.Duration
	// PauseThreshold is the gap between two events at which the instance is considered to have been paused.
	PauseThreshold time.Duration
	// Retention is how long the record of a request is kept.
	Retention time.Duration
	// ResendInterval is how long a message to a peer may stay unanswered before it is sent again.
	ResendInterval time.Duration
	// OwnerReportWait is how long a new owner that has the earlier runner-up's records waits for the earlier
	// owner's as well.
	OwnerReportWait time.Duration
	// AttemptTimeout is how long an unanswered attempt occupies its slot.
	AttemptTimeout time.Duration
	// LeaveReportWait is how long after a view change a leaving instance waits for requests for its records.
	LeaveReportWait time.Duration
	// LeaveTimeout bounds a planned stop.
	LeaveTimeout time.Duration

	// QueueLength bounds the queue of one shard.
	QueueLength int
	// MaxWaitShare is the share of the time to its deadline that a request may be expected to wait in the queue;
	// beyond it the request is shed.
	MaxWaitShare float64
	// RecordsPerMessage bounds the records in one message.
	RecordsPerMessage int
	// AnswerCacheBytes bounds the answers that the instance caches; the oldest is evicted first, and its request is
	// answered Unknown from then on.
	AnswerCacheBytes int
	// MaxCachedAnswer is the size in bytes up to which an answer is cached.
	MaxCachedAnswer int
	// RetriesPerAnswer is how much each answered request adds to the retry budget.
	RetriesPerAnswer float64
	// RetryBurst bounds the retry budget.
	RetryBurst float64
	// RetryJitter bounds the random wait before a retry.
	RetryJitter time.Duration
	// InitialSlots is the number of allowed slots that a target starts with when it joins other targets.
	InitialSlots float64
	// SlotGrowth divided by a target's allowed slots is added to them with each answer.
	SlotGrowth float64

	Disabled Disabled
}

// Disabled disables single protections, so that tests can show what each prevents.
type Disabled struct {
	Intent            bool
	EpochCheck        bool
	Seal              bool
	NotRunRecord      bool
	HeartbeatFence    bool
	UncertaintyWindow bool
	Lending           bool
	PauseCheck        bool
}

// DefaultConfig returns the default settings of one instance; time spans follow RFC 7252 section 4.8.2.
func DefaultConfig(self id.Member, domain id.Domain) Config {
	return Config{
		Self:              self,
		Domain:            domain,
		Random:            rand.New(rand.NewSource(int64(self.Incarnation))),
		HeartbeatLease:    2 * time.Second,
		FenceWait:         3 * time.Second,
		RetransmitWindow:  48 * time.Second,
		PauseThreshold:    500 * time.Millisecond,
		Retention:         247 * time.Second,
		ResendInterval:    50 * time.Millisecond,
		OwnerReportWait:   300 * time.Millisecond,
		AttemptTimeout:    93 * time.Second,
		LeaveReportWait:   10 * time.Second,
		LeaveTimeout:      60 * time.Second,
		QueueLength:       4096,
		MaxWaitShare:      0.5,
		RecordsPerMessage: 64,
		AnswerCacheBytes:  32 << 20,
		MaxCachedAnswer:   1 << 10,
		RetriesPerAnswer:  0.1,
		RetryBurst:        10,
		RetryJitter:       20 * time.Millisecond,
		InitialSlots:      1,
		SlotGrowth:        0.5,
	}
}
