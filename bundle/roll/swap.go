package roll

import (
	"context"

	"github.com/rotisserie/eris"

	"azureshift/bundle"
	"azureshift/io/platform"
)

// moveHead replaces the head as read before with ours by compare-and-swap. If the answer is lost, it reads the head
// back. While the head is unchanged, it retries with the same index, so that at most one attempt takes effect.
func (roller *Roller) moveHead(ctx context.Context, ours bundle.Head, value []byte, seen seenHead) error {
	for {
		outcome, err := roller.trySwap(ctx, value, seen.index)
		if outcome == platform.OutcomeApplied {
			return nil
		}
		if outcome == platform.OutcomeNotApplied && err != nil {
			return eris.Wrap(err, "replace the head")
		}
		current, err := roller.readHead(ctx)
		switch {
		case err != nil:
			return &OutcomeUnknownError{Attempted: ours.Version, Cause: err}
		case current.index != seen.index:
			return roller.resolveOutcome(ctx, ours, seen, current)
		}
		if !roller.pause(ctx) {
			return &OutcomeUnknownError{Attempted: ours.Version, Cause: ctx.Err()}
		}
	}
}

func (roller *Roller) trySwap(ctx context.Context, value []byte, index platform.Index) (platform.Outcome, error) {
	if !roller.config.Disabled.CompareAndSwap {
		return roller.config.Store.CompareAndSwap(ctx, HeadKey, value, index)
	}
	if err := roller.config.Store.Put(ctx, HeadKey, value); err != nil {
		return platform.OutcomeUnknown, err
	}
	return platform.OutcomeApplied, nil
}

// resolveOutcome determines whether the current head superseded ours, in which case the roll has succeeded, or
// won over it.
func (roller *Roller) resolveOutcome(ctx context.Context, ours bundle.Head, seen, current seenHead) error {
	if !roller.config.Disabled.ReadBack {
		if done, err := roller.rolledBefore(ctx, ours, current.head); done || err != nil {
			return err
		}
	}
	return &ConflictError{Attempted: ours.Version, Expected: seen.head.Version, Winner: current.head}
}

// rolledBefore reports whether ours is the head in force or one of its predecessors.
func (roller *Roller) rolledBefore(ctx context.Context, ours, inForce bundle.Head) (bool, error) {
	current := refOf(inForce)
	for current.Version > ours.Version {
		found, err := roller.readRecord(ctx, current)
		if err != nil {
			return false, &OutcomeUnknownError{Attempted: ours.Version, Cause: err}
		}
		current = found.Follows
	}
	return current == refOf(ours), nil
}
