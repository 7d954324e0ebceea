// Package placement compares core/placement with baselines on a simulated clock. Every strategy gets the
// same flows and the same failures of instances, targets and failure domains.
package placement

import (
	"container/heap"
	"math/rand"
	"time"
)

const (
	_simulationStep = 10 * time.Millisecond
	_sendInterval   = 2 * time.Second
	_flowIdle       = 3 * _sendInterval
)

// clock runs scheduled functions in simulated time.
type clock struct {
	now          time.Time
	random       *rand.Rand
	queue        queue
	lastSequence int
}

type task struct {
	at       time.Time
	sequence int
	run      func()
}

// queue is a heap of tasks in the order of their time, then of their scheduling.
type queue []task

func (queue queue) Len() int { return len(queue) }

func (queue queue) Less(left, right int) bool {
	if !queue[left].at.Equal(queue[right].at) {
		return queue[left].at.Before(queue[right].at)
	}
	return queue[left].sequence < queue[right].sequence
}

func (queue queue) Swap(left, right int) { queue[left], queue[right] = queue[right], queue[left] }

func (queue *queue) Push(value any) { *queue = append(*queue, value.(task)) }

func (queue *queue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

func newClock(seed int64) *clock {
	return &clock{
		now:    time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewSource(seed)),
	}
}

// after schedules run to be called after the delay.
func (clock *clock) after(delay time.Duration, run func()) {
	clock.lastSequence++
	heap.Push(&clock.queue, task{at: clock.now.Add(delay), sequence: clock.lastSequence, run: run})
}

// runUntil runs the tasks due up to at and then sets the clock to at.
func (clock *clock) runUntil(at time.Time) {
	for len(clock.queue) > 0 && !clock.queue[0].at.After(at) {
		next := heap.Pop(&clock.queue).(task)
		clock.now = next.at
		next.run()
	}
	clock.now = at
}

// jitter returns a random duration between from and to.
func (clock *clock) jitter(from, to time.Duration) time.Duration {
	return from + time.Duration(clock.random.Int63n(int64(to-from)+1))
}
