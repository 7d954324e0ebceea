package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/cli"
)

const _validSettings = `{
	"Instance": "morbegno-1", "Domain": "morbegno",
	"Packets": {"Listen": "127.0.0.1:8172"}, "Readiness": {"Listen": "127.0.0.1:8167"},
	"Relay": {"Listen": "127.0.0.1:8166"}, "Store": {"Address": "127.0.0.1:8169"}
}`

func runWith(c *qt.C, text string, args ...string) (int, string, string) {
	c.Helper()
	path := filepath.Join(c.TempDir(), "settings.json")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	var stdout, stderr bytes.Buffer
	status := Run(append([]string{"-settings", path}, args...), &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

func TestRun(t *testing.T) {
	c := qt.New(t)
	c.Run("checks valid settings", func(c *qt.C) {
		status, stdout, _ := runWith(c, _validSettings, "-check")
		c.Assert(status, qt.Equals, cli.ExitOK)
		c.Assert(stdout, qt.Contains, "settings of morbegno-1 are valid")
	})
	c.Run("lists every fault in the settings with its remedy", func(c *qt.C) {
		status, _, stderr := runWith(c, `{"Instance": "Upper", "Surprise": 1}`, "-check")
		c.Assert(status, qt.Equals, cli.ExitUsage)
		for _, part := range []string{
			"Surprise: there is no such field", "Instance: \"Upper\"", "Packets.Listen:", "Store.Address:",
		} {
			c.Assert(stderr, qt.Contains, part)
		}
	})
	c.Run("names the variable for the path of the settings file", func(c *qt.C) {
		var stdout, stderr bytes.Buffer
		c.Assert(Run([]string{"-settings", "/nonexistent"}, &stdout, &stderr), qt.Equals, cli.ExitUsage)
		c.Assert(stderr.String(), qt.Contains, SettingsVariable)
	})
	c.Run("refuses unknown flags", func(c *qt.C) {
		var stdout, stderr bytes.Buffer
		c.Assert(Run([]string{"-surprise"}, &stdout, &stderr), qt.Equals, cli.ExitUsage)
	})
	c.Run("prints the version", func(c *qt.C) {
		var stdout, stderr bytes.Buffer
		c.Assert(Run([]string{"-version"}, &stdout, &stderr), qt.Equals, cli.ExitOK)
		c.Assert(stdout.String(), qt.Contains, "azureshift ")
	})
}
