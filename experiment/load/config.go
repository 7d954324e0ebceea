// Package load simulates patterns of load and faults in virtual time and compares policies for placing new flows: the
// share of requests that each answers in time, relative to an ideal single queue with full knowledge of all servers.
package load

import (
	"time"

	"azureshift/core/id"
	"azureshift/core/route"
	"azureshift/core/steer"
)

// Zone describes a failure domain of a deployment.
type Zone struct {
	Domain    id.Domain
	Instances int
	Servers   int
	// Rate is the number of requests per second.
	Rate float64
}

// Kind is a kind of request.
type Kind struct {
	Name string
	// Share is the fraction of the requests that are of this kind.
	Share float64
	Class route.Kind
	// FlowPerRequest makes clients open a new flow for each request. Otherwise they reuse idle flows.
	FlowPerRequest bool
	// MeanWork is the mean service time of a request, and Spread the standard deviation of its logarithm.
	MeanWork time.Duration
	Spread   float64
	// Objective is the latency up to which an answer is in time. After Timeout the client gives the request up.
	Objective time.Duration
	Timeout   time.Duration
	Priority  route.Priority
	// UserRate is the number of requests per second of one user of this kind; zero is the UserRate of the deployment.
	UserRate float64
	// Tail is a part of the requests that takes longer; MeanWork is the mean of the others.
	Tail Tail
	// Worth is the weight of a request that is answered in time; zero counts as one.
	Worth float64
}

// worth returns the weight of a request.
func (kind *Kind) worth() float64 {
	if kind.Worth == 0 {
		return 1
	}
	return kind.Worth
}

// Config describes a deployment and the time for which to simulate it.
type Config struct {
	Zones []Zone
	Kinds []Kind
	// Slots is the number of requests that a server runs at once, and Queue the number that can wait there.
	Slots int
	Queue int
	// ColdPeriod is how long a server is slow after its start, and ColdFactor multiplies the service time in it.
	ColdPeriod time.Duration
	ColdFactor float64
	// SlowStartFlows is the number of new flows that a cold server may get in any second; zero means any.
	SlowStartFlows int
	// UserRate is the number of requests per second of one user. Each user reuses flows of its own, so that a burst of
	// users opens flows. If it is zero, all clients of a failure domain share their flows.
	UserRate float64
	// DistinctClients gives each user an address of its own, and makes it take one port after the other.
	DistinctClients bool
	// withDemand passes the demand to all instances even if it decides nothing.
	withDemand bool
	// Speeds are the speeds of the servers of a failure domain, in turn, as multiples of the usual one; empty means that
	// all are alike. CrossDomainDelay is the one-way delay between failure domains; zero is a default.
	Speeds           []float64
	CrossDomainDelay time.Duration
	// Placement chooses among the ways of package steer to place flows.
	Placement steer.Placement
	// ClosesFlows makes clients close a flow that carries one request after its answer.
	ClosesFlows bool
	// MaxRetries is how often a client repeats a request that was refused or rejected.
	MaxRetries int
	// ExchangeInterval is the interval at which instances exchange the server loads that they observed. LoadsPerExchange
	// is the number of servers whose loads are in one exchange; zero means all.
	ExchangeInterval time.Duration
	LoadsPerExchange int
	// ExchangeDelay is the time that the loads take to reach all instances.
	ExchangeDelay time.Duration
	// Warmup is the simulated time before the measurement, and Duration the time of the measurement.
	Warmup   time.Duration
	Duration time.Duration
	Seed     uint64
}

const (
	_workSpread = 0.5
	// _sameDomainDelay and _crossDomainDelay are the one-way delays between an instance and a server in the same failure
	// domain and in another, and _clientDelay that between a client and an instance.
	_sameDomainDelay  = 200 * time.Microsecond
	_crossDomainDelay = 1400 * time.Microsecond
	_clientDelay      = 3 * time.Millisecond
	// _crashDetectionDelay is the time until every instance knows that a server has crashed.
	_crashDetectionDelay = 250 * time.Millisecond
	// _registrationDelay is the time until a changed registration has reached every instance.
	_registrationDelay = 300 * time.Millisecond
	_synRetryDelay     = 200 * time.Millisecond
	// _idleFlowTimeout is the time after which a client no longer reuses an idle flow.
	_idleFlowTimeout = 12 * time.Second
)

// Valtellina returns the deployment of the municipal works' ordering service, the more heavily loaded of the two
// deployments.
func Valtellina() Config {
	return Config{
		Zones: []Zone{
			{Domain: "morbegno", Instances: 7, Servers: 5, Rate: 119},
			{Domain: "tirano", Instances: 4, Servers: 5, Rate: 118},
			{Domain: "chiavenna", Instances: 4, Servers: 4, Rate: 138},
		},
		Kinds: []Kind{
			{
				Name: "stock-feed", Share: 0.74, Class: route.Idempotent, MeanWork: 40 * time.Millisecond, Spread: _workSpread,
				Objective: 200 * time.Millisecond, Timeout: 1200 * time.Millisecond, Priority: 2,
			},
			{
				Name: "sleeve-order", Share: 0.2, Class: route.NonIdempotent, MeanWork: 52 * time.Millisecond,
				Spread: _workSpread, Objective: 250 * time.Millisecond, Timeout: 1500 * time.Millisecond, Priority: 1, Worth: 2,
			},
			{
				Name: "artwork-pull", Share: 0.06, Class: route.Download, FlowPerRequest: true, MeanWork: 5 * time.Millisecond,
				Spread: _workSpread, Objective: 500 * time.Millisecond, Timeout: 3 * time.Second, Priority: 2,
			},
		},
		Slots: 3, Queue: 12, ColdPeriod: 2 * time.Second, ColdFactor: 1.6, MaxRetries: 2,
		ExchangeInterval: 500 * time.Millisecond,
		Warmup:           6 * time.Second, Duration: 20 * time.Second, Seed: 1,
	}
}

// Relecture returns the deployment of the proofreading marketplace's job service, where users keep flows for feeds and
// open a flow for each bid.
func Relecture() Config {
	config := Valtellina()
	config.Zones = []Zone{
		{Domain: "qc-est-a", Instances: 7, Servers: 5, Rate: 126},
		{Domain: "qc-est-b", Instances: 4, Servers: 5, Rate: 149},
		{Domain: "qc-est-c", Instances: 2, Servers: 4, Rate: 100},
	}
	config.Kinds = []Kind{
		{
			Name: "job-feed", Share: 7.0 / 9, Class: route.Idempotent, MeanWork: 40 * time.Millisecond,
			Spread: _workSpread, Objective: 200 * time.Millisecond, Timeout: 1200 * time.Millisecond, Priority: 2, Worth: 1,
		},
		{
			Name: "bid", Share: 2.0 / 9, Class: route.NonIdempotent, FlowPerRequest: true,
			MeanWork: 52 * time.Millisecond, Spread: _workSpread, Objective: 250 * time.Millisecond,
			Timeout: 1500 * time.Millisecond, Priority: 1, Worth: 2,
		},
	}
	config.UserRate = 1
	return config
}

// capacity returns the number of requests per second that all servers together can run.
func (config Config) capacity() float64 {
	work := 0.0
	for _, kind := range config.Kinds {
		work += kind.Share * kind.MeanWork.Seconds()
	}
	return float64(config.slots()) / work
}

// slots returns the number of requests that all servers together run at once.
func (config Config) slots() int {
	slots := 0
	for _, zone := range config.Zones {
		slots += zone.Servers * config.Slots
	}
	return slots
}

// rate returns the number of requests per second of all failure domains.
func (config Config) rate() float64 {
	rate := 0.0
	for _, zone := range config.Zones {
		rate += zone.Rate
	}
	return rate
}
