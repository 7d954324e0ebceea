//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"azureshift/core/id"
	"azureshift/settings"
	"azureshift/testbed"
)

// bounds are the platform's time bounds for a deployment.
type bounds struct {
	drain       time.Duration
	convergence time.Duration
	// inTouch is the time without a disruption after which a machine counts as being in touch.
	inTouch time.Duration
}

// _smallBounds are the bounds of the small deployments.
var _smallBounds = bounds{drain: 3 * time.Second, convergence: 3 * time.Second, inTouch: 4 * time.Second}

// launcher starts entry instances as the deploy file does: the program without arguments, with the path of its settings
// in AZURESHIFT_SETTINGS.
type launcher struct {
	command string
	folder  string
	bounds  bounds

	mu        sync.Mutex
	configs   map[id.Instance]settings.Entry
	following map[id.Instance]time.Time
	running   map[*process]bool
	logFile   *os.File
}

// process is a running entry instance.
type process struct {
	launcher *launcher
	command  *exec.Cmd
	ended    chan struct{}
}

var _ testbed.Launcher = (*launcher)(nil)

// Launch implements testbed.Launcher.
func (launcher *launcher) Launch(config settings.Entry) (testbed.Process, error) {
	config.Bounds.Drain = settings.Duration(launcher.bounds.drain)
	config.Bounds.Convergence = settings.Duration(launcher.bounds.convergence)
	complete, err := config.Complete()
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(complete)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(launcher.folder, string(config.Instance)+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	command := exec.Command(launcher.command)
	command.Env = append(os.Environ(), "AZURESHIFT_SETTINGS="+path)
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	command.Stderr = launcher.logFile
	if err := command.Start(); err != nil {
		return nil, err
	}
	started := &process{launcher: launcher, command: command, ended: make(chan struct{})}
	launcher.mu.Lock()
	launcher.configs[config.Instance] = complete
	launcher.running[started] = true
	launcher.mu.Unlock()
	go func() {
		launcher.readLog(config.Instance, output)
		_ = command.Wait()
		launcher.mu.Lock()
		delete(launcher.running, started)
		delete(launcher.following, config.Instance)
		launcher.mu.Unlock()
		close(started.ended)
	}()
	return started, nil
}

// readLog copies the log of an instance to the log file, and notes when it begins or ends to follow the store.
func (launcher *launcher) readLog(name id.Instance, output io.Reader) {
	scanner := bufio.NewScanner(output)
	for scanner.Scan() {
		var line struct{ Name, Value string }
		_ = json.Unmarshal(scanner.Bytes(), &line)
		launcher.mu.Lock()
		_, _ = launcher.logFile.Write(append(scanner.Bytes(), '\n'))
		if line.Name == "FollowerChanged" {
			if line.Value == "Begun" {
				launcher.following[name] = time.Now()
			} else {
				delete(launcher.following, name)
			}
		}
		launcher.mu.Unlock()
	}
}

// follower returns the only instance that has followed the store for some time.
func (launcher *launcher) follower() (id.Instance, bool) {
	launcher.mu.Lock()
	defer launcher.mu.Unlock()
	for name, since := range launcher.following {
		if len(launcher.following) == 1 && time.Since(since) > time.Second {
			return name, true
		}
	}
	return "", false
}

// killAll ends every process that is still running.
func (launcher *launcher) killAll() {
	launcher.mu.Lock()
	left := make([]*process, 0, len(launcher.running))
	for running := range launcher.running {
		left = append(left, running)
	}
	launcher.mu.Unlock()
	for _, running := range left {
		running.Kill()
	}
}

// Stop implements testbed.Process.
func (process *process) Stop() {
	_ = process.command.Process.Signal(syscall.SIGTERM)
	<-process.ended
}

// Kill implements testbed.Process.
func (process *process) Kill() {
	_ = process.command.Process.Signal(syscall.SIGKILL)
	<-process.ended
}
