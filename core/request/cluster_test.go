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
	// _totalSlots is the sum of the slots of all targets.
	_totalSlots        = 12
	_heartbeatInterval = 80 * time.Millisecond
	_downTimeout       = 500 * time.Millisecond
)

var _shard = epoch.HashShard(id.Shard{Service: "stampa", Domain: "morbegno"})

// cluster simulates one failure domain in virtual time: entry instances, callers, targets, the platform's register
// and a network that loses, delays and duplicates messages and can be partitioned.
type cluster struct {
	random  *rand.Rand
	without request.Disabled
	// onlyPlannedStops leaves out all faults but planned stops.
	onlyPlannedStops bool
	// noFaults leaves out planned stops as well.
	noFaults      bool
	now           time.Time
	events        schedule
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
	lastReceived     map[id.Member]time.Time
	down             map[id.Member]bool
	leaving          bool
	view             epoch.View
	epochWantedAfter id.Epoch
}

type result struct {
	Requests, Runs, DoubleRuns, FalseNotRun, WrongAnswers, RanUnanswered,
	Unknown, NotRun, Answered, Violations int
	Counts map[request.Counter]int
}

func newCluster(seed int64, disabled request.Disabled, onlyPlannedStops bool) *cluster {
	cluster := &cluster{
		random: rand.New(rand.NewSource(seed)), without: disabled, onlyPlannedStops: onlyPlannedStops, now: time.Unix(0, 0),
		runs: make(map[request.Key]int), replies: make(map[request.Key]request.Outcome),
		repliedNotRun: make(map[request.Key]bool), repeatable: make(map[request.Key]bool),
		cutUntil: make(map[[2]int]time.Time),
	}
	cluster.result.Counts = make(map[request.Counter]int)
	first := epoch.View{Domain: "morbegno", Number: 1}
	for index := range _instances {
		node := &node{index: index}
		cluster.nodes = append(cluster.nodes, node)
		cluster.start(node)
		first.Members = append(first.Members, node.member)
	}
	cluster.views = []epoch.View{first}
	for _, node := range cluster.nodes {
		cluster.loop(node, 0, func() time.Duration { return _heartbeatInterval }, cluster.sendHeartbeats)
		cluster.loop(node, 0, func() time.Duration { return 40 * time.Millisecond }, cluster.tick)
		cluster.loop(node, 0, func() time.Duration { return cluster.randomSpan(200 * time.Millisecond) },
			cluster.pollRegister)
	}
	return cluster
}

func (cluster *cluster) after(delay time.Duration, run func()) {
	cluster.result.Counts[0]++
	heap.Push(&cluster.events, scheduled{at: cluster.now.Add(delay), sequence: cluster.result.Counts[0], run: run})
}

func (cluster *cluster) randomSpan(limit time.Duration) time.Duration {
	return time.Duration(cluster.random.Int63n(int64(limit))) + 1
}

func (cluster *cluster) loop(node *node, first time.Duration, every func() time.Duration, run func(*node)) {
	cluster.after(first, func() {
		if node.alive && !cluster.now.Before(node.pausedUntil) {
			run(node)
		}
		cluster.loop(node, every(), every, run)
	})
}

func (cluster *cluster) run(requests int, every time.Duration) result {
	for index := range requests {
		cluster.after(time.Duration(index)*every, func() { cluster.startCaller(index) })
	}
	end := time.Duration(requests) * every
	period := []time.Duration{700 * time.Millisecond, 2 * time.Second, 5 * time.Second}[cluster.random.Intn(3)]
	for at := period; at < end; at += period {
		cluster.after(at, cluster.injectFault)
	}
	stop := cluster.now.Add(end + 3*_retransmitSpan)
	for len(cluster.events) > 0 && cluster.now.Before(stop) {
		next := heap.Pop(&cluster.events).(scheduled)
		cluster.now = next.at
		next.run()
	}
	return cluster.summarize()
}

func (cluster *cluster) start(node *node) {
	node.member = id.Member{
		Instance:    id.Instance(fmt.Sprintf("morbegno-%d", node.index)),
		Incarnation: node.member.Incarnation + 1,
	}
	config := request.DefaultConfig(node.member, "morbegno")
	config.HeartbeatLease = 400 * time.Millisecond
	config.FenceWait = 800 * time.Millisecond
	config.RetransmitWindow = _retransmitSpan + 5*_maxPeerDelay
	config.PauseThreshold = _pauseThreshold
	config.Retention = 15 * time.Second
	config.ResendInterval = 30 * time.Millisecond
	config.AttemptTimeout = 2500 * time.Millisecond
	if !cluster.onlyPlannedStops {
		config.QueueLength = 12
	}
	config.RecordsPerMessage = 16
	config.Disabled = cluster.without
	node.leaving = false
	node.state, node.alive, node.backlog = request.New(config), true, nil
	node.view, node.lastReceived, node.down = epoch.View{}, make(map[id.Member]time.Time), make(map[id.Member]bool)
	targets := make([]request.Target, 0, 4)
	for _, name := range []id.Target{"press-1", "press-2", "press-3", "press-4"} {
		targets = append(targets, request.Target{Name: name, Domain: "morbegno", Slots: 3})
	}
	cluster.reduce(node, request.TargetsChanged{At: cluster.at(), Service: "stampa", Targets: targets})
}

func (cluster *cluster) at() request.At { return request.At{At: cluster.now} }

// deliver calls run at a node, or after its pause if it is paused. It is dropped if the node is dead or has
// restarted.
func (cluster *cluster) deliver(node *node, member id.Member, run func()) {
	switch {
	case !node.alive || node.member != member:
	case cluster.now.Before(node.pausedUntil):
		if len(node.backlog) < _socketBuffer {
			node.backlog = append(node.backlog, run)
		}
	default:
		run()
	}
}

func (cluster *cluster) transmit(from, to *node, run func()) {
	if cluster.now.Before(cluster.cutUntil[[2]int{from.index, to.index}]) ||
		!cluster.onlyPlannedStops && cluster.random.Intn(100) < 2 {
		return
	}
	for range 1 + cluster.random.Intn(20)/19 {
		member := to.member
		delay := cluster.randomSpan(2 * time.Millisecond)
		if cluster.random.Intn(20) == 0 {
			delay = cluster.randomSpan(_maxPeerDelay)
		}
		cluster.after(delay, func() { cluster.deliver(to, member, run) })
	}
}

func (cluster *cluster) reduce(node *node, event request.Event) {
	effects := slices.Clone(node.state.Reduce(event))
	for _, effect := range effects {
		cluster.execute(node, effect)
	}
}

func (cluster *cluster) execute(node *node, effect request.Effect) {
	switch effect := effect.(type) {
	case request.Dispatch:
		cluster.runAtTarget(node, effect)
	case request.Reply:
		cluster.noteReply(effect)
	case request.Send:
		for _, to := range cluster.nodes {
			if to.member == effect.To {
				message := request.MessageReceived{From: node.member, Message: effect.Message}
				cluster.transmit(node, to, func() {
					message.At = cluster.at()
					cluster.reduce(to, message)
				})
			}
		}
	case request.ProposeEpoch:
		node.epochWantedAfter = effect.After
	case request.Violation:
		cluster.result.Violations++
	case request.Count:
		cluster.result.Counts[effect.Counter]++
	case request.LeaveCompleted:
		cluster.kill(node)
	case request.CancelAttempt:
	}
}
