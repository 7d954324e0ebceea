package membership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	core "azureshift/core/membership"
	"azureshift/experiment/membership"
)

func TestSmallFleetsStayWithinStatedBounds(t *testing.T) {
	c := qt.New(t)
	config := membership.DefaultConfig()
	config.Sizes = []int{16, 125}
	config.Duration = 10 * time.Second
	report := membership.Run(config)
	report.Print(testWriter{t})
	for _, measurement := range report.Measurements {
		c.Check(measurement.BytesPerSecond < 2000, qt.IsTrue)
		c.Check(measurement.LongestMessage <= core.MaxMessage, qt.IsTrue)
		c.Check(measurement.FalsePositives, qt.Equals, 0)
		c.Check(measurement.MissedDetections, qt.Equals, 0)
		c.Check(measurement.SlowestOwnDomain <= 3*time.Second, qt.IsTrue)
	}
}

type testWriter struct{ testing.TB }

func (writer testWriter) Write(text []byte) (int, error) {
	writer.Logf("%s", text)
	return len(text), nil
}
