package event

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// counter counts writes and bytes.
type counter struct {
	writes, bytes int
}

// Write implements io.Writer.
func (counter *counter) Write(lines []byte) (int, error) {
	counter.writes++
	counter.bytes += len(lines)
	return len(lines), nil
}

func TestLineQueue(t *testing.T) {
	c := qt.New(t)
	write := func(lineQueue *LineQueue, lines ...string) {
		for _, line := range lines {
			size, err := lineQueue.Write([]byte(line))
			c.Assert(err, qt.IsNil)
			c.Assert(size, qt.Equals, len(line))
		}
	}
	c.Run("drops and counts lines that do not fit, and never blocks", func(c *qt.C) {
		lineQueue := NewLineQueue(2)
		write(lineQueue, "1", "2", "3", "4", "5")
		c.Assert(lineQueue.Dropped(), qt.Equals, uint64(3))
		c.Assert(lineQueue.Dropped(), qt.Equals, uint64(0))
	})
	c.Run("writes the remaining lines at the end", func(c *qt.C) {
		lineQueue := NewLineQueue(3)
		write(lineQueue, "1", "2", "3")
		done := make(chan struct{})
		close(done)
		var out bytes.Buffer
		lineQueue.Drain(&out, done)
		c.Assert(out.String(), qt.Equals, "123")
	})
	c.Run("writes waiting lines in batches", func(c *qt.C) {
		const lines = 100
		lineQueue := NewLineQueue(lines)
		for range lines {
			write(lineQueue, "line\n")
		}
		done := make(chan struct{})
		close(done)
		var out counter
		lineQueue.Drain(&out, done)
		c.Assert(out.bytes, qt.Equals, lines*len("line\n"))
		c.Assert(out.writes < lines/10, qt.IsTrue, qt.Commentf("%d writes", out.writes))
	})
	c.Run("copies lines, so that their memory can be reused", func(c *qt.C) {
		lineQueue := NewLineQueue(2)
		line := []byte("first")
		_, err := lineQueue.Write(line)
		c.Assert(err, qt.IsNil)
		copy(line, "other")
		done := make(chan struct{})
		close(done)
		var out bytes.Buffer
		lineQueue.Drain(&out, done)
		c.Assert(out.String(), qt.Equals, "first")
	})
}
