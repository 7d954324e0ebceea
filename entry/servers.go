package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/uber-go/tally/v4"

	"azureshift/core/id"
	"azureshift/core/steer"
	"azureshift/event"
)

const (
	// ServersPath is the path of the page of backend servers at the metrics address.
	ServersPath = "/servers"
	// _maxServices is the number of services for which the servers are counted apart; servers of others count together.
	_maxServices = 100
	// _otherServices is the label of the services that are counted together.
	_otherServices = "Other"
	// _maxServersPage bounds the page of another instance, in bytes: 16,000 servers take about five megabytes.
	_maxServersPage = 16 << 20
)

// ServerCondition says how an instance uses a backend server.
type ServerCondition string

// The conditions of a backend server.
const (
	// ServerUsable servers get new flows.
	ServerUsable ServerCondition = "Usable"
	// ServerSlow servers get new flows only if no other server can take them.
	ServerSlow ServerCondition = "Slow"
	// ServerSilent servers left packets or probes unanswered and get no new flows.
	ServerSilent ServerCondition = "Silent"
	// ServerDraining servers leave, or have no registration, and get no new flows.
	ServerDraining ServerCondition = "Draining"
	// ServerEvacuated servers are in a failure domain that the operator evacuates and get no new flows.
	ServerEvacuated ServerCondition = "Evacuated"
	// ServerDead servers have stopped.
	ServerDead ServerCondition = "Dead"
)

func serverConditions() []ServerCondition {
	return []ServerCondition{
		ServerUsable, ServerSlow, ServerSilent, ServerDraining, ServerEvacuated, ServerDead,
	}
}

// ServerStatus is what an instance believes of one backend server.
type ServerStatus struct {
	Server    id.Target
	Service   id.Service
	Domain    id.Domain
	Condition ServerCondition
	// Reason says what the condition rests on.
	Reason string
	// ServiceTimeMs is how long the server runs a request and UsualMs what is usual for its service; both are zero if they
	// are unknown. AgeMs is the time since the server was last measured.
	ServiceTimeMs int64
	UsualMs       int64
	AgeMs         int64
	// Answers is the number of answers in the latest reports of all instances, and InProgress that of requests in
	// progress.
	Answers    int
	InProgress float64
}

// ServersPage is what an instance believes of all backend servers, the slowest first.
type ServersPage struct {
	Instance id.Instance
	Domain   id.Domain
	Servers  []ServerStatus
}

func conditionOf(opinion steer.Opinion) (ServerCondition, string) {
	switch opinion.Condition {
	case steer.Suspect:
		return ServerSilent, "Unanswered"
	case steer.Unreachable:
		return ServerSilent, "Probes"
	case steer.Dead:
		return ServerDead, "Probes"
	case steer.Leaving:
		return ServerDraining, "Registration"
	case steer.Usable:
		switch {
		case opinion.Evacuated:
			return ServerEvacuated, "OperatorRequest"
		case opinion.Slow:
			return ServerSlow, "ServiceTime"
		}
	}
	return ServerUsable, "Registration"
}

// currentTable returns the table that packets are forwarded by.
func (daemon *Daemon) currentTable() *steer.Table {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	return daemon.steering.Table()
}

func (daemon *Daemon) serversPage() ServersPage {
	now := daemon.clock.now()
	page := ServersPage{
		Instance: daemon.settings.Instance, Domain: daemon.settings.Domain, Servers: []ServerStatus{},
	}
	opinions := daemon.currentTable().Opinions()
	steer.SortBySlowness(opinions)
	for _, opinion := range opinions {
		condition, reason := conditionOf(opinion)
		status := ServerStatus{
			Server: opinion.ID, Service: opinion.Service, Domain: opinion.Domain, Condition: condition, Reason: reason,
			ServiceTimeMs: opinion.ServiceTime.Milliseconds(), UsualMs: opinion.Typical.Milliseconds(),
			Answers: int(opinion.Answers), InProgress: opinion.LatestInProgress,
		}
		if opinion.MeasuredAt > 0 {
			status.AgeMs = (now - opinion.MeasuredAt).Milliseconds()
		}
		page.Servers = append(page.Servers, status)
	}
	return page
}

func (daemon *Daemon) serveServers(writer http.ResponseWriter, _ *http.Request) {
	raw, err := json.Marshal(daemon.serversPage())
	if err != nil {
		daemon.log.LogError(event.StatusUnavailable, err, nil)
		http.Error(writer, "the page cannot be encoded; see the log", http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	// If this fails, the client has closed the connection.
	_, _ = writer.Write(raw)
}

// FetchServers reads the page of backend servers of the instance whose metrics address is given.
func FetchServers(ctx context.Context, address netip.AddrPort) (ServersPage, error) {
	var page ServersPage
	return page, fetchPage(ctx, address, ServersPath, _maxServersPage, &page)
}

// serverGauges counts backend servers by service and condition.
type serverGauges struct {
	scope     tally.Scope
	byService map[id.Service]map[ServerCondition]tally.Gauge
}

// gaugesOf returns the gauges of a service. The number of services is bounded, as each gauge is kept for good.
func (gauges *serverGauges) gaugesOf(service id.Service) map[ServerCondition]tally.Gauge {
	found, ok := gauges.byService[service]
	switch {
	case ok:
		return found
	case len(gauges.byService) >= _maxServices && service != _otherServices:
		return gauges.gaugesOf(_otherServices)
	}
	created := make(map[ServerCondition]tally.Gauge)
	for _, condition := range serverConditions() {
		tagged := gauges.scope.Tagged(map[string]string{"Service": string(service), "Condition": string(condition)})
		created[condition] = tagged.Gauge("servers")
	}
	gauges.byService[service] = created
	return created
}

// update counts the servers of a table.
func (gauges *serverGauges) update(table *steer.Table) {
	counts := make(map[tally.Gauge]int)
	for _, byCondition := range gauges.byService {
		for _, gauge := range byCondition {
			counts[gauge] = 0
		}
	}
	for _, opinion := range table.Opinions() {
		condition, _ := conditionOf(opinion)
		counts[gauges.gaugesOf(opinion.Service)[condition]]++
	}
	for gauge, count := range counts {
		gauge.Update(float64(count))
	}
}
