package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is one run after another of a program, whose builds take turns. It is safe for
// concurrent use.
type Process struct {
	// builds are the paths of the builds. The first run is that of builds[first].
	builds                         []string
	first                          int
	settingsVariable, settingsPath string
	args                           []string
	log                            *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the present run has ended.
	done chan struct{}
	// ending says that the run was told to end.
	ending bool
	// starts counts the runs, and startedAt is when the present one began.
	starts    int
	startedAt time.Time
	// unasked are ends that nobody asked for.
	unasked []string
}

// BuildProgram builds spindled, from a folder beside this one, into a folder, and returns the
// path of the program.
func BuildProgram(folder string) (string, error) {
	path := filepath.Join(folder, "spindled")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/spindled").CombinedOutput()
	return path, errors.Wrapf(err, "build spindled: %s", out)
}

// OwnGroup returns the attributes of a process in a group of its own. If it shared that of
// the tests, the system would send it SIGHUP once it is stopped by a signal and the shell that
// began the tests ends.
func OwnGroup() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }

// Start begins a run.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	build := p.builds[(p.first+p.starts)%len(p.builds)]
	cmd := exec.Command(build, p.args...)
	cmd.Env = append(os.Environ(), p.settingsVariable+"="+p.settingsPath)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = OwnGroup()
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start process")
	}
	p.cmd, p.done, p.ending = cmd, make(chan struct{}), false
	p.starts++
	p.startedAt = time.Now()
	go p.reap(cmd, p.done)
	return nil
}

func (p *Process) reap(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	if !p.ending {
		p.unasked = append(p.unasked, errors.Wrap(err, "process ended by itself").Error())
	}
	p.mu.Unlock()
	close(done)
}

// Signal sends a signal to the present run.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.ending = true
	}
	// A run that has ended takes no signal.
	_ = p.cmd.Process.Signal(s)
}

// Ended waits until the present run has ended.
func (p *Process) Ended(limit time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill ends the present run at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Ended(time.Minute)
}

// Starts returns the number of runs so far.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Age returns how long the present run has lasted.
func (p *Process) Age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.startedAt)
}

// Unasked returns the ends that nobody asked for.
func (p *Process) Unasked() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.unasked...)
}
