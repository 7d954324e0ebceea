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

// soloInstance is the only instance of its failure domain, so that it needs no runner-up.
type soloInstance struct {
	c       *qt.C
	state   *request.State
	now     time.Time
	effects []request.Effect
}

func newSoloInstance(c *qt.C, change func(*request.Config), targets ...request.Target) *soloInstance {
	member := id.Member{Instance: "morbegno-0", Incarnation: 1}
	config := request.Default(member, "morbegno")
	config.RetryJitter = 0
	change(&config)
	soloInstance := &soloInstance{c: c, state: request.New(config), now: time.Unix(0, 0)}
	soloInstance.reduce(request.TargetsChanged{At: soloInstance.eventTime(), Service: "stampa", Targets: targets})
	view := epoch.View{Domain: "morbegno", Number: 1, Members: []id.Member{member}}
	soloInstance.reduce(request.ViewChanged{At: soloInstance.eventTime(), View: view})
	return soloInstance
}

func (soloInstance *soloInstance) eventTime() request.At { return request.At{At: soloInstance.now} }

func (soloInstance *soloInstance) reduce(event request.Event) {
	soloInstance.effects = append(soloInstance.effects, slices.Clone(soloInstance.state.Reduce(event))...)
}

func (soloInstance *soloInstance) advance(span time.Duration) {
	soloInstance.now = soloInstance.now.Add(span)
	soloInstance.reduce(request.Tick{At: soloInstance.eventTime()})
}

func (soloInstance *soloInstance) arrive(number int, class request.Class, timeout time.Duration) request.Key {
	key := request.Key{
		Caller: netip.MustParseAddrPort("10.0.0.1:5683"), Service: "stampa", Tag: fmt.Sprint(number),
	}
	soloInstance.reduce(request.Arrived{At: soloInstance.eventTime(), Key: key, Class: class, Deadline: soloInstance.now.Add(timeout)})
	return key
}

func (soloInstance *soloInstance) reply(attempt request.Attempt, verdict request.Verdict) {
	soloInstance.reduce(request.TargetReplied{
		At: soloInstance.eventTime(), Attempt: attempt, Verdict: verdict, Payload: []byte("sleeves"),
	})
}

// takeEffects returns the effects of one type since the last call.
func takeEffects[kind request.Effect](soloInstance *soloInstance) []kind {
	var effects []kind
	soloInstance.effects = slices.DeleteFunc(soloInstance.effects, func(effect request.Effect) bool {
		one, ok := effect.(kind)
		if ok {
			effects = append(effects, one)
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
	soloInstance := newSoloInstance(c, defaultSettings, newTarget("press-1", 3), newTarget("press-2", 3))
	for number := range 10 {
		soloInstance.arrive(number, request.Once, time.Minute)
	}
	dispatched := takeEffects[request.Dispatch](soloInstance)
	byTarget := make(map[id.Target]int)
	for _, dispatch := range dispatched {
		byTarget[dispatch.Target]++
	}
	c.Assert(byTarget, qt.DeepEquals, map[id.Target]int{"press-1": 3, "press-2": 3})
	soloInstance.reply(dispatched[0].Attempt, request.VerdictAnswered)
	c.Assert(takeEffects[request.Dispatch](soloInstance), qt.HasLen, 1)
}

func TestDrainingTargetGetsNothingNew(t *testing.T) {
	c := qt.New(t)
	draining := newTarget("press-1", 3)
	draining.Draining = true
	soloInstance := newSoloInstance(c, defaultSettings, draining, newTarget("press-2", 1))
	soloInstance.arrive(1, request.Once, time.Minute)
	soloInstance.arrive(2, request.Once, time.Minute)
	dispatched := takeEffects[request.Dispatch](soloInstance)
	c.Assert(dispatched, qt.HasLen, 1)
	c.Assert(dispatched[0].Target, qt.Equals, id.Target("press-2"))
}

func TestNewTargetRampsUp(t *testing.T) {
	c := qt.New(t)
	soloInstance := newSoloInstance(c, defaultSettings, newTarget("press-1", 1))
	soloInstance.reduce(request.TargetsChanged{
		At: soloInstance.eventTime(), Service: "stampa", Targets: []request.Target{newTarget("press-1", 1), newTarget("press-2", 3)},
	})
	for number := range 9 {
		soloInstance.arrive(number, request.Once, time.Minute)
	}
	first := takeEffects[request.Dispatch](soloInstance)
	c.Assert(first, qt.HasLen, 2)
	for range 4 {
		soloInstance.reply(first[1].Attempt, request.VerdictAnswered)
		first[1] = takeEffects[request.Dispatch](soloInstance)[0]
	}
	soloInstance.effects = nil
	soloInstance.arrive(10, request.Once, time.Minute)
	soloInstance.reply(first[1].Attempt, request.VerdictAnswered)
	c.Assert(len(takeEffects[request.Dispatch](soloInstance)) > 0, qt.IsTrue)
}

func TestRefusedRequestGoesElsewhere(t *testing.T) {
	c := qt.New(t)
	soloInstance := newSoloInstance(c, defaultSettings, newTarget("press-1", 3), newTarget("press-2", 3))
	soloInstance.arrive(1, request.Once, time.Minute)
	first := takeEffects[request.Dispatch](soloInstance)[0]
	soloInstance.reply(first.Attempt, request.VerdictRefused)
	soloInstance.advance(10 * time.Millisecond)
	second := takeEffects[request.Dispatch](soloInstance)[0]
	c.Assert(second.Target, qt.Not(qt.Equals), first.Target)
	soloInstance.reply(second.Attempt, request.VerdictRefused)
	replies := takeEffects[request.Reply](soloInstance)
	c.Assert(replies, qt.HasLen, 1)
	c.Assert(replies[0].Outcome, qt.Equals, request.NotRun)
}

func TestRetriesStayWithinTheirBudget(t *testing.T) {
	c := qt.New(t)
	few := func(config *request.Config) { config.RetryBurst = 1 }
	soloInstance := newSoloInstance(c, few, newTarget("press-1", 3), newTarget("press-2", 3))
	for number := range 2 {
		soloInstance.arrive(number, request.Repeatable, time.Minute)
		first := takeEffects[request.Dispatch](soloInstance)[0]
		soloInstance.reply(first.Attempt, request.VerdictRefused)
		soloInstance.advance(100 * time.Millisecond)
	}
	c.Assert(takeEffects[request.Dispatch](soloInstance), qt.HasLen, 0)
	c.Assert(takeEffects[request.Reply](soloInstance)[0].Outcome, qt.Equals, request.NotRun)
}

func TestRetransmissionGetsTheKeptAnswer(t *testing.T) {
	c := qt.New(t)
	soloInstance := newSoloInstance(c, defaultSettings, newTarget("press-1", 3))
	key := soloInstance.arrive(1, request.Once, time.Minute)
	soloInstance.arrive(1, request.Once, time.Minute)
	soloInstance.reply(takeEffects[request.Dispatch](soloInstance)[0].Attempt, request.VerdictAnswered)
	soloInstance.arrive(1, request.Once, time.Minute)
	replies := takeEffects[request.Reply](soloInstance)
	c.Assert(replies, qt.HasLen, 2)
	for _, reply := range replies {
		c.Assert(reply.Key, qt.Equals, key)
		c.Assert(string(reply.Payload), qt.Equals, "sleeves")
	}
	c.Assert(takeEffects[request.Dispatch](soloInstance), qt.HasLen, 0)
}

func TestEvictedAnswerIsUnknownAndNotRunAgain(t *testing.T) {
	c := qt.New(t)
	small := func(config *request.Config) { config.AnswerCacheBytes = len("sleeves") }
	soloInstance := newSoloInstance(c, small, newTarget("press-1", 3))
	for number := range 2 {
		soloInstance.arrive(number, request.Once, time.Minute)
		soloInstance.reply(takeEffects[request.Dispatch](soloInstance)[0].Attempt, request.VerdictAnswered)
	}
	soloInstance.effects = nil
	soloInstance.arrive(0, request.Once, time.Minute)
	c.Assert(takeEffects[request.Reply](soloInstance)[0].Outcome, qt.Equals, request.Unknown)
	c.Assert(takeEffects[request.Dispatch](soloInstance), qt.HasLen, 0)
}

func TestSilentTargetKeepsItsSlotUntilTheLimit(t *testing.T) {
	c := qt.New(t)
	soloInstance := newSoloInstance(c, defaultSettings, newTarget("press-1", 1))
	soloInstance.arrive(1, request.Once, time.Second)
	silent := takeEffects[request.Dispatch](soloInstance)[0]
	soloInstance.arrive(2, request.Once, 10*time.Minute)
	soloInstance.advance(time.Second)
	c.Assert(takeEffects[request.Reply](soloInstance)[0].Outcome, qt.Equals, request.Unknown)
	c.Assert(takeEffects[request.Dispatch](soloInstance), qt.HasLen, 0)
	soloInstance.advance(request.Default(id.Member{}, "").AttemptTimeout)
	c.Assert(takeEffects[request.Dispatch](soloInstance), qt.HasLen, 1)
	soloInstance.reply(silent.Attempt, request.VerdictAnswered)
	c.Assert(slices.Contains(takeEffects[request.Count](soloInstance), request.Count{What: request.CountStrayReply}), qt.IsTrue)
}

func TestStrayAnswersAreDropped(t *testing.T) {
	c := qt.New(t)
	soloInstance := newSoloInstance(c, defaultSettings, newTarget("press-1", 1))
	soloInstance.arrive(1, request.Once, time.Minute)
	attempt := takeEffects[request.Dispatch](soloInstance)[0].Attempt
	crossed := attempt
	crossed.Member.Incarnation++
	soloInstance.reply(crossed, request.VerdictAnswered)
	c.Assert(takeEffects[request.Reply](soloInstance), qt.HasLen, 0)
	soloInstance.reply(attempt, request.VerdictAnswered)
	soloInstance.reply(attempt, request.VerdictAnswered)
	c.Assert(takeEffects[request.Reply](soloInstance), qt.HasLen, 1)
}

func TestCancellation(t *testing.T) {
	c := qt.New(t)
	soloInstance := newSoloInstance(c, defaultSettings, newTarget("press-1", 1))
	dispatched := soloInstance.arrive(1, request.Once, time.Minute)
	queued := soloInstance.arrive(2, request.Once, time.Minute)
	soloInstance.reduce(request.Cancelled{At: soloInstance.eventTime(), Key: queued})
	c.Assert(takeEffects[request.Reply](soloInstance)[0].Outcome, qt.Equals, request.NotRun)
	soloInstance.reduce(request.Cancelled{At: soloInstance.eventTime(), Key: dispatched})
	c.Assert(takeEffects[request.CancelAttempt](soloInstance), qt.HasLen, 1)
}

func TestOverloadIsShedEarly(t *testing.T) {
	c := qt.New(t)
	soloInstance := newSoloInstance(c, defaultSettings, newTarget("press-1", 1))
	soloInstance.arrive(0, request.Once, time.Minute)
	soloInstance.now = soloInstance.now.Add(100 * time.Millisecond)
	soloInstance.reply(takeEffects[request.Dispatch](soloInstance)[0].Attempt, request.VerdictAnswered)
	for number := range 20 {
		soloInstance.arrive(number+1, request.Once, time.Second)
	}
	replies := takeEffects[request.Reply](soloInstance)
	c.Assert(len(replies) > 10, qt.IsTrue)
	c.Assert(replies[len(replies)-1].Outcome, qt.Equals, request.NotRun)
	c.Assert(replies[len(replies)-1].RetryAfter > 0, qt.IsTrue)
}
