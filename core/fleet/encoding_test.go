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
	roundTrip := func(load Load) (Load, int) {
		raw, err := cbor.Marshal(load)
		c.Assert(err, qt.IsNil)
		var received Load
		c.Assert(cbor.Unmarshal(raw, &received), qt.IsNil)
		return received, len(raw)
	}
	c.Run("rounds to hundredths of requests and to milliseconds", func(c *qt.C) {
		received, _ := roundTrip(Load{Cookie: 7, InProgress: 1.237, Latency: 45_400 * time.Microsecond, Answers: 12})
		c.Assert(received, qt.Equals, Load{Cookie: 7, InProgress: 1.24, Latency: 45 * time.Millisecond, Answers: 12})
	})
	c.Run("keeps refused flows", func(c *qt.C) {
		received, size := roundTrip(Load{Cookie: 7, Answers: 12, Refused: 200})
		c.Assert(received, qt.Equals, Load{Cookie: 7, Answers: 12, Refused: 200})
		_, without := roundTrip(Load{Cookie: 7, Answers: 12})
		c.Assert(size-without <= 2, qt.IsTrue, qt.Commentf("%d bytes more", size-without))
	})
	c.Run("keeps held flows", func(c *qt.C) {
		received, size := roundTrip(Load{Cookie: 7, Answers: 12, Held: 23})
		c.Assert(received, qt.Equals, Load{Cookie: 7, Answers: 12, Held: 23})
		_, without := roundTrip(Load{Cookie: 7, Answers: 12})
		c.Assert(size-without <= 2, qt.IsTrue, qt.Commentf("%d bytes more", size-without))
	})
	c.Run("keeps the usual latency to milliseconds", func(c *qt.C) {
		received, size := roundTrip(Load{Cookie: 7, Answers: 12, Held: 23, UsualLatency: 25_600 * time.Microsecond})
		c.Assert(received, qt.Equals, Load{Cookie: 7, Answers: 12, Held: 23, UsualLatency: 26 * time.Millisecond})
		_, without := roundTrip(Load{Cookie: 7, Answers: 12, Held: 23})
		c.Assert(size-without <= 2, qt.IsTrue, qt.Commentf("%d bytes more", size-without))
	})
	c.Run("ignores unknown fields of later versions", func(c *qt.C) {
		raw, err := cbor.Marshal([]uint32{7, 150, 45, 12, 3, 23, 26, 99})
		c.Assert(err, qt.IsNil)
		var received Load
		c.Assert(cbor.Unmarshal(raw, &received), qt.IsNil)
		c.Assert(received.Refused, qt.Equals, 3)
		c.Assert(received.Held, qt.Equals, 23)
	})
	c.Run("rejects a load with missing fields", func(c *qt.C) {
		var received Load
		c.Assert(cbor.Unmarshal([]byte{0x82, 1, 2}, &received), qt.ErrorMatches, ".*2 fields, fewer than 4.*")
	})
	c.Run("encodes to at most 12 bytes", func(c *qt.C) {
		_, size := roundTrip(Load{Cookie: math.MaxUint32, InProgress: 2.5, Latency: 250 * time.Millisecond, Answers: 200})
		c.Assert(size <= 12, qt.IsTrue, qt.Commentf("%d bytes", size))
	})
	c.Run("clamps negative values to zero", func(c *qt.C) {
		received, _ := roundTrip(Load{Cookie: 1, InProgress: -1, Latency: -time.Second, Answers: -5})
		c.Assert(received, qt.Equals, Load{Cookie: 1})
	})
}

// TestTotalOfUsualLatencies guards against a total that one instance with few answers decides.
func TestTotalOfUsualLatencies(t *testing.T) {
	c := qt.New(t)
	total := func(left, right Load, want time.Duration) {
		c.Helper()
		c.Assert(left.Add(right).UsualLatency.Round(time.Millisecond), qt.Equals, want)
		c.Assert(right.Add(left).UsualLatency.Round(time.Millisecond), qt.Equals, want)
	}
	total(Load{Answers: 1, UsualLatency: 10 * time.Millisecond}, Load{Answers: 1, UsualLatency: 40 * time.Millisecond},
		20*time.Millisecond)
	total(Load{Answers: 9, UsualLatency: 40 * time.Millisecond}, Load{Answers: 1, UsualLatency: 4 * time.Second},
		63*time.Millisecond)
	total(Load{Answers: 5}, Load{Answers: 1, UsualLatency: 40 * time.Millisecond}, 40*time.Millisecond)
	total(Load{Held: 3}, Load{}, 0)
	c.Assert(Load{Held: 3}.Add(Load{Held: 4}).Held, qt.Equals, 7)
}
