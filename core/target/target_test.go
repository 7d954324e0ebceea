package target

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/core/packet"
)

func TestCookieOf(t *testing.T) {
	c := qt.New(t)
	c.Run("is the number itself below 2^32", func(c *qt.C) {
		c.Assert(CookieOf(0x7f3a91c2), qt.Equals, packet.Cookie(0x7f3a91c2))
	})
	c.Run("is never zero", func(c *qt.C) {
		c.Assert(CookieOf(0), qt.Not(qt.Equals), packet.Cookie(0))
	})
	c.Run("rarely collides among 16,000 servers", func(c *qt.C) {
		random := rand.New(rand.NewPCG(1, 1))
		const (
			servers = 16_000
			bits    = 40
			rounds  = 100
		)
		collisions := 0
		for range rounds {
			seen := make(map[packet.Cookie]bool, servers)
			for range servers {
				cookie := CookieOf(Number(random.Uint64() >> (64 - bits)))
				if seen[cookie] {
					collisions++
				}
				seen[cookie] = true
			}
		}
		// A uniform hash collides once in 33 rounds; ten in a hundred rounds would mean a bad one.
		c.Assert(collisions < 10, qt.IsTrue, qt.Commentf("%d collisions", collisions))
	})
}
