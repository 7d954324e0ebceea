package request

import (
	"math/rand"
	"time"

	"azureshift/core/id"
)

// Config sets up the requests of one entry instance.
type Config struct {
	Self   id.Member
	Domain id.Domain
	// Random is the source of retry jitter.
	Random *rand.Rand

	// ContactLease is how long a heartbeat counts as contact. It plus the greatest delay of a heartbeat
	// must be less than FenceWait.
	ContactLease time.Duration
	// FenceWait is how long a new owner waits for dispatchers of an earlier epoch to stop.
	FenceWait time.Duration
	// RetransmitSpan is how long copies of one request may keep arriving.
	RetransmitSpan time.Duration
	// QuorumLossWait ends a takeover for which too few of the earlier members confirm the epoch or are proved
	// dead. It is safe only if it is longer than any majority can be cut from the platform; 0 waits for proof.
	QuorumLossWait time.Duration
	// PauseThreshold is the gap between two events from which the instance counts as paused.
	PauseThreshold time.Duration
	// Retention is how long the record of a request is kept.
	Retention time.Duration
	// ResendInterval is how long a message to a peer may stay without its answer.
	ResendInterval time.Duration
	// OwnerReportWait is how long a new owner waits for the earlier owner's records besides the runner-up's.
	OwnerReportWait time.Duration
	// AttemptTimeout is how long a silent attempt keeps its slot.
	AttemptTimeout time.Duration
	// LeaveReportWait is how long after a view a leaving instance waits to be asked for its records.
	LeaveReportWait time.Duration
	// LeaveLimit bounds a planned stop.
	LeaveLimit time.Duration

	// QueueLength bounds the queue of one shard.
	QueueLength int
	// MaxWaitShare is the share of the time to its deadline that a request may be expected to wait.
	MaxWaitShare float64
	// RecordsPerMessage bounds the records in one message.
	RecordsPerMessage int
	// AnswerCacheBytes bounds the answers kept by the instance; the oldest goes first and becomes Unknown.
	AnswerCacheBytes int
	// MaxCachedAnswer is the size in bytes up to which an answer is kept.
	MaxCachedAnswer int
	// RetriesPerAnswer is how many retries one answered request earns.
	RetriesPerAnswer float64
	// RetryBurst bounds the retries that are saved up.
	RetryBurst float64
	// RetryJitter bounds the random wait before a retry.
	RetryJitter time.Duration
	// InitialSlots is the number of slots that a target starts with when it joins others.
	InitialSlots float64
	// SlotGrowth is added to a target's allowed slots by each answer, divided by the allowed slots.
	SlotGrowth float64

	Without Without
}

// Without removes single protections, so that a test can show what each is for.
type Without struct {
	Intent            bool
	EpochCheck        bool
	Seal              bool
	NotRunRecord      bool
	ContactFence      bool
	UncertaintyWindow bool
	Lending           bool
	PauseCheck        bool
}

// Default returns the settings of one instance; spans follow RFC 7252 section 4.8.2.
func Default(self id.Member, domain id.Domain) Config {
	return Config{
		Self:              self,
		Domain:            domain,
		Random:            rand.New(rand.NewSource(int64(self.Incarnation))),
		ContactLease:      2 * time.Second,
		FenceWait:         3 * time.Second,
		RetransmitSpan:    48 * time.Second,
		PauseThreshold:    500 * time.Millisecond,
		Retention:         247 * time.Second,
		ResendInterval:    50 * time.Millisecond,
		OwnerReportWait:   300 * time.Millisecond,
		AttemptTimeout:    93 * time.Second,
		LeaveReportWait:   10 * time.Second,
		LeaveLimit:        60 * time.Second,
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
