package load

import (
	"time"

	"azureshift/core/steer"
)

// demandReporter is a policy that reports the demand at its instance.
type demandReporter interface {
	ReportDemand(now time.Duration) []steer.Demand
}

var _ demandReporter = (*steeringPolicy)(nil)

// ReportDemand implements demandReporter.
func (policy *steeringPolicy) ReportDemand(now time.Duration) []steer.Demand {
	return policy.steering.ReportDemand(now)
}

// demandReport is the demand that the instances of each failure domain reported at one time.
type demandReport struct {
	at     time.Duration
	byZone [][]steer.Demand
}

// collectDemand collects the demand that each instance counted since the last exchange.
func (simulation *simulation) collectDemand() demandReport {
	report := demandReport{at: simulation.clock.Now(), byZone: make([][]steer.Demand, len(simulation.zones))}
	for _, instance := range simulation.instances {
		if reporter, ok := instance.policy.(demandReporter); ok {
			report.byZone[instance.zone] = append(report.byZone[instance.zone], reporter.ReportDemand(report.at)...)
		}
	}
	return report
}

// receiveDemand makes the report before this one known to all instances: sums of other failure domains arrive one
// exchange later than those of the instance's own.
func (simulation *simulation) receiveDemand(report demandReport) {
	simulation.olderDemand, simulation.newerDemand = simulation.newerDemand, report
}

// fleetDemand returns the sums that the instances of a failure domain know. All parts are of the same time.
func (simulation *simulation) fleetDemand(zone int) steer.FleetDemand {
	var sums steer.FleetDemand
	used := simulation.config.Placement.FleetAdmission || simulation.config.withDemand
	if !used || simulation.olderDemand.byZone == nil {
		return sums
	}
	for other, demands := range simulation.olderDemand.byZone {
		for _, demand := range demands {
			domainOffered := 0
			if other == zone {
				domainOffered = demand.Offered()
			}
			sums.Add(simulation.olderDemand.at, demand, domainOffered)
		}
	}
	return sums
}
