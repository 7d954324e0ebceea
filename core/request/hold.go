package request

import (
	"time"

	"azureshift/core/id"
)

// hold marks a slot of a target as in use by another instance: by an earlier owner's attempt or by a borrower.
type hold struct {
	target   *target
	expires  time.Time
	released bool
}

func (state *State) placeHold(pool *pool, target *target, duration time.Duration) *hold {
	created := &hold{target: target, expires: state.now.Add(duration)}
	target.inFlight++
	pool.holds = append(pool.holds, created)
	return created
}

func (hold *hold) release() {
	if hold == nil || hold.released {
		return
	}
	hold.released = true
	hold.target.inFlight--
}

// expireHolds releases the slots that were not given back in time.
func (state *State) expireHolds(pool *pool) {
	kept := pool.holds[:0]
	for _, hold := range pool.holds {
		if !hold.released && !state.now.Before(hold.expires) {
			state.count(CountSlotReclaimed)
			hold.release()
		}
		if !hold.released {
			kept = append(kept, hold)
		}
	}
	clear(pool.holds[len(kept):])
	pool.holds = kept
}

// holdForeignAttempts holds the slots of open attempts of earlier owners.
func (state *State) holdForeignAttempts(shard *shard) {
	for _, entry := range shard.log {
		foreign := !entry.removed && entry.status == StatusIntended && entry.dispatcher != state.config.Self
		if !foreign || entry.hold != nil {
			continue
		}
		timeLeft := state.config.AttemptTimeout - state.now.Sub(entry.createdAt)
		target := shard.pool.find(entry.target)
		if target != nil && timeLeft > 0 {
			entry.hold = state.placeHold(shard.pool, target, timeLeft)
		}
	}
}

func (pool *pool) find(name id.Target) *target {
	for _, target := range pool.targets {
		if target.name == name {
			return target
		}
	}
	return nil
}
