package testbed

import (
	"context"
	"io"

	"azureshift/entry"
	"azureshift/settings"
)

// InProcessLauncher runs entry instances inside this process and writes their logs to Output.
type InProcessLauncher struct{ Output io.Writer }

var _ Launcher = InProcessLauncher{}

// Launch implements Launcher.
func (inProcessLauncher InProcessLauncher) Launch(config settings.Entry) (Process, error) {
	complete, err := config.Complete()
	if err != nil {
		return nil, err
	}
	daemon, err := entry.New(entry.Config{Settings: complete, Output: inProcessLauncher.Output})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	process := &localProcess{cancel: cancel, ended: make(chan struct{})}
	go func() {
		daemon.Run(ctx)
		close(process.ended)
	}()
	return process, nil
}

type localProcess struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

// Stop implements Process.
func (process *localProcess) Stop() {
	process.cancel()
	<-process.ended
}

// Kill stops the instance as planned: part of a process cannot be killed.
func (process *localProcess) Kill() {
	process.Stop()
}
