package settings

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/io/file"
	"azureshift/standin/budget"
)

// TestOddSettings guards against a settings file that ends an instance: it is read again every few seconds.
func TestOddSettings(t *testing.T) {
	c := qt.New(t)
	var unknown strings.Builder
	for number := 0; unknown.Len() < file.MaxSize-20; number++ {
		fmt.Fprintf(&unknown, `"%x":0,`, number)
	}
	for name, text := range map[string]string{
		"nested arrays":       strings.Repeat("[", file.MaxSize),
		"nested objects":      strings.Repeat(`{"Store":`, file.MaxSize/9),
		"many unknown fields": "{" + unknown.String() + `"a":0}`,
		"a long name":         `{"` + strings.Repeat("a", file.MaxSize-10) + `":0}`,
		"a long number":       `{"Machine":{"MemoryMB":` + strings.Repeat("9", file.MaxSize-30) + "}}",
		"a long duration":     `{"Bounds":{"Drain":"` + strings.Repeat("9", file.MaxSize-30) + `s"}}`,
		"many seeds":          `{"Relay":{"Seeds":[` + strings.Repeat(`"",`, file.MaxSize/3-20) + `""]}}`,
	} {
		c.Run(name, func(c *qt.C) {
			budget.AssertCheap(c, func() {
				_, err := ParseEntry([]byte(text))
				c.Assert(err, qt.IsNotNil)
				c.Assert(len(err.Error()) < _maxFaults*(2*_maxQuoted+100), qt.IsTrue, qt.Commentf("%d", len(err.Error())))
			})
			budget.AssertCheap(c, func() {
				_, err := Parse([]byte(text))
				c.Assert(err, qt.IsNotNil)
			})
		})
	}
}
