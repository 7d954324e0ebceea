package testbed

import (
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"

	"azureshift/settings"
)

// ProcessLauncher launches each entry instance as a separate process.
type ProcessLauncher struct {
	// Command is the program with its arguments. Launch appends the flag for the settings file.
	Command []string
	// Environment is added to the environment of each process.
	Environment []string
	// Folder holds the settings files.
	Folder string
	// Output receives the logs of all instances.
	Output io.Writer
}

var _ Launcher = ProcessLauncher{}

// Launch implements Launcher.
func (processLauncher ProcessLauncher) Launch(config settings.Entry) (Process, error) {
	path := filepath.Join(processLauncher.Folder, string(config.Instance)+".json")
	complete, err := config.Complete()
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(complete)
	if err != nil {
		return nil, eris.Wrap(err, "encode settings of an instance")
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings of an instance")
	}
	arguments := append(append([]string(nil), processLauncher.Command[1:]...), "-settings", path)
	command := exec.Command(processLauncher.Command[0], arguments...)
	command.Env = append(os.Environ(), processLauncher.Environment...)
	command.Stdout, command.Stderr = processLauncher.Output, processLauncher.Output
	if err := command.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", processLauncher.Command[0])
	}
	childProcess := &ChildProcess{command: command, path: path, ended: make(chan struct{})}
	go func() {
		// The exit status is ignored: it follows from the signals sent, and an unexpected exit shows in its effects.
		_ = command.Wait()
		close(childProcess.ended)
	}()
	return childProcess, nil
}

// ChildProcess is an entry instance that runs as a process.
type ChildProcess struct {
	command *exec.Cmd
	path    string
	ended   chan struct{}
	mu      sync.Mutex
	paused  bool
}

var _ Process = (*ChildProcess)(nil)

// Stop implements Process. It resumes a paused process first, which could not handle the signal otherwise.
func (childProcess *ChildProcess) Stop() {
	childProcess.Resume()
	childProcess.signal(syscall.SIGTERM)
	<-childProcess.ended
}

// Kill implements Process.
func (childProcess *ChildProcess) Kill() {
	childProcess.signal(syscall.SIGKILL)
	<-childProcess.ended
}

// Pause suspends the process with SIGSTOP until Resume.
func (childProcess *ChildProcess) Pause() {
	childProcess.mu.Lock()
	defer childProcess.mu.Unlock()
	childProcess.paused = true
	childProcess.signal(syscall.SIGSTOP)
}

// Resume continues a paused process; it does nothing if the process is not paused.
func (childProcess *ChildProcess) Resume() {
	childProcess.mu.Lock()
	defer childProcess.mu.Unlock()
	if childProcess.paused {
		childProcess.paused = false
		childProcess.signal(syscall.SIGCONT)
	}
}

// Reload appends a newline to the settings file, which changes no setting, and sends SIGHUP if sendSignal is set.
func (childProcess *ChildProcess) Reload(sendSignal bool) error {
	raw, err := os.ReadFile(childProcess.path)
	if err == nil {
		err = os.WriteFile(childProcess.path, append(raw, '\n'), 0o600)
	}
	if sendSignal {
		childProcess.signal(syscall.SIGHUP)
	}
	return eris.Wrap(err, "rewrite settings of an instance")
}

// Ended reports whether the process has exited.
func (childProcess *ChildProcess) Ended() bool {
	select {
	case <-childProcess.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal to this process only. It has no effect once the process has exited.
func (childProcess *ChildProcess) signal(signal syscall.Signal) {
	_ = childProcess.command.Process.Signal(signal)
}
