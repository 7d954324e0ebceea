package rollout

import (
	"math/rand/v2"
	"time"

	"azureshift/bundle"
	"azureshift/core/id"
)

// Verifier verifies heads and parts.
type Verifier interface {
	// VerifyHead returns an error unless the head is signed with an accepted key.
	VerifyHead(head bundle.Head) error
	// OpenPart decodes a part. It returns an error if the bytes do not have the hash or do not decode.
	OpenPart(hash bundle.Hash, raw []byte) (bundle.Service, error)
}

var _ Verifier = bundle.KeyRing{}

// Config configures a follower.
type Config struct {
	// Self is this instance as a member.
	Self     id.Member
	Verifier Verifier
	// Watchers is the number of members of each failure domain that watch the platform's head.
	Watchers int
	// MaxFetches limits the part fetches in flight.
	MaxFetches int
	// FetchTimeout is the time after which a fetch without an answer counts as failed.
	FetchTimeout time.Duration
	// MinBackoff and MaxBackoff bound the backoff between two attempts of a fetch, before jitter.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Random chooses among sources and adds jitter to the backoff.
	Random *rand.Rand
	// Disabled turns protections off, so that a test can show what each of them prevents.
	Disabled Disabled
}

// Disabled lists the protections that a test can turn off. Each field's comment says what happens without it.
type Disabled struct {
	// Ordering: a head of a lower version is accepted.
	Ordering bool
	// Completeness: a bundle is applied, without validation, before all its parts have arrived.
	Completeness bool
	// Verification: heads are accepted without a check of the signature.
	Verification bool
	// Validation: an invalid bundle is applied.
	Validation bool
	// Retry: the fetch of a part is given up after one failure.
	Retry bool
	// Election: every member watches the platform.
	Election bool
	// Reuse: parts that the instance already has are fetched again.
	Reuse bool
}

// DefaultConfig returns the default configuration of a follower.
func DefaultConfig(self id.Member, verifier Verifier, random *rand.Rand) Config {
	return Config{
		Self:         self,
		Verifier:     verifier,
		Watchers:     2,
		MaxFetches:   32,
		FetchTimeout: time.Second,
		MinBackoff:   50 * time.Millisecond,
		MaxBackoff:   5 * time.Second,
		Random:       random,
	}
}

// backoff returns an exponential backoff with jitter: between half and all of a delay that doubles with each failure.
func (config Config) backoff(failures int) time.Duration {
	delay := config.MinBackoff
	for ; failures > 1 && delay < config.MaxBackoff; failures-- {
		delay *= 2
	}
	delay = min(delay, config.MaxBackoff)
	return delay/2 + time.Duration(config.Random.Int64N(int64(delay/2)+1))
}
