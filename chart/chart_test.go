package chart

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func example() Chart {
	return Chart{
		Title: "served", Unit: "requests",
		Lines: []Line{{Name: "feeds", Points: []Point{{Seconds: 0, Value: 1}, {Seconds: 1, Value: 3}}}},
		Marks: []Mark{{Name: "kill", Seconds: 0.5}},
	}
}

func TestSave(t *testing.T) {
	c := qt.New(t)
	c.Run("writes the names of lines and marks", func(c *qt.C) {
		path := filepath.Join(c.TempDir(), "chart.svg")
		c.Assert(example().Save(path), qt.IsNil)
		raw, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		for _, text := range []string{"<svg", "served", "feeds", "kill"} {
			c.Assert(string(raw), qt.Contains, text)
		}
	})
	c.Run("error lists the supported file formats", func(c *qt.C) {
		err := example().Save(filepath.Join(c.TempDir(), "chart.txt"))
		c.Assert(err, qt.ErrorMatches, `save the chart; use a name that ends in \.svg.*`)
	})
}
