package testbed

import (
	"context"
	"io"

	"azureshift/entry"
	"azureshift/settings"
)

// Local runs entry instances inside this process. Their logs go to Output.
type Local struct{ Output io.Writer }

var _ Launcher = Local{}

// Launch starts an instance.
func (local Local) Launch(config settings.Entry) (Process, error) {
	complete, err := config.Complete()
	if err != nil {
		return nil, err
	}
	daemon, err := entry.New(entry.Config{Settings: complete, Output: local.Output})
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

// Stop begins a planned stop and waits for its end.
func (process *localProcess) Stop() {
	process.cancel()
	<-process.ended
}

// Kill cannot end a part of this process and stops it instead.
func (process *localProcess) Kill() {
	process.Stop()
}
