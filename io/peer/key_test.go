package peer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLoadKeys(t *testing.T) {
	c := qt.New(t)
	write := func(c *qt.C, content string) string {
		path := filepath.Join(c.TempDir(), "peer.key")
		c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
		return path
	}
	good := strings.Repeat("01", KeySize)
	c.Run("valid key", func(c *qt.C) {
		keys, err := LoadKeys([]string{write(c, good+"\n")})
		c.Assert(err, qt.IsNil)
		c.Assert(keys[0].id, qt.Equals, testKey(c, 1).id)
		c.Assert(keys[0].id, qt.Not(qt.Equals), testKey(c, 2).id)
	})
	refuses := func(name, path string) {
		c.Run(name, func(c *qt.C) {
			_, err := LoadKeys([]string{path})
			c.Assert(err, qt.ErrorAs, new(KeyError))
		})
	}
	refuses("missing file", filepath.Join(c.TempDir(), "none"))
	refuses("short key", write(c, good[2:]))
	refuses("not hexadecimal", write(c, "secret"))
}

func TestRegister(t *testing.T) {
	c := qt.New(t)
	registry := newTestRegistry(c)
	refuses := func(name string, kind Kind, prototype any) {
		c.Run(name, func(c *qt.C) {
			c.Assert(registry.Register(kind, prototype), qt.ErrorAs, new(RegistrationError))
		})
	}
	refuses("kind already registered", _kindNote, struct{}{})
	refuses("type already registered", 12, note{})
	refuses("kind zero", 0, struct{}{})
	refuses("pointer", 12, &hello{})
	refuses("nil", 12, nil)
}
