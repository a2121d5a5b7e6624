package harness

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// stopTimeout bounds the wait of Stop for an exit after SIGTERM, before it
	// sends SIGKILL.
	stopTimeout = 5 * time.Second
	// outputTimeout bounds the wait for the rest of the output after a process has
	// exited.
	outputTimeout = 2 * time.Second
	// pauseTimeout bounds the wait of Pause until all threads have stopped;
	// pausePollInterval is the time between two checks.
	pauseTimeout      = 5 * time.Second
	pausePollInterval = time.Millisecond
)

// ErrExited is the cause of an error when the process has exited before it did
// what the caller waits for, or before a signal was sent.
var ErrExited = eris.New("process has exited")

// Command describes the process that Start starts.
type Command struct {
	Name      string // names the process in error messages
	Path      string
	Arguments []string
	Dir       string
	// Env lists variables (NAME=VALUE) that the process gets in addition to those of the
	// test process.
	Env []string
}

// Process is a started process, which may have exited.
type Process struct {
	name    string
	command *exec.Cmd
	stdout  *logBuffer
	stderr  *logBuffer
	exited  chan struct{}
	exitErr error // set before exited is closed
}

// starter runs the starts of all processes on one OS thread that never ends.
// With Pdeathsig the kernel kills a process when the thread that started it
// ends, so that no process outlives a test process that was killed.
var starter = sync.OnceValue(func() chan<- func() {
	starts := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
	return starts
})

// Start starts a process that is killed when the test process ends.
func Start(c Command) (*Process, error) {
	p := &Process{name: c.Name, stdout: newLogBuffer(), stderr: newLogBuffer(), exited: make(chan struct{})}
	p.command = exec.Command(c.Path, c.Arguments...)
	p.command.Dir = c.Dir
	p.command.Env = append(p.command.Environ(), c.Env...)
	p.command.Stdout, p.command.Stderr = p.stdout, p.stderr
	p.command.WaitDelay = outputTimeout
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error, 1)
	starter() <- func() { result <- p.command.Start() }
	if err := <-result; err != nil {
		return nil, eris.Wrapf(err, "start %s", c.Name)
	}
	go func() {
		p.exitErr = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// PID returns the process identifier.
func (p *Process) PID() int { return p.command.Process.Pid }

// Logs returns the standard output followed by the standard error.
func (p *Process) Logs() string { return p.stdout.String() + p.stderr.String() }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL and waits for the exit of the process.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// Pause sends SIGSTOP and returns when all threads of the process have stopped:
// on a loaded machine a thread may run for a while after the signal was sent.
func (p *Process) Pause() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for deadline := time.Now().Add(pauseTimeout); ; time.Sleep(pausePollInterval) {
		stopped, err := p.allThreadsStopped()
		if err != nil || stopped {
			return err
		}
		if time.Now().After(deadline) {
			return eris.Errorf("threads of %s still run %s after SIGSTOP", p.name, pauseTimeout)
		}
	}
}

// allThreadsStopped reads the thread states in /proc. It returns false if no thread
// is listed.
func (p *Process) allThreadsStopped() (bool, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	if err != nil {
		return false, eris.Wrap(err, "list threads")
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil && !errors.Is(err, os.ErrNotExist) && !errors.Is(err, syscall.ESRCH) { // the thread may have ended since the listing
			return false, eris.Wrap(err, "read the state of a thread")
		}
		// The state follows the name in parentheses, which may hold any character.
		if i := bytes.LastIndexByte(stat, ')'); i >= 0 && !bytes.HasPrefix(stat[i:], []byte(") T")) {
			return false, nil
		}
	}
	return len(files) > 0, nil
}

// Continue resumes a paused process with SIGCONT.
func (p *Process) Continue() error { return p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and does not wait for the exit.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// HangUp sends SIGHUP, on which a daemon reloads its settings.
func (p *Process) HangUp() error { return p.signal(syscall.SIGHUP) }

func (p *Process) signal(s syscall.Signal) error {
	if !p.Running() {
		return eris.Wrapf(ErrExited, "send %s to %s", s, p.name)
	}
	return eris.Wrapf(p.command.Process.Signal(s), "send %s to %s", s, p.name)
}

// Wait waits for the exit of the process and returns its exit code, which is -1
// if a signal ended it.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	select {
	case <-p.exited:
	case <-time.After(timeout):
	}
	// When the process exits at the moment of the timeout, select may choose either; the
	// exit then counts.
	if p.Running() {
		return 0, eris.Errorf("%s did not exit in %s", p.name, timeout)
	}
	return p.command.ProcessState.ExitCode(), nil
}

// Stop sends SIGTERM and, if the process does not exit within stopTimeout,
// SIGKILL. It does nothing for a process that has exited.
func (p *Process) Stop() error {
	if !p.Running() {
		return nil
	}
	// A paused process handles SIGTERM only after SIGCONT. An error means that the
	// process has exited in the meantime, which Wait detects.
	_ = p.Continue()
	_ = p.Terminate()
	if _, err := p.Wait(stopTimeout); err == nil {
		return nil
	}
	return p.Kill()
}

// contextUntilExit returns a child context that is cancelled, with the output as
// part of its cause, when the process exits.
func (p *Process) contextUntilExit(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	go func() {
		select {
		case <-p.exited:
			cancel(eris.Wrapf(ErrExited, "%s: %v, output:\n%s", p.name, p.exitErr, p.Logs()))
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// WaitLine waits for a complete line of standard output or standard error that
// contains the text.
func (p *Process) WaitLine(ctx context.Context, text string) (string, error) {
	ctx, cancel := p.contextUntilExit(ctx)
	defer cancel()
	type match struct {
		line string
		err  error
	}
	lines := make(chan match, 2)
	for _, buffer := range []*logBuffer{p.stdout, p.stderr} {
		go func() {
			line, err := buffer.waitLine(ctx, text)
			lines <- match{line, err}
		}()
	}
	first := <-lines
	if first.err == nil {
		return first.line, nil
	}
	second := <-lines
	return second.line, second.err
}
