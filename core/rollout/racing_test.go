package rollout_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
	"azureshift/bundle/roll"
	"azureshift/core/id"
	"azureshift/core/rollout"
	"azureshift/io/platform"
	standin "azureshift/standin/platform"
)

// follower runs a rollout.State against the platform only, as an instance that watches the platform does.
type follower struct {
	c       *qt.C
	client  *platform.Client
	state   *rollout.State
	events  chan rollout.Event
	applied []id.Version
}

func TestFollowersOfRacingRollsAgree(t *testing.T) {
	for seed := range uint64(_seeds) {
		synctest.Test(t, func(t *testing.T) { runRacingRolls(qt.New(t), seed) })
	}
}

// runRacingRolls lets two operators roll concurrently while the platform loses requests and answers. Afterwards every
// follower must have the platform's head in force, and must have applied increasing versions only.
func runRacingRolls(c *qt.C, seed uint64) {
	fake := standin.NewWithConfig(standin.Config{Seed: seed})
	fake.SetFaults(standin.Faults{Delay: 3 * time.Millisecond, LoseAnswers: 0.3, LoseRequests: 0.1})
	key, ring := newKey(c)
	ctx, stop := context.WithCancel(c.Context())
	var running, operators sync.WaitGroup
	followers := make([]*follower, 2)
	for index := range followers {
		member := id.Member{Instance: id.Instance(rune('a' + index)), Incarnation: 1}
		config := rollout.DefaultConfig(member, ring, rand.New(rand.NewPCG(seed, uint64(index))))
		followers[index] = &follower{
			c: c, client: newClient(c, fake), state: rollout.New(config), events: make(chan rollout.Event, 64),
		}
		running.Go(func() { followers[index].run(ctx, member, &running) })
	}
	for number := range 2 {
		operators.Go(func() { rollRepeatedly(c, newClient(c, fake), key, 2+number) })
	}
	operators.Wait()
	fake.SetFaults(standin.Faults{})
	time.Sleep(_convergenceTime)
	head, err := roll.New(roll.Config{Store: newClient(c, fake)}).CurrentHead(ctx)
	c.Assert(err, qt.IsNil)
	stop()
	running.Wait()
	for _, follower := range followers {
		c.Assert(follower.state.Head().Digest(), qt.Equals, head.Digest(), qt.Commentf("seed %d", seed))
		for index := 1; index < len(follower.applied); index++ {
			c.Assert(follower.applied[index] > follower.applied[index-1], qt.IsTrue, qt.Commentf("seed %d", seed))
		}
	}
}

// rollRepeatedly rolls five versions as one operator. A roll may fail only because of the other operator's rolls.
func rollRepeatedly(c *qt.C, client *platform.Client, key bundle.SigningKey, targets int) {
	roller := roll.New(roll.Config{Store: client, RetainedVersions: 2})
	for range 5 {
		ctx, cancel := context.WithTimeout(c.Context(), 10*time.Second)
		seen, err := roller.CurrentHead(ctx)
		c.Check(err, qt.IsNil)
		signed, err := key.Sign(sampleBundle(seen.Version+1, 4, targets), time.Now())
		c.Check(err, qt.IsNil)
		_, err = roller.Roll(ctx, signed, seen.Version)
		var conflict *roll.ConflictError
		var notKept *roll.VersionNotStoredError // the other operator rolled too many versions meanwhile
		expected := err == nil || errors.As(err, &conflict) || errors.As(err, &notKept)
		c.Check(expected, qt.IsTrue, qt.Commentf("%v", err))
		cancel()
	}
}

func (follower *follower) run(ctx context.Context, self id.Member, running *sync.WaitGroup) {
	ticker := time.NewTicker(_tickPeriod)
	defer ticker.Stop()
	follower.reduce(ctx, running, rollout.MembersChanged{At: time.Now(), Members: []id.Member{self}})
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-follower.events:
			follower.reduce(ctx, running, event)
		case at := <-ticker.C:
			follower.reduce(ctx, running, rollout.Tick{At: at})
		}
	}
}

func (follower *follower) reduce(ctx context.Context, running *sync.WaitGroup, event rollout.Event) {
	for _, effect := range follower.state.Reduce(event) {
		switch effect := effect.(type) {
		case rollout.WatchHead:
			running.Go(func() { follower.client.Watch(ctx, roll.HeadKey, follower.handleChange) })
		case rollout.FetchPart:
			running.Go(func() { follower.fetchPart(ctx, effect) })
		case rollout.Apply:
			follower.applied = append(follower.applied, effect.Bundle.Version)
		case rollout.HeadRefused, rollout.InvariantViolated:
			follower.c.Errorf("%+v", effect)
		}
	}
}

func (follower *follower) handleChange(change platform.Change) {
	head, err := bundle.DecodeHead(change.Entry.Value)
	if change.Err != nil || err != nil {
		return
	}
	follower.events <- rollout.HeadReceived{At: time.Now(), Head: head, From: rollout.Platform}
}

func (follower *follower) fetchPart(ctx context.Context, wanted rollout.FetchPart) {
	entry, err := follower.client.Get(ctx, roll.PartKey(wanted.Hash))
	if err != nil || entry.Index == 0 {
		follower.events <- rollout.PartFailed{At: time.Now(), Hash: wanted.Hash, From: wanted.From}
		return
	}
	follower.events <- rollout.PartReceived{At: time.Now(), Hash: wanted.Hash, Bytes: entry.Value}
}

func newClient(c *qt.C, fake *standin.Platform) *platform.Client {
	client, err := platform.New(platform.Config{Address: "http://platform", Timeout: time.Second, Transport: fake})
	c.Assert(err, qt.IsNil)
	return client
}
