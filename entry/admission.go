package entry

import (
	"strconv"

	"github.com/uber-go/tally/v4"

	"azureshift/core/id"
	"azureshift/core/route"
	"azureshift/core/steer"
)

// _maxAdmissions is the number of demands that are stated.
const _maxAdmissions = 200

// admissionKey identifies the demand for one service at one priority, by flows of one kind.
type admissionKey struct {
	service  id.Service
	priority route.Priority
	single   bool
}

// admissionGauges state the demand of all instances and what is admitted of it.
type admissionGauges struct {
	scope tally.Scope
	byKey map[admissionKey]admissionGauge
}

// admissionGauge holds the gauges of one demand.
type admissionGauge struct{ offered, admitted, age tally.Gauge }

// gaugeOf returns the gauges of a demand, and false if there are too many: each gauge is kept for good.
func (gauges *admissionGauges) gaugeOf(key admissionKey) (admissionGauge, bool) {
	found, ok := gauges.byKey[key]
	if ok || len(gauges.byKey) >= _maxAdmissions {
		return found, ok
	}
	flows := "LongLived"
	if key.single {
		flows = "Single"
	}
	scope := gauges.scope.Tagged(map[string]string{
		"Service": string(key.service), "Priority": strconv.Itoa(int(key.priority)), "Flows": flows,
	})
	created := admissionGauge{
		offered: scope.Gauge("fleet_demand"), admitted: scope.Gauge("admitted_share"),
		age: scope.Gauge("fleet_demand_age_seconds"),
	}
	gauges.byKey[key] = created
	return created, true
}

// update states the current demand. A demand that is not known any more is stated as none, of which all is admitted.
func (gauges *admissionGauges) update(admissions []steer.Admission) {
	stated := make(map[admissionKey]bool, len(admissions))
	for _, admission := range admissions {
		key := admissionKey{service: admission.Service, priority: admission.Priority, single: admission.Single}
		if gauge, ok := gauges.gaugeOf(key); ok {
			stated[key] = true
			gauge.offered.Update(admission.Offered)
			gauge.admitted.Update(admission.AdmittedShare)
			gauge.age.Update(admission.Age.Seconds())
		}
	}
	for key, gauge := range gauges.byKey {
		if !stated[key] {
			gauge.offered.Update(0)
			gauge.admitted.Update(1)
			gauge.age.Update(0)
		}
	}
}
