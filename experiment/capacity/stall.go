package capacity

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"azureshift/core/id"
	core "azureshift/core/membership"
	"azureshift/experiment/membership"
)

const (
	_settleTime      = 5 * time.Second
	_observationTime = 15 * time.Second
	_stallStep       = 20 * time.Millisecond
)

// Stall is the outcome of the loss of a failure domain in a fleet in which the control thread of each survivor stalls
// as soon as it detects the loss.
type Stall struct {
	Members int
	// Span is the mean duration of a stall; each one differs from it by up to a fifth.
	Span      time.Duration
	Survivors int
	// FalselyDead counts the survivors that some other survivor declared dead.
	FalselyDead int
}

// stallRun is a fleet in virtual time whose instances stall when they detect the loss.
type stallRun struct {
	network     *membership.Network
	random      *rand.Rand
	span        time.Duration
	lostDomain  id.Domain
	resumeAt    map[*membership.Node]time.Time
	stalled     map[*membership.Node]bool
	alive       map[id.Member]bool
	falselyDead map[id.Member]bool
}

// MeasureStall kills one failure domain of a fleet and stalls every survivor once for about the span.
func MeasureStall(members, domains int, span time.Duration, seed uint64) Stall {
	stallRun := &stallRun{
		network:     membership.NewFleet(seed, members, domains, core.Disabled{}),
		random:      rand.New(rand.NewPCG(seed, seed)),
		span:        span,
		resumeAt:    make(map[*membership.Node]time.Time),
		stalled:     make(map[*membership.Node]bool),
		alive:       make(map[id.Member]bool),
		falselyDead: make(map[id.Member]bool),
	}
	stallRun.network.Run(_settleTime)
	stallRun.killDomain()
	end := stallRun.network.Now.Add(span*3/2 + _observationTime)
	for stallRun.network.Now.Before(end) {
		stallRun.network.Run(_stallStep)
		stallRun.resumeDue()
	}
	return Stall{Members: members, Span: span, Survivors: len(stallRun.alive), FalselyDead: len(stallRun.falselyDead)}
}

// killDomain kills the members of the last failure domain and starts to observe the survivors.
func (stallRun *stallRun) killDomain() {
	nodes := stallRun.network.Nodes
	stallRun.lostDomain = nodes[len(nodes)-1].Record.Domain
	for _, node := range nodes {
		node.Killed = node.Record.Domain == stallRun.lostDomain
		if !node.Killed {
			stallRun.alive[node.Record.Member] = true
		}
	}
	stallRun.network.OnEffect = stallRun.observe
}

func (stallRun *stallRun) observe(node *membership.Node, effect core.Effect) {
	switch effect := effect.(type) {
	case core.DomainCut:
		if effect.Domain == stallRun.lostDomain && !stallRun.stalled[node] {
			stallRun.pause(node)
		}
	case core.Down:
		if stallRun.alive[effect.Record.Member] {
			stallRun.falselyDead[effect.Record.Member] = true
		}
	}
}

func (stallRun *stallRun) pause(node *membership.Node) {
	const variation = 0.4
	stallRun.stalled[node] = true
	stallRun.network.Pause(node)
	factor := 1 + variation*(stallRun.random.Float64()-0.5)
	stallRun.resumeAt[node] = stallRun.network.Now.Add(time.Duration(factor * float64(stallRun.span)))
}

// resumeDue resumes the instances whose stall is over, in the order of the fleet.
func (stallRun *stallRun) resumeDue() {
	for _, node := range stallRun.network.Nodes {
		at, stopped := stallRun.resumeAt[node]
		if stopped && !stallRun.network.Now.Before(at) {
			delete(stallRun.resumeAt, node)
			stallRun.network.Resume(node)
		}
	}
}

// Print writes the outcome as one line.
func (stall Stall) Print(writer io.Writer) {
	_, _ = fmt.Fprintf(writer,
		"%d members, a failure domain lost, threads stalled for %v: %d of %d survivors declared dead\n",
		stall.Members, stall.Span, stall.FalselyDead, stall.Survivors)
}
