package entry

import (
	"time"

	"azureshift/core/catalog"
	"azureshift/core/id"
	"azureshift/core/route"
	"azureshift/core/slowstart"
	"azureshift/core/steer"
)

const (
	// _slowStartMargin is added to the slow start of a server for delays between its registration and its packets.
	_slowStartMargin = 300 * time.Millisecond
	// _heartbeatInterval is the interval at which servers write their registration. A server of a failure domain whose
	// evacuation was withdrawn may begin its slow start that much later.
	_heartbeatInterval = 1200 * time.Millisecond
)

// inForce reports whether new flows to servers in slow start are bounded, which is so if the settings have both bounds.
func (limit SlowStartLimit) inForce() bool {
	return limit.Overshoot > 0 && limit.Slack > 0
}

// slowStarting is the state from which the limits of servers in slow start are computed.
type slowStarting struct {
	membership *slowstart.Membership
	// services holds the settings of the services of the configuration.
	services map[id.Service]route.Service
}

func newSlowStarting(self catalog.Instance) slowStarting {
	return slowStarting{
		membership: slowstart.NewMembership(slowstart.Config{
			Self: slowstart.Member{Name: self.Name, Incarnation: self.Incarnation},
		}),
	}
}

// slowStartFreshness is how long after its last confirmation the state may decide who owns shares of servers in slow
// start. Instances in touch with the store are never further behind it.
func (state *State) slowStartFreshness() time.Duration {
	return state.config.Limits.strictest()
}

// confirmMembership passes on when the state was last confirmed, and has a table published when that ends the claims of
// shares, or is the first of the confirmations that lead to claims.
func (state *State) confirmMembership() {
	changed := state.slowStarting.membership.Confirm(state.now, state.slowStartFreshness(), state.reading.confirmedAt)
	if changed && state.config.Limits.SlowStart.inForce() {
		state.publishing.changed = true
	}
}

// updateMembership passes the registered instances on.
func (slowStarting *slowStarting) updateMembership(now, freshness time.Duration, instances []catalog.Instance) {
	members := make([]slowstart.Member, 0, len(instances))
	for _, instance := range instances {
		members = append(members, slowstart.Member{Name: instance.Name, Incarnation: instance.Incarnation})
	}
	slowStarting.membership.Update(now, freshness, members)
}

// configure stores the settings of the services of a configuration.
func (slowStarting *slowStarting) configure(config route.Config) {
	slowStarting.services = make(map[id.Service]route.Service, len(config.Services))
	for _, service := range config.Services {
		slowStarting.services[service.Name] = service
	}
}

// warmAt returns when a server completes its slow start. After the withdrawal of an evacuation that is not before the
// slow start of its service has passed, even if its registration does not show it yet. One that had no effect, as the
// settings do not bound evacuations, left the server in use.
func (state *State) warmAt(record *catalog.Record) time.Duration {
	at := record.LearnedAt + record.SlowStartLeft
	if !state.config.Limits.SlowStart.inForce() || !state.enforcesEvacuations() {
		return at
	}
	reopenedAt, ok := state.catalog.Reopened(record.Domain)
	if service := state.slowStarting.services[record.Service]; ok && service.SlowStart > 0 {
		at = max(at, reopenedAt+_heartbeatInterval+service.SlowStart)
	}
	return at
}

// limitSlowStart sets until when a server gets new flows only within the limit for servers in slow start, and the share
// of the limit that this instance has.
func (state *State) limitSlowStart(server *steer.Server, record *catalog.Record) {
	limit := state.config.Limits.SlowStart
	if !limit.inForce() {
		return
	}
	coldUntil := state.warmAt(record) + _slowStartMargin
	if record.SlowStartLeft == 0 && server.Warm || state.now >= coldUntil {
		return
	}
	server.ColdUntil = coldUntil
	rate := state.slowStarting.services[record.Service].SlowStartRate
	split := slowstart.SplitOf(slowstart.Flows(float64(rate), limit.Overshoot, limit.Slack))
	if state.slowStarting.membership.Owns(state.now, state.slowStartFreshness(), server.Hash, split.Owners) {
		server.SlowStartShare = split.Share
	}
}

// finishSlowStarts separates the servers of a new table that get no flows from this instance while they are in slow
// start, and schedules the next table for when that may change.
func (state *State) finishSlowStarts(table *steer.Table) {
	if table.LimitSlowStarts() {
		state.publishing.rebuildAt(state.now, state.slowStarting.membership.NextChange(state.now, state.slowStartFreshness()))
	}
}
