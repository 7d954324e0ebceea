package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	_document     = "../docs/SETTINGS.md"
	_entryHeading = "# Settings of azureshift-entry"
	_minimal      = `{"Instance": "a-1", "Domain": "a", "Fabric": {"Listen": "127.0.0.1:1", "Return": "127.0.0.1:2"},
		"Backend": {"Listen": "127.0.0.1:0"}, "Platform": {"Address": "http://127.0.0.1:8500"},
		"Bundle": {"PublicKeyFiles": ["public.pem"]}}`
)

func TestParse(t *testing.T) {
	c := qt.New(t)
	c.Run("defaults", func(c *qt.C) {
		parsed, err := Parse([]byte(_minimal))
		c.Assert(err, qt.IsNil)
		c.Assert(string(parsed.Region), qt.Equals, "a")
		c.Assert(parsed.Peer.Listen, qt.Equals, netip.MustParseAddrPort("127.0.0.1:0"))
		c.Assert(parsed.Platform.Timeout.Std(), qt.Equals, 2*time.Second)
	})
	c.Run("marshalled settings parse to the same settings", func(c *qt.C) {
		parsed, err := Parse([]byte(_minimal))
		c.Assert(err, qt.IsNil)
		raw, err := json.Marshal(parsed)
		c.Assert(err, qt.IsNil)
		reparsed, err := Parse(raw)
		c.Assert(err, qt.IsNil)
		c.Assert(reflect.DeepEqual(reparsed, parsed), qt.IsTrue)
	})
	c.Run("invalid JSON", func(c *qt.C) {
		assertFaults(c, `{"Instance"`, "settings", "Instance", "Domain", "Fabric.Listen", "Fabric.Return",
			"Backend.Listen", "Platform.Address", "Bundle.PublicKeyFiles")
	})
}

func TestParseReportsEveryFault(t *testing.T) {
	c := qt.New(t)
	assertFaults(c, `{
		"Instance": "Upper", "Domain": "a", "Surprise": 1,
		"Fabric": {"Listen": "127.0.0.1:0", "Return": "nowhere"}, "Backend": {"Listen": "127.0.0.1:0", "Extra": {}},
		"Peer": {"Listen": "0.0.0.0:7100", "Seeds": ["10.0.0.1:0"], "KeyFiles": []},
		"Platform": {"Address": "consul", "Timeout": "20s", "Watch": "-1s"},
		"Limits": {"RequestDeadline": 30, "Retention": "1s", "Flows": -1},
		"Log": {"Level": "loud", "Format": "xml"}
	}`,
		"Backend.Extra", "Fabric.Return", "Limits.RequestDeadline", "Surprise",
		"Instance", "Fabric.Listen", "Peer.Advertise", "Peer.Seeds[0]", "Peer.KeyFiles", "Platform.Address",
		"Platform.Watch", "Bundle.PublicKeyFiles",
		"Limits.Flows", "Limits.Retention", "Log.Level", "Log.Format")
}

func assertFaults(c *qt.C, raw string, fields ...string) {
	_, err := Parse([]byte(raw))
	var faults FaultList
	c.Assert(errors.As(err, &faults), qt.IsTrue, qt.Commentf("%v", err))
	named := make([]string, 0, len(faults))
	for _, fault := range faults {
		named = append(named, fault.Field)
		c.Check(fault.Problem, qt.Not(qt.Equals), "")
		c.Check(fault.Remedy, qt.Not(qt.Equals), "")
	}
	c.Assert(named, qt.DeepEquals, fields)
}

func TestDocument(t *testing.T) {
	c := qt.New(t)
	raw, err := os.ReadFile(_document)
	c.Assert(err, qt.IsNil)
	daemonText, entryText, found := strings.Cut(string(raw), _entryHeading)
	c.Assert(found, qt.IsTrue)
	assertDocument(c, daemonText, Default(), func(raw []byte) error {
		_, err := Parse(raw)
		return err
	})
	assertDocument(c, entryText, DefaultEntry(), func(raw []byte) error {
		_, err := ParseEntry(raw)
		return err
	})
}

// assertDocument checks that the text's example is valid and that its table lists every field with its default.
func assertDocument(c *qt.C, text string, defaults any, parse func(raw []byte) error) {
	c.Helper()
	example := regexp.MustCompile("(?s)```json\n(.*?)```").FindStringSubmatch(text)
	c.Assert(example, qt.HasLen, 2)
	c.Assert(parse([]byte(example[1])), qt.IsNil)
	found := regexp.MustCompile("(?m)^\\| `([A-Za-z.]+)` \\| (\\S+) \\|").FindAllStringSubmatch(text, -1)
	rows := make([]string, 0, len(found))
	for _, row := range found {
		rows = append(rows, fmt.Sprintf("%s %s", row[1], row[2]))
	}
	c.Assert(rows, qt.DeepEquals, describeDefaults("", reflect.ValueOf(defaults)))
}

// describeDefaults returns the path and the default of every field, in the form of the document's table.
func describeDefaults(path string, section reflect.Value) []string {
	var rows []string
	for index := range section.NumField() {
		name := join(path, section.Type().Field(index).Tag.Get("json"))
		field := section.Field(index)
		switch {
		case isSection(field.Type()):
			rows = append(rows, describeDefaults(name, field)...)
		case field.IsZero():
			rows = append(rows, name+" -")
		default:
			rows = append(rows, fmt.Sprintf("%s `%v`", name, field.Interface()))
		}
	}
	return rows
}
