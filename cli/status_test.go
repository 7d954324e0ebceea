package cli

import (
	"bytes"
	"flag"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
)

func TestStatus(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name   string
		err    error
		status int
		stderr string
	}{
		{"no error", nil, ExitOK, ""},
		{"usage error", Usagef("soak: unexpected %q", "x"), ExitUsage, "azureshift: soak: unexpected \"x\"\n"},
		{"help requested", eris.Wrap(flag.ErrHelp, "parse"), ExitUsage, ""},
		{"failure", eris.New("no store"), ExitFailure, "azureshift: no store\n"},
	} {
		c.Run(test.name, func(c *qt.C) {
			var stderr bytes.Buffer
			c.Assert(ExitStatus(test.err, &stderr), qt.Equals, test.status)
			c.Assert(stderr.String(), qt.Equals, test.stderr)
		})
	}
}
