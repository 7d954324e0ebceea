package requests

import (
	"time"

	"azureshift/core/id"
)

// job is one request. Its work is its service time as a multiple of the target's mean service time.
type job struct {
	number   int
	work     float64
	arrived  time.Time
	started  time.Time
	deadline time.Time
	ended    bool
}

// target runs as many jobs as it has slots, queues a short backlog and refuses the rest.
type target struct {
	clock           *clock
	name            id.Target
	domain          id.Domain
	slots           int
	backlogLimit    int
	meanServiceTime time.Duration
	misreports      bool
	running         int
	backlog         []queuedJob
	reported        float64
	refusals        int
}

type queuedJob struct {
	job  *job
	done func(ran bool)
}

// offer starts or queues a job and calls done when it ends. It returns false if the target refuses the job.
func (target *target) offer(job *job, done func(ran bool)) bool {
	if target.running < target.slots {
		target.start(queuedJob{job: job, done: done})
		return true
	}
	if len(target.backlog) >= target.backlogLimit {
		target.refusals++
		return false
	}
	target.backlog = append(target.backlog, queuedJob{job: job, done: done})
	return true
}

func (target *target) start(next queuedJob) {
	target.running++
	next.job.started = target.clock.now
	took := time.Duration(next.job.work * float64(target.meanServiceTime))
	target.clock.after(took, func() {
		target.running--
		next.done(true)
		target.startQueued()
	})
}

// startQueued starts queued jobs while slots are free and drops those past their deadline without running them.
func (target *target) startQueued() {
	for target.running < target.slots && len(target.backlog) > 0 {
		first := target.backlog[0]
		target.backlog = target.backlog[1:]
		if target.clock.now.After(first.job.deadline) {
			first.done(false)
			continue
		}
		target.start(first)
	}
}

// load is the number of running and queued jobs as a share of the slots.
func (target *target) load() float64 {
	return float64(target.running+len(target.backlog)) / float64(target.slots)
}

// report publishes the current load after the lag.
func (target *target) report(lag time.Duration) {
	load := target.load()
	if target.misreports {
		load = 0
	}
	target.clock.after(lag, func() { target.reported = load })
}
