package platform_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/core/id"
	"azureshift/io/platform"
)

// TestOddEntriesInTheInstanceList guards against an entry of another writer that keeps an instance from reading the
// others.
func TestOddEntriesInTheInstanceList(t *testing.T) {
	c := qt.New(t)
	const (
		valid = `{"Service":{"ID":"tirano-1","Address":"192.0.2.1","Port":7000,` +
			`"Meta":{"Domain":"tirano","Incarnation":"1","Operator":"192.0.2.1:7001"}},"Checks":[]}`
		// depth is below the 10,000 levels from which the decoder rejects the whole list. The service takes no nested value.
		depth = 9_000
	)
	for name, odd := range map[string]string{
		"nested":                strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"nested in the entry":   strings.Replace(valid, "7000", strings.Repeat("[", depth)+strings.Repeat("]", depth), 1),
		"port out of range":     strings.Replace(valid, "7000", "65536", 1),
		"port zero":             strings.Replace(valid, "7000", "0", 1),
		"number too large":      strings.Replace(valid, "7000", "1e400", 1),
		"incarnation too large": strings.Replace(valid, `"1"`, `"99999999999999999999"`, 1),
		"unspecified address":   strings.Replace(valid, `"192.0.2.1"`, `"0.0.0.0"`, 1),
	} {
		c.Run(name, func(c *qt.C) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = writer.Write([]byte("[" + odd + "," + valid + "]"))
			}))
			c.Cleanup(server.Close)
			client, err := platform.New(platform.Config{Address: server.URL})
			c.Assert(err, qt.IsNil)
			listed, err := client.Instances(t.Context())
			c.Assert(err, qt.IsNil)
			c.Assert(listed, qt.HasLen, 1)
			c.Assert(listed[0].Member.Instance, qt.Equals, id.Instance("tirano-1"))
		})
	}
}

// TestHugeInstanceList guards against an instance list that takes more memory than an instance has.
func TestHugeInstanceList(t *testing.T) {
	c := qt.New(t)
	part := []byte(strings.Repeat(" ", 64<<10))
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		for range 1 << 10 {
			if _, err := writer.Write(part); err != nil {
				return
			}
		}
	}))
	c.Cleanup(server.Close)
	client, err := platform.New(platform.Config{Address: server.URL})
	c.Assert(err, qt.IsNil)
	_, err = client.Instances(t.Context())
	c.Assert(err, qt.ErrorMatches, ".*response exceeds 4194304 bytes.*")
}
