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
	// stopWait is how long Stop waits between SIGTERM and SIGKILL.
	stopWait = 5 * time.Second
	// outputWait bounds the wait for the rest of the output of an ended process.
	outputWait = 2 * time.Second
	// pauseWait bounds the wait for the threads of a paused process to stop, and
	// pausePoll is the time between two looks.
	pauseWait = 5 * time.Second
	pausePoll = time.Millisecond
)

// ErrExited is the cause when a process ends while something is awaited of it.
var ErrExited = eris.New("process has exited")

// Command says what to start.
type Command struct {
	Name      string // shown in errors
	Path      string
	Arguments []string
	Dir       string
	Env       []string // added to the environment of the test
}

// Process is a running or ended process.
type Process struct {
	name    string
	command *exec.Cmd
	stdout  *logBuffer
	stderr  *logBuffer
	exited  chan struct{}
	exit    error // set before exited is closed
}

// starter starts processes from one OS thread that never ends: the kernel ends
// the processes when the thread that started them ends, so that none outlives
// a test process that was killed.
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

// Start starts a process.
func Start(c Command) (*Process, error) {
	p := &Process{name: c.Name, stdout: newLogBuffer(), stderr: newLogBuffer(), exited: make(chan struct{})}
	p.command = exec.Command(c.Path, c.Arguments...)
	p.command.Dir = c.Dir
	p.command.Env = append(p.command.Environ(), c.Env...)
	p.command.Stdout, p.command.Stderr = p.stdout, p.stderr
	p.command.WaitDelay = outputWait
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error, 1)
	starter() <- func() { result <- p.command.Start() }
	if err := <-result; err != nil {
		return nil, eris.Wrapf(err, "start %s", c.Name)
	}
	go func() {
		p.exit = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// PID returns the process identifier.
func (p *Process) PID() int { return p.command.Process.Pid }

// Logs returns the output: standard output, then standard error.
func (p *Process) Logs() string { return p.stdout.String() + p.stderr.String() }

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// Pause stops the process as SIGSTOP does, and returns when no thread of it runs:
// on a busy machine a thread runs on for a while after the signal was sent.
func (p *Process) Pause() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for end := time.Now().Add(pauseWait); ; time.Sleep(pausePoll) {
		stopped, err := p.stopped()
		if err != nil || stopped {
			return err
		}
		if time.Now().After(end) {
			return eris.Errorf("%s still runs %s after SIGSTOP", p.name, pauseWait)
		}
	}
}

// stopped tells whether all threads of the process are stopped.
func (p *Process) stopped() (bool, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	if err != nil {
		return false, eris.Wrap(err, "list threads")
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil && !errors.Is(err, os.ErrNotExist) && !errors.Is(err, syscall.ESRCH) { // a thread may end in between
			return false, eris.Wrap(err, "read the state of a thread")
		}
		// The state follows the name in parentheses, which may hold any character.
		if i := bytes.LastIndexByte(stat, ')'); i >= 0 && !bytes.HasPrefix(stat[i:], []byte(") T")) {
			return false, nil
		}
	}
	return len(files) > 0, nil
}

// Continue lets a paused process go on.
func (p *Process) Continue() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to end with SIGTERM and does not wait.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// HangUp tells the process with SIGHUP that its settings may have changed.
func (p *Process) HangUp() error { return p.signal(syscall.SIGHUP) }

func (p *Process) signal(s syscall.Signal) error {
	if !p.Running() {
		return eris.Wrapf(ErrExited, "send %s to %s", s, p.name)
	}
	return eris.Wrapf(p.command.Process.Signal(s), "send %s to %s", s, p.name)
}

// Wait waits for the end of the process and returns its exit code, -1 after a signal.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	select {
	case <-p.exited:
	case <-time.After(timeout):
	}
	// Both may be true at once; the end of the process counts.
	if p.Running() {
		return 0, eris.Errorf("%s did not exit in %s", p.name, timeout)
	}
	return p.command.ProcessState.ExitCode(), nil
}

// Stop ends the process with SIGTERM and, if it does not end in time, SIGKILL.
// A process that has ended is left as it is.
func (p *Process) Stop() error {
	if !p.Running() {
		return nil
	}
	// A paused process handles SIGTERM only after SIGCONT. Errors mean that the
	// process has ended in the meantime, which Wait finds out.
	_ = p.Continue()
	_ = p.Terminate()
	if _, err := p.Wait(stopWait); err == nil {
		return nil
	}
	return p.Kill()
}

// whileRunning gives a context that ends when the process does.
func (p *Process) whileRunning(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	go func() {
		select {
		case <-p.exited:
			cancel(eris.Wrapf(ErrExited, "%s: %v, output:\n%s", p.name, p.exit, p.Logs()))
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// WaitLine waits for a whole line of standard output or standard error that contains the text.
func (p *Process) WaitLine(ctx context.Context, text string) (string, error) {
	ctx, cancel := p.whileRunning(ctx)
	defer cancel()
	type found struct {
		line string
		err  error
	}
	lines := make(chan found, 2)
	for _, buffer := range []*logBuffer{p.stdout, p.stderr} {
		go func() {
			line, err := buffer.waitLine(ctx, text)
			lines <- found{line, err}
		}()
	}
	first := <-lines
	if first.err == nil {
		return first.line, nil
	}
	second := <-lines
	return second.line, second.err
}
