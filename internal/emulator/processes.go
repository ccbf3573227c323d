package emulator

import (
	"cmp"
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
)

// Processes runs the controllers of a cluster as child processes. They are killed when the parent ends, however that
// happens.
type Processes struct {
	Program          string             // path of the amberdeal binary
	Level            string             // LOG_LEVEL of the controllers
	Dir              string             // directory of their logs and operators' files
	PlatformFile     func(i int) string // path of a controller's platform file
	OperatorSettings string             // content of the operators' file of all controllers; may be empty
	ExtraSettings    func(i int) string // if set, returns additional content for one controller's operators' file
	MetricsAddr      func(i int) string // address at which a controller serves metrics

	ctx           context.Context
	startRequests chan func()
	mu            sync.Mutex
	procs         map[int]*exec.Cmd
	stopped       bool // set by Stop: no process is started any more
}

// Init has to be called before Start. No process is started after the context ends, and those that run are killed.
func (p *Processes) Init(ctx context.Context) {
	p.ctx, p.startRequests, p.procs = ctx, make(chan func()), map[int]*exec.Cmd{}
	go p.startLoop()
}

// startLoop starts processes on a single locked OS thread. The kernel kills them when that thread ends (Pdeathsig),
// however this process ends.
func (p *Processes) startLoop() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case <-p.ctx.Done():
			return
		case start := <-p.startRequests:
			start()
		}
	}
}

// Log returns the path of a controller's log file.
func (p *Processes) Log(i int) string { return filepath.Join(p.Dir, fmt.Sprintf("c-%d.log", i)) }

// Start starts a controller that is not running.
func (p *Processes) Start(i int) error {
	log, err := os.OpenFile(p.Log(i), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	operatorsFile := filepath.Join(p.Dir, fmt.Sprintf("c-%d.ini", i))
	text := p.OperatorSettings
	if p.ExtraSettings != nil {
		text += p.ExtraSettings(i)
	}
	if err := writeFileAtomic(operatorsFile, []byte(text+"\n[metrics]\nlisten = "+p.MetricsAddr(i)+"\n")); err != nil {
		return err
	}
	cmd := exec.Command(p.Program, "serve", "--config", p.PlatformFile(i), "--settings", operatorsFile)
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+p.Level)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // Setpgid: Ctrl-C reaches only this process, which stops the controllers
	done := make(chan error, 1)
	select {
	case p.startRequests <- func() { done <- cmd.Start() }:
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
	if err := <-done; err != nil {
		return err
	}
	p.mu.Lock()
	stopped := p.stopped
	if !stopped {
		p.procs[i] = cmd
	}
	p.mu.Unlock()
	if stopped { // while the process was starting
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return errProcessesStopped
	}
	return nil
}

// errProcessesStopped is returned by Start after Stop.
var errProcessesStopped = errors.New("all controllers have been stopped")

// PID returns the process id of a controller, or 0 if it is not running.
func (p *Processes) PID(i int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cmd := p.procs[i]; cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// Kill terminates a controller with SIGKILL.
func (p *Processes) Kill(i int) {
	p.mu.Lock()
	cmd := p.procs[i]
	delete(p.procs, i)
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// KillNamed injects a crash: it kills a controller and restarts it after a delay, 2 s if that is 0.
func (p *Processes) KillNamed(name string, restartDelay time.Duration) error {
	i, err := controllerIndex(name)
	if err != nil {
		return err
	}
	p.Kill(i)
	time.AfterFunc(cmp.Or(restartDelay, defaultRestartDelay), func() {
		if p.ctx.Err() == nil {
			_ = p.Start(i)
		}
	})
	return nil
}

// PauseNamed suspends a controller (SIGSTOP) or resumes it (SIGCONT).
func (p *Processes) PauseNamed(name string, paused bool) error {
	i, err := controllerIndex(name)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sig := syscall.SIGCONT
	if paused {
		sig = syscall.SIGSTOP
	}
	if cmd := p.procs[i]; cmd != nil {
		return cmd.Process.Signal(sig)
	}
	return errors.New(name + " does not run")
}

// controllerIndex returns the index of the controller with a name, such as c-0.
func controllerIndex(name string) (i int, err error) {
	if _, err = fmt.Sscanf(name, "c-%d", &i); err != nil {
		err = fmt.Errorf("%q is no controller", name)
	}
	return i, err
}

// Stop kills all processes and prevents further starts.
func (p *Processes) Stop() {
	p.mu.Lock()
	p.stopped = true
	var all []int
	for i := range p.procs {
		all = append(all, i)
	}
	p.mu.Unlock()
	for _, i := range all {
		p.Kill(i)
	}
}
