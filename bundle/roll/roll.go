// Package roll replaces the bundle in force at the platform with the next signed-off version.
package roll

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"azureshift/bundle"
	"azureshift/core/id"
	"azureshift/io/platform"
)

// Store is the interface of the platform's key-value service that a roll uses.
type Store interface {
	Reader
	Keys(ctx context.Context, prefix string) ([]string, error)
	Put(ctx context.Context, key string, value []byte) error
	CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Index) (platform.Outcome, error)
	Delete(ctx context.Context, key string, expected platform.Index) (platform.Outcome, error)
}

var _ Store = (*platform.Client)(nil)

// Config configures a Roller.
type Config struct {
	Store Store
	// RetainedVersions is the number of versions that are retained at the platform with their parts.
	RetainedVersions int
	// MaxConcurrentWrites is the maximum number of parts written concurrently.
	MaxConcurrentWrites int
	// MaxBackoff is the maximum pause before a call is retried.
	MaxBackoff time.Duration
	// Disabled turns protections off, so that a test can show what they prevent.
	Disabled DisabledProtections
}

// DisabledProtections lists the protections that a test can turn off.
type DisabledProtections struct {
	// CompareAndSwap, if set, writes the head unconditionally.
	CompareAndSwap bool
	// ReadBack, if set, reports a conflict after a lost answer without checking whether our head was in force.
	ReadBack bool
	// DeleteByIndex, if set, deletes a part even if it was written again since its index was read.
	DeleteByIndex bool
}

// Roller rolls bundles and reads rolled ones.
type Roller struct {
	config Config
}

// Report is the result of a roll.
type Report struct {
	Head bundle.Head
	// PreviousVersion is the version that was in force before the roll, zero if there was none.
	PreviousVersion id.Version
	// PartsWritten is the number of parts written to the platform.
	PartsWritten int
	// AlreadyRolled is set if this sign-off had been rolled before; nothing was written then.
	AlreadyRolled bool
	// CleanupErr is the reason why old parts were not deleted, if any. The roll has succeeded nevertheless.
	CleanupErr error
}

const (
	_defaultKeep    = 4
	_defaultWriters = 8
	_defaultBackoff = 500 * time.Millisecond
)

// New returns a roller.
func New(config Config) *Roller {
	if config.RetainedVersions <= 0 {
		config.RetainedVersions = _defaultKeep
	}
	if config.MaxConcurrentWrites <= 0 {
		config.MaxConcurrentWrites = _defaultWriters
	}
	if config.MaxBackoff <= 0 {
		config.MaxBackoff = _defaultBackoff
	}
	return &Roller{config: config}
}

// Roll puts a signed bundle in force in place of the expected version, zero for none. If several operators roll
// concurrently with the same expected version, one succeeds and the others get a ConflictError. Rolling the same signed
// bundle again is idempotent. Failed calls are retried until the context ends.
func (roller *Roller) Roll(ctx context.Context, signed bundle.Signed, expect id.Version) (Report, error) {
	seen, err := roller.readHead(ctx)
	if err != nil {
		return Report{}, err
	}
	report := Report{Head: signed.Head, PreviousVersion: seen.head.Version}
	var notKept *VersionNotStoredError
	done, err := roller.rolledBefore(ctx, signed.Head, seen.head)
	switch {
	case done:
		report.AlreadyRolled = true
		return report, nil
	case err != nil && !errors.As(err, &notKept):
		return Report{}, err
	}
	if seen.head.Version != expect {
		return Report{}, &ConflictError{Attempted: signed.Head.Version, Expected: expect, Winner: seen.head}
	}
	if signed.Head.Version <= seen.head.Version {
		return Report{}, &StaleVersionError{Attempted: signed.Head.Version, InForce: seen.head.Version}
	}
	value, err := bundle.EncodeHead(signed.Head)
	if err != nil {
		return Report{}, err
	}
	if err := roller.writeRecord(ctx, record{Head: signed.Head, Follows: refOf(seen.head)}); err != nil {
		return Report{}, err
	}
	if report.PartsWritten, err = roller.writeParts(ctx, signed, seen.head); err != nil {
		return Report{}, err
	}
	if err := roller.moveHead(ctx, signed.Head, value, seen); err != nil {
		return Report{}, err
	}
	report.CleanupErr = roller.cleanUp(ctx, signed.Head)
	return report, nil
}

// writeParts writes the parts that are not in the head in force. Parts of the head in force are protected from cleanup.
// Any other part may be in the process of being deleted, so it is written again even if it is stored.
func (roller *Roller) writeParts(ctx context.Context, signed bundle.Signed, inForce bundle.Head) (int, error) {
	parts, err := signed.Parts()
	if err != nil {
		return 0, err
	}
	held := make(map[bundle.Hash]struct{}, len(inForce.Parts))
	for _, ref := range inForce.Parts {
		held[ref.Hash] = struct{}{}
	}
	writers := pool.New().WithMaxGoroutines(roller.config.MaxConcurrentWrites).WithContext(ctx).WithCancelOnError()
	written := 0
	for _, part := range parts {
		if _, ok := held[part.Hash]; ok {
			continue
		}
		written++
		writers.Go(func(ctx context.Context) error {
			return roller.retry(ctx, func() error { return roller.config.Store.Put(ctx, PartKey(part.Hash), part.Bytes) })
		})
	}
	return written, eris.Wrap(writers.Wait(), "write the parts; the version in force is unchanged: repeat the roll")
}

// retry repeats a call while its error is retryable, until it succeeds or the context ends.
func (roller *Roller) retry(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil || !isRetryable(err) {
			return err
		}
		if !roller.pause(ctx) {
			return err
		}
	}
}

// pause waits a random time up to the backoff and reports whether the context is still active.
func (roller *Roller) pause(ctx context.Context) bool {
	timer := time.NewTimer(rand.N(roller.config.MaxBackoff) + 1)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
