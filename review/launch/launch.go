//go:build review2

// Package launch starts azureshift-entry for the cases of the second review as the deploy file does, and writes the
// record of a case.
package launch

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"azureshift/settings"
	"azureshift/testbed"
)

// The exit statuses of a case.
const (
	// Held says that the rule held.
	Held = 0
	// Broken says that the rule was broken.
	Broken = 1
	// NotRun says that the case could not run.
	NotRun = 2
)

const (
	_program          = "target/azureshift-entry"
	_settingsVariable = "AZURESHIFT_SETTINGS"
	// _processorShare and _memoryMB are those of the machines of the sheet of ascv-sleeves.
	_processorShare = 0.061
	_memoryMB       = 206
)

// Launcher starts instances as processes with the program and the variable of the deploy file.
type Launcher struct {
	// Folder holds the settings files and the logs.
	Folder string
	// Adjust, if set, changes the settings of an instance.
	Adjust func(config *settings.Entry)
}

var _ testbed.Launcher = Launcher{}

// Launch implements testbed.Launcher.
func (launcher Launcher) Launch(config settings.Entry) (testbed.Process, error) {
	config.Machine = settings.Machine{Processor: _processorShare, MemoryMB: _memoryMB}
	if launcher.Adjust != nil {
		launcher.Adjust(&config)
	}
	complete, err := config.Complete()
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(complete)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(launcher.Folder, string(config.Instance)+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command := exec.Command(_program)
	command.Env = []string{_settingsVariable + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + launcher.Folder}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	process := &Process{command: command, ended: make(chan struct{})}
	_started.Store(process, true)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		_started.Delete(process)
		close(process.ended)
	}()
	return process, nil
}

// _started holds the processes that run.
var _started sync.Map

// EndLate ends the case and all processes that it started after a limit, or when the case is told to end.
func EndLate(limit time.Duration) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-told:
		case <-time.After(limit):
		}
		fmt.Println("the case takes too long or is told to end")
		_started.Range(func(process, _ any) bool {
			process.(*Process).Kill()
			return true
		})
		os.Exit(NotRun)
	}()
}

// Process is an instance that runs as a process.
type Process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// Stop implements testbed.Process.
func (process *Process) Stop() {
	process.Signal(syscall.SIGTERM)
	<-process.ended
}

// Kill implements testbed.Process.
func (process *Process) Kill() {
	process.Signal(syscall.SIGKILL)
	<-process.ended
}

// Signal sends a signal to this process only.
func (process *Process) Signal(signal syscall.Signal) {
	_ = process.command.Process.Signal(signal)
}

// Ended is closed when the process has ended.
func (process *Process) Ended() <-chan struct{} {
	return process.ended
}

// Status returns how the process ended, and nil while it runs.
func (process *Process) Status() *os.ProcessState {
	select {
	case <-process.ended:
		return process.command.ProcessState
	default:
		return nil
	}
}

// Record is the record of a case.
type Record struct {
	mu     sync.Mutex
	output io.WriteCloser
	begun  time.Time
}

// NewRecord creates the record at a path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{output: file, begun: time.Now()}, err
}

// Write adds a line with the time since the case began.
func (record *Record) Write(format string, values ...any) {
	record.WriteAt(time.Now(), format, values...)
}

// WriteAt adds a line with the given time.
func (record *Record) WriteAt(at time.Time, format string, values ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	_, _ = fmt.Fprintf(record.output, "%8.3f %s\n", at.Sub(record.begun).Seconds(), fmt.Sprintf(format, values...))
}

// Print adds a line and prints it.
func (record *Record) Print(format string, values ...any) {
	record.Write(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Close closes the record.
func (record *Record) Close() {
	_ = record.output.Close()
}

// Trouble parses the flags of a case and reports whether it runs with its disruption.
func Trouble() bool {
	trouble := flag.Bool("trouble", true, "bring the disruption about")
	flag.Parse()
	return *trouble
}

// Pipe passes the bytes of a connection to and from an address until either end closes.
func Pipe(caller net.Conn, to netip.AddrPort) {
	defer func() { _ = caller.Close() }()
	target, err := net.Dial("tcp4", to.String())
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go pass(target, caller)
	go pass(caller, target)
	<-done
}

// FreeAddress returns an address with a number in a loopback network that no other case uses: the lock holds it.
func FreeAddress() (network netip.Addr, lock net.Listener, err error) {
	for range _networks {
		network = netip.AddrFrom4([4]byte{127, 221, byte(rand.IntN(_networks)), 0})
		if lock, err = net.Listen("tcp4", netip.AddrPortFrom(network.Next(), _lockPort).String()); err == nil {
			return network, lock, nil
		}
	}
	return network, nil, err
}

// Host returns the address with a number in a network of FreeAddress.
func Host(network netip.Addr, number int, port uint16) netip.AddrPort {
	octets := network.As4()
	octets[3] = byte(number)
	return netip.AddrPortFrom(netip.AddrFrom4(octets), port)
}

const (
	_networks = 256
	_lockPort = 8098
)
