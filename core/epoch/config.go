package epoch

import (
	"time"

	"azureshift/core/id"
)

// Config identifies the instance and holds the timing of its proposals. Zero durations get defaults.
type Config struct {
	Self   id.Member
	Domain id.Domain
	// StabilityWait is the time for which the live members have to stay the same before they are proposed,
	// and MaxStabilityWait the maximum wait while they keep changing.
	StabilityWait    time.Duration
	MaxStabilityWait time.Duration
	// TurnDelay is the additional wait for each live member that ranks higher as a proposer.
	TurnDelay time.Duration
	// StartDelay is how long a new instance waits to receive the view in force before it proposes one.
	StartDelay time.Duration
	// NonMemberDelay is the additional wait of an instance that is not in the view. It doubles each
	// time that a new view excludes the instance.
	NonMemberDelay time.Duration
	// MinInterval is the minimum time between adopting a view and proposing the next.
	MinInterval time.Duration
	// AnswerTimeout is the timeout of a request to the platform.
	AnswerTimeout time.Duration
	// Backoff is the wait after the first failure; it doubles with each further one up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// PauseLimit is the gap between two events above which the list of live members counts as stale.
	PauseLimit time.Duration
	Disabled   Disabled
}

// Disabled turns mechanisms off, so that tests can show what each contributes.
type Disabled struct {
	StabilityWait  bool
	ReadBack       bool
	TurnDelay      bool
	NonMemberDelay bool
}

func (config Config) withDefaults() Config {
	setDefault(&config.StabilityWait, 300*time.Millisecond)
	setDefault(&config.MaxStabilityWait, 1500*time.Millisecond)
	setDefault(&config.TurnDelay, time.Second)
	setDefault(&config.StartDelay, 2*time.Second)
	setDefault(&config.NonMemberDelay, 5*time.Second)
	setDefault(&config.MinInterval, time.Second)
	setDefault(&config.AnswerTimeout, 3*time.Second)
	setDefault(&config.Backoff, 250*time.Millisecond)
	setDefault(&config.MaxBackoff, 30*time.Second)
	setDefault(&config.PauseLimit, time.Second)
	return config
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
