package fleet

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

func TestSentLoad(t *testing.T) {
	c := qt.New(t)
	sent := func(load Load) (Load, int) {
		raw, err := cbor.Marshal(load)
		c.Assert(err, qt.IsNil)
		var received Load
		c.Assert(cbor.Unmarshal(raw, &received), qt.IsNil)
		return received, len(raw)
	}
	c.Run("keeps hundredths of requests and milliseconds", func(c *qt.C) {
		received, _ := sent(Load{Cookie: 7, Busy: 1.237, Latency: 45_400 * time.Microsecond, Answers: 12})
		c.Assert(received, qt.Equals, Load{Cookie: 7, Busy: 1.24, Latency: 45 * time.Millisecond, Answers: 12})
	})
	c.Run("keeps refused flows", func(c *qt.C) {
		received, size := sent(Load{Cookie: 7, Answers: 12, Refused: 200})
		c.Assert(received, qt.Equals, Load{Cookie: 7, Answers: 12, Refused: 200})
		_, without := sent(Load{Cookie: 7, Answers: 12})
		c.Assert(size-without <= 2, qt.IsTrue, qt.Commentf("%d bytes more", size-without))
	})
	c.Run("leaves fields that it does not know to later versions", func(c *qt.C) {
		raw, err := cbor.Marshal([]uint32{7, 150, 45, 12, 3, 99})
		c.Assert(err, qt.IsNil)
		var received Load
		c.Assert(cbor.Unmarshal(raw, &received), qt.IsNil)
		c.Assert(received.Refused, qt.Equals, 3)
	})
	c.Run("misses fields", func(c *qt.C) {
		var received Load
		c.Assert(cbor.Unmarshal([]byte{0x82, 1, 2}, &received), qt.ErrorMatches, ".*2 fields, fewer than 4.*")
	})
	c.Run("is small", func(c *qt.C) {
		_, size := sent(Load{Cookie: math.MaxUint32, Busy: 2.5, Latency: 250 * time.Millisecond, Answers: 200})
		c.Assert(size <= 12, qt.IsTrue, qt.Commentf("%d bytes", size))
	})
	c.Run("bounds what makes no sense", func(c *qt.C) {
		received, _ := sent(Load{Cookie: 1, Busy: -1, Latency: -time.Second, Answers: -5})
		c.Assert(received, qt.Equals, Load{Cookie: 1})
	})
}
