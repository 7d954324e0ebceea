package bundle_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
)

// TestPartsNamedTwice guards against a head whose lists of parts are joined: the last one counts, as for other fields.
func TestPartsNamedTwice(t *testing.T) {
	c := qt.New(t)
	key, _ := newKey(c)
	signed := sign(c, key, newBundle(1, 2, 1))
	raw, err := bundle.EncodeHead(signed.Head)
	c.Assert(err, qt.IsNil)
	twice := strings.Replace(string(raw), `"Parts":`, `"Parts":[{"Service":"a"}],"Parts":`, 1)
	decoded, err := bundle.DecodeHead([]byte(twice))
	c.Assert(err, qt.IsNil)
	c.Assert(decoded.Parts, qt.DeepEquals, signed.Head.Parts)
}
