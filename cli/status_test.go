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
		told   string
	}{
		{"no error", nil, ExitOK, ""},
		{"wrong usage", Usagef("soak: unexpected %q", "x"), ExitUsage, "azureshift: soak: unexpected \"x\"\n"},
		{"a question for help", eris.Wrap(flag.ErrHelp, "parse"), ExitUsage, ""},
		{"a failure", eris.New("no store"), ExitFailure, "azureshift: no store\n"},
	} {
		c.Run(test.name, func(c *qt.C) {
			var stderr bytes.Buffer
			c.Assert(Status(test.err, &stderr), qt.Equals, test.status)
			c.Assert(stderr.String(), qt.Equals, test.told)
		})
	}
}
