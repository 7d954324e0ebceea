package request_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/epoch"
	"azureshift/core/id"
	"azureshift/core/request"
)

// solo is the only instance of its failure domain and needs no runner-up.
type solo struct {
	c       *qt.C
	state   *request.State
	now     time.Time
	effects []request.Effect
}

func newSolo(c *qt.C, change func(*request.Config), targets ...request.Target) *solo {
	member := id.Member{Instance: "morbegno-0", Incarnation: 1}
	config := request.DefaultConfig(member, "morbegno")
	config.RetryJitter = 0
	change(&config)
	solo := &solo{c: c, state: request.New(config), now: time.Unix(0, 0)}
	solo.reduce(request.TargetsChanged{At: solo.at(), Service: "stampa", Targets: targets})
	view := epoch.View{Domain: "morbegno", Number: 1, Members: []id.Member{member}}
	solo.reduce(request.ViewChanged{At: solo.at(), View: view})
	return solo
}

func (solo *solo) at() request.At { return request.At{At: solo.now} }

func (solo *solo) reduce(event request.Event) {
	solo.effects = append(solo.effects, slices.Clone(solo.state.Reduce(event))...)
}

func (solo *solo) advance(span time.Duration) {
	solo.now = solo.now.Add(span)
	solo.reduce(request.Tick{At: solo.at()})
}

func (solo *solo) arrive(number int, class request.Class, timeout time.Duration) request.Key {
	key := request.Key{
		Caller: netip.MustParseAddrPort("10.0.0.1:5683"), Service: "stampa", Tag: fmt.Sprint(number),
	}
	solo.reduce(request.Arrived{At: solo.at(), Key: key, Class: class, Deadline: solo.now.Add(timeout)})
	return key
}

func (solo *solo) reply(attempt request.Attempt, attemptResult request.AttemptResult) {
	solo.reduce(request.TargetReplied{
		At: solo.at(), Attempt: attempt, Result: attemptResult, Payload: []byte("sleeves"),
	})
}

// takeEffects returns the effects of one type since the last call.
func takeEffects[kind request.Effect](solo *solo) []kind {
	var effects []kind
	solo.effects = slices.DeleteFunc(solo.effects, func(effect request.Effect) bool {
		matching, ok := effect.(kind)
		if ok {
			effects = append(effects, matching)
		}
		return ok
	})
	return effects
}

func newTarget(name id.Target, slots int) request.Target {
	return request.Target{Name: name, Domain: "morbegno", Slots: slots}
}

func defaultSettings(*request.Config) {}

func TestAdmitsUpToTheSlots(t *testing.T) {
	c := qt.New(t)
	solo := newSolo(c, defaultSettings, newTarget("press-1", 3), newTarget("press-2", 3))
	for number := range 10 {
		solo.arrive(number, request.AtMostOnce, time.Minute)
	}
	dispatched := takeEffects[request.Dispatch](solo)
	byTarget := make(map[id.Target]int)
	for _, dispatch := range dispatched {
		byTarget[dispatch.Target]++
	}
	c.Assert(byTarget, qt.DeepEquals, map[id.Target]int{"press-1": 3, "press-2": 3})
	solo.reply(dispatched[0].Attempt, request.ResultAnswered)
	c.Assert(takeEffects[request.Dispatch](solo), qt.HasLen, 1)
}

func TestDrainingTargetGetsNothingNew(t *testing.T) {
	c := qt.New(t)
	draining := newTarget("press-1", 3)
	draining.Draining = true
	solo := newSolo(c, defaultSettings, draining, newTarget("press-2", 1))
	solo.arrive(1, request.AtMostOnce, time.Minute)
	solo.arrive(2, request.AtMostOnce, time.Minute)
	dispatched := takeEffects[request.Dispatch](solo)
	c.Assert(dispatched, qt.HasLen, 1)
	c.Assert(dispatched[0].Target, qt.Equals, id.Target("press-2"))
}

func TestNewTargetRampsUp(t *testing.T) {
	c := qt.New(t)
	solo := newSolo(c, defaultSettings, newTarget("press-1", 1))
	solo.reduce(request.TargetsChanged{
		At: solo.at(), Service: "stampa", Targets: []request.Target{newTarget("press-1", 1), newTarget("press-2", 3)},
	})
	for number := range 9 {
		solo.arrive(number, request.AtMostOnce, time.Minute)
	}
	first := takeEffects[request.Dispatch](solo)
	c.Assert(first, qt.HasLen, 2)
	for range 4 {
		solo.reply(first[1].Attempt, request.ResultAnswered)
		first[1] = takeEffects[request.Dispatch](solo)[0]
	}
	solo.effects = nil
	solo.arrive(10, request.AtMostOnce, time.Minute)
	solo.reply(first[1].Attempt, request.ResultAnswered)
	c.Assert(len(takeEffects[request.Dispatch](solo)) > 0, qt.IsTrue)
}

func TestRefusedRequestGoesElsewhere(t *testing.T) {
	c := qt.New(t)
	solo := newSolo(c, defaultSettings, newTarget("press-1", 3), newTarget("press-2", 3))
	solo.arrive(1, request.AtMostOnce, time.Minute)
	first := takeEffects[request.Dispatch](solo)[0]
	solo.reply(first.Attempt, request.ResultRefused)
	solo.advance(10 * time.Millisecond)
	second := takeEffects[request.Dispatch](solo)[0]
	c.Assert(second.Target, qt.Not(qt.Equals), first.Target)
	solo.reply(second.Attempt, request.ResultRefused)
	replies := takeEffects[request.Reply](solo)
	c.Assert(replies, qt.HasLen, 1)
	c.Assert(replies[0].Outcome, qt.Equals, request.NotRun)
}

func TestRetriesStayWithinTheirBudget(t *testing.T) {
	c := qt.New(t)
	few := func(config *request.Config) { config.RetryBurst = 1 }
	solo := newSolo(c, few, newTarget("press-1", 3), newTarget("press-2", 3))
	for number := range 2 {
		solo.arrive(number, request.Idempotent, time.Minute)
		first := takeEffects[request.Dispatch](solo)[0]
		solo.reply(first.Attempt, request.ResultRefused)
		solo.advance(100 * time.Millisecond)
	}
	c.Assert(takeEffects[request.Dispatch](solo), qt.HasLen, 0)
	c.Assert(takeEffects[request.Reply](solo)[0].Outcome, qt.Equals, request.NotRun)
}

func TestRetransmissionGetsTheKeptAnswer(t *testing.T) {
	c := qt.New(t)
	solo := newSolo(c, defaultSettings, newTarget("press-1", 3))
	key := solo.arrive(1, request.AtMostOnce, time.Minute)
	solo.arrive(1, request.AtMostOnce, time.Minute)
	solo.reply(takeEffects[request.Dispatch](solo)[0].Attempt, request.ResultAnswered)
	solo.arrive(1, request.AtMostOnce, time.Minute)
	replies := takeEffects[request.Reply](solo)
	c.Assert(replies, qt.HasLen, 2)
	for _, reply := range replies {
		c.Assert(reply.Key, qt.Equals, key)
		c.Assert(string(reply.Payload), qt.Equals, "sleeves")
	}
	c.Assert(takeEffects[request.Dispatch](solo), qt.HasLen, 0)
}

func TestEvictedAnswerIsUnknownAndNotRunAgain(t *testing.T) {
	c := qt.New(t)
	small := func(config *request.Config) { config.AnswerCacheBytes = len("sleeves") }
	solo := newSolo(c, small, newTarget("press-1", 3))
	for number := range 2 {
		solo.arrive(number, request.AtMostOnce, time.Minute)
		solo.reply(takeEffects[request.Dispatch](solo)[0].Attempt, request.ResultAnswered)
	}
	solo.effects = nil
	solo.arrive(0, request.AtMostOnce, time.Minute)
	c.Assert(takeEffects[request.Reply](solo)[0].Outcome, qt.Equals, request.Unknown)
	c.Assert(takeEffects[request.Dispatch](solo), qt.HasLen, 0)
}

func TestSilentTargetKeepsItsSlotUntilTheLimit(t *testing.T) {
	c := qt.New(t)
	solo := newSolo(c, defaultSettings, newTarget("press-1", 1))
	solo.arrive(1, request.AtMostOnce, time.Second)
	silent := takeEffects[request.Dispatch](solo)[0]
	solo.arrive(2, request.AtMostOnce, 10*time.Minute)
	solo.advance(time.Second)
	c.Assert(takeEffects[request.Reply](solo)[0].Outcome, qt.Equals, request.Unknown)
	c.Assert(takeEffects[request.Dispatch](solo), qt.HasLen, 0)
	solo.advance(request.DefaultConfig(id.Member{}, "").AttemptTimeout)
	c.Assert(takeEffects[request.Dispatch](solo), qt.HasLen, 1)
	solo.reply(silent.Attempt, request.ResultAnswered)
	c.Assert(slices.Contains(takeEffects[request.Count](solo), request.Count{Counter: request.CountUnmatchedReply}),
		qt.IsTrue)
}

func TestStrayAnswersAreDropped(t *testing.T) {
	c := qt.New(t)
	solo := newSolo(c, defaultSettings, newTarget("press-1", 1))
	solo.arrive(1, request.AtMostOnce, time.Minute)
	attempt := takeEffects[request.Dispatch](solo)[0].Attempt
	crossed := attempt
	crossed.Member.Incarnation++
	solo.reply(crossed, request.ResultAnswered)
	c.Assert(takeEffects[request.Reply](solo), qt.HasLen, 0)
	solo.reply(attempt, request.ResultAnswered)
	solo.reply(attempt, request.ResultAnswered)
	c.Assert(takeEffects[request.Reply](solo), qt.HasLen, 1)
}

func TestCancellation(t *testing.T) {
	c := qt.New(t)
	solo := newSolo(c, defaultSettings, newTarget("press-1", 1))
	dispatched := solo.arrive(1, request.AtMostOnce, time.Minute)
	queued := solo.arrive(2, request.AtMostOnce, time.Minute)
	solo.reduce(request.Cancelled{At: solo.at(), Key: queued})
	c.Assert(takeEffects[request.Reply](solo)[0].Outcome, qt.Equals, request.NotRun)
	solo.reduce(request.Cancelled{At: solo.at(), Key: dispatched})
	c.Assert(takeEffects[request.CancelAttempt](solo), qt.HasLen, 1)
}

func TestOverloadIsShedEarly(t *testing.T) {
	c := qt.New(t)
	solo := newSolo(c, defaultSettings, newTarget("press-1", 1))
	solo.arrive(0, request.AtMostOnce, time.Minute)
	solo.now = solo.now.Add(100 * time.Millisecond)
	solo.reply(takeEffects[request.Dispatch](solo)[0].Attempt, request.ResultAnswered)
	for number := range 20 {
		solo.arrive(number+1, request.AtMostOnce, time.Second)
	}
	replies := takeEffects[request.Reply](solo)
	c.Assert(len(replies) > 10, qt.IsTrue)
	c.Assert(replies[len(replies)-1].Outcome, qt.Equals, request.NotRun)
	c.Assert(replies[len(replies)-1].RetryAfter > 0, qt.IsTrue)
}
