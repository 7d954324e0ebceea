package testbed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"azureshift/core/packet"
	"azureshift/standin/flows"
)

// Kind is the kind of a client request.
type Kind string

// The kinds of requests.
const (
	// Feed requests are idempotent and share a long-lived flow.
	Feed Kind = "feed"
	// Order requests run at most once and share a long-lived flow.
	Order Kind = "order"
	// Download requests are idempotent and open a flow each.
	Download Kind = "download"
)

const (
	_requestTimeout = 1500 * time.Millisecond
	_thinkTime      = 150 * time.Millisecond
	_maxRetries     = 2
	_feedSize       = 2000
	_orderSize      = 600
	_downloadSize   = 20_000
	// _flowLifetime is how long a user keeps a flow before it opens a new one.
	_flowLifetime = 20 * time.Second
)

// LoadConfig sets the number of users of each kind in each failure domain.
type LoadConfig struct {
	Feeds     int
	Orders    int
	Downloads int
}

// Outcome is the result of one attempt of a request.
type Outcome string

// The outcomes of an attempt.
const (
	Served Outcome = "Served"
	// Refused means that no flow could be opened, so the request did not run.
	Refused Outcome = "Refused"
	// Reset means that the open flow was reset.
	Reset Outcome = "Reset"
	// Silent means that no answer came before the deadline or before the flow was closed.
	Silent Outcome = "Silent"
	// Wrong means that the answer was incomplete or belonged to another request.
	Wrong Outcome = "Wrong"
)

// Attempt records one finished attempt of a request.
type Attempt struct {
	EndedAt time.Time
	// StartedAt is when the first attempt of the request began.
	StartedAt time.Time
	Kind      Kind
	Request   string
	Domain    int
	// Server is the id of the server that answered on the flow, or empty if none has answered yet.
	Server string
	// FlowOpenedAt is when the client opened the flow; zero if the attempt opened none.
	FlowOpenedAt time.Time
	Outcome      Outcome
	// ResetByInstance is set if an entry instance, not the server, reset the flow.
	ResetByInstance bool
}

// Load simulates users that send requests.
type Load struct {
	testbed *Testbed
	config  LoadConfig
	users   conc.WaitGroup
	stop    context.CancelFunc
	ctx     context.Context

	mu           sync.Mutex
	attempts     []Attempt
	requestCount int
}

// StartLoad starts users in every failure domain.
func (testbed *Testbed) StartLoad(config LoadConfig) (*Load, error) {
	ctx, stop := context.WithCancel(context.Background())
	load := &Load{testbed: testbed, config: config, ctx: ctx, stop: stop}
	for domain := range testbed.config.Domains {
		client, err := testbed.Client(domain, _loadClientNumber)
		if err != nil {
			stop()
			return nil, err
		}
		context.AfterFunc(testbed.ctx, client.Close)
		for range config.Feeds {
			load.users.Go(func() { load.runUser(domain, client, Feed, FeedEndpoint, _feedSize) })
		}
		for range config.Orders {
			load.users.Go(func() { load.runUser(domain, client, Order, OrderEndpoint, _orderSize) })
		}
		for range config.Downloads {
			load.users.Go(func() { load.runUser(domain, client, Download, DownloadEndpoint, _downloadSize) })
		}
	}
	return load, nil
}

// _loadClientNumber is the number of the client that all users of a failure domain share.
const _loadClientNumber = 100

// Stop stops all users and returns the attempts of the whole run.
func (load *Load) Stop() []Attempt {
	load.stop()
	load.users.Wait()
	return load.Attempts()
}

// Attempts returns the attempts that have ended so far.
func (load *Load) Attempts() []Attempt {
	load.mu.Lock()
	defer load.mu.Unlock()
	return append([]Attempt(nil), load.attempts...)
}

// Counts returns the number of attempts by outcome, for requests that started after the given time.
func (load *Load) Counts(since time.Time) map[Outcome]int {
	counts := make(map[Outcome]int)
	for _, attempt := range load.Attempts() {
		if attempt.StartedAt.After(since) {
			counts[attempt.Outcome]++
		}
	}
	return counts
}

// runUser sends requests one after the other until the load stops, with a randomized think time between them.
func (load *Load) runUser(domain int, client *flows.Client, kind Kind, service packet.Endpoint, size int) {
	user := &user{load: load, domain: domain, client: client, kind: kind, service: service, size: size}
	for load.ctx.Err() == nil {
		user.request()
		select {
		case <-load.ctx.Done():
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(_thinkTime))):
		}
	}
	if user.flow != nil {
		user.flow.Reset()
	}
}

// user is the state of one simulated user with its current flow.
type user struct {
	load     *Load
	domain   int
	client   *flows.Client
	kind     Kind
	service  packet.Endpoint
	size     int
	flow     *flows.Flow
	server   string
	openedAt time.Time
}

// request sends one request and retries it where that is safe: orders are retried only if they were refused.
func (user *user) request() {
	user.load.mu.Lock()
	user.load.requestCount++
	id := fmt.Sprintf("%s-%d", user.kind, user.load.requestCount)
	user.load.mu.Unlock()
	startedAt := time.Now()
	for range _maxRetries + 1 {
		attempt := user.attempt(id, startedAt)
		user.load.mu.Lock()
		user.load.attempts = append(user.load.attempts, attempt)
		user.load.mu.Unlock()
		mayRepeat := user.kind != Order || attempt.Outcome == Refused
		if attempt.Outcome == Served || !mayRepeat || time.Since(startedAt) > _requestTimeout {
			return
		}
	}
}

func (user *user) attempt(id string, startedAt time.Time) Attempt {
	attempt := Attempt{StartedAt: startedAt, Kind: user.kind, Request: id, Domain: user.domain, Outcome: Refused}
	if err := user.ensureFlow(); err != nil {
		attempt.EndedAt = time.Now()
		return attempt
	}
	server, err := user.flow.Do(id, user.size, startedAt.Add(_requestTimeout))
	if server != "" {
		user.server = server
	}
	attempt.EndedAt, attempt.Server, attempt.FlowOpenedAt = time.Now(), user.server, user.openedAt
	attempt.Outcome = outcomeOf(err)
	attempt.ResetByInstance = user.flow.ResetByInstance()
	if err != nil || user.kind == Download || time.Since(user.openedAt) > _flowLifetime {
		user.closeFlow()
	}
	return attempt
}

// ensureFlow opens a flow unless the user has one that has not ended.
func (user *user) ensureFlow() error {
	if user.flow != nil && user.flow.EndReason() == nil {
		return nil
	}
	user.closeFlow()
	flow, err := user.client.Open(user.service)
	if err != nil {
		return err
	}
	user.flow, user.openedAt = flow, time.Now()
	return nil
}

func (user *user) closeFlow() {
	if user.flow == nil {
		return
	}
	if user.flow.EndReason() == nil {
		user.flow.Reset()
	} else {
		user.flow.Close()
	}
	user.flow, user.server = nil, ""
}

func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Served
	case errors.Is(err, flows.ErrReset):
		return Reset
	case errors.Is(err, flows.ErrTimeout), errors.Is(err, flows.ErrClosed):
		return Silent
	default:
		return Wrong
	}
}

// KindOf returns the kind of the request with the given id.
func KindOf(request string) Kind {
	kind, _, _ := strings.Cut(request, "-")
	return Kind(kind)
}
