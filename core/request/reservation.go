package request

import (
	"time"

	"azureshift/core/id"
)

// reservation is a slot of a target that somebody else uses: an earlier owner's attempt or a borrower's.
type reservation struct {
	target   *target
	expires  time.Time
	released bool
}

func (state *State) reserveSlot(pool *pool, target *target, span time.Duration) *reservation {
	created := &reservation{target: target, expires: state.now.Add(span)}
	target.inFlight++
	pool.reservations = append(pool.reservations, created)
	return created
}

func (reservation *reservation) release() {
	if reservation == nil || reservation.released {
		return
	}
	reservation.released = true
	reservation.target.inFlight--
}

// expireReservations gives back what nobody has given back in time.
func (state *State) expireReservations(pool *pool) {
	kept := pool.reservations[:0]
	for _, reservation := range pool.reservations {
		if !reservation.released && !state.now.Before(reservation.expires) {
			state.count(CountHeld)
			reservation.release()
		}
		if !reservation.released {
			kept = append(kept, reservation)
		}
	}
	clear(pool.reservations[len(kept):])
	pool.reservations = kept
}

// reserveForeignAttempts keeps the slots of attempts that earlier owners have open.
func (state *State) reserveForeignAttempts(shard *shard) {
	for _, entry := range shard.log {
		foreign := !entry.removed && entry.status == StatusIntended && entry.dispatcher != state.config.Self
		if !foreign || entry.reservation != nil {
			continue
		}
		left := state.config.AttemptTimeout - state.now.Sub(entry.createdAt)
		target := shard.pool.find(entry.target)
		if target != nil && left > 0 {
			entry.reservation = state.reserveSlot(shard.pool, target, left)
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
