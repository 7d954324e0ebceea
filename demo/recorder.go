package demo

import (
	"sync"
	"time"

	"azureshift/core/id"
)

// recorder records what callers observe and decides which flows broke.
type recorder struct {
	freezeLimit time.Duration

	mu      sync.Mutex
	movable map[id.Target]bool
	// partitioned is set while failure domains are isolated from each other. Both sides then serve flows, so that
	// a flow may move between targets.
	partitioned bool
	slowestRoll time.Duration
	services    map[id.Service]*serviceRecord
}

type serviceRecord struct {
	customer       id.Customer
	feeds          map[int]*feedRecord
	targets        []id.Target
	latencies      map[string][]time.Duration
	outcomes       map[string]int
	notRun         []string
	broken         int
	moved          int
	movedByCut     int
	frozen         int
	crossedAnswers int
	corruptExports int
}

type feedRecord struct {
	target     id.Target
	lastSeen   time.Time
	longestGap time.Duration
}

func newRecorder(freezeLimit time.Duration) *recorder {
	return &recorder{
		freezeLimit: freezeLimit,
		movable:     make(map[id.Target]bool),
		services:    make(map[id.Service]*serviceRecord),
	}
}

func (recorder *recorder) addService(customer id.Customer, service id.Service, targets []id.Target) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.services[service] = &serviceRecord{
		customer:  customer,
		feeds:     make(map[int]*feedRecord),
		targets:   targets,
		latencies: make(map[string][]time.Duration),
		outcomes:  make(map[string]int),
	}
}

// allowMoves marks targets whose flows may move because the targets were killed or isolated.
func (recorder *recorder) allowMoves(targets ...id.Target) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	for _, target := range targets {
		recorder.movable[target] = true
	}
}

// recordNotification records a notification that a feed received from target.
func (recorder *recorder) recordNotification(service id.Service, number int, target id.Target, at time.Time) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	record := recorder.services[service]
	feed, known := record.feeds[number]
	if !known {
		record.feeds[number] = &feedRecord{target: target, lastSeen: at}
		return
	}
	gap := at.Sub(feed.lastSeen)
	if gap > recorder.freezeLimit && feed.longestGap <= recorder.freezeLimit {
		record.frozen++
	}
	feed.longestGap = max(feed.longestGap, gap)
	feed.lastSeen = at
	if feed.target == target {
		return
	}
	switch {
	case recorder.movable[feed.target]:
		record.moved++
	case recorder.partitioned:
		record.movedByCut++
	default:
		record.broken++
	}
	feed.target = target
}

func (recorder *recorder) recordOutcome(service id.Service, class, outcome string, latency time.Duration) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	record := recorder.services[service]
	record.latencies[class] = append(record.latencies[class], latency)
	record.outcomes[class+" "+outcome]++
}

func (recorder *recorder) recordNotRun(service id.Service, order string) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.services[service].notRun = append(recorder.services[service].notRun, order)
}

func (recorder *recorder) recordCrossedAnswer(service id.Service) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.services[service].crossedAnswers++
}

func (recorder *recorder) recordCorruptExport(service id.Service) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.services[service].corruptExports++
}

// countSilentFeeds counts feeds without a notification for longer than the freeze limit at the end as frozen.
func (recorder *recorder) countSilentFeeds(end time.Time) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	for _, record := range recorder.services {
		for _, feed := range record.feeds {
			if feed.longestGap <= recorder.freezeLimit && end.Sub(feed.lastSeen) > recorder.freezeLimit {
				record.frozen++
			}
		}
	}
}

// recordRollTime records the time until a rolled bundle was in force on every instance.
func (recorder *recorder) recordRollTime(took time.Duration) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.slowestRoll = max(recorder.slowestRoll, took)
}

// setPartitioned marks the start of a partition, or its end once flows had time to move back.
func (recorder *recorder) setPartitioned(partitioned bool) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.partitioned = partitioned
}
