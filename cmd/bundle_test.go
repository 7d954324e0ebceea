package cmd_test

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/cmd"
	"azureshift/standin/platform"
)

const _bundleFile = `{"Version": %d, "Services": [{"Name": "chiosco", "Customer": "Valtellina",
 "Address": "192.0.2.1:5683", "Targets": [
  {"Name": "chiosco-0", "Domain": "morbegno", "Address": "192.0.2.10:5683", "Slots": %d}]}]}`

// fixture runs bundle commands against a fake platform, with files in a temporary directory.
type fixture struct {
	dir      string
	platform string
}

func TestOperatorRollsABundle(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c)
	keyFile, firstFile, secondFile := fixture.path("key"), fixture.writeBundle(c, "first", 1, 3),
		fixture.writeBundle(c, "second", 2, 4)
	c.Assert(fixture.mustSucceed(c, "validate", firstFile), qt.Contains,
		"version 1 with 1 services and 1 targets is valid")
	c.Assert(fixture.mustSucceed(c, "keygen", "-out", keyFile), qt.Contains, "keep "+keyFile+" secret")
	fixture.mustSucceed(c, "sign", "-key", keyFile, "-in", firstFile, "-out", fixture.path("signed"))
	fixture.mustSucceed(c, "roll", "-platform", fixture.platform, "-in", fixture.path("signed"),
		"-keys", keyFile+".pub", "-wait", "1s")
	c.Assert(fixture.mustSucceed(c, "show", "-platform", fixture.platform), qt.Contains, "version 1 with 1 services")
	c.Assert(fixture.mustSucceed(c, "diff", "-platform", fixture.platform, secondFile), qt.Equals,
		"~ Version 1 -> 2\n~ chiosco.Targets[chiosco-0].Slots 3 -> 4\n")
	fixture.mustSucceed(c, "roll", "-platform", fixture.platform, "-in", secondFile, "-key", keyFile, "-expect", "1")
	c.Assert(fixture.mustSucceed(c, "show", "-platform", fixture.platform, "-version", "1", "-json"),
		qt.Contains, `"Slots": 3`)
	// A roll that expects an older version is refused, and the error names the version in force.
	thirdFile := fixture.writeBundle(c, "third", 3, 4)
	c.Assert(fixture.mustFail(c, 1,
		"roll", "-platform", fixture.platform, "-in", thirdFile, "-key", keyFile, "-expect", "1"),
		qt.Contains, "version 2, signed off by key")
}

func TestInvalidInputIsRefused(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c)
	good := fixture.writeBundle(c, "good", 1, 3)
	faulty := fixture.writeBundle(c, "faulty", 0, -1)
	truncated := fixture.path("truncated")
	c.Assert(os.WriteFile(truncated, []byte(`{"Version": `), 0o600), qt.IsNil)
	assertUsageError := func(want string, args ...string) {
		c.Helper()
		stderr := fixture.mustFail(c, 2, args...)
		c.Assert(strings.Count(stderr, "\n"), qt.Equals, 1, qt.Commentf("%s", stderr))
		c.Assert(stderr, qt.Contains, want)
	}
	assertUsageError(`unknown command "validat"`, "validat", good)
	assertUsageError("absent: no such file or directory; check the path", "validate", fixture.path("absent"))
	assertUsageError("truncated: (file): is not valid JSON near byte", "validate", truncated)
	assertUsageError("-colour", "validate", "-colour", good)
	assertUsageError("FILE is missing", "validate")
	assertUsageError("flag -key is missing", "sign", "-in", good, "-out", fixture.path("signed"))
	assertUsageError("no private key", "sign", "-key", good, "-in", good, "-out", fixture.path("signed"))
	assertUsageError("is not a signed bundle", "roll", "-platform", fixture.platform, "-in", good)
	assertUsageError("is not an HTTP URL", "show", "-platform", "nowhere")
	assertUsageError("write a version", "roll", "-platform", fixture.platform, "-in", good, "-expect", "two")
	assertUsageError("give two files", "diff", good)
	c.Assert(fixture.mustFail(c, 2, "validate", faulty), qt.Equals, fmt.Sprintf(
		"azureshift: %[1]s: Version: is zero or missing; write the version in force plus one\n"+
			"azureshift: %[1]s: Services[0].Targets[0].Slots: is -1; write a number from 1 to 1024\n", faulty))
	// A platform without a bundle is not a usage error.
	c.Assert(fixture.mustFail(c, 1, "show", "-platform", fixture.platform), qt.Contains, "holds no bundle; roll one")
	// A failed sign command leaves no output file.
	leftover, err := filepath.Glob(filepath.Join(fixture.dir, "*signed*"))
	c.Assert(err, qt.IsNil)
	c.Assert(leftover, qt.HasLen, 0)
}

func TestKeygenOverwritesNothing(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c)
	c.Assert(os.WriteFile(fixture.path("key.pub"), []byte("kept"), 0o600), qt.IsNil)
	c.Assert(fixture.mustFail(c, 2, "keygen", "-out", fixture.path("key")), qt.Contains, "key.pub: file exists")
	_, err := os.Stat(fixture.path("key"))
	c.Assert(os.IsNotExist(err), qt.IsTrue)
}

func newFixture(c *qt.C) fixture {
	server := httptest.NewServer(platform.New())
	c.Cleanup(server.Close)
	return fixture{dir: c.TempDir(), platform: server.URL}
}

func (fixture fixture) path(name string) string {
	return filepath.Join(fixture.dir, name)
}

func (fixture fixture) writeBundle(c *qt.C, name string, version, slots int) string {
	raw := fmt.Appendf(nil, _bundleFile, version, slots)
	c.Assert(os.WriteFile(fixture.path(name), raw, 0o600), qt.IsNil)
	return fixture.path(name)
}

func (fixture fixture) mustSucceed(c *qt.C, args ...string) string {
	c.Helper()
	var stdout, stderr bytes.Buffer
	status := cmd.Run(append([]string{"bundle"}, args...), &stdout, &stderr)
	c.Assert(status, qt.Equals, 0, qt.Commentf("%s", stderr.String()))
	return stdout.String()
}

func (fixture fixture) mustFail(c *qt.C, wantStatus int, args ...string) string {
	c.Helper()
	var stdout, stderr bytes.Buffer
	status := cmd.Run(append([]string{"bundle"}, args...), &stdout, &stderr)
	c.Assert(status, qt.Equals, wantStatus, qt.Commentf("%s", stderr.String()))
	c.Assert(stdout.String(), qt.Equals, "")
	return stderr.String()
}
