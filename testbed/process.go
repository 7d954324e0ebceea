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

// Programs launches entry instances as processes of their own.
type Programs struct {
	// Command is the program with its arguments; the flag for the settings file is added.
	Command []string
	// Environment is added to the environment of each process.
	Environment []string
	// Folder holds the settings files, and Output gets the logs.
	Folder string
	Output io.Writer
}

var _ Launcher = Programs{}

// Launch starts an instance.
func (programs Programs) Launch(config settings.Entry) (Process, error) {
	path := filepath.Join(programs.Folder, string(config.Instance)+".json")
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
	arguments := append(append([]string(nil), programs.Command[1:]...), "-settings", path)
	command := exec.Command(programs.Command[0], arguments...)
	command.Env = append(os.Environ(), programs.Environment...)
	command.Stdout, command.Stderr = programs.Output, programs.Output
	if err := command.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", programs.Command[0])
	}
	program := &Program{command: command, path: path, ended: make(chan struct{})}
	go func() {
		// How a process ends follows from the signals that it is sent; others are found by their effect.
		_ = command.Wait()
		close(program.ended)
	}()
	return program, nil
}

// Program is an entry instance that runs as a process.
type Program struct {
	command *exec.Cmd
	path    string
	ended   chan struct{}
	mu      sync.Mutex
	paused  bool
}

var _ Process = (*Program)(nil)

// Stop begins a planned stop and waits for its end.
func (program *Program) Stop() {
	program.Resume()
	program.signal(syscall.SIGTERM)
	<-program.ended
}

// Kill ends the process at once.
func (program *Program) Kill() {
	program.signal(syscall.SIGKILL)
	<-program.ended
}

// Pause stops the process until Resume.
func (program *Program) Pause() {
	program.mu.Lock()
	defer program.mu.Unlock()
	program.paused = true
	program.signal(syscall.SIGSTOP)
}

// Resume lets a paused process go on.
func (program *Program) Resume() {
	program.mu.Lock()
	defer program.mu.Unlock()
	if program.paused {
		program.paused = false
		program.signal(syscall.SIGCONT)
	}
}

// Reload changes the settings file in a way that means nothing, and says so if told.
func (program *Program) Reload(told bool) error {
	raw, err := os.ReadFile(program.path)
	if err == nil {
		err = os.WriteFile(program.path, append(raw, '\n'), 0o600)
	}
	if told {
		program.signal(syscall.SIGHUP)
	}
	return eris.Wrap(err, "change the settings of an instance")
}

// Ended reports whether the process is gone.
func (program *Program) Ended() bool {
	select {
	case <-program.ended:
		return true
	default:
		return false
	}
}

// signal signals this process only; it has no effect once the process is gone.
func (program *Program) signal(signal syscall.Signal) {
	_ = program.command.Process.Signal(signal)
}
