package steer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"azureshift/core/packet"
)

// TestTrials replays random packets at two equal instances, one of which is asked before each packet where it would go.
// It guards against an explanation that differs from the decision, and against one that changes later decisions.
func TestTrials(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		evenLoad := rapid.Bool().Draw(t, "even load")
		newInstance := func() *Steering {
			cold := server(3, "a")
			cold.ColdUntil, cold.SlowStartShare = 10*time.Second, 1
			table := tableOf(server(1, "a"), server(2, "a"), cold, server(4, "b"))
			table.Placement.EvenLoad = evenLoad
			table = table.WithMeasures(0, &Baselines{}, func(*Server) Measure { return Measure{} })
			table.SharesUntil = time.Minute
			table.LimitSlowStarts()
			return newSteering(table)
		}
		asked, other := newInstance(), newInstance()
		now := time.Duration(0)
		for number := range rapid.IntRange(1, 40).Draw(t, "packets") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			// A trial knows no flows, so each packet is of another one.
			port := uint16(number + 1)
			header := syn(port, _feeds, 0)
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				cookie := packet.Cookie(rapid.IntRange(1, 5).Draw(t, "cookie"))
				header = data(port, _feeds, cookie, header.Sequence, 500, 100)
			}
			trial := asked.Trial()
			explained := trial.Decide(now, header)
			trial.Decide(now, syn(port+1000, _feeds, 0))
			decided, expected := asked.Decide(now, header), other.Decide(now, header)
			if explained.Action != decided.Action || cookieOf(explained) != cookieOf(decided) {
				t.Fatalf("explained %+v, decided %+v", explained, decided)
			}
			if decided.Reason != expected.Reason || cookieOf(decided) != cookieOf(expected) {
				t.Fatalf("decided %+v after a trial, %+v without", decided, expected)
			}
		}
	})
}

func cookieOf(decision Decision) packet.Cookie {
	if decision.Server == nil {
		return 0
	}
	return decision.Server.Cookie
}

func TestTrialCauses(t *testing.T) {
	c := qt.New(t)
	slow, draining, evacuated := server(2, "a"), server(5, "a"), evacuatedServer(6, "c")
	slow.ServiceTime, draining.Condition = 10*time.Second, Leaving
	servers := []*measuredServer{server(1, "a"), server(3, "a"), server(4, "b"), slow, draining, evacuated}
	for _, usual := range servers[:3] {
		usual.ServiceTime = 50 * time.Millisecond
	}
	trial := newSteering(tableOf(servers...)).Trial()
	c.Assert(trial.Domains(0, "chiosco"), qt.DeepEquals, []Domain{
		{Domain: "a", Servers: 3, Slow: 1}, {Domain: "b", Servers: 1},
	})
	c.Assert(trial.Domains(0, "unknown"), qt.HasLen, 0)
	c.Assert(trial.Exclusions("chiosco"), qt.ContentEquals, []Exclusion{
		{Condition: Leaving, Servers: 1}, {Condition: Usable, Evacuated: true, Servers: 1},
	})
}
