package requests

import (
	"container/heap"
	"time"
)

// clock runs scheduled functions in virtual time.
type clock struct {
	now          time.Time
	lastSequence int
	queue        taskQueue
}

type task struct {
	at       time.Time
	sequence int
	run      func()
}

// taskQueue is a heap of tasks in the order of their time, then of their scheduling.
type taskQueue []task

func (taskQueue taskQueue) Len() int { return len(taskQueue) }
func (taskQueue taskQueue) Less(i, j int) bool {
	if !taskQueue[i].at.Equal(taskQueue[j].at) {
		return taskQueue[i].at.Before(taskQueue[j].at)
	}
	return taskQueue[i].sequence < taskQueue[j].sequence
}

func (taskQueue taskQueue) Swap(i, j int) { taskQueue[i], taskQueue[j] = taskQueue[j], taskQueue[i] }

// Push implements heap.Interface.
func (taskQueue *taskQueue) Push(x any) { *taskQueue = append(*taskQueue, x.(task)) }

// Pop implements heap.Interface.
func (taskQueue *taskQueue) Pop() any {
	last := len(*taskQueue) - 1
	popped := (*taskQueue)[last]
	(*taskQueue)[last] = task{}
	*taskQueue = (*taskQueue)[:last]
	return popped
}

// after schedules run to be called after the delay.
func (clock *clock) after(delay time.Duration, run func()) {
	clock.lastSequence++
	heap.Push(&clock.queue, task{at: clock.now.Add(delay), sequence: clock.lastSequence, run: run})
}

// every schedules run to be called once per period.
func (clock *clock) every(period time.Duration, run func()) {
	clock.after(period, func() {
		run()
		clock.every(period, run)
	})
}

// runUntil runs the tasks due up to end and then sets the clock to end.
func (clock *clock) runUntil(end time.Time) {
	for len(clock.queue) > 0 && !clock.queue[0].at.After(end) {
		next := heap.Pop(&clock.queue).(task)
		clock.now = next.at
		next.run()
	}
	clock.now = end
}
