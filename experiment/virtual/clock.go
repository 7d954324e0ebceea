// Package virtual runs scheduled functions in virtual time, for experiments and tests.
package virtual

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with a queue of scheduled functions. Functions due at the same time run in the order in
// which they were scheduled. The zero value is ready to use.
type Clock struct {
	now       time.Duration
	scheduled int
	events    queue
}

// Now returns the virtual time since the start of the clock.
func (clock *Clock) Now() time.Duration {
	return clock.now
}

// After schedules a function to run after a delay. A negative delay counts as zero.
func (clock *Clock) After(delay time.Duration, run func()) {
	clock.scheduled++
	heap.Push(&clock.events, event{at: clock.now + max(delay, 0), sequence: clock.scheduled, run: run})
}

// Every schedules a function to run once per period, first after one period.
func (clock *Clock) Every(period time.Duration, run func()) {
	clock.After(period, func() {
		run()
		clock.Every(period, run)
	})
}

// RunFor advances the time by a span and runs all functions that fall due in it.
func (clock *Clock) RunFor(span time.Duration) {
	end := clock.now + span
	for len(clock.events) > 0 && clock.events[0].at <= end {
		next := heap.Pop(&clock.events).(event)
		clock.now = next.at
		next.run()
	}
	clock.now = end
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type queue []event

// Len implements heap.Interface.
func (queue queue) Len() int { return len(queue) }

// Less implements heap.Interface.
func (queue queue) Less(left, right int) bool {
	if queue[left].at != queue[right].at {
		return queue[left].at < queue[right].at
	}
	return queue[left].sequence < queue[right].sequence
}

// Swap implements heap.Interface.
func (queue queue) Swap(left, right int) { queue[left], queue[right] = queue[right], queue[left] }

// Push implements heap.Interface.
func (queue *queue) Push(added any) { *queue = append(*queue, added.(event)) }

// Pop implements heap.Interface.
func (queue *queue) Pop() any {
	last := len(*queue) - 1
	popped := (*queue)[last]
	(*queue)[last] = event{}
	*queue = (*queue)[:last]
	return popped
}
