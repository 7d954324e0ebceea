package request_test

import (
	"time"
)

type scheduled struct {
	at       time.Time
	sequence int
	run      func()
}

type schedule []scheduled

func (schedule schedule) Len() int { return len(schedule) }

func (schedule schedule) Less(i, j int) bool {
	if !schedule[i].at.Equal(schedule[j].at) {
		return schedule[i].at.Before(schedule[j].at)
	}
	return schedule[i].sequence < schedule[j].sequence
}

func (schedule schedule) Swap(i, j int) { schedule[i], schedule[j] = schedule[j], schedule[i] }

func (schedule *schedule) Push(x any) { *schedule = append(*schedule, x.(scheduled)) }

func (schedule *schedule) Pop() any {
	last := (*schedule)[len(*schedule)-1]
	*schedule = (*schedule)[:len(*schedule)-1]
	return last
}
