//go:build review

// Command scenario plays one case of the review: it runs entry instances as separate processes between stand-ins for
// the platform, its clients and its backend servers, and checks one rule by what clients and backend servers see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	_exitHeld   = 0
	_exitBroken = 1
	_exitFailed = 2
)

// _limit ends a run that takes too long.
const _limit = 110 * time.Second

// scenario plays a case and returns the violations of its rule. Its error means that the case could not run.
type scenario func(deployment *deployment, trouble bool) ([]string, error)

func scenarios() map[string]scenario {
	return map[string]scenario{
		"backlog":      playBacklog,
		"silent":       playSilent,
		"silent-leave": playSilentLeave,
	}
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record of the run")
	command := flag.String("entry", "target/azureshift-entry", "program of an entry instance")
	flag.Parse()
	play, ok := scenarios()[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case:", *name)
		return _exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	deployment, err := newDeployment(*command, *path, _smallBounds)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return _exitFailed
	}
	defer deployment.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() { done <- judge(deployment, play, trouble) }()
	select {
	case status := <-done:
		return status
	case <-interrupted:
	case <-time.After(_limit):
	}
	deployment.note("the run was ended before it was complete")
	return _exitFailed
}

// judge plays the case and writes its result to the record.
func judge(deployment *deployment, play scenario, trouble bool) int {
	deployment.note("disruption: %v", trouble)
	violations, err := play(deployment, trouble)
	deployment.flushAttempts()
	if err != nil {
		deployment.note("the case could not run: %v", err)
		return _exitFailed
	}
	const shown = 40
	for _, violation := range violations[:min(len(violations), shown)] {
		deployment.note("VIOLATION %s", violation)
	}
	if len(violations) > 0 {
		deployment.note("rule broken %d times", len(violations))
		fmt.Printf("rule broken %d times; first: %s\n", len(violations), strings.TrimSpace(violations[0]))
		return _exitBroken
	}
	deployment.note("rule held")
	fmt.Println("rule held")
	return _exitHeld
}
