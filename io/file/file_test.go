package file

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRead(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "settings.json")
	c.Run("returns a file of the largest size", func(c *qt.C) {
		c.Assert(os.WriteFile(path, bytes.Repeat([]byte(" "), MaxSize), 0o600), qt.IsNil)
		raw, err := Read(path)
		c.Assert(err, qt.IsNil)
		c.Assert(raw, qt.HasLen, MaxSize)
	})
	c.Run("refuses a larger one", func(c *qt.C) {
		c.Assert(os.WriteFile(path, bytes.Repeat([]byte(" "), MaxSize+1), 0o600), qt.IsNil)
		_, err := Read(path)
		c.Assert(err, qt.ErrorMatches, ".*settings.json has more than 65536 bytes; check that .*")
	})
	c.Run("refuses one without an end", func(c *qt.C) {
		_, err := Read("/dev/zero")
		c.Assert(err, qt.ErrorMatches, "/dev/zero has more than .*")
	})
	c.Run("reports a missing one", func(c *qt.C) {
		_, err := Read(filepath.Join(c.TempDir(), "none"))
		c.Assert(os.IsNotExist(err), qt.IsTrue)
	})
}
