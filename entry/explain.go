package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/core/id"
	"azureshift/core/packet"
	"azureshift/core/route"
	"azureshift/core/steer"
	"azureshift/event"
)

const (
	// ExplainPath is the path of the page at the metrics address that explains decisions.
	ExplainPath = "/explain"
	// _maxSamples is the largest number of flows that one page tries. Each may look at all servers.
	_maxSamples = 64
	// _maxExplainPage bounds the page of another instance, in bytes.
	_maxExplainPage = 1 << 20
	_cookieBits     = 32
)

// The fields of a question in the query of ExplainPath.
const (
	_clientField  = "Client"
	_serviceField = "Service"
	_cookieField  = "Cookie"
	_samplesField = "Samples"
)

// Question asks where an instance would send packets.
type Question struct {
	// Client and Service are the endpoints of the flow. If the port of the client is zero, each sample has another one.
	Client  netip.AddrPort
	Service netip.AddrPort
	// Cookie identifies the backend server of an open flow; zero asks for new flows.
	Cookie packet.Cookie
	// Samples is the number of new flows to try. The choice depends on the first sequence number, which a client draws.
	Samples int
}

// Outcome is a decision that an instance would make, with the number of samples that lead to it.
type Outcome struct {
	Action  string
	Reason  string
	Samples int
	// Server is the backend server, and Domain its failure domain, if one is chosen. InProgress is the number of its
	// requests in progress and ServiceTimeMs how long it runs a request, zero if unknown.
	Server        id.Target `json:",omitempty"`
	Domain        id.Domain `json:",omitempty"`
	InProgress    float64
	ServiceTimeMs int64
}

// Explanation is what an instance would do with the packets of a Question, and why. Nothing is sent.
type Explanation struct {
	Instance id.Instance
	Domain   id.Domain
	Client   string
	Service  string
	// Version is that of the configuration in force, and AgeMs the time since the state was last confirmed.
	Version route.Version
	AgeMs   int64
	// Outcomes are the decisions, the most frequent first.
	Outcomes []Outcome
	// BackendService is the service that was chosen last. Domains are the failure domains with servers of it that take
	// new flows, and Excluded counts the others by condition.
	BackendService id.Service `json:",omitempty"`
	Domains        []steer.Domain
	Excluded       []ExcludedServers
	// ExpectedMs is the latency that is expected over all servers, AdmittedMs the greatest one that is admitted,
	// ExpectedUtilisation the forecast and RefusedShare the share of such flows that is refused. They are zero if they
	// do not decide.
	ExpectedMs          int64
	AdmittedMs          int64
	ExpectedUtilisation float64
	RefusedShare        float64
}

// ExcludedServers is a number of servers that take no new flows.
type ExcludedServers struct {
	Condition ServerCondition
	Servers   int
}

// parseQuestion reads a question from a query. Its error says what to write instead.
func parseQuestion(query url.Values) (Question, error) {
	question := Question{Samples: 1}
	client := query.Get(_clientField)
	address, err := netip.ParseAddr(client)
	question.Client = netip.AddrPortFrom(address, 0)
	if err != nil {
		question.Client, err = netip.ParseAddrPort(client)
	}
	if err != nil || !question.Client.Addr().Is4() {
		return Question{}, eris.Errorf("%s is %q; write an IPv4 address, with a port or without", _clientField, client)
	}
	service := query.Get(_serviceField)
	if question.Service, err = netip.ParseAddrPort(service); err != nil || !question.Service.Addr().Is4() {
		return Question{}, eris.Errorf("%s is %q; write an IPv4 address and a port", _serviceField, service)
	}
	if text := query.Get(_cookieField); text != "" {
		cookie, err := strconv.ParseUint(text, 10, _cookieBits)
		if err != nil {
			return Question{}, eris.Errorf("%s is %q; write a number below 2^32", _cookieField, text)
		}
		question.Cookie = packet.Cookie(cookie)
	}
	if text := query.Get(_samplesField); text != "" {
		if question.Samples, err = strconv.Atoi(text); err != nil {
			return Question{}, eris.Errorf("%s is %q; write a number from 1 to %d", _samplesField, text, _maxSamples)
		}
	}
	if question.Samples < 1 || question.Samples > _maxSamples {
		return Question{}, eris.Errorf("%s is %d; write a number from 1 to %d", _samplesField, question.Samples, _maxSamples)
	}
	return question, nil
}

// query returns the query that asks a question.
func (question Question) query() url.Values {
	client := question.Client.String()
	if question.Client.Port() == 0 {
		client = question.Client.Addr().String()
	}
	query := url.Values{
		_clientField: {client}, _serviceField: {question.Service.String()}, _samplesField: {strconv.Itoa(question.Samples)},
	}
	if question.Cookie != 0 {
		query.Set(_cookieField, strconv.FormatUint(uint64(question.Cookie), 10))
	}
	return query
}

// header returns the header of one packet that the question is about.
func (question Question) header() packet.Header {
	header := packet.Header{Flow: packet.Flow{
		Client:  packet.Endpoint{Address: question.Client.Addr().As4(), Port: question.Client.Port()},
		Service: packet.Endpoint{Address: question.Service.Addr().As4(), Port: question.Service.Port()},
	}}
	if header.Flow.Client.Port == 0 {
		header.Flow.Client.Port = uint16(1 + rand.N(1<<16-1))
	}
	if question.Cookie != 0 {
		header.Flags, header.Cookie, header.Length = packet.ACK, question.Cookie, 1
		return header
	}
	header.Flags, header.Sequence = packet.SYN, rand.Uint32()
	return header
}

// explain tries the packets of a question on a copy of the state, by the same code that decides on packets.
func (daemon *Daemon) explain(question Question) Explanation {
	daemon.mu.Lock()
	trial := daemon.steering.Trial()
	daemon.mu.Unlock()
	now, table := daemon.clock.now(), trial.Table()
	explanation := Explanation{
		Instance: daemon.settings.Instance, Domain: daemon.settings.Domain,
		Client: question.query().Get(_clientField), Service: question.Service.String(),
		Version: table.Version, AgeMs: (now - table.ConfirmedAt).Milliseconds(),
	}
	for range question.Samples {
		decision := trial.Decide(now, question.header())
		explanation.add(outcomeOf(decision, table))
		explanation.addCauses(decision)
	}
	slices.SortStableFunc(explanation.Outcomes, func(left, right Outcome) int { return right.Samples - left.Samples })
	endpoint := packet.Endpoint{Address: question.Service.Addr().As4(), Port: question.Service.Port()}
	if configured, ok := table.Routes[endpoint]; ok && explanation.BackendService == "" && len(configured.Shares) > 0 {
		explanation.BackendService = configured.Shares[0].Service
	}
	explanation.Domains = trial.Domains(now, explanation.BackendService)
	for _, exclusion := range trial.Exclusions(explanation.BackendService) {
		opinion := steer.Opinion{Server: &steer.Server{Condition: exclusion.Condition, Evacuated: exclusion.Evacuated}}
		condition, _ := conditionOf(opinion)
		explanation.Excluded = append(explanation.Excluded, ExcludedServers{
			Condition: condition, Servers: exclusion.Servers,
		})
	}
	return explanation
}

func outcomeOf(decision steer.Decision, table *steer.Table) Outcome {
	outcome := Outcome{Action: decision.Action.String(), Reason: decision.Reason.String(), Samples: 1}
	if decision.Server != nil {
		measure := table.Measure(decision.Server)
		outcome.Server, outcome.Domain = decision.Server.ID, decision.Server.Domain
		outcome.InProgress, outcome.ServiceTimeMs = measure.LatestInProgress, measure.ServiceTime.Milliseconds()
	}
	return outcome
}

// add counts an outcome.
func (explanation *Explanation) add(outcome Outcome) {
	for index := range explanation.Outcomes {
		known := &explanation.Outcomes[index]
		if known.Action == outcome.Action && known.Reason == outcome.Reason && known.Server == outcome.Server {
			known.Samples++
			return
		}
	}
	explanation.Outcomes = append(explanation.Outcomes, outcome)
}

// addCauses records what a decision rests on.
func (explanation *Explanation) addCauses(decision steer.Decision) {
	if decision.Server != nil {
		explanation.BackendService = decision.Server.Service
	}
	if decision.LatencyLimit > 0 {
		explanation.ExpectedMs = decision.ExpectedLatency.Milliseconds()
		explanation.AdmittedMs = decision.LatencyLimit.Milliseconds()
		explanation.ExpectedUtilisation = decision.ExpectedUtilisation
		explanation.RefusedShare = decision.RefusedShare
	}
}

func (daemon *Daemon) serveExplanation(writer http.ResponseWriter, request *http.Request) {
	question, err := parseQuestion(request.URL.Query())
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	raw, err := json.Marshal(daemon.explain(question))
	if err != nil {
		daemon.log.LogError(event.StatusUnavailable, err, nil)
		http.Error(writer, "the page cannot be encoded; see the log", http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	// If this fails, the client has closed the connection.
	_, _ = writer.Write(raw)
}

// FetchExplanation asks the instance whose metrics address is given.
func FetchExplanation(ctx context.Context, address netip.AddrPort, question Question) (Explanation, error) {
	var explanation Explanation
	path := ExplainPath + "?" + question.query().Encode()
	return explanation, fetchPage(ctx, address, path, _maxExplainPage, &explanation)
}

// _explainTimeout is how long an instance may take to explain.
const _explainTimeout = 5 * time.Second

// Explain asks several instances, and returns the explanations of those that answer with the errors of the others.
func Explain(ctx context.Context, addresses []netip.AddrPort, question Question) ([]Explanation, []error) {
	ctx, cancel := context.WithTimeout(ctx, _explainTimeout)
	defer cancel()
	var explanations []Explanation
	var failures []error
	for _, address := range addresses {
		explanation, err := FetchExplanation(ctx, address, question)
		if err != nil {
			failures = append(failures, fmt.Errorf("explain: %w", err))
			continue
		}
		explanations = append(explanations, explanation)
	}
	return explanations, failures
}
