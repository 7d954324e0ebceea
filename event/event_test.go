package event

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
)

const _document = "../docs/EVENTS.md"

// TestDocument checks that the table rows of the document match the events, in order.
func TestDocument(t *testing.T) {
	c := qt.New(t)
	rows := make([]string, 0, len(All()))
	for _, event := range All() {
		limited := ""
		if event.Limited {
			limited = "yes"
		}
		rows = append(rows, fmt.Sprintf("| %d | %s | %s | %s | %s | %s |",
			event.Number, event.Name, event.Level, limited, event.Text, event.Remedy))
	}
	raw, err := os.ReadFile(_document)
	c.Assert(err, qt.IsNil)
	row := regexp.MustCompile(`(?m)^\| \d+ .*$`)
	c.Assert(row.FindAllString(string(raw), -1), qt.DeepEquals, rows)
}

func TestCatalogue(t *testing.T) {
	c := qt.New(t)
	raw, err := os.ReadFile("catalogue.go")
	c.Assert(err, qt.IsNil)
	last := Number(0)
	for _, event := range All() {
		c.Check(event.Number > last, qt.IsTrue, qt.Commentf("%d follows %d", event.Number, last))
		last = event.Number
		variable := fmt.Sprintf(`(?m)^\t%s +=.*\(%d, "%s"`, event.Name, event.Number, event.Name)
		c.Check(regexp.MustCompile(variable).Match(raw), qt.IsTrue, qt.Commentf("variable of %s", event.Name))
		c.Check(event.Text, qt.Matches, `[a-z].*[^.]`)
		c.Check(event.Remedy, qt.Matches, `[A-Z].*\.`)
	}
	c.Assert(len(All()) >= 40, qt.IsTrue)
}

func TestLog(t *testing.T) {
	c := qt.New(t)
	c.Run("fields", func(c *qt.C) {
		logger, out, _ := newTestLogger(c)
		logger.LogError(BundleRefused, eris.New("no services"), Fields{"Version": 7})
		c.Assert(parseLines(c, out), qt.HasLen, 1)
		line := parseLines(c, out)[0]
		c.Assert(line["Event"], qt.Equals, 602.0)
		c.Assert(line["Name"], qt.Equals, "BundleRefused")
		c.Assert(line["Instance"], qt.Equals, "morbegno-1")
		c.Assert(line["Version"], qt.Equals, 7.0)
		c.Assert(line["Error"], qt.Equals, "no services")
		c.Assert(line["Remedy"], qt.Equals, BundleRefused.Remedy)
	})
	c.Run("limited event", func(c *qt.C) {
		logger, out, now := newTestLogger(c)
		for range 5 {
			logger.Log(LateAnswer, nil)
		}
		c.Assert(parseLines(c, out), qt.HasLen, 1)
		*now = now.Add(_defaultPeriod)
		logger.Log(LateAnswer, nil)
		c.Assert(parseLines(c, out), qt.HasLen, 2)
		c.Assert(parseLines(c, out)[1]["Suppressed"], qt.Equals, 4.0)
	})
	c.Run("limited event with a burst", func(c *qt.C) {
		logger, out, now := newTestLogger(c)
		logger.burst = 3
		for range 5 {
			logger.Log(LateAnswer, nil)
		}
		c.Assert(parseLines(c, out), qt.HasLen, 3)
		*now = now.Add(_defaultPeriod)
		logger.Log(LateAnswer, nil)
		c.Assert(parseLines(c, out), qt.HasLen, 4)
		c.Assert(parseLines(c, out)[3]["Suppressed"], qt.Equals, 2.0)
	})
	c.Run("flush reports suppressed lines once their period is over", func(c *qt.C) {
		logger, out, now := newTestLogger(c)
		for range 3 {
			logger.Log(LateAnswer, nil)
		}
		logger.Flush()
		c.Assert(parseLines(c, out), qt.HasLen, 1)
		*now = now.Add(_defaultPeriod)
		logger.Flush()
		logger.Flush()
		c.Assert(parseLines(c, out), qt.HasLen, 2)
		c.Assert(parseLines(c, out)[1]["Suppressed"], qt.Equals, 2.0)
	})
	c.Run("other events are never suppressed", func(c *qt.C) {
		logger, out, _ := newTestLogger(c)
		logger.Log(MemberJoined, nil)
		logger.Log(MemberJoined, nil)
		c.Assert(parseLines(c, out), qt.HasLen, 2)
	})
}

// TestLogLazyMakesFieldsOnlyForWrittenLines checks that LogLazy does not call its function for suppressed lines.
func TestLogLazyMakesFieldsOnlyForWrittenLines(t *testing.T) {
	c := qt.New(t)
	logger, out, _ := newTestLogger(c)
	calls := 0
	for range 5 {
		logger.LogLazy(LateAnswer, func() Fields {
			calls++
			return Fields{"Made": calls}
		})
	}
	c.Assert(calls, qt.Equals, 1)
	c.Assert(parseLines(c, out), qt.HasLen, 1)
	c.Assert(parseLines(c, out)[0]["Made"], qt.Equals, 1.0)
}

// BenchmarkSuppressedLine measures the cost of a line that is suppressed.
func BenchmarkSuppressedLine(b *testing.B) {
	logger, err := NewLogger(Config{Period: time.Hour})
	if err != nil {
		b.Fatal(err)
	}
	fields := func() Fields {
		return Fields{"Flow": fmt.Sprint(b.N), "Reason": "Overloaded", "Version": 7, "AgeMs": 12, "Load": 1.5}
	}
	b.Run("Log", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			logger.Log(LateAnswer, fields())
		}
	})
	b.Run("LogLazy", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			logger.LogLazy(LateAnswer, fields)
		}
	})
}

func newTestLogger(c *qt.C) (*Logger, *bytes.Buffer, *time.Time) {
	now := time.Unix(1700000000, 0)
	out := &bytes.Buffer{}
	logger, err := NewLogger(Config{
		Instance: "morbegno-1", Output: out, JSON: true, Now: func() time.Time { return now },
	})
	c.Assert(err, qt.IsNil)
	return logger, out, &now
}

func parseLines(c *qt.C, out *bytes.Buffer) []map[string]any {
	var parsed []map[string]any
	for line := range strings.Lines(out.String()) {
		var fields map[string]any
		c.Assert(json.Unmarshal([]byte(line), &fields), qt.IsNil)
		parsed = append(parsed, fields)
	}
	return parsed
}
