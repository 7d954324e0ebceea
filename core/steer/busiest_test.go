package steer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestEvenness(t *testing.T) {
	c := qt.New(t)
	evenness := func(c *qt.C, table *Table) ServiceEvenness {
		c.Helper()
		services := table.Evenness()
		c.Assert(services, qt.HasLen, 1)
		return services[0]
	}
	c.Run("without answers", func(c *qt.C) {
		c.Assert(evenness(c, tableOf(server(1, "near"))), qt.Equals, ServiceEvenness{Service: "chiosco"})
	})
	c.Run("servers that are alike", func(c *qt.C) {
		idle, busy := server(1, "near"), server(2, "near")
		idle.AnswerRate, busy.AnswerRate = 5, 15
		assertShare(c, evenness(c, evenTable(idle, busy)).Busiest, 1.5)
	})
	c.Run("servers of two speeds", func(c *qt.C) {
		slow, fast := server(1, "near"), server(2, "near")
		slow.Habit = Habit{AnswerRate: 5, UsualLatency: 80 * time.Millisecond, SampledAnswers: 1e6}
		fast.Habit = Habit{AnswerRate: 10, UsualLatency: 40 * time.Millisecond, SampledAnswers: 1e6}
		found := evenness(c, evenTable(slow, fast))
		assertShare(c, found.Busiest, 1)
		c.Assert(found.Even, qt.IsTrue)
	})
}
