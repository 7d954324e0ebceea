package metrics

import (
	"github.com/uber-go/tally/v4"

	"azureshift/core/id"
)

// State holds the gauges of an instance's state.
type State struct {
	scope      tally.Scope
	alive      tally.Gauge
	suspect    tally.Gauge
	dead       tally.Gauge
	version    tally.Gauge
	flows      tally.Gauge
	exceptions tally.Gauge
	queued     tally.Gauge
	dispatched tally.Gauge
}

func newState(scope tally.Scope) State {
	members := func(status string) tally.Gauge {
		return scope.Tagged(map[string]string{_labelStatus: status}).Gauge("members")
	}
	return State{
		scope:      scope,
		alive:      members("Alive"),
		suspect:    members("Suspect"),
		dead:       members("Dead"),
		version:    scope.Gauge("bundle_version"),
		flows:      scope.Gauge("flows"),
		exceptions: scope.Gauge("exceptions"),
		queued:     scope.Gauge("requests_queued"),
		dispatched: scope.Gauge("requests_dispatched"),
	}
}

// Members sets the number of entry instances in each status.
func (state State) Members(alive, suspect, dead int) {
	state.alive.Update(float64(alive))
	state.suspect.Update(float64(suspect))
	state.dead.Update(float64(dead))
}

// BundleVersion sets the version of the bundle in force.
func (state State) BundleVersion(version id.Version) {
	state.version.Update(float64(version))
}

// Flows sets the number of flows, and of those among them that are not placed on their home target.
func (state State) Flows(held, exceptions int) {
	state.flows.Update(float64(held))
	state.exceptions.Update(float64(exceptions))
}

// Requests sets the number of requests that are queued and of those that are dispatched to targets.
func (state State) Requests(queued, dispatched int) {
	state.queued.Update(float64(queued))
	state.dispatched.Update(float64(dispatched))
}

// Epoch sets the epoch number of the agreed member list of a failure domain.
func (state State) Epoch(domain id.Domain, number id.Epoch) {
	state.scope.Tagged(map[string]string{_labelOf: string(domain)}).Gauge("epoch").Update(float64(number))
}
