package request_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"azureshift/core/epoch"
	"azureshift/core/id"
	"azureshift/core/request"
)

const (
	_instances      = 5
	_retransmitSpan = 2 * time.Second
	_maxPeerDelay   = 100 * time.Millisecond
	_pauseThreshold = 150 * time.Millisecond
	// _socketBuffer is how many datagrams wait at a paused instance before later ones are lost.
	_socketBuffer = 40
	// _totalSlots is the slots of all targets.
	_totalSlots        = 12
	_heartbeatInterval = 80 * time.Millisecond
	_downTimeout       = 500 * time.Millisecond
)

var _shard = epoch.HashShard(id.Shard{Service: "stampa", Domain: "morbegno"})

// simulation is one failure domain in virtual time: entry instances, callers, targets, the platform's register
// and a network that drops, delays, duplicates and cuts.
type simulation struct {
	random  *rand.Rand
	without request.Without
	// onlyPlannedStops leaves out all faults but planned stops.
	onlyPlannedStops bool
	// noFaults leaves these out too.
	noFaults      bool
	now           time.Time
	pending       schedule
	nodes         []*node
	views         []epoch.View
	runs          map[request.Key]int
	replies       map[request.Key]request.Outcome
	repliedNotRun map[request.Key]bool
	repeatable    map[request.Key]bool
	cutUntil      map[[2]int]time.Time
	result        result
}

type node struct {
	index            int
	member           id.Member
	state            *request.State
	alive            bool
	pausedUntil      time.Time
	resumedAt        time.Time
	offlineUntil     time.Time
	backlog          []func()
	lastHeard        map[id.Member]time.Time
	down             map[id.Member]bool
	leaving          bool
	view             epoch.View
	epochWantedAfter id.Epoch
}

type result struct {
	Requests, Runs, DoubleRuns, FalseNotRun, WrongAnswers, RanUnanswered, Unknown, NotRun, Answered, Violations int
	Counts                                                                                                      map[request.What]int
}

func newSimulation(seed int64, without request.Without, planned bool) *simulation {
	simulation := &simulation{
		random: rand.New(rand.NewSource(seed)), without: without, onlyPlannedStops: planned, now: time.Unix(0, 0),
		runs: make(map[request.Key]int), replies: make(map[request.Key]request.Outcome),
		repliedNotRun: make(map[request.Key]bool), repeatable: make(map[request.Key]bool), cutUntil: make(map[[2]int]time.Time),
	}
	simulation.result.Counts = make(map[request.What]int)
	first := epoch.View{Domain: "morbegno", Number: 1}
	for index := range _instances {
		node := &node{index: index}
		simulation.nodes = append(simulation.nodes, node)
		simulation.start(node)
		first.Members = append(first.Members, node.member)
	}
	simulation.views = []epoch.View{first}
	for _, node := range simulation.nodes {
		simulation.loop(node, 0, func() time.Duration { return _heartbeatInterval }, simulation.sendHeartbeats)
		simulation.loop(node, 0, func() time.Duration { return 40 * time.Millisecond }, simulation.tick)
		simulation.loop(node, 0, func() time.Duration { return simulation.randomSpan(200 * time.Millisecond) }, simulation.pollRegister)
	}
	return simulation
}

func (simulation *simulation) after(delay time.Duration, run func()) {
	simulation.result.Counts[0]++
	heap.Push(&simulation.pending, scheduled{at: simulation.now.Add(delay), order: simulation.result.Counts[0], run: run})
}

func (simulation *simulation) randomSpan(limit time.Duration) time.Duration {
	return time.Duration(simulation.random.Int63n(int64(limit))) + 1
}

func (simulation *simulation) loop(node *node, first time.Duration, every func() time.Duration, run func(*node)) {
	simulation.after(first, func() {
		if node.alive && !simulation.now.Before(node.pausedUntil) {
			run(node)
		}
		simulation.loop(node, every(), every, run)
	})
}

func (simulation *simulation) run(requests int, every time.Duration) result {
	for index := range requests {
		simulation.after(time.Duration(index)*every, func() { simulation.startCaller(index) })
	}
	end := time.Duration(requests) * every
	period := []time.Duration{700 * time.Millisecond, 2 * time.Second, 5 * time.Second}[simulation.random.Intn(3)]
	for at := period; at < end; at += period {
		simulation.after(at, simulation.injectFault)
	}
	stop := simulation.now.Add(end + 3*_retransmitSpan)
	for len(simulation.pending) > 0 && simulation.now.Before(stop) {
		next := heap.Pop(&simulation.pending).(scheduled)
		simulation.now = next.at
		next.run()
	}
	return simulation.tally()
}

func (simulation *simulation) start(node *node) {
	node.member = id.Member{
		Instance:    id.Instance(fmt.Sprintf("morbegno-%d", node.index)),
		Incarnation: node.member.Incarnation + 1,
	}
	config := request.Default(node.member, "morbegno")
	config.ContactLease = 400 * time.Millisecond
	config.FenceWait = 800 * time.Millisecond
	config.RetransmitSpan = _retransmitSpan + 5*_maxPeerDelay
	config.PauseThreshold = _pauseThreshold
	config.Retention = 15 * time.Second
	config.ResendInterval = 30 * time.Millisecond
	config.AttemptTimeout = 2500 * time.Millisecond
	if !simulation.onlyPlannedStops {
		config.QueueLength = 12
	}
	config.RecordsPerMessage = 16
	config.Without = simulation.without
	node.leaving = false
	node.state, node.alive, node.backlog = request.New(config), true, nil
	node.view, node.lastHeard, node.down = epoch.View{}, make(map[id.Member]time.Time), make(map[id.Member]bool)
	targets := make([]request.Target, 0, 4)
	for _, name := range []id.Target{"press-1", "press-2", "press-3", "press-4"} {
		targets = append(targets, request.Target{Name: name, Domain: "morbegno", Slots: 3})
	}
	simulation.reduce(node, request.TargetsChanged{At: simulation.eventTime(), Service: "stampa", Targets: targets})
}

func (simulation *simulation) eventTime() request.At { return request.At{At: simulation.now} }

// deliver runs something at a node, or later if it is paused; a dead or restarted node never sees it.
func (simulation *simulation) deliver(node *node, member id.Member, run func()) {
	switch {
	case !node.alive || node.member != member:
	case simulation.now.Before(node.pausedUntil):
		if len(node.backlog) < _socketBuffer {
			node.backlog = append(node.backlog, run)
		}
	default:
		run()
	}
}

func (simulation *simulation) transmit(from, to *node, run func()) {
	if simulation.now.Before(simulation.cutUntil[[2]int{from.index, to.index}]) || !simulation.onlyPlannedStops && simulation.random.Intn(100) < 2 {
		return
	}
	for range 1 + simulation.random.Intn(20)/19 {
		member := to.member
		delay := simulation.randomSpan(2 * time.Millisecond)
		if simulation.random.Intn(20) == 0 {
			delay = simulation.randomSpan(_maxPeerDelay)
		}
		simulation.after(delay, func() { simulation.deliver(to, member, run) })
	}
}

func (simulation *simulation) reduce(node *node, event request.Event) {
	effects := slices.Clone(node.state.Reduce(event))
	for _, effect := range effects {
		simulation.execute(node, effect)
	}
}

func (simulation *simulation) execute(node *node, effect request.Effect) {
	switch effect := effect.(type) {
	case request.Dispatch:
		simulation.runAtTarget(node, effect)
	case request.Reply:
		simulation.recordReply(effect)
	case request.SendPeer:
		for _, to := range simulation.nodes {
			if to.member == effect.To {
				message := request.PeerReceived{From: node.member, Message: effect.Message}
				simulation.transmit(node, to, func() {
					message.At = simulation.eventTime()
					simulation.reduce(to, message)
				})
			}
		}
	case request.EpochWanted:
		node.epochWantedAfter = effect.After
	case request.Violation:
		simulation.result.Violations++
	case request.Count:
		simulation.result.Counts[effect.What]++
	case request.Left:
		simulation.kill(node)
	case request.CancelAttempt:
	}
}
