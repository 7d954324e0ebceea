package entry

import (
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azureshift/core/packet"
	"azureshift/core/steer"
)

func TestAdmissionGauges(t *testing.T) {
	c := qt.New(t)
	metrics := newMetrics("a-1", "a")
	metrics.admissions.update([]steer.Admission{
		{Service: "chiosco", Priority: 1, Offered: 650, Age: 1200 * time.Millisecond, AdmittedShare: 1},
		{Service: "chiosco", Priority: 2, Offered: 4500, Age: 1200 * time.Millisecond, AdmittedShare: 0.25},
	})
	c.Assert(metrics.closer.Close(), qt.IsNil)
	recorder := httptest.NewRecorder()
	metrics.page.ServeHTTP(recorder, httptest.NewRequest("GET", _metricsPath, nil))
	for _, line := range []string{
		`azureshift_fleet_demand{.*Priority="2".*Service="chiosco".*} 4500`,
		`azureshift_admitted_share{.*Priority="2".*Service="chiosco".*} 0.25`,
		`azureshift_fleet_demand_age_seconds{.*Priority="1".*} 1.2`,
	} {
		c.Check(recorder.Body.String(), qt.Matches, `(?s).*`+line+`\n.*`)
	}
}

// TestRefusalStatesTheAgeOfTheDemand checks the fields of the log line of a refused flow.
func TestRefusalStatesTheAgeOfTheDemand(t *testing.T) {
	c := qt.New(t)
	refused := steer.Decision{Action: steer.Reset, Reason: steer.Overloaded, FleetDemand: true, DemandAge: time.Second}
	opening := packet.Header{Flags: packet.SYN}
	c.Run("where the demand of all instances decided", func(c *qt.C) {
		fields := decisionFields(0, opening, refused, &steer.Table{})
		c.Assert(fields["DemandAgeMs"], qt.Equals, int64(1000))
	})
	c.Run("not where this instance's own requests did", func(c *qt.C) {
		refused.FleetDemand = false
		_, stated := decisionFields(0, opening, refused, &steer.Table{})["DemandAgeMs"]
		c.Assert(stated, qt.IsFalse)
	})
}
